package replica

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/config"
	"hawthornway/model"
	"hawthornway/standin/kvstore"
	"hawthornway/target"
	"hawthornway/team"
)

// testConfig returns a configuration of engines with a memory of 100 and of
// models m0, m1, ... with a memory of 40 that load in four seconds.
func testConfig(engines, models int, change ...func(*config.Config)) *config.Config {
	cfg := &config.Config{Domains: []config.Domain{{Name: "d"}}}
	for i := range engines {
		cfg.Targets = append(cfg.Targets, config.Target{
			Name: target.ID(fmt.Sprintf("e%d", i)), Kind: target.KindEngine, Domain: "d", Pool: "p", Memory: 100, Slots: 4,
			Address: "127.0.0.1:1",
		})
	}
	for i := range models {
		cfg.Models = append(cfg.Models, config.Model{
			Name: model.Name(fmt.Sprintf("m%d", i)), Version: "1", Pool: "p", Memory: 40, LoadTime: 4 * time.Second,
			IdleAfter: 30 * time.Second, MaxReplicas: 2,
		})
	}
	for _, id := range []team.ID{"a", "b", "c"} {
		cfg.Teams = append(cfg.Teams, config.Team{Name: id, Weight: 1})
	}
	for _, c := range change {
		c(cfg)
	}
	return cfg
}

func TestBurstOfFirstRequestsMakesOneDecision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 4, testConfig(3, 3))
		defer sim.close()
		var wg sync.WaitGroup
		for i := range 40 {
			h := sim.hosts[i%len(sim.hosts)]
			wg.Go(func() {
				result, refusal := sim.ensureAndUse(h, "m0", "a", 10*time.Second, 100*time.Millisecond)
				must.Nil(t, refusal)
				must.Eq(t, SourceRemote, result.Source)
				must.Less(t, 5*time.Second, result.Waited)
			})
		}
		wg.Wait()
		must.Eq(t, 1, sim.loads)
		must.SliceEmpty(t, sim.foundViolations())
	})
}

// TestFaults injects one kind of fault at a time. In each case all replicas
// must be recorded, no memory overcommitted and every load request answered.
func TestFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		config func(*config.Config)
		run    func(sim *simulation)
	}{
		{"owner killed during a load", nil, func(sim *simulation) {
			go sim.owner().kill()
			sim.ensureAtAllHosts("m0", 40*time.Second)
		}},
		{"owner killed during a load, engines check fences", checksFence, func(sim *simulation) {
			go sim.owner().kill()
			sim.ensureAtAllHosts("m0", 15*time.Second)
		}},
		{"owner frozen until its lease expired", nil, func(sim *simulation) {
			owner := sim.owner()
			go sim.ensureAtAllHosts("m1", 40*time.Second)
			time.Sleep(time.Second)
			owner.freeze()
			time.Sleep(10 * time.Second)
			sim.ensureAtAllHosts("m2", 60*time.Second)
			owner.resume()
			sim.ensureAtAllHosts("m3", 60*time.Second)
		}},
		{"handover", nil, func(sim *simulation) {
			sim.ensureAtAllHosts("m0", 10*time.Second)
			sim.ownership.handOver(sim.hosts[2])
			sim.ensureAtAllHosts("m1", 10*time.Second)
			must.Eq(sim.t, sim.hosts[2], sim.owner())
		}},
		{"outage of the key-value service", nil, func(sim *simulation) {
			sim.setStoreFaults(kvstore.Faults{Outage: true})
			sim.ensureAtAllHosts("m0", 10*time.Second)
			sim.setStoreFaults(kvstore.Faults{})
			time.Sleep(5 * time.Second)
			sim.ensureAtAllHosts("m1", 10*time.Second)
		}},
		{"slow key-value service", nil, func(sim *simulation) {
			sim.setStoreFaults(kvstore.Faults{Delay: 2 * time.Second})
			sim.ensureAtAllHosts("m0", 10*time.Second)
			sim.setStoreFaults(kvstore.Faults{})
		}},
		{"answers lost after the write", nil, func(sim *simulation) {
			sim.store.SetFaults(kvstore.Faults{LoseResponses: 2})
			sim.ensureAtAllHosts("m0", 10*time.Second)
			sim.store.SetFaults(kvstore.Faults{LoseResponses: 5, Seed: 3})
			sim.ensureAtAllHosts("m1", 12*time.Second)
		}},
		{"engine restarts during a load", nil, func(sim *simulation) {
			go sim.ensureAtAllHosts("m0", 30*time.Second)
			time.Sleep(2 * time.Second)
			sim.engineWith("m0").restart()
			time.Sleep(time.Second)
			sim.ensureAtAllHosts("m0", 30*time.Second)
		}},
		{"load hangs", nil, func(sim *simulation) {
			sim.engines["e0"].update(func(e *fakeEngine) { e.loadsHang = true })
			sim.engines["e1"].update(func(e *fakeEngine) { e.loadsHang = true })
			sim.ensureAtAllHosts("m0", 90*time.Second)
		}},
		{"late orders", nil, func(sim *simulation) {
			for _, e := range sim.engines {
				e.update(func(e *fakeEngine) { e.orderDelay = 3 * time.Second })
			}
			sim.ensureAtAllHosts("m0", 20*time.Second)
			sim.ensureAtAllHosts("m1", 20*time.Second)
		}},
		{"lagging reports", nil, func(sim *simulation) {
			for _, e := range sim.engines {
				e.update(func(e *fakeEngine) { e.reportLag = 5 * time.Second })
			}
			sim.ensureAtAllHosts("m0", 10*time.Second)
			sim.ensureAtAllHosts("m1", 10*time.Second)
		}},
		{"engine does not answer", nil, func(sim *simulation) {
			sim.engines["e0"].update(func(e *fakeEngine) { e.down = true })
			time.Sleep(5 * time.Second)
			for i := range 4 {
				sim.ensureAtAllHosts(testModel(i), 15*time.Second)
			}
		}},
		{"memory is full", nil, func(sim *simulation) {
			for i := range 6 {
				sim.ensureAtAllHosts(testModel(i), 15*time.Second)
				time.Sleep(10 * time.Second)
			}
			sim.ensureAtAllHosts("m6", 15*time.Second)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var change []func(*config.Config)
				if c.config != nil {
					change = append(change, c.config)
				}
				sim := newSimulation(t, 3, testConfig(3, 8, change...))
				defer sim.close()
				c.run(sim)
				must.Positive(t, sim.served)
				must.Zero(t, sim.refused)
				sim.settle()
				must.SliceEmpty(t, sim.foundViolations())
			})
		})
	}
}

