package service

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"hawthornway/call"
	"hawthornway/config"
	"hawthornway/outcome"
	"hawthornway/retry"
	"hawthornway/target"
)

// fakePlacer returns the addresses one after the other.
type fakePlacer struct{ addresses []string }

func (p fakePlacer) Place(_ context.Context, _ *call.Call, _ *call.Service, tried []target.ID) (Placement, *outcome.NotRun) {
	if len(tried) >= len(p.addresses) {
		return Placement{}, &outcome.NotRun{Reason: outcome.ReasonNoTarget}
	}
	return Placement{
		Target:  target.ID(fmt.Sprint("service-", len(tried))),
		Address: p.addresses[len(tried)],
		Done:    func(retry.Result) {},
	}, nil
}

func newCall(idempotent bool, key string) (*call.Call, *httptest.ResponseRecorder) {
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "/bookings/new?seat=4%2F5", nil)
	request.Header.Set("Authorization", "Bearer hw_secret")
	request.Header.Set("Cookie", "session=hw_secret")
	request.Header.Set("X-Escort", "two")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	return &call.Call{
		ID: "r1", Writer: call.NewWriter(recorder), Request: request, Body: []byte("child=1"),
		Deadline: time.Now().Add(5 * time.Second),
		Subject:  &call.Service{Route: config.Route{Name: "bookings", Idempotent: idempotent}, IdempotencyKey: key},
	}, recorder
}

func forward(f Forwarder, c *call.Call) outcome.Outcome {
	return f.Forward(context.Background(), c)
}

func newTestForwarder(addresses ...string) *forwarder {
	clock := clockwork.NewRealClock()
	return NewForwarder(fakePlacer{addresses}, retry.NewBudget(clock), clock).(*forwarder)
}

// countingService is a plain service that counts the requests that it runs.
type countingService struct {
	*httptest.Server
	runs atomic.Int32
}

func newService(t *testing.T, serve func(run int32, w http.ResponseWriter, r *http.Request)) *countingService {
	s := &countingService{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		serve(s.runs.Add(1), w, r)
	}))
	t.Cleanup(s.Close)
	return s
}

func (s *countingService) address() string { return s.Listener.Addr().String() }

func respond(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Booking", "7")
	w.WriteHeader(http.StatusCreated)
	_, _ = w.Write([]byte("booked"))
}

const unreachableAddress = "127.0.0.1:1" // nothing listens there

func TestCallsRunAtMostOnceUnlessIdempotent(t *testing.T) {
	closeConn := func(w http.ResponseWriter, _ *http.Request) {
		conn, _, _ := w.(http.Hijacker).Hijack()
		_ = conn.Close()
	}
	cutHead := func(w http.ResponseWriter, _ *http.Request) {
		conn, buffer, _ := w.(http.Hijacker).Hijack()
		_, _ = buffer.WriteString("HTTP/1.1 201 Created\r\nX-Request-Id: r1\r\nContent-Le")
		_ = buffer.Flush()
		_ = conn.Close()
	}
	truncate := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("half"))
	}
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Hawthornway-Not-Run", "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	respondToOther := func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Request-Id", "another") }
	cases := []struct {
		name       string
		first      http.HandlerFunc
		idempotent bool
		want       outcome.Outcome
		runs       int32
	}{
		{"response complete", respond, false, outcome.Served{}, 1},
		{"connection closed, not idempotent", closeConn, false, outcome.Unknown{}, 1},
		{"connection closed, idempotent", closeConn, true, outcome.Served{}, 2},
		{"head of the response cut off, not idempotent", cutHead, false, outcome.Unknown{}, 1},
		{"head of the response cut off, idempotent", cutHead, true, outcome.Served{}, 2},
		{"response truncated, not idempotent", truncate, false, outcome.Unknown{}, 1},
		{"response truncated, idempotent", truncate, true, outcome.Served{}, 2},
		{"refused as not run", refuse, false, outcome.Served{}, 2},
		{"response of another request, not idempotent", respondToOther, false, outcome.Unknown{}, 1},
		{"response of another request, idempotent", respondToOther, true, outcome.Served{}, 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newService(t, func(run int32, w http.ResponseWriter, r *http.Request) {
				if run == 1 {
					tc.first(w, r)
					return
				}
				respond(w, r)
			})
			c, recorder := newCall(tc.idempotent, "key-1")
			result := forward(newTestForwarder(s.address(), s.address()), c)
			must.EqOp(t, tc.want.Header(), result.Header())
			must.EqOp(t, tc.runs, s.runs.Load())
			if tc.want.Header() == "served" {
				must.EqOp(t, http.StatusCreated, recorder.Code)
				must.EqOp(t, "booked", recorder.Body.String())
				must.EqOp(t, "7", recorder.Header().Get("X-Booking"))
			}
		})
	}
}

