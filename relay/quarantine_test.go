package relay_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/catalog"
	"hawthornway/outcome"
	"hawthornway/quarantine"
	"hawthornway/relay"
)

func withParts(r *http.Request) { r.Header.Set("Parts", "y x") }

// Only a target that breaks off at the beginning of a response may have crashed because
// of the request. Only a response whose end is marked shows that it didn't.
func TestEvidenceOfCrashes(t *testing.T) {
	head := func(end func()) behaviour {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Seal", "s")
			_ = http.NewResponseController(w).Flush()
			end()
		}
	}
	untilClosed := func(body string) behaviour {
		return func(w http.ResponseWriter, r *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				panic(err)
			}
			defer conn.Close()
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nSeal: s\r\nId: " + r.Header.Get("Id") + "\r\n\r\n" + body))
		}
	}
	stream := catalog.Stream{MaxGap: 100 * time.Millisecond}
	cases := []struct {
		name           string
		delivery       catalog.Delivery
		target         behaviour
		crashes, sound bool
	}{
		{"after the head", stream, head(abort), true, false},
		{"after an event", stream, events(1, abort), true, false},
		{"far into the stream", stream, events(20, abort), false, false},
		{"within a body", catalog.AtMostOnce{}, head(abort), true, false},
		{"before the head", stream, cut, false, false},
		{"refused", stream, refuse, false, false},
		{"complete stream", stream, events(3, nil), false, true},
		{"complete body", catalog.AtMostOnce{}, signed(200, "body"), false, true},
		{"failure of the request", catalog.AtMostOnce{}, signed(400, "body"), false, false},
		{"stream that ends with its connection", stream, untilClosed("id: 1\ndata: a\n\n"), false, false},
		{"stream that ends with its connection within an event", stream, untilClosed("id: 1\ndata: a\n\nid: 2\nda"), true, false},
		{"body that ends with its connection", catalog.AtMostOnce{}, untilClosed("body"), false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			env := newTestEnv(t, tc.delivery, relay.Busy{}, tc.target)
			env.call(withParts)
			env.server.Close() // waits for the handler
			must.Eq(t, tc.crashes, len(env.crashes) > 0)
			must.Eq(t, tc.sound, len(env.sound) > 0)
			if tc.crashes {
				must.Eq(t, quarantine.Crash{Target: "t0", Request: "id-1", Suspects: []quarantine.Suspect{"y", "x"}}, env.crashes[0])
			}
		})
	}
}

// A silent target that this host gives up on hasn't crashed.
func TestSilentTargetIsNoCrash(t *testing.T) {
	env := newTestEnv(t, catalog.Stream{Resumable: true, MaxGap: time.Millisecond}, relay.Dead{}, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Seal", "s")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}, events(3, nil))
	must.Eq(t, 200, env.call(withParts).status)
	env.server.Close()
	must.SliceEmpty(t, env.crashes)
}

// Requests with a quarantined part are refused at once, whether they arrive later or have
// failed a target before.
func TestQuarantinedRequestsAreRefused(t *testing.T) {
	cases := []struct {
		name    string
		before  bool
		status  int
		outcome outcome.Outcome
		runs    int
	}{
		{"on arrival", true, http.StatusServiceUnavailable, outcome.NotRun{}, 0},
		{"before it is sent again", false, http.StatusBadGateway, outcome.Unknown{}, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var env *testEnv
			env = newTestEnv(t, catalog.Idempotent{}, relay.Busy{}, func(w http.ResponseWriter, r *http.Request) {
				env.countRun()
				env.mu.Lock()
				env.quarantined = "x"
				env.mu.Unlock()
				cut(w, r)
			}, func(w http.ResponseWriter, r *http.Request) {
				env.countRun()
				signed(200, "body")(w, r)
			})
			if tc.before {
				env.quarantined = "x"
			}
			got := env.call(withParts)
			must.Eq(t, tc.status, got.status)
			env.server.Close()
			must.Eq(t, tc.runs, env.runs)
			must.Eq(t, tc.outcome.Header(), env.summaries[0].Outcome.Header())
			must.Eq(t, "", got.header.Get("Retry-After"))
		})
	}
}
