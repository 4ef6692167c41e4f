package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/catalog"
	"hawthornway/outcome"
	"hawthornway/relay"
)

// Checks the response and the number of runs for each way in which a target can
// handle a request, with and without permission to repeat it.
func TestRetriesByDelivery(t *testing.T) {
	atMostOnce, idempotent := catalog.AtMostOnce{}, catalog.Idempotent{}
	cases := []struct {
		name     string
		delivery catalog.Delivery
		first    behaviour
		second   behaviour
		status   int
		runs     int // at both targets
	}{
		{"completed", atMostOnce, signed(200, "yes"), nil, 200, 1},
		{"refused, then completed", atMostOnce, refuse, signed(200, "yes"), 200, 2},
		{"cut, may not be repeated", atMostOnce, cut, signed(200, "yes"), 502, 1},
		{"cut, may be repeated", idempotent, cut, signed(200, "yes"), 200, 2},
		{"failed, may not be repeated", atMostOnce, signed(500, "no"), signed(200, "yes"), 500, 1},
		{"failed, may be repeated", idempotent, signed(500, "no"), signed(200, "yes"), 200, 2},
		{"failed twice", idempotent, signed(500, "no"), signed(500, "no"), 500, 2},
		{"unsigned, may not be repeated", atMostOnce, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(200) }, signed(200, "yes"), 502, 1},
		{"unsigned, may be repeated", idempotent, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(200) }, signed(200, "yes"), 200, 2},
		{"client error is passed on", idempotent, signed(404, "no such part"), signed(200, "yes"), 404, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var env *testEnv
			counted := func(b behaviour) behaviour {
				return func(rw http.ResponseWriter, r *http.Request) {
					env.countRun()
					b(rw, r)
				}
			}
			behaviours := []behaviour{counted(tc.first)}
			if tc.second != nil {
				behaviours = append(behaviours, counted(tc.second))
			}
			env = newTestEnv(t, tc.delivery, relay.Busy{}, behaviours...)
			got := env.call()
			must.NoError(t, got.err)
			must.Eq(t, tc.status, got.status)
			must.Eq(t, tc.runs, env.runs)
			if tc.status == http.StatusOK {
				must.Eq(t, "yes", got.body)
			}
		})
	}
}

// If all targets refuse a request, the caller learns that it was not run and
// when to try again, and its tokens are refunded.
func TestRefusedByAllTargets(t *testing.T) {
	env := newTestEnv(t, catalog.AtMostOnce{}, relay.Busy{}, refuse)
	got := env.call()
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	must.NotEq(t, "", got.header.Get("Retry-After"))
	must.Eq(t, 0, env.limiter.spent)
	_, isNotRun := env.summaries[0].Outcome.(outcome.NotRun)
	must.True(t, isNotRun)
}

// Once a target may have run a request, the response must not say that it was
// not run.
func TestPossibleRunIsNeverReportedAsNotRun(t *testing.T) {
	for _, delivery := range []catalog.Delivery{catalog.AtMostOnce{}, catalog.Idempotent{}} {
		env := newTestEnv(t, delivery, relay.Busy{}, cut, refuse)
		got := env.call()
		must.Eq(t, http.StatusBadGateway, got.status)
		must.Positive(t, env.limiter.spent)
	}
}

func TestStreamIsForwarded(t *testing.T) {
	env := newTestEnv(t, catalog.Stream{}, relay.Busy{}, events(5, nil))
	got := env.call()
	must.NoError(t, got.err)
	must.Eq(t, http.StatusOK, got.status)
	must.Eq(t, pieces(5), got.body)
}

