package standin

import (
	"bufio"
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/engine"
	"hawthornway/hostlist"
	"hawthornway/jsonhttp"
	"hawthornway/keyvalue"
	"hawthornway/model"
	"hawthornway/weightstore"
)

func startAll(t *testing.T) *Set {
	t.Helper()
	path := filepath.Join(t.TempDir(), "standins.yaml")
	must.NoError(t, os.WriteFile(path, []byte(`
key-value: {address: "127.0.0.1:0"}
hosts: {address: "127.0.0.1:0", figures: {lag: 1h}, entries: [{name: h1, domain: d1, address: "127.0.0.1:1"}]}
weights: {address: "127.0.0.1:0", figures: {rate-per-second: 9, model-bytes-per-second: 1000}}
engine-defaults: {step-time: 1ms, memory: 100}
engines:
  - {name: e1, domain: d1, address: "127.0.0.1:0"}
  - {name: e2, domain: d1, address: "127.0.0.1:0", ignores-fence: true}
services: [{name: s1, domain: d1, address: "127.0.0.1:0"}]
`), 0o600))
	settings, err := LoadSettings(path)
	must.NoError(t, err)
	must.Eq(t, 16, settings.EngineDefaults.Slots)
	must.Eq(t, 4, settings.Weights.Figures.Slots)
	standins, err := Start(t.Context(), settings)
	must.NoError(t, err)
	t.Cleanup(standins.Close)
	return standins
}

func TestEngineClientOrdersAndReports(t *testing.T) {
	standins := startAll(t)
	client := engine.NewClient(standins.Engines["e1"].Address)
	load := engine.Order{ID: "o1", Kind: engine.OrderLoad, Fence: 7, Ref: model.Ref{Name: "m", Version: "1"}, Bytes: 60}
	accepted, err := client.Order(t.Context(), load)
	must.NoError(t, err)

	report, err := client.Report(t.Context(), engine.Fresh)
	must.NoError(t, err)
	must.GreaterEq(t, accepted.Sequence, report.Sequence)
	must.Eq(t, 60, report.Used)
	must.Eq(t, load.Ref, report.Replicas[0].Ref)

	var fence *engine.FenceError
	_, err = client.Order(t.Context(), engine.Order{ID: "o2", Kind: engine.OrderFence, Fence: 6})
	must.True(t, errors.As(err, &fence))
	must.Eq(t, 7, fence.Highest)

	var memory *engine.MemoryError
	_, err = client.Order(t.Context(), engine.Order{ID: "o3", Kind: engine.OrderLoad, Fence: 7, Ref: model.Ref{Name: "n"}, Bytes: 41})
	must.True(t, errors.As(err, &memory))

	var refused *engine.RefusedError
	_, err = client.Order(t.Context(), engine.Order{ID: "o4", Kind: "x", Fence: 7})
	must.True(t, errors.As(err, &refused))

	_, err = engine.NewClient(standins.Engines["e2"].Address).Order(t.Context(), engine.Order{ID: "o5", Kind: engine.OrderFence})
	must.NoError(t, err)
	events, err := client.Events(t.Context(), 0)
	must.NoError(t, err)
	must.SliceEmpty(t, events.Events)
}

func TestEngineClientDistinguishesNotSentFromUnanswered(t *testing.T) {
	standins := startAll(t)
	e := standins.Engines["e1"]
	client := engine.NewClient(e.Address, engine.WithTimeout(time.Minute))
	e.Kill()
	// The call is given up as soon as the request is written, however long that takes.
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err == nil {
			cancel()
		}
	}})
	_, err := client.Order(ctx, engine.Order{ID: "o1", Kind: engine.OrderFence})
	must.ErrorIs(t, err, jsonhttp.ErrUnanswered)
	standins.Close()
	_, err = client.Order(t.Context(), engine.Order{ID: "o1", Kind: engine.OrderFence})
	must.ErrorIs(t, err, jsonhttp.ErrNotSent)
}

func TestEngineStreamsEachToken(t *testing.T) {
	standins := startAll(t)
	e := standins.Engines["e1"]
	client := engine.NewClient(e.Address)
	_, err := client.Order(t.Context(), engine.Order{ID: "o1", Kind: engine.OrderLoad, Ref: model.Ref{Name: "m"}, Bytes: 1})
	must.NoError(t, err)
	for {
		report, err := client.Report(t.Context(), engine.Fresh)
		must.NoError(t, err)
		if report.Replicas[0].State == engine.ReplicaReady {
			break
		}
	}
	body := `{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":1000,"ignore_eos":true,"stream":true}`
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+e.Address+"/v1/chat/completions", strings.NewReader(body))
	must.NoError(t, err)
	r.Header.Set("X-Request-Id", "r")
	resp, err := http.DefaultClient.Do(r)
	must.NoError(t, err)
	defer resp.Body.Close()
	line, err := bufio.NewReader(resp.Body).ReadString('\n')
	must.NoError(t, err)
	must.Eq(t, "id: r//0\n", line)
	must.Less(t, 1000, e.Counts().Tokens)
}

func TestHostListWeightStoreKeyValueAndServiceServe(t *testing.T) {
	standins := startAll(t)
	list, err := hostlist.NewClient(standins.HostsAddress).List(t.Context())
	must.NoError(t, err)
	must.Len(t, 4, list)
	state, err := weightstore.NewClient(standins.WeightsAddress).State(t.Context())
	must.NoError(t, err)
	must.Eq(t, 9.0, state.RatePerSecond)
	_, err = keyvalue.NewClient(standins.KeyValueAddress).Swap(t.Context(), "k", 0, nil)
	must.NoError(t, err)
	must.NotEq(t, "", standins.Services["s1"].Address)
}

func TestSettingsErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "standins.yaml")
	must.NoError(t, os.WriteFile(path, []byte("engines:\n  - {nam: x}\n"), 0o600))
	_, err := LoadSettings(path)
	must.ErrorContains(t, err, "nam")
	_, err = Start(t.Context(), Settings{KeyValue: KeyValueSettings{Address: "127.0.0.1:x"}})
	must.Error(t, err)
}

func TestExamplesLoad(t *testing.T) {
	cases := []struct {
		path     string
		engines  int
		services int
		rate     float64
	}{
		{path: "../examples/rafiq/standins.yaml", engines: 9, services: 3, rate: 4.5},
		{path: "../examples/asociacion/standins.yaml", engines: 12, services: 3, rate: 3},
	}
	for _, c := range cases {
		settings, err := LoadSettings(c.path)
		must.NoError(t, err)
		must.Len(t, c.engines, settings.Engines)
		must.Len(t, c.services, settings.Services)
		must.Eq(t, c.rate, settings.Weights.Figures.RatePerSecond)
		must.Len(t, 9, settings.Hosts.Entries)
	}
}
