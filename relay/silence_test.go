package relay_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/catalog"
	"hawthornway/relay"
)

// Guards against streams that are given up and begun again elsewhere because their sound
// target fell silent for a moment: all of its streams at once would use up the retries that
// the callers of dead targets need.
func TestStreamOutlastsAMomentOfSilence(t *testing.T) {
	cases := []struct {
		name    string
		silence time.Duration
		live    relay.Liveness
		resumed int
	}{
		{"a moment", 300 * time.Millisecond, relay.Unresponsive{}, 0},
		{"more than a second", 1300 * time.Millisecond, relay.Unresponsive{}, 0},
		{"for good", 10 * time.Second, relay.Unresponsive{}, 1},
		{"dead", time.Second, relay.Dead{}, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			begin, rest := events(2, nil), events(4, nil)
			env := newTestEnv(t, catalog.Stream{Resumable: true, MaxGap: 50 * time.Millisecond}, tc.live, func(w http.ResponseWriter, r *http.Request) {
				begin(w, r)
				select {
				case <-r.Context().Done():
					return
				case <-time.After(tc.silence):
				}
				r.Header.Set("After", "2")
				rest(w, r)
			}, events(4, nil))
			got := env.call()
			must.NoError(t, got.err)
			must.StrContains(t, got.body, "id: 4\ndata: piece 4\n\n")
			env.mu.Lock()
			defer env.mu.Unlock()
			must.Eq(t, tc.resumed, env.summaries[0].Resumed)
		})
	}
}
