package gateway_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/gateway"
	"hawthornway/platform"
	"hawthornway/platform/platformtest"
)

// fleet is a fleet of hosts in this process, on a platform of stand-ins.
type fleet struct {
	t       *testing.T
	store   *platformtest.Store
	engines []*platformtest.Engine
	plain   *platformtest.Engine
	hosts   []*host
	next    atomic.Int64
}

type host struct {
	platformtest.Host
	stop   context.CancelFunc
	ended  chan struct{}
	reload chan os.Signal
	path   string
}

// evacuationTime is the time within which an evacuated zone has to be empty.
const evacuationTime = 3 * time.Second

func newFleet(t *testing.T, config platformtest.Config, hosts int) *fleet {
	t.Helper()
	return newFleetWithBrokenModel(t, config, hosts, "")
}

// newFleetWithBrokenModel returns a fleet whose engines crash when they load a model.
func newFleetWithBrokenModel(t *testing.T, config platformtest.Config, hosts int, crashLoad string) *fleet {
	t.Helper()
	f := &fleet{t: t, store: platformtest.NewStore()}
	t.Cleanup(f.store.Close)
	config.Apply(f.store)
	for i := range 3 {
		e := platformtest.NewEngine(f.store, fmt.Sprintf("i-%d", i), platformtest.EngineSpec{
			Service: platformtest.ModelService, Zone: fmt.Sprintf("zone-%d", i), Models: config.Models[2*i : 2*i+2],
			Capacity: 3, LoadTime: 150 * time.Millisecond, Events: 10, Gap: 5 * time.Millisecond, CrashPart: crashPart, CrashBody: crashBody, CrashLoad: crashLoad, RestartTime: 200 * time.Millisecond,
		})
		t.Cleanup(e.Close)
		f.engines = append(f.engines, e)
	}
	f.plain = f.addPlain("i-plain")
	for i := range hosts {
		f.start(fmt.Sprintf("host-%d", i), true)
	}
	return f
}

// addPlain starts a target of the plain service.
func (f *fleet) addPlain(id string) *platformtest.Engine {
	e := platformtest.NewEngine(f.store, id, platformtest.EngineSpec{
		Service: platformtest.PlainService, Zone: "zone-0", CrashBody: crashBody, RestartTime: 200 * time.Millisecond,
	})
	f.t.Cleanup(e.Close)
	return e
}

func (f *fleet) start(name string, firstStart bool) *host {
	f.t.Helper()
	h := f.launch(name, firstStart)
	f.hosts = append(f.hosts, h)
	f.waitUntil("ready", func() bool { return h.ready() })
	return h
}

// launch starts a host without waiting until it is ready.
func (f *fleet) launch(name string, firstStart bool, opts ...gateway.Option) *host {
	f.t.Helper()
	h := &host{Host: platformtest.NewHost(name, "zone-0"), ended: make(chan struct{}), reload: make(chan os.Signal, 1)}
	h.Regions, h.EvacuationTime = map[string]string{"zone-0": "west", "zone-1": "west", "zone-2": "east"}, evacuationTime
	h.path = filepath.Join(f.t.TempDir(), name+".toml")
	must.NoError(f.t, h.WriteSettings(h.path, f.store.Address(), firstStart))
	load := func() (platform.Settings, error) { return platform.LoadSettings(h.path) }
	settings, err := load()
	must.NoError(f.t, err)
	opts = append([]gateway.Option{gateway.WithLogger(slog.New(slog.DiscardHandler)), gateway.WithReload(h.reload, load)}, opts...)
	g, err := gateway.New(settings, opts...)
	must.NoError(f.t, err)
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	go func() {
		defer close(h.ended)
		_ = g.Run(ctx) // tests see whether the host serves
	}()
	f.t.Cleanup(func() {
		stop()
		<-h.ended
	})
	return h
}

func (h *host) ready() bool {
	resp, err := http.Get("http://" + h.Readiness + "/-/readiness")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) waitUntil(what string, condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(15 * time.Second)
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out waiting for %s", what)
		}
		<-ticker.C
	}
}

type reply struct {
	id     string
	status int
	body   string
	err    error
	header http.Header
}

// crashPart is the part of prompts under which the engines crash.
const crashPart = "dead"

// crashBody is the body under which the targets crash.
const crashBody = "crash"

// call sends one request to a host. Model is empty for the plain service.
func (f *fleet) call(h *host, key, model string) reply {
	return f.send(h, platformtest.Call{Key: key, Model: model})
}

// send sends a request to a host, with an ID of its own.
func (f *fleet) send(h *host, call platformtest.Call) reply {
	return f.sendWith(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, h, call)
}

// sendWith sends a request with a client, which may keep its connection.
func (f *fleet) sendWith(client *http.Client, h *host, call platformtest.Call) reply {
	return f.sendAnd(client, h, call, func() {})
}

// sendAnd sends a request, and calls a function once the response has begun.
func (f *fleet) sendAnd(client *http.Client, h *host, call platformtest.Call, begun func()) reply {
	id := fmt.Sprintf("r%d", f.next.Add(1))
	call.ID, call.Timeout = id, cmp.Or(call.Timeout, 8*time.Second)
	req, err := call.NewRequest(h.Callers)
	must.NoError(f.t, err)
	resp, err := client.Do(req)
	if err != nil {
		return reply{id: id, err: err}
	}
	defer resp.Body.Close()
	first := make([]byte, 1)
	if n, err := io.ReadFull(resp.Body, first); err != nil {
		return reply{id, resp.StatusCode, string(first[:n]), err, resp.Header}
	}
	begun()
	rest, err := io.ReadAll(resp.Body)
	return reply{id, resp.StatusCode, string(first) + string(rest), err, resp.Header}
}

