package relay_test

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/catalog"
	"hawthornway/outcome"
	"hawthornway/relay"
)

// After a restart of the whole fleet, callers whose requests were cut off come back
// before their hosts have read the configuration.
func TestRequestsAfterRestartOfFleetWaitForConfiguration(t *testing.T) {
	cases := []struct {
		name string
		// knownAt is when the configuration arrives after the start of the host, and
		// sentAt when the request does. A knownAt of zero means never.
		knownAt, sentAt time.Duration
		timeout         string
		// answered is the time from the request to its end.
		answered time.Duration
		reason   outcome.Reason
	}{
		{name: "known in time", knownAt: 400 * time.Millisecond, answered: 400 * time.Millisecond, reason: outcome.ReasonNoTarget},
		{name: "known before", knownAt: time.Millisecond, sentAt: time.Second, reason: outcome.ReasonNoTarget},
		{name: "store does not answer", answered: time.Second, reason: outcome.ReasonStarting},
		{name: "store has not answered for long", sentAt: 1500 * time.Millisecond, reason: outcome.ReasonStarting},
		{name: "short request", knownAt: 400 * time.Millisecond, timeout: "600ms", answered: 300 * time.Millisecond, reason: outcome.ReasonStarting},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var current atomic.Pointer[catalog.Catalog]
				known := make(chan struct{})
				if tc.knownAt > 0 {
					time.AfterFunc(tc.knownAt, func() {
						current.Store(catalog.New(catalog.Content{Routes: []catalog.Route{{
							Name: "route", Host: "a.example", Prefix: "/x/", Delivery: catalog.Idempotent{}, MaxTargets: 1,
							Pools: []catalog.WeightedPool{{Pool: "p", Weight: 1}},
						}}}))
						close(known)
					})
				}
				env := &testEnv{}
				handler := relay.New(
					relay.WithDialect(dialect{}),
					relay.WithCatalog(current.Load),
					relay.WithCatalogKnown(known),
					relay.WithLimiter(&limiter{}),
					relay.WithPlacer(&placer{}),
					relay.WithProber(prober{relay.Busy{}}),
					relay.WithObserver(env),
					relay.WithLogger(slog.New(slog.DiscardHandler)),
				)
				time.Sleep(tc.sentAt)
				request := httptest.NewRequest(http.MethodPost, "/x/1", nil)
				request.Host = "a.example"
				if tc.timeout != "" {
					request.Header.Set("Timeout", tc.timeout)
				}
				sent := time.Now()
				handler.ServeHTTP(httptest.NewRecorder(), request)
				must.Eq(t, tc.answered, time.Since(sent))
				must.Len(t, 1, env.summaries)
				must.Eq(t, tc.reason, env.summaries[0].Outcome.(outcome.NotRun).Reason)
			})
		})
	}
}