func pieces(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

// A target fails in the middle of a stream. A resumable stream continues at
// another target without lost or repeated events; for any other stream, the
// caller sees the connection break.
func TestInterruptedStreams(t *testing.T) {
	interrupted := func() behaviour {
		return func(w http.ResponseWriter, r *http.Request) {
			events(3, func() {
				_, _ = w.Write([]byte("id: 4\ndata: pie")) // in the middle of an event
				_ = http.NewResponseController(w).Flush()
				abort()
			})(w, r)
		}
	}
	t.Run("resumable", func(t *testing.T) {
		env := newTestEnv(t, catalog.Stream{Resumable: true}, relay.Busy{}, interrupted(), events(5, nil))
		got := env.call()
		must.NoError(t, got.err)
		must.Eq(t, pieces(5), got.body)
		must.Eq(t, 1, env.summaries[0].Resumed)
	})
	t.Run("resumable, second target starts too early", func(t *testing.T) {
		resumeTooEarly := func(rw http.ResponseWriter, r *http.Request) {
			r.Header.Set("After", "1")
			events(5, nil)(rw, r)
		}
		env := newTestEnv(t, catalog.Stream{Resumable: true}, relay.Busy{}, interrupted(), resumeTooEarly)
		must.Eq(t, pieces(5), env.call().body)
	})
	t.Run("not resumable", func(t *testing.T) {
		env := newTestEnv(t, catalog.Stream{}, relay.Busy{}, interrupted(), events(5, nil))
		got := env.call()
		must.Error(t, got.err)
		must.Eq(t, pieces(3), got.body)
	})
	t.Run("no other target", func(t *testing.T) {
		env := newTestEnv(t, catalog.Stream{Resumable: true}, relay.Busy{}, interrupted())
		got := env.call()
		must.Error(t, got.err)
		must.Eq(t, pieces(3), got.body)
	})
}

// A target goes silent. A repeatable request moves to another target once a
// probe finds the first one dead or idle. Any other request stays, since from
// silence alone nobody can tell whether it ran.
func TestSilentTargets(t *testing.T) {
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	t.Run("dead, may be repeated", func(t *testing.T) {
		env := newTestEnv(t, catalog.Idempotent{}, relay.Dead{}, silent, signed(200, "yes"))
		must.Eq(t, "yes", env.call().body)
	})
	t.Run("idle, may be repeated", func(t *testing.T) {
		env := newTestEnv(t, catalog.Idempotent{}, relay.Idle{}, silent, signed(200, "yes"))
		must.Eq(t, "yes", env.call().body)
	})
	t.Run("idle, sends comments and old events now and then", func(t *testing.T) {
		stalled := events(2, nil)
		env := newTestEnv(t, catalog.Stream{Resumable: true, MaxGap: 20 * time.Millisecond}, relay.Idle{}, func(w http.ResponseWriter, r *http.Request) {
			stalled(w, r)
			ticker := time.NewTicker(50 * time.Millisecond)
			defer ticker.Stop()
			for {
				select {
				case <-r.Context().Done():
					return
				case <-ticker.C:
				}
				_, _ = io.WriteString(w, ": still here\n\nid: 2\ndata: piece 2\n\n")
				_ = http.NewResponseController(w).Flush()
			}
		}, events(4, nil))
		got := env.call()
		must.NoError(t, got.err)
		must.StrContains(t, got.body, "id: 4\ndata: piece 4\n\n")
		must.Eq(t, 1, env.summaries[0].Resumed)
	})
	t.Run("dead, may not be repeated", func(t *testing.T) {
		env := newTestEnv(t, catalog.AtMostOnce{}, relay.Dead{}, silent, signed(200, "yes"))
		got := env.call(func(r *http.Request) { r.Header.Set("Timeout", "1s") })
		must.Eq(t, http.StatusGatewayTimeout, got.status)
	})
}

func TestRejectedRequests(t *testing.T) {
	cases := []struct {
		name       string
		change     func(*http.Request, *testEnv)
		status     int
		retryAfter bool // whether the response has a Retry-After header
	}{
		{"unknown route", func(r *http.Request, _ *testEnv) { r.Host = "b.example" }, 404, false},
		{"no key", func(r *http.Request, _ *testEnv) { r.Header.Del("Key") }, 401, false},
		{"unknown key", func(r *http.Request, _ *testEnv) { r.Header.Set("Key", "other") }, 401, false},
		{"no configuration yet", func(_ *http.Request, env *testEnv) { env.catalog = nil }, 503, true},
		{"keys not confirmed", func(_ *http.Request, env *testEnv) { env.keysConfirmed = false }, 503, true},
		{"over its limit", func(_ *http.Request, env *testEnv) {
			env.limiter.refusal = &outcome.NotRun{Reason: outcome.ReasonRate, RetryAfter: time.Second}
		}, 429, true},
		{"invalid timeout", func(r *http.Request, _ *testEnv) { r.Header.Set("Timeout", "x") }, 400, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var env *testEnv
			env = newTestEnv(t, catalog.Idempotent{}, relay.Busy{}, func(http.ResponseWriter, *http.Request) { env.countRun() })
			got := env.call(func(r *http.Request) { tc.change(r, env) })
			must.Eq(t, tc.status, got.status)
			must.Eq(t, tc.retryAfter, got.header.Get("Retry-After") != "")
			must.Eq(t, 0, env.runs)
		})
	}
}

func TestBodyTooLarge(t *testing.T) {
	env := newTestEnv(t, catalog.Idempotent{}, relay.Busy{}, signed(200, "yes"))
	got := env.call(func(r *http.Request) {
		r.Body = http.NoBody
		r.Body = struct {
			*strings.Reader
			closer
		}{strings.NewReader(strings.Repeat("x", 2<<20)), closer{}}
		r.ContentLength = 2 << 20
	})
	if got.err == nil {
		must.Eq(t, http.StatusRequestEntityTooLarge, got.status)
	}
}

type closer struct{}

func (closer) Close() error { return nil }

// The target receives the request as the caller sent it, with the team in place
// of the key.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	seen := make(chan *http.Request, 1)
	env := newTestEnv(t, catalog.AtMostOnce{}, relay.Busy{}, func(rw http.ResponseWriter, r *http.Request) {
		seen <- r
		signed(200, "yes")(rw, r)
	})
	got := env.call(func(r *http.Request) { r.Header.Set("Other", "kept") })
	must.Eq(t, http.StatusOK, got.status)
	r := <-seen
	must.Eq(t, "/x/1?q=%2F", r.RequestURI)
	must.Eq(t, "a.example", r.Host)
	must.Eq(t, "one", r.Header.Get("Team"))
	must.Eq(t, "", r.Header.Get("Key"))
	must.Eq(t, "kept", r.Header.Get("Other"))
	must.Eq(t, "s", got.header.Get("Seal"))
}

// If the caller disconnects, the target's work is cancelled and no other target
// gets the request.
func TestCallerDisconnect(t *testing.T) {
	started, stopped := make(chan struct{}), make(chan struct{})
	var env *testEnv
	env = newTestEnv(t, catalog.Idempotent{}, relay.Busy{}, func(_ http.ResponseWriter, r *http.Request) {
		env.countRun()
		close(started)
		<-r.Context().Done()
		close(stopped)
	}, signed(200, "yes"))
	go func() {
		<-started
		env.server.CloseClientConnections()
	}()
	must.Error(t, env.call().err)
	<-stopped
	must.Eq(t, 1, env.runs)
}