func checksFence(cfg *config.Config) {
	for i := range cfg.Targets {
		cfg.Targets[i].ChecksFence = true
	}
}

func testModel(i int) model.Name { return model.Name(fmt.Sprintf("m%d", i)) }

// ensureAtAllHosts requests a model at every live host at once and waits for
// the answers.
func (sim *simulation) ensureAtAllHosts(name model.Name, within time.Duration) {
	var wg sync.WaitGroup
	for _, h := range sim.hosts {
		if !h.alive() {
			continue
		}
		wg.Go(func() { sim.ensureAndUse(h, name, "a", within, 50*time.Millisecond) })
	}
	wg.Wait()
}

// engineWith returns the engine that holds a model.
func (sim *simulation) engineWith(name model.Name) *fakeEngine {
	for _, e := range sim.engines {
		if e.hasModel(name) {
			return e
		}
	}
	sim.t.Fatalf("no engine holds %s", name)
	return nil
}

func (e *fakeEngine) hasModel(name model.Name) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.replicas, func(r *fakeReplica) bool { return r.Ref.Name == name })
}

// settle ends all faults, lets time pass and checks that every replica on an
// engine was decided by its owner.
func (sim *simulation) settle() {
	sim.setStoreFaults(kvstore.Faults{})
	sim.network.HealAll()
	for _, e := range sim.engines {
		e.update(func(e *fakeEngine) {
			e.down, e.orderDelay, e.reportLag, e.loadsHang, e.slowdown, e.draining = false, 0, 0, false, 1, false
		})
	}
	for _, h := range sim.hosts {
		if !h.isDead() {
			h.resume()
		}
	}
	time.Sleep(90 * time.Second)
	if sim.owner() == nil {
		sim.addViolation("no owner after all faults ended")
	}
	// A replica that is being unloaded is gone from its engine before a report
	// confirms it. That difference disappears within a few reports.
	var differences []string
	for range 5 {
		if differences = sim.differences(); len(differences) == 0 {
			return
		}
		time.Sleep(time.Second)
	}
	for _, d := range differences {
		sim.addViolation("%s", d)
	}
}

// differences lists the differences between the engines' replicas and their
// owners' decisions.
func (sim *simulation) differences() []string {
	var all []string
	for _, h := range sim.hosts {
		if r := h.ownRunners()[0]; h.alive() && r.hasLease() {
			all = append(all, sim.compareGroup(r)...)
		}
	}
	return all
}

func (sim *simulation) compareGroup(r *runner) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []string
	for _, e := range r.group.engines {
		if e.phase != phaseActive {
			all = append(all, fmt.Sprintf("%s is in phase %d after all faults ended", e.cfg.Name, e.phase))
		}
		all = append(all, sim.engines[e.cfg.Name].compare(e)...)
	}
	return all
}

func (e *fakeEngine) compare(known *engineState) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []string
	for _, r := range e.replicas {
		if !slices.ContainsFunc(known.replicas, func(rep *placedReplica) bool { return rep.load.id == r.Order }) {
			all = append(all, fmt.Sprintf("%s holds %s by order %s, which was not decided", known.cfg.Name, r.Ref.Name, r.Order))
		}
	}
	if len(known.replicas) != len(e.replicas) {
		all = append(all, fmt.Sprintf("%s holds %d replicas, %d are decided", known.cfg.Name, len(e.replicas), len(known.replicas)))
	}
	return all
}

func (h *testHost) isDead() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.dead
}