// Guards against a call that may have run being called not run, because the attempt after that one
// wasn't sent and no target was left (REFUSED).
func TestLaterRefusalDoesNotHideARun(t *testing.T) {
	s := newService(t, func(_ int32, w http.ResponseWriter, _ *http.Request) {
		conn, _, _ := w.(http.Hijacker).Hijack()
		_ = conn.Close()
	})
	c, _ := newCall(true, "key-1")
	result := forward(newTestForwarder(s.address(), unreachableAddress), c)
	must.EqOp(t, outcome.Unknown{}.Header(), result.Header())
	must.EqOp(t, 1, s.runs.Load())
}

func TestUnreachableServiceIsNotRun(t *testing.T) {
	c, _ := newCall(false, "")
	result := forward(newTestForwarder(unreachableAddress), c)
	must.EqOp(t, "not-run", result.Header())
	s := newService(t, func(_ int32, w http.ResponseWriter, r *http.Request) { respond(w, r) })
	c, _ = newCall(false, "")
	must.EqOp(t, "served", forward(newTestForwarder(unreachableAddress, s.address()), c).Header())
	must.EqOp(t, 1, s.runs.Load())
}

func TestServiceReceivesWholeCallWithoutKey(t *testing.T) {
	s := newService(t, func(_ int32, w http.ResponseWriter, r *http.Request) {
		must.EqOp(t, "/bookings/new?seat=4%2F5", r.URL.RequestURI())
		must.EqOp(t, "two", r.Header.Get("X-Escort"))
		for name, values := range r.Header {
			must.StrNotContains(t, strings.Join(values, " "), "hw_secret", must.Sprint(name))
		}
		respond(w, r)
	})
	c, _ := newCall(false, "")
	must.EqOp(t, "served", forward(newTestForwarder(s.address()), c).Header())
}

// TestMutationPooledConnections shows why calls that may run only once each use
// a new connection: when a reused connection breaks, net/http resends a request
// that has an Idempotency-Key by itself.
func TestMutationPooledConnections(t *testing.T) {
	runs := func(mutate func(*forwarder)) int32 {
		s := newService(t, func(run int32, w http.ResponseWriter, r *http.Request) {
			if run == 2 { // the second call, on the first call's connection
				conn, _, _ := w.(http.Hijacker).Hijack()
				_ = conn.Close()
				return
			}
			respond(w, r)
		})
		f := newTestForwarder(s.address())
		mutate(f)
		first, _ := newCall(false, "key-1")
		must.EqOp(t, "served", forward(f, first).Header())
		second, _ := newCall(false, "key-2")
		forward(f, second)
		return s.runs.Load() - 1
	}
	withPooling := func(f *forwarder) {
		f.unpooled = f.pooled
		f.rewindable = true
	}
	// A connection is not always back in the pool before the second call.
	const tries = 200
	twice := false
	for range tries {
		must.EqOp(t, 1, runs(func(*forwarder) {}))
		if twice = runs(withPooling) == 2; twice {
			break
		}
	}
	must.True(t, twice)
}
