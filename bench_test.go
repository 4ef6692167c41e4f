package hawthornway

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"

	"hawthornway/call"
	"hawthornway/caller"
	"hawthornway/config"
	"hawthornway/fleet"
	"hawthornway/limit"
	"hawthornway/model"
	"hawthornway/outcome"
	"hawthornway/replica"
	"hawthornway/retry"
	"hawthornway/route"
	"hawthornway/target"
	"hawthornway/team"
)

// fleetSize is the size of a benchmarked fleet, which is a fraction of the planned
// fleet.
type fleetSize struct{ engines, models, adapters, teams, domains int }

var fleetSizes = []fleetSize{
	{engines: 17, models: 50, adapters: 60, teams: 5, domains: 3},
	{engines: 170, models: 300, adapters: 500, teams: 50, domains: 5},
	{engines: 1700, models: 1000, adapters: 1600, teams: 200, domains: 10},
}

// String returns the size as a benchmark's name.
func (s fleetSize) String() string {
	return fmt.Sprintf("engines=%d,models=%d", s.engines, s.models)
}

func (s fleetSize) snapshot() *config.Snapshot {
	var c config.Config
	for i := range s.domains {
		c.Domains = append(c.Domains, config.Domain{Name: fleet.DomainID(fmt.Sprint("d", i))})
	}
	for i := range s.engines {
		c.Targets = append(c.Targets, config.Target{
			Name: target.ID(fmt.Sprint("e", i)), Kind: target.KindEngine, Pool: "engines",
			Domain: fleet.DomainID(fmt.Sprint("d", i%s.domains)), Slots: 16,
		})
	}
	var names []model.Name
	for i := range s.models {
		names = append(names, model.Name(fmt.Sprint("m", i)))
		c.Models = append(c.Models, config.Model{Name: names[i], Pool: "engines"})
	}
	for i := range s.adapters {
		name := model.Name(fmt.Sprint("a", i))
		names = append(names, name)
		c.Adapters = append(c.Adapters, config.Adapter{Name: name, Base: names[i%s.models]})
	}
	for i := range s.teams {
		c.Teams = append(c.Teams, config.Team{Name: team.ID(fmt.Sprint("t", i)), Models: names, Rate: 1e9, Burst: 1e9})
	}
	return config.NewSnapshot(1, c)
}

// benchReplicas places each model on a tenth of the engines, at most 16.
type benchReplicas struct {
	ready map[model.Name][]replica.Replica
}

func newBenchReplicas(s *config.Snapshot) *benchReplicas {
	b := &benchReplicas{ready: make(map[model.Name][]replica.Replica)}
	targets := s.Config().Targets
	for i, m := range s.Config().Models {
		for n := range min(16, 1+len(targets)/10) {
			t := targets[(i*7+n)%len(targets)]
			b.ready[m.Name] = append(b.ready[m.Name], replica.Replica{Ref: model.Ref{Name: m.Name}, Target: t.Name, Domain: t.Domain})
		}
	}
	return b
}

func (b *benchReplicas) Ready(name model.Name) []replica.Replica { return b.ready[name] }

func (b *benchReplicas) Load(target.ID) (replica.TargetLoad, bool) {
	return replica.TargetLoad{Running: 3, Slots: 16}, true
}

func (b *benchReplicas) Begin(target.ID, model.Name) (func(), bool) { return func() {}, true }

type benchKeys struct{ teams int }

func (k benchKeys) Check(presented string) (team.ID, <-chan struct{}, *outcome.NotRun) {
	return team.ID(fmt.Sprint("t", len(presented)%k.teams)), nil, nil
}

type benchLimiter struct{}

func (benchLimiter) Reserve(context.Context, team.ID, team.Tokens) (limit.Charge, *limit.Refusal) {
	return benchCharge{}, nil
}

type benchCharge struct{}

func (benchCharge) Settle(team.Tokens) {}

type nullWriter struct{ header http.Header }

func (w nullWriter) Header() http.Header         { return w.header }
func (w nullWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w nullWriter) WriteHeader(int)             {}

// BenchmarkDecision measures all steps before a request is sent to a target: path,
// key, body, permission, limit and routing, with keys and token grants in memory.
func BenchmarkDecision(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(size.String(), func(b *testing.B) { benchmarkDecision(b, size) })
	}
}

func benchmarkDecision(b *testing.B, size fleetSize) {
	snapshot := size.snapshot()
	replicas := newBenchReplicas(snapshot)
	router := route.New(
		route.WithConfig(snapshot.Config),
		route.WithReplicas(replicas),
		route.WithDomain("d0"),
	)
	last := func(_ context.Context, c *call.Call) outcome.Outcome {
		gen := c.Subject.(*call.Generation)
		choice, ok := pickAndStart(router, route.Request{Model: gen.Model, Prefix: route.PrefixHash(gen.PrefixHash)})
		if !ok {
			panic("no replica was picked")
		}
		router.EndAttempt(choice, retry.ResponseReceived{})
		return outcome.Served{}
	}
	entries := []call.Entry{
		{Priority: call.PriorityPath, Filter: caller.PathFilter(snapshot)},
		{Priority: call.PriorityKey, Filter: caller.KeyFilter(benchKeys{size.teams})},
		{Priority: call.PriorityConcurrency, Filter: caller.ConcurrencyFilter(snapshot, clockwork.NewRealClock())},
		{Priority: call.PriorityBody, Filter: caller.BodyFilter(1 << 20)},
		{Priority: call.PriorityBody, Filter: caller.KeyLeakFilter()},
		{Priority: call.PriorityResolve, Filter: caller.ResolveFilter(snapshot)},
		{Priority: call.PriorityLimit, Filter: caller.LimitFilter(benchLimiter{})},
	}
	handler := caller.NewHandler(entries, last, clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
	bodies := make([]string, 64)
	for i := range bodies {
		bodies[i] = fmt.Sprintf(`{"model":"m%d","messages":[{"role":"user","content":"%s"}],"stream":true}`,
			(i*13)%size.models, strings.Repeat("word ", 40))
	}
	base := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", nil)
	base.Header.Set("Authorization", "Bearer hw_benchmark")
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r := *base
		r.Body = io.NopCloser(strings.NewReader(bodies[i%len(bodies)]))
		handler.ServeHTTP(nullWriter{http.Header{}}, &r)
	}
}
