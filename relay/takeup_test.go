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
