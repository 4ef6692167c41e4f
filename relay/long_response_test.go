package relay_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"hawthornway/catalog"
	"hawthornway/outcome"
	"hawthornway/relay"
)

// A response that is too long to be held in memory is passed on as it arrives. If it
// breaks off, or never ends, the caller must not take it for complete, and no other target
// may append its own.
func TestLongResponses(t *testing.T) {
	const size = 1 << 20
	long := strings.Repeat("x", size)
	begin := func(w http.ResponseWriter) {
		w.Header().Set("Seal", "s")
		_, _ = io.WriteString(w, long)
		_ = http.NewResponseController(w).Flush()
	}
	breakOff := func(w http.ResponseWriter, _ *http.Request) {
		begin(w)
		abort()
	}
	cases := []struct {
		name     string
		delivery catalog.Delivery
		first    behaviour
		status   int
		complete bool
		outcome  outcome.Outcome
	}{
		{"complete", catalog.Idempotent{}, signed(200, long), 200, true, outcome.Served{}},
		{"breaks off", catalog.AtMostOnce{}, breakOff, 200, false, outcome.Unknown{}},
		{"breaks off, idempotent", catalog.Idempotent{}, breakOff, 200, false, outcome.Unknown{}},
		{"refused by the target, in a stream", catalog.Stream{Resumable: true}, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Seal", "s")
			w.WriteHeader(http.StatusNotFound)
			breakOff(w, r)
		}, 404, false, outcome.Unknown{}},
		{"failure", catalog.AtMostOnce{}, signed(500, long), 502, true, outcome.Unknown{}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			env := newTestEnv(t, tc.delivery, relay.Busy{}, tc.first, signed(200, "another"))
			got := env.call()
			must.Eq(t, tc.status, got.status)
			must.Eq(t, tc.complete, got.err == nil)
			must.StrNotContains(t, got.body, "another")
			if tc.complete && tc.status == http.StatusOK {
				must.Eq(t, size, len(got.body))
			}
			env.server.Close() // waits for the handler
			must.Eq(t, tc.outcome.Header(), env.summaries[0].Outcome.Header())
		})
	}
}