func models(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprintf("m%d", i))
	}
	return names
}

func config(version int) platformtest.Config {
	return platformtest.Config{Version: version, Models: models(12), Keys: []string{"secret"}, Resumable: true}
}

// checkOrders checks that no engine was ordered to exceed its capacity, and
// that its orders came from one coordinator at a time with increasing fencing
// tokens.
func (f *fleet) checkOrders() {
	f.t.Helper()
	const handover = time.Second
	for _, e := range f.engines {
		orders, overloaded := e.Orders()
		must.Eq(f.t, 0, overloaded)
		for i := 1; i < len(orders); i++ {
			before, after := orders[i-1], orders[i]
			must.GreaterEq(f.t, before.Fence, after.Fence)
			if before.Holder != after.Holder {
				must.GreaterEq(f.t, handover, after.At.Sub(before.At))
			}
		}
	}
}

func fullStream(id string) string {
	var b strings.Builder
	for i := 1; i <= 10; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d of %s\n\n", i, i, id)
	}
	return b.String()
}

func TestServesModelsAndPlainServices(t *testing.T) {
	t.Parallel()
	f := newFleet(t, config(1), 3)
	for _, h := range f.hosts {
		for _, model := range append(models(12), "m0/a1", "m7/a2") {
			got := f.call(h, "secret", model)
			must.NoError(t, got.err)
			must.Eq(t, http.StatusOK, got.status, must.Sprintf("model %s: %s", model, got.body))
			must.Eq(t, fullStream(got.id), got.body)
		}
		got := f.call(h, "secret", "")
		must.Eq(t, "answer to "+got.id, got.body)
		must.Eq(t, platformtest.Tenant, f.plain.Tenant(got.id))
		must.Eq(t, http.StatusUnauthorized, f.call(h, "other", "m0").status)
	}
	f.checkOrders()
}

func TestConfigurationsReachAllHosts(t *testing.T) {
	t.Parallel()
	f := newFleet(t, config(1), 3)
	changed := config(4)
	changed.Keys = []string{"fresh"}
	changed.Apply(f.store)
	for _, h := range f.hosts {
		f.waitUntil("the new key", func() bool { return f.call(h, "fresh", "").status == http.StatusOK })
		must.Eq(t, http.StatusUnauthorized, f.call(h, "secret", "").status)
	}
}

// While the store is down, keys can't be confirmed. Once they are too old,
// requests are refused as not run.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	f := newFleet(t, config(1), 2)
	f.store.SetDown(true)
	must.Eq(t, http.StatusOK, f.call(f.hosts[0], "secret", "").status)
	for _, h := range f.hosts {
		f.waitUntil("keys to expire", func() bool { return f.call(h, "secret", "").status == http.StatusServiceUnavailable })
		must.False(t, h.ready())
	}
	f.store.SetDown(false)
	for _, h := range f.hosts {
		f.waitUntil("service after the outage", func() bool { return f.call(h, "secret", "m0").status == http.StatusOK })
	}
	f.checkOrders()
}

// The coordinator shuts down gracefully. Another host takes over and loads
// models.
func TestCoordinatorHandover(t *testing.T) {
	t.Parallel()
	f := newFleet(t, config(1), 3)
	must.Eq(t, http.StatusOK, f.call(f.hosts[0], "secret", "m7").status)
	coordinator := f.lastOrderHost()
	for _, h := range f.hosts {
		if h.Name == coordinator {
			h.stop()
		}
	}
	for _, h := range f.hosts {
		if h.Name != coordinator {
			f.waitUntil("loads by another coordinator", func() bool {
				return f.call(h, "secret", "m0").status == http.StatusOK && f.call(h, "secret", "m6").status == http.StatusOK
			})
		}
	}
	f.checkOrders()
}

// lastOrderHost returns the host that gave the last order.
func (f *fleet) lastOrderHost() string {
	var last platformtest.AcceptedOrder
	for _, e := range f.engines {
		orders, _ := e.Orders()
		for _, o := range orders {
			if o.At.After(last.At) {
				last = o
			}
		}
	}
	return last.Holder
}

// Streams on an engine that crashes continue at another engine.
func TestEngineCrash(t *testing.T) {
	t.Parallel()
	f := newFleet(t, config(1), 1)
	replies := make([]reply, 6)
	crash := time.AfterFunc(20*time.Millisecond, f.engines[0].Crash)
	defer crash.Stop()
	for i := range 6 {
		replies[i] = f.call(f.hosts[0], "secret", "m0")
	}
	for _, got := range replies {
		must.NoError(t, got.err)
		must.Eq(t, http.StatusOK, got.status)
		must.Eq(t, fullStream(got.id), got.body)
	}
}

// During a graceful shutdown, requests in progress complete and the host
// reports that it is not ready.
func TestGracefulStop(t *testing.T) {
	t.Parallel()
	f := newFleet(t, config(1), 1)
	h := f.hosts[0]
	done := make(chan reply, 1)
	go func() { done <- f.call(h, "secret", "m0") }()
	h.stop()
	f.waitUntil("unready", func() bool { return !h.ready() })
	got := <-done
	must.NoError(t, got.err)
	must.Eq(t, fullStream(got.id), got.body)
}

// If the settings can't be read, the previous ones stay in force.
func TestReload(t *testing.T) {
	t.Parallel()
	f := newFleet(t, config(1), 1)
	h := f.hosts[0]
	must.NoError(t, os.WriteFile(h.path, []byte("="), 0o600))
	h.reload <- os.Interrupt
	h.reload <- os.Interrupt // received after the first reload
	must.Eq(t, http.StatusOK, f.call(h, "secret", "").status)
	must.True(t, h.ready())
}
