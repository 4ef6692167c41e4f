package listener

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"hawthornway/memory"
)

// pipeListener accepts the connections of a channel.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) {
	if conn, ok := <-l; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}

func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// servePipes serves connections in memory with a budget for heads.
func servePipes(handler http.Handler, budget *memory.Budget) (conns chan net.Conn, stop func()) {
	conns = make(chan net.Conn)
	server := &http.Server{Handler: handler, MaxHeaderBytes: 64 << 10}
	limitHeads(server, budget)
	done := make(chan error)
	go func() {
		done <- server.Serve(meteredListener{pipeListener(conns), budget, slog.New(slog.DiscardHandler)})
	}()
	return conns, func() {
		close(conns)
		<-done
		_ = server.Close() // closes the connections
	}
}

// longHead returns a head of many short fields, of a size and without its end.
func longHead(path string, size int) string {
	var text strings.Builder
	fmt.Fprintf(&text, "GET %s HTTP/1.1\r\nHost: a\r\n", path)
	for i := 0; text.Len() < size; i++ {
		fmt.Fprintf(&text, "%x:\r\n", i)
	}
	return text.String()
}

// Guards against many callers with long heads, each within its limit, that together take the host
// over its memory.
func TestHeadsOfAllCallersFitTheMemory(t *testing.T) {
	const (
		limit   = 16 << 20
		callers = 200
	)
	for _, end := range []string{"", "\r\n"} {
		t.Run(fmt.Sprintf("end %q", end), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				budget := memory.NewBudget(limit, clockwork.NewRealClock())
				blocked := make(chan struct{})
				conns, stop := servePipes(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/wait" {
						<-blocked
					}
				}), budget)
				before := heapInUse()
				refused := make(chan string, callers)
				open := make([]net.Conn, 0, callers)
				for range callers {
					near, far := net.Pipe()
					conns <- far
					open = append(open, near)
					go func() { _, _ = near.Write([]byte(longHead("/wait", 60<<10) + end)) }() // a refused one is closed
					go func() {
						response, err := http.ReadResponse(bufio.NewReader(near), nil)
						if err == nil {
							refused <- response.Status + " " + response.Header.Get("Retry-After")
						}
					}()
				}
				synctest.Wait()
				must.LessEq(t, limit, int64(budget.Used()))
				must.LessEq(t, 2*limit, heapInUse()-before) // the pipes and the texts count as well
				must.Positive(t, len(refused))
				must.StrHasPrefix(t, "503 Service Unavailable ", <-refused)
				// A usual request is still served.
				near, far := net.Pipe()
				conns <- far
				response := exchangeOn(t, near, "/")
				must.Eq(t, http.StatusOK, response.StatusCode)
				close(blocked)
				for _, conn := range append(open, near) {
					_ = conn.Close() // refused ones are closed
				}
				stop()
				synctest.Wait()
				must.Zero(t, budget.Used())
			})
		})
	}
}

// exchangeOn sends a request on a connection and returns the response.
func exchangeOn(t *testing.T, conn net.Conn, path string) *http.Response {
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(strings.Repeat("x\r\n", 9<<10)))
	go func() { _ = request.Write(conn) }() // the response tells
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	return response
}

// Bodies are no heads, and what a request has borrowed is given back after it, also on a kept
// connection.
func TestHeadsGiveTheirMemoryBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := memory.NewBudget(1<<20, clockwork.NewRealClock())
		lent := make(chan memory.Bytes, 1)
		conns, stop := servePipes(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				_, _ = r.Body.Read(make([]byte, 16<<10)) // the server discards the rest
			}
			lent <- budget.Used()
		}), budget)
		near, far := net.Pipe()
		conns <- far
		for range 3 {
			must.Eq(t, http.StatusOK, exchangeOn(t, near, "/").StatusCode)
			must.Zero(t, <-lent)
			// Enough of these would exceed the budget if they were added up.
			go func() { _, _ = near.Write([]byte(longHead("/", 30<<10) + "\r\n")) }() // the response tells
			response, err := http.ReadResponse(bufio.NewReader(near), nil)
			must.NoError(t, err)
			must.Eq(t, http.StatusOK, response.StatusCode)
			must.Positive(t, <-lent)
		}
		must.NoError(t, near.Close())
		stop()
		synctest.Wait()
		must.Zero(t, budget.Used())
	})
}

// heapInUse returns what is held on the heap.
func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Guards against a head that is read on after a part of it found no memory: the rest of it could pass
// for another request (UNASKED).
func TestRefusedHeadIsNotReadOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := memory.NewBudget(100<<10, clockwork.NewRealClock())
		other, ok := budget.Take(90 << 10)
		must.True(t, ok)
		near, far := net.Pipe()
		go func() { _, _ = near.Write([]byte(longHead("/", 60<<10))) }() // its end isn't read
		go func() { _, _ = http.ReadResponse(bufio.NewReader(near), nil) }()
		conn := &meteredConn{Conn: far, budget: budget, log: slog.New(slog.DiscardHandler)}
		conn.beginHead()
		buffer := make([]byte, 4<<10)
		var err error
		for err == nil {
			_, err = conn.Read(buffer)
		}
		must.ErrorIs(t, err, errNoMemory)
		other.Release()
		_, err = conn.Read(buffer)
		must.ErrorIs(t, err, errNoMemory)
		must.NoError(t, conn.Close())
		must.NoError(t, near.Close())
	})
}

// Guards against encrypted bytes that are measured as a head which never ends, so that a connection
// is refused in the middle of a request.
func TestTLSConnectionsAreNotMeasured(t *testing.T) {
	certified := httptest.NewTLSServer(http.NotFoundHandler())
	defer certified.Close()
	limits := Limits{Memory: memory.NewBudget(64<<10, clockwork.NewRealClock()), Log: slog.New(slog.DiscardHandler)}
	read := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	server, address, err := NewServer("127.0.0.1:0", read, limits, certified.TLS)
	must.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- server.Start(context.Background()) }()
	response, err := certified.Client().Post("https://"+address.String(), "", strings.NewReader(strings.Repeat("x\n", 1<<20)))
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	must.Eq(t, http.StatusOK, response.StatusCode)
	must.NoError(t, server.Stop(context.Background()))
	must.NoError(t, <-done)
}
