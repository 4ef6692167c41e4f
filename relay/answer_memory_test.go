package relay_test

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

// floodingTargets are targets in memory. The one at the address "faulty" answers with given bytes and
// then is silent; others answer as they should.
type floodingTargets struct{ answer string }

func (f floodingTargets) dial(_ context.Context, address string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		request, err := http.ReadRequest(bufio.NewReaderSize(far, 4<<10))
		if err != nil {
			return
		}
		id := request.Header.Get("Id")
		if address != "faulty" {
			_, _ = fmt.Fprintf(far, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", id) // the host may have left
			return
		}
		_, _ = io.WriteString(far, strings.ReplaceAll(f.answer, "ID", id)) // likewise
		_, _ = io.Copy(io.Discard, far)
	}()
	return near, nil
}

// newFloodedRelay returns a relay with a route to the faulty target and one to a sound target.
func newFloodedRelay(targets floodingTargets, delivery catalog.Delivery, budget *memory.Budget, env *testEnv) http.Handler {
	route := func(name string) catalog.Route {
		r := catalog.Route{
			Name: catalog.RouteName(name), Host: "a.example", Prefix: "/" + name + "/", Delivery: catalog.AtMostOnce{}, MaxTargets: 1, Timeout: time.Minute,
			Pools: []catalog.WeightedPool{{Pool: "p", Weight: 1}},
		}
		if name == "faulty" {
			r.Delivery = delivery
		}
		return r
	}
	current := catalog.New(catalog.Content{Bounds: catalog.Bounds{BodyBytes: 4 << 20}, Routes: []catalog.Route{route("faulty"), route("sound")}})
	newRelay := func(address string) http.Handler {
		return relay.New(
			relay.WithDialect(dialect{}),
			relay.WithCatalog(func() *catalog.Catalog { return current }),
			relay.WithLimiter(&limiter{}),
			relay.WithPlacer(&placer{targets: []roster.Target{{ID: "t0", Address: address}}}),
			relay.WithProber(prober{relay.Busy{}}),
			relay.WithClient(exchange.New(exchange.WithDial(targets.dial))),
			relay.WithObserver(env),
			relay.WithQuarantine(env),
			relay.WithMemory(budget),
			relay.WithLogger(slog.New(slog.DiscardHandler)),
		)
	}
	handlers := map[string]http.Handler{"faulty": newRelay("faulty"), "sound": newRelay("sound")}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() { _ = recover() }() // a response that breaks off
		handlers[strings.Split(r.URL.Path, "/")[1]].ServeHTTP(w, r)
	})
}

// discardWriter is a caller that reads everything and keeps nothing.
type discardWriter struct {
	header http.Header
	status int
}

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) WriteHeader(status int)      { d.status = status }
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardWriter) Flush()                      {}

// shortFields returns a head that holds many times its size.
func shortFields() string {
	var head strings.Builder
	head.WriteString("HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\n")
	for i := 0; head.Len() < 60<<10; i++ {
		fmt.Fprintf(&head, "%x:\r\n", i)
	}
	return head.String()
}

// Guards against a faulty engine that answers many requests with bytes without end: each answer is
// bounded, and together they take the host over its memory, with all that it serves.
func TestFaultyAnswersTogetherFitTheMemory(t *testing.T) {
	const (
		limit    = 24 << 20
		requests = 300
		okHead   = "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\n"
	)
	cases := []struct {
		name     string
		answer   string
		delivery catalog.Delivery
		// passed is set if what has no memory is passed on. Otherwise the request ends.
		passed bool
	}{
		{"a head of many fields without an end", shortFields(), catalog.AtMostOnce{}, false},
		{"a head of many fields", shortFields() + "\r\n", catalog.AtMostOnce{}, false},
		{"a long header line", okHead + "A: " + strings.Repeat("a", 60<<10), catalog.AtMostOnce{}, false},
		{"an answer without an end", okHead + "\r\n" + strings.Repeat("a", 250<<10), catalog.AtMostOnce{}, true},
		{"a long answer without an end", okHead + "\r\n" + strings.Repeat("a", 300<<10), catalog.AtMostOnce{}, true},
		{"an event without an end", okHead + "\r\ndata: " + strings.Repeat("a", 900<<10), catalog.Stream{}, false},
		{"a stream's head of many fields", shortFields() + "\r\n", catalog.Stream{}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				budget := memory.NewBudget(limit, clockwork.NewRealClock())
				env := &testEnv{}
				handler := newFloodedRelay(floodingTargets{tc.answer}, tc.delivery, budget, env)
				call := func(route string, i int) int {
					request := httptest.NewRequest(http.MethodGet, "/"+route+"/1", http.NoBody)
					request.Host = "a.example"
					request.Header.Set("Id", strconv.Itoa(i))
					w := &discardWriter{header: http.Header{}}
					handler.ServeHTTP(w, request)
					return w.status
				}
				before := heapInUse()
				var wg sync.WaitGroup
				var answered atomic.Int64
				for i := range requests {
					wg.Go(func() {
						call("faulty", i)
						answered.Add(1)
					})
				}
				synctest.Wait()
				must.LessEq(t, limit, int64(budget.Used()))
				must.LessEq(t, limit, heapInUse()-before)
				must.Eq(t, !tc.passed, answered.Load() > 0, must.Sprint("requests that ended: ", answered.Load()))
				for i := range 50 {
					must.Eq(t, http.StatusOK, call("sound", i))
				}
				wg.Wait()
				must.Zero(t, budget.Used())
				must.SliceEmpty(t, env.crashes, must.Sprint("requests are taken for what crashes the target"))
			})
		})
	}
}

// heapInUse returns what is held on the heap.
func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
