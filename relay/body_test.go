package relay_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"hawthornway/catalog"
	"hawthornway/exchange"
	"hawthornway/memory"
	"hawthornway/relay"
	"hawthornway/roster"
)

// workingTarget is a target in memory that reads each request whole, works, and answers with a
// number of bytes.
type workingTarget struct {
	work        time.Duration
	answerBytes int
}

func (w workingTarget) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		request, err := http.ReadRequest(bufio.NewReaderSize(far, 64<<10))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		time.Sleep(w.work)
		_, _ = fmt.Fprintf(far, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
			request.Header.Get("Id"), w.answerBytes, strings.Repeat("a", w.answerBytes)) // the host may have left
	}()
	return near, nil
}

// newMemoryRelay returns a relay in front of a target, whose requests may hold some memory.
func newMemoryRelay(target workingTarget, budget *memory.Budget) http.Handler {
	current := catalog.New(catalog.Content{
		Bounds: catalog.Bounds{BodyBytes: 4 << 20},
		Routes: []catalog.Route{{
			Name: "route", Host: "a.example", Prefix: "/x/", Delivery: catalog.AtMostOnce{}, MaxTargets: 1, Timeout: time.Minute,
			Pools: []catalog.WeightedPool{{Pool: "p", Weight: 1}},
		}},
	})
	return relay.New(
		relay.WithDialect(dialect{}),
		relay.WithCatalog(func() *catalog.Catalog { return current }),
		relay.WithLimiter(&limiter{}),
		relay.WithPlacer(&placer{targets: []roster.Target{{ID: "t0", Address: "t0"}}}),
		relay.WithProber(prober{relay.Busy{}}),
		relay.WithClient(exchange.New(exchange.WithDial(target.dial))),
		relay.WithObserver(&testEnv{}),
		relay.WithMemory(budget),
		relay.WithLogger(slog.New(slog.DiscardHandler)),
	)
}

// countingReader counts what is read of a body.
type countingReader struct {
	io.Reader
	read *atomic.Int64
}

func (c countingReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// Guards against a burst of requests with long bodies that takes the host over its memory: it is
// ended, with all that it serves.
func TestRequestsHoldNoMoreThanTheirMemory(t *testing.T) {
	const (
		bodyBytes = 1 << 20
		limit     = 20 << 20
		requests  = 200
	)
	cases := []struct {
		name string
		// unknownLength is set if bodies come in chunks.
		unknownLength bool
		answerBytes   int
	}{
		{"bodies with a length", false, 10},
		{"bodies in chunks", true, 10},
		{"long answers", false, 200 << 10},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				budget := memory.NewBudget(limit, clockwork.NewRealClock())
				handler := newMemoryRelay(workingTarget{2 * time.Second, tc.answerBytes}, budget)
				var wg sync.WaitGroup
				var served, refused, read atomic.Int64
				for i := range requests {
					wg.Go(func() {
						body := countingReader{io.LimitReader(zeros{}, bodyBytes), &read}
						request := httptest.NewRequest(http.MethodPost, "/x/1", body)
						request.Host, request.ContentLength = "a.example", bodyBytes
						if tc.unknownLength {
							request.ContentLength = -1
						}
						request.Header.Set("Id", strconv.Itoa(i))
						response := httptest.NewRecorder()
						before := read.Load()
						handler.ServeHTTP(response, request)
						must.LessEq(t, limit, int64(budget.Used()))
						if response.Code == http.StatusOK {
							served.Add(1)
							must.Eq(t, tc.answerBytes, response.Body.Len())
							return
						}
						must.Eq(t, http.StatusServiceUnavailable, response.Code)
						refused.Add(1)
						wait, err := strconv.ParseFloat(response.Header().Get("Retry-After"), 64)
						must.NoError(t, err)
						must.Between(t, 0.1, wait, 2)
						if !tc.unknownLength {
							must.Eq(t, before, read.Load(), must.Sprint("the body of a refused request was read"))
						}
					})
					synctest.Wait()
				}
				wg.Wait()
				must.Eq(t, requests, served.Load()+refused.Load())
				must.Between(t, 9, served.Load(), 19)
				must.Eq(t, 0, budget.Used())
			})
		})
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// Guards against a caller that never finishes its body, and holds memory for ever.
func TestUnfinishedBodyEndsWithItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := memory.NewBudget(10<<20, clockwork.NewRealClock())
		near, far := net.Pipe()
		accepted := make(chan net.Conn, 1)
		accepted <- far
		server := &http.Server{Handler: newMemoryRelay(workingTarget{}, budget)}
		go func() { _ = server.Serve(pipeListener(accepted)) }()
		start := time.Now()
		_, err := io.WriteString(near, "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nId: 1\r\nTimeout: 3s\r\nContent-Length: 1000000\r\n\r\nbeginning")
		must.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(near), nil)
		must.NoError(t, err)
		must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
		must.Eq(t, 3*time.Second, time.Since(start))
		must.NoError(t, near.Close())
		time.Sleep(time.Second) // the server waits for the caller to read its answer
		must.Eq(t, 0, budget.Used())
		close(accepted)
		must.NoError(t, server.Close())
	})
}

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

// BenchmarkMemoryOfLongBodies sends a thousand requests with bodies of four megabytes at once, to
// hosts of two sizes, and reports the peak of the process's resident memory. Each size has to run
// in a process of its own.
func BenchmarkMemoryOfLongBodies(b *testing.B) {
	for _, megabytes := range []int64{184, 284} {
		b.Run(fmt.Sprint(megabytes, "MB"), func(b *testing.B) {
			debug.SetMemoryLimit(megabytes * 1e6 * 3 / 4)
			body := make([]byte, 4<<20)
			for b.Loop() {
				handler := newMemoryRelay(workingTarget{200 * time.Millisecond, 10}, memory.NewBudget(memory.Bytes(megabytes*1e6*2/5), clockwork.NewRealClock()))
				var wg sync.WaitGroup
				for i := range 1000 {
					wg.Go(func() {
						request := httptest.NewRequest(http.MethodPost, "/x/1", bytes.NewReader(body))
						request.Host = "a.example"
						request.Header.Set("Id", strconv.Itoa(i))
						handler.ServeHTTP(httptest.NewRecorder(), request)
					})
				}
				wg.Wait()
			}
			b.ReportMetric(peakMemory(b), "peak-MB")
		})
	}
}

// peakMemory returns the peak of the process's resident memory in megabytes.
func peakMemory(b *testing.B) float64 {
	status, err := os.ReadFile("/proc/self/status")
	must.NoError(b, err)
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, err := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(text), " kB"), 64)
			must.NoError(b, err)
			return n * 1024 / 1e6
		}
	}
	b.Skip("the system doesn't tell")
	return 0
}
