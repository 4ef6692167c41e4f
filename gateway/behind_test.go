package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/boottime"
	"hawthornway/catalog"
	"hawthornway/fleet"
	"hawthornway/platform"
	"hawthornway/platform/platformtest"
	"hawthornway/roster"
	"hawthornway/team"
)

// bubbleClock is the boot clock of a synctest bubble.
type bubbleClock struct{}

func (bubbleClock) Now() boottime.Instant {
	return boottime.Instant(time.Now().UnixNano())
}

// pipeTarget serves connections in memory.
type pipeTarget struct{ accepted chan net.Conn }

func (p pipeTarget) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case p.accepted <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (p pipeTarget) Accept() (net.Conn, error) {
	if conn, ok := <-p.accepted; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}

// Close implements net.Listener.
func (p pipeTarget) Close() error {
	close(p.accepted)
	return nil
}

// Addr implements net.Listener.
func (p pipeTarget) Addr() net.Addr { return &net.TCPAddr{} }

// newHostInMemory returns a host with one target of the pool "service", which serves every
// request. The host's own loops don't run.
func newHostInMemory(t *testing.T) *gateway {
	h := platformtest.Host{Name: "host-0", Zone: "zone-0", Callers: "10.0.0.1:1", Readiness: "10.0.0.1:2", Peers: "10.0.0.1:3"}
	path := filepath.Join(t.TempDir(), "settings.toml")
	must.NoError(t, h.WriteSettings(path, "10.0.0.2:1", true))
	settings, err := platform.LoadSettings(path)
	must.NoError(t, err)
	link := pipeTarget{make(chan net.Conn)}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Server-Seal", "seal")
	})}
	go func() { _ = server.Serve(link) }()
	g := newGateway(settings, WithTargetDial(link.dial), WithLogger(slog.New(slog.DiscardHandler)), withBootClock(bubbleClock{}))
	g.buildComponents(fleet.Member{Host: settings.Host, Domain: settings.Domain})
	t.Cleanup(func() {
		g.targetClient.Close()
		_ = server.Close()
		must.NoError(t, g.metrics.Close())
	})
	g.Listed([]roster.Target{{ID: "i-0", Pool: "service", Address: "10.0.0.3:1", Domain: settings.Domain}}, 1)
	return g
}

// call returns the status of a request.
func (g *gateway) call(path, key string) int {
	request := httptest.NewRequest(http.MethodPost, path, nil)
	request.Host = "a.example"
	request.Header.Set("X-Attempt-Id", "1")
	request.Header.Set("X-Key", key)
	response := httptest.NewRecorder()
	g.relay.ServeHTTP(response, request)
	return response.Code
}

func (g *gateway) readiness() int {
	response := httptest.NewRecorder()
	g.serveReadiness(response, httptest.NewRequest(http.MethodGet, "/", nil))
	return response.Code
}

func newTestCatalog(version catalog.Version, keys ...catalog.Key) *catalog.Catalog {
	content := catalog.Content{Version: version, Pools: []catalog.Pool{{Name: "service"}}}
	for _, r := range []catalog.Route{{Name: "open", Prefix: "/open/", Open: true}, {Name: "keyed", Prefix: "/keyed/"}} {
		r.Host, r.Delivery, r.MaxTargets, r.Pools = "a.example", catalog.Idempotent{}, 1, []catalog.WeightedPool{{Pool: "service", Weight: 1}}
		content.Routes = append(content.Routes, r)
	}
	content.Teams = []catalog.Team{{ID: team.ID("a"), Keys: keys}}
	return catalog.New(content)
}

// Guards against a host that handles requests by its own configuration although it has long
// known of a newer one, which it can't read: callers get what was changed meanwhile, or are
// told that a new route or key doesn't exist.
func TestHostBehindKnownConfigurationRefuses(t *testing.T) {
	cases := []struct {
		name, path, key string
		// ahead, within and beyond are the statuses while the host's configuration is the
		// newest, just after it was told of a newer one, and once that has to be in force.
		ahead, within, beyond int
	}{
		{"open route", "/open/1", "", 200, 200, 503},
		{"route with a key", "/keyed/1", "old", 200, 200, 503},
		{"unknown key", "/keyed/1", "new", 401, 503, 503},
		{"unknown route", "/new/1", "old", 404, 503, 503},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newHostInMemory(t)
				g.Configured(newTestCatalog(17, "old"))
				g.ConfirmCurrent(17, 1, bubbleClock{}.Now())
				must.Eq(t, tc.ahead, g.call(tc.path, tc.key))
				g.ConfirmCurrent(20, 2, bubbleClock{}.Now())
				must.Eq(t, tc.within, g.call(tc.path, tc.key))
				must.Eq(t, http.StatusOK, g.readiness())
				time.Sleep(settingsConfigDelay)
				must.Eq(t, tc.beyond, g.call(tc.path, tc.key))
				must.Eq(t, http.StatusServiceUnavailable, g.readiness())
				g.Configured(newTestCatalog(20, "old"))
				g.ConfirmCurrent(20, 2, bubbleClock{}.Now())
				must.Eq(t, tc.ahead, g.call(tc.path, tc.key))
				must.Eq(t, http.StatusOK, g.readiness())
			})
		})
	}
}

// settingsConfigDelay is the bound of platformtest's settings for a change to be in force.
const settingsConfigDelay = 2 * time.Second
