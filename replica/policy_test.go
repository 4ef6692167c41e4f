package replica

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/config"
	"hawthornway/model"
	"hawthornway/outcome"
)

// TestPolicies runs one rule of placement each on real controllers.
func TestPolicies(t *testing.T) {
	for _, c := range []struct {
		name    string
		engines int
		change  func(*config.Config)
		run     func(t *testing.T, w *world)
	}{
		{"a want that can't be met is refused at once, and its model is there at the time to return", 1, nil, refusedInTime},
		{"an idle replica goes", 1, nil, func(t *testing.T, w *world) {
			w.askAll("m0", 10*time.Second)
			time.Sleep(20 * time.Second)
			must.True(t, w.engines["e0"].holds("m0"))
			time.Sleep(20 * time.Second)
			must.False(t, w.engines["e0"].holds("m0"))
		}},
		{"the least number of replicas is kept", 3, func(cfg *config.Config) {
			cfg.Models[0].MinReplicas = 2
		}, func(t *testing.T, w *world) {
			time.Sleep(15 * time.Second)
			must.Eq(t, 2, w.holding("m0"))
			time.Sleep(2 * time.Minute)
			must.Eq(t, 2, w.holding("m0"))
		}},
		{"one more replica under load, up to the most", 3, nil, func(t *testing.T, w *world) {
			for range 8 {
				go w.ask(w.hosts[0], "m0", "a", 10*time.Second, 40*time.Second)
			}
			time.Sleep(30 * time.Second)
			must.Eq(t, 2, w.holding("m0"))
		}},
		{"an adapter is loaded beside its model", 2, func(cfg *config.Config) {
			cfg.Adapters = []config.Adapter{{Name: "a0", Version: "1", Base: "m0", Memory: 5, LoadTime: 20 * time.Millisecond}}
		}, func(t *testing.T, w *world) {
			wait, refusal := w.ask(w.hosts[1], "a0", "a", 10*time.Second, time.Second)
			must.Nil(t, refusal)
			must.True(t, w.engines[wait.Replica.Target].holds("m0"))
			must.Eq(t, "m0", wait.Replica.Ref.Base)
		}},
		{"a new version takes the place of the old one", 2, nil, newVersion},
		{"an engine moves to another group", 2, nil, movedEngine},
		{"a dead host's requests don't keep a replica for ever", 1, nil, func(t *testing.T, w *world) {
			go w.ask(w.hosts[2], "m0", "a", 10*time.Second, 3*time.Minute)
			time.Sleep(10 * time.Second)
			w.engines["e0"].restartRequests()
			w.hosts[2].kill()
			time.Sleep(30 * time.Second)
			must.True(t, w.engines["e0"].holds("m0"))
			time.Sleep(90 * time.Second)
			must.False(t, w.engines["e0"].holds("m0"))
		}},
		{"a quiet team keeps its model while a loud one needs memory", 1, nil, quietTeam},
		{"a leaving engine gets no load and its model is loaded elsewhere", 2, nil, func(t *testing.T, w *world) {
			w.askAll("m0", 10*time.Second)
			e := w.engineOf("m0")
			e.set(func(e *fakeEngine) { e.leaving = true })
			time.Sleep(2 * time.Second)
			must.SliceEmpty(t, w.hosts[1].Ready("m0"))
			wait, refusal := w.ask(w.hosts[1], "m0", "a", 10*time.Second, time.Second)
			must.Nil(t, refusal)
			must.NotEq(t, e.cfg.Name, wait.Replica.Target)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var change []func(*config.Config)
				if c.change != nil {
					change = append(change, c.change)
				}
				w := newWorld(t, 3, testConfig(c.engines, 8, change...), withQuiet(false))
				defer w.close()
				c.run(t, w)
				must.SliceEmpty(t, w.found())
			})
		})
	}
}

func refusedInTime(t *testing.T, w *world) {
	start := time.Now()
	_, refusal := w.ask(w.hosts[1], "m0", "a", 2*time.Second, 0)
	must.NotNil(t, refusal)
	must.Eq(t, outcome.ReasonDeadline, refusal.Reason)
	must.Less(t, 100*time.Millisecond, time.Since(start))
	must.Between(t, 4*time.Second, refusal.RetryAfter, 6*time.Second)
	time.Sleep(refusal.RetryAfter)
	wait, refusal := w.ask(w.hosts[1], "m0", "a", time.Second, 0)
	must.Nil(t, refusal)
	must.Less(t, 600*time.Millisecond, wait.Waited)
	must.Eq(t, 1, w.loads)
}

func newVersion(t *testing.T, w *world) {
	w.askAll("m0", 10*time.Second)
	cfg := *w.config()
	cfg.Models = append([]config.Model(nil), cfg.Models...)
	cfg.Models[0].Version = "2"
	w.setConfig(&cfg)
	time.Sleep(10 * time.Second)
	ready := w.hosts[2].Ready("m0")
	must.SliceLen(t, 1, ready)
	must.Eq(t, "2", ready[0].Ref.Version)
	time.Sleep(5 * time.Second)
	must.Eq(t, 1, w.holding("m0"))
}

// movedEngine gives an engine another pool, whose group has another shard.
func movedEngine(t *testing.T, w *world) {
	w.askAll("m0", 10*time.Second)
	cfg := *w.config()
	cfg.Targets = append([]config.Target(nil), cfg.Targets...)
	for i := range cfg.Targets {
		cfg.Targets[i].Pool = "other"
	}
	cfg.Models = append([]config.Model(nil), cfg.Models...)
	for i := range cfg.Models {
		cfg.Models[i].Pool = "other"
	}
	w.setConfig(&cfg)
	time.Sleep(5 * time.Second)
	wait, refusal := w.ask(w.hosts[2], "m0", "a", 10*time.Second, 0)
	must.Nil(t, refusal)
	must.Eq(t, SourceNone, wait.Source)
	must.Eq(t, 1, w.loads)
	w.askAll("m1", 10*time.Second)
	must.Eq(t, 2, w.loads)
}

// quietTeam has a loud team want four models in turn on an engine that holds
// two, beside a quiet team's model that is used now and then.
func quietTeam(t *testing.T, w *world) {
	_, refusal := w.ask(w.hosts[0], "m0", "b", 10*time.Second, 100*time.Millisecond)
	must.Nil(t, refusal)
	stop := time.Now().Add(time.Minute)
	var loud sync.WaitGroup
	for i := 1; i < 5; i++ {
		loud.Go(func() {
			for time.Now().Before(stop) {
				w.ask(w.hosts[i%3], testModel(i), "a", 20*time.Second, 100*time.Millisecond)
			}
		})
	}
	for time.Now().Before(stop) {
		time.Sleep(8 * time.Second)
		wait, refusal := w.ask(w.hosts[0], "m0", "b", 10*time.Second, 100*time.Millisecond)
		must.Nil(t, refusal)
		must.Eq(t, SourceNone, wait.Source)
	}
	loud.Wait()
}

// holding counts the engines that hold a model.
func (w *world) holding(name model.Name) int {
	n := 0
	for _, e := range w.engines {
		if e.holds(name) {
			n++
		}
	}
	return n
}
