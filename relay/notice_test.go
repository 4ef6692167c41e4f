package relay_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/catalog"
	"hawthornway/relay"
)

// A target says that it leaves or states a limit at the beginning of a long stream, or
// turns a request away for some time. The placer must know before the response ends.
func TestNoticesArriveWithTheHeadOfTheResponse(t *testing.T) {
	cases := []struct {
		name   string
		header http.Header
		status int
		want   []relay.Notice
	}{
		{"leaves", http.Header{"Leaving": {"1"}}, http.StatusOK, []relay.Notice{relay.Leaving{}, relay.Unlimited{}}},
		{"asks for a pause", http.Header{"Pause": {"2s"}, "Not-Run": {"1"}}, http.StatusServiceUnavailable, []relay.Notice{relay.Paused{For: 2 * time.Second}, relay.Unlimited{}}},
		{"states a limit", http.Header{"Limit": {"1.5"}}, http.StatusOK, []relay.Notice{relay.Limited{Rate: 1.5}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var env *testEnv
			noticed := make(chan relay.Notice, 10)
			env = newTestEnv(t, catalog.Stream{}, relay.Busy{}, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Seal", "s")
				for name, values := range tc.header {
					w.Header()[name] = values
				}
				w.WriteHeader(tc.status)
				_ = http.NewResponseController(w).Flush()
				for _, want := range tc.want {
					select {
					case notice := <-noticed:
						if notice != want {
							t.Errorf("notice %v, want %v", notice, want)
						}
					case <-time.After(5 * time.Second):
						t.Error("no notice before the end of the response")
					}
				}
			})
			env.placer.notice = func(notice relay.Notice) { noticed <- notice }
			env.call()
			must.Zero(t, len(noticed))
		})
	}
}
