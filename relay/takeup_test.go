package relay_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/catalog"
	"hawthornway/relay"
)

// Guards against streams that are refused for want of tokens while new requests get them: a
// request that takes a stream up waits as long as its caller can.
func TestTakeUpMayWaitForTokens(t *testing.T) {
	cases := []struct {
		name     string
		last     string
		min, max time.Duration
	}{
		{"a new stream", "", 0, 0},
		{"a stream that is taken up", "3", 900 * time.Millisecond, time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			env := newTestEnv(t, catalog.Stream{Resumable: true, MaxSilence: 2 * time.Second}, relay.Busy{}, events(5, nil))
			must.Eq(t, http.StatusOK, env.call(func(r *http.Request) { r.Header.Set("Last", tc.last) }).status)
			must.Between(t, tc.min, env.limiter.maxWait, tc.max)
		})
	}
}

// Guards against streams that wait behind new ones at a target until their callers leave, with
// the part that they have.
func TestStreamsThatGoOnAreSentFirst(t *testing.T) {
	cases := []struct {
		name, last string
		// cut is the event after which the first target ends.
		cut  int
		want []string
	}{
		{"a new stream", "", 0, []string{"3"}},
		{"a stream that its caller takes up", "3", 0, []string{"0"}},
		{"a stream that breaks off at its target", "", 2, []string{"3", "0"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var sent []string
			record := func(next behaviour) behaviour {
				return func(w http.ResponseWriter, r *http.Request) {
					sent = append(sent, r.Header.Get("Priority"))
					next(w, r)
				}
			}
			first := events(5, nil)
			if tc.cut > 0 {
				first = events(tc.cut, abort)
			}
			env := newTestEnv(t, catalog.Stream{Resumable: true, MaxSilence: 2 * time.Second}, relay.Busy{}, record(first), record(events(5, nil)))
			route, _ := env.catalog.Route("a.example", "/x/1")
			route.Priority = 3
			env.catalog = catalog.New(catalog.Content{Routes: []catalog.Route{route}})
			must.Eq(t, http.StatusOK, env.call(func(r *http.Request) { r.Header.Set("Last", tc.last) }).status)
			must.Eq(t, tc.want, sent)
		})
	}
}
