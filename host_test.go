package hawthornway

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/config"
	"hawthornway/key"
	"hawthornway/settings"
	"hawthornway/standin"
)

const testConfig = `
domains: [{name: d1, region: r}]
targets:
  - {name: e1, kind: engine, domain: d1, pool: engines, address: "ENGINE", checks-fence: true, memory: 48GiB, slots: 8}
models:
  - {name: brief, version: v1, pool: engines, memory: 14GiB, load-time: 1s, idle-after: 5m, max-replicas: 1, max-output-tokens: 512}
teams:
  - {name: escorts, rate: 5000, burst: 50000, models: [brief]}
`

func startStandins(t *testing.T) *standin.Set {
	s := standin.DefaultSettings()
	s.KeyValue.Address = "127.0.0.1:0"
	s.Weights.Address = "127.0.0.1:0"
	s.Engines = []standin.EngineSettings{{Name: "e1", Domain: "d1", Address: "127.0.0.1:0"}}
	set, err := standin.Start(t.Context(), s)
	must.NoError(t, err)
	t.Cleanup(set.Close)
	return set
}

// readyTimeout bounds the start of one host, which normally takes a few milliseconds.
const readyTimeout = 5 * time.Second

// awaitReady polls a host's readiness endpoint, as the load balancer does, until
// the host is ready.
func awaitReady(t *testing.T, callers string) {
	t.Helper()
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); {
		response, err := http.Get("http://" + callers + "/readyz")
		must.NoError(t, err)
		must.NoError(t, response.Body.Close())
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatalf("host was not ready within %v", readyTimeout)
}

func TestColdChatThroughOneHost(t *testing.T) {
	standins := startStandins(t)
	s := settings.Default()
	s.Host, s.Domain = "h1", "d1"
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0"}
	s.Platform.KeyValue = "http://" + standins.KeyValueAddress
	s.Platform.WeightStore = "http://" + standins.WeightsAddress
	s.Secrets = settings.Secrets{Cluster: "cluster secret for tests", OperatorToken: "operator token for tests"}
	s.Drain = settings.Drain{Timeout: time.Second}
	entryHost, err := New(s, WithLogger(slog.New(slog.NewTextHandler(t.Output(), nil))))
	must.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- entryHost.Run(ctx) }()
	defer func() { stop(); must.NoError(t, <-done) }()

	h := entryHost.(*host)
	text := strings.ReplaceAll(testConfig, "ENGINE", standins.Engines["e1"].Address)
	_, err = h.components.configs.Apply(ctx, config.Submission{
		Files: []config.File{{Name: "all.yaml", Data: []byte(text)}}, Change: "c1", Author: "test",
	})
	must.NoError(t, err)
	secret := key.Generate()
	grant := key.Grant{Hash: secret.Hash(), ID: key.NewID(secret.Hash()), Team: "escorts"}
	must.NoError(t, h.components.keys.Grant(ctx, []key.Grant{grant}))
	request, err := http.NewRequest(http.MethodPost, "http://"+entryHost.Addresses().Callers+"/v1/chat/completions",
		strings.NewReader(`{"model":"brief","messages":[{"role":"user","content":"hello"}],"max_tokens":20}`))
	must.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+secret.Reveal())
	awaitReady(t, entryHost.Addresses().Callers)
	for range 2 {
		response, err := http.DefaultClient.Do(request.Clone(ctx))
		must.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		must.NoError(t, err)
		must.EqOp(t, http.StatusOK, response.StatusCode, must.Sprint(string(body)))
		must.EqOp(t, "served", response.Header.Get("Hawthornway-Outcome"))
		must.StrContains(t, string(body), `"finish_reason":"`)
		request.Body, err = request.GetBody()
		must.NoError(t, err)
	}
	must.EqOp(t, 1, len(standins.Engines["e1"].Loads()))
}
