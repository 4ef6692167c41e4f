package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"hawthornway/config"
	"hawthornway/fleet"
	"hawthornway/model"
	"hawthornway/replica"
	"hawthornway/retry"
	"hawthornway/target"
)

// fakeReplicas holds replicas of one model at targets "t0", "t1", and so on.
type fakeReplicas struct {
	replicas []replica.Replica
	loads    map[target.ID]replica.TargetLoad
	removed  map[target.ID]bool
}

func (f *fakeReplicas) Ready(model.Name) []replica.Replica { return f.replicas }

func (f *fakeReplicas) Load(id target.ID) (replica.TargetLoad, bool) {
	l, ok := f.loads[id]
	return l, ok
}

func (f *fakeReplicas) Begin(id target.ID, _ model.Name) (end func(), ok bool) {
	return func() {}, !f.removed[id]
}

func newFakeReplicas(loads ...replica.TargetLoad) *fakeReplicas {
	f := &fakeReplicas{loads: make(map[target.ID]replica.TargetLoad), removed: make(map[target.ID]bool)}
	for i, l := range loads {
		id := target.ID(fmt.Sprintf("t%d", i))
		f.replicas = append(f.replicas, replica.Replica{Ref: model.Ref{Name: "m", Version: "1"}, Target: id, Domain: "d"})
		f.loads[id] = l
	}
	return f
}

func newTestRouter(f *fakeReplicas, opts ...Option) (Router, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	cfg := &config.Config{Targets: []config.Target{
		{Name: "s0", Pool: "plain", Domain: "d"}, {Name: "s1", Pool: "plain", Domain: "far"},
	}}
	base := []Option{
		WithReplicas(f), WithDomain("d"), WithClock(clock), WithConfig(func() *config.Config { return cfg }),
	}
	return New(append(base, opts...)...), clock
}

func testLoad(running, queued int) replica.TargetLoad {
	return replica.TargetLoad{Running: running, Queued: queued, Slots: 4}
}

func TestPickSkipsTargets(t *testing.T) {
	for _, c := range []struct {
		name    string
		loads   []replica.TargetLoad
		domains []fleet.DomainID
		request Request
		option  Option
		want    target.ID
	}{
		{"draining by report", []replica.TargetLoad{{Slots: 4, Draining: true}, testLoad(4, 4)}, nil, Request{}, nil, "t1"},
		{
			"draining by the host list",
			[]replica.TargetLoad{testLoad(0, 0), testLoad(4, 4)},
			nil,
			Request{},
			WithDraining(func(id target.ID) bool { return id == "t0" }), "t1",
		},
		{"tried targets", []replica.TargetLoad{testLoad(0, 0), testLoad(4, 4)}, nil, Request{Exclude: []target.ID{"t0"}}, nil, "t1"},
		{"overloaded target", []replica.TargetLoad{testLoad(4, 8), testLoad(0, 0)}, nil, Request{}, nil, "t1"},
		{"other domains", []replica.TargetLoad{testLoad(0, 0), testLoad(2, 0)}, []fleet.DomainID{"far", "d"}, Request{}, nil, "t1"},
		{
			"long queue in own domain",
			[]replica.TargetLoad{testLoad(0, 0), testLoad(4, 4)},
			[]fleet.DomainID{"far", "d"},
			Request{},
			nil, "t0",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFakeReplicas(c.loads...)
			for i, domain := range c.domains {
				f.replicas[i].Domain = domain
			}
			var opts []Option
			if c.option != nil {
				opts = append(opts, c.option)
			}
			r, _ := newTestRouter(f, opts...)
			c.request.Model = "m"
			for i := range 50 {
				c.request.Prefix = PrefixHash(i * 7919)
				choice, ok := r.Pick(c.request)
				must.True(t, ok)
				must.Eq(t, c.want, choice.Target)
			}
		})
	}
}

func TestPickKeepsPrefixUntilOverloaded(t *testing.T) {
	f := newFakeReplicas(testLoad(0, 0), testLoad(0, 0), testLoad(0, 0), testLoad(0, 0))
	r, _ := newTestRouter(f)
	request := Request{Model: "m", Prefix: HashPrefix([]byte("guardian"))}
	first, ok := r.Pick(request)
	must.True(t, ok)
	seen := map[target.ID]int{}
	for range 16 {
		choice, ok := r.Pick(request)
		must.True(t, ok)
		must.True(t, r.StartAttempt(&choice))
		seen[choice.Target]++
	}
	must.Greater(t, 1, seen[first.Target])
	must.MapLen(t, 4, seen)
	for id, n := range seen {
		must.LessEq(t, 7, n, must.Sprintf("target %s", id))
	}
}

func TestReportReplacesLocalCount(t *testing.T) {
	f := newFakeReplicas(testLoad(0, 0), testLoad(0, 0))
	r, clock := newTestRouter(f)
	request := Request{Model: "m", Exclude: []target.ID{"t1"}}
	for range 4 {
		choice, _ := r.Pick(request)
		must.True(t, r.StartAttempt(&choice))
	}
	targets := r.(*router).targets
	must.Eq(t, 4, targets.state("t0", time.Time{}, clock.Now()).sentSinceReport)
	clock.Advance(time.Second)
	must.Zero(t, targets.state("t0", clock.Now(), clock.Now()).sentSinceReport)
}

func TestResultsAffectNextPick(t *testing.T) {
	for _, c := range []struct {
		name       string
		result     retry.Result
		skippedFor time.Duration
	}{
		{"draining", retry.RefusedNotRun{Refusal: retry.RefusalDraining}, drainingTTL},
		{"not loaded", retry.RefusedNotRun{Refusal: retry.RefusalNotLoaded}, notLoadedTTL},
		{"not sent", retry.NotSent{}, failureDecayTime},
		{"no answer", retry.NoResponse{}, failureDecayTime},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFakeReplicas(testLoad(0, 0), testLoad(2, 0))
			r, clock := newTestRouter(f)
			choice, _ := r.Pick(Request{Model: "m", Exclude: []target.ID{"t1"}})
			must.True(t, r.StartAttempt(&choice))
			r.EndAttempt(choice, c.result)
			picked := map[target.ID]bool{}
			for i := range 50 {
				choice, _ := r.Pick(Request{Model: "m", Prefix: PrefixHash(i + 1)})
				picked[choice.Target] = true
			}
			must.False(t, picked["t0"])
			clock.Advance(c.skippedFor)
			for i := range 50 {
				choice, _ := r.Pick(Request{Model: "m", Prefix: PrefixHash(i + 1)})
				picked[choice.Target] = true
			}
			must.True(t, picked["t0"])
		})
	}
}

func TestStartAttemptRefusesRemovedReplica(t *testing.T) {
	f := newFakeReplicas(testLoad(0, 0))
	f.removed["t0"] = true
	r, _ := newTestRouter(f)
	choice, ok := r.Pick(Request{Model: "m"})
	must.True(t, ok)
	must.False(t, r.StartAttempt(&choice))
}

func TestLocalPlainServicesFirst(t *testing.T) {
	r, _ := newTestRouter(newFakeReplicas())
	choice, ok := r.Pick(Request{Pool: "plain"})
	must.True(t, ok)
	must.Eq(t, "s0", choice.Target)
	choice, ok = r.Pick(Request{Pool: "plain", Exclude: []target.ID{"s0"}})
	must.True(t, ok)
	must.Eq(t, "s1", choice.Target)
}
