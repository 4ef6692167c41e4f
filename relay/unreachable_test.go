package relay_test

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/catalog"
	"hawthornway/exchange"
	"hawthornway/relay"
	"hawthornway/roster"
)

// An engine's machine is dark: connection attempts time out. The placer must learn that
// the target is unreachable, or every request waits for the same timeout again. An
// attempt that ends because the caller left says nothing about the target.
func TestDarkTargetIsReportedAsUnreachable(t *testing.T) {
	cases := []struct {
		name       string
		callerLeft bool
		want       string
	}{
		{"connection times out", false, "relay.Failed"},
		{"caller leaves meanwhile", true, "relay.Abandoned"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			dial := func(ctx context.Context, address string) (net.Conn, error) {
				if tc.callerLeft {
					leave()
					<-ctx.Done()
				}
				return (&net.Dialer{Timeout: time.Nanosecond}).DialContext(ctx, "tcp", address)
			}
			p := &placer{targets: []roster.Target{{ID: "dark", Address: "127.0.0.1:1"}}}
			current := catalog.New(catalog.Content{Routes: []catalog.Route{{
				Name: "route", Host: "a.example", Prefix: "/x/", Delivery: catalog.Idempotent{}, MaxTargets: 1,
				Pools: []catalog.WeightedPool{{Pool: "p", Weight: 1}},
			}}})
			handler := relay.New(
				relay.WithDialect(dialect{}),
				relay.WithCatalog(func() *catalog.Catalog { return current }),
				relay.WithLimiter(&limiter{}),
				relay.WithPlacer(p),
				relay.WithProber(prober{relay.Busy{}}),
				relay.WithClient(exchange.New(exchange.WithDial(dial))),
				relay.WithLogger(slog.New(slog.DiscardHandler)),
			)
			request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/x/1", nil)
			request.Host = "a.example"
			handler.ServeHTTP(httptest.NewRecorder(), request)
			must.Positive(t, len(p.results))
			must.Eq(t, tc.want, p.results[0])
		})
	}
}
