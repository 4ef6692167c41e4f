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

// TestPolicies tests one placement rule per case with real controllers.
func TestPolicies(t *testing.T) {
	for _, c := range []struct {
		name    string
		engines int
		change  func(*config.Config)
		run     func(t *testing.T, sim *simulation)
	}{
		{"a load request that can't be met is refused at once, and its model is ready at the time to retry", 1, nil, testEarlyRefusal},
		{"an idle replica is unloaded", 1, nil, func(t *testing.T, sim *simulation) {
			sim.ensureAtAllHosts("m0", 10*time.Second)
			time.Sleep(20 * time.Second)
			must.True(t, sim.engines["e0"].hasModel("m0"))
			time.Sleep(20 * time.Second)
			must.False(t, sim.engines["e0"].hasModel("m0"))
		}},
		{"the minimum number of replicas is maintained", 3, func(cfg *config.Config) {
			cfg.Models[0].MinReplicas = 2
		}, func(t *testing.T, sim *simulation) {
			time.Sleep(15 * time.Second)
			must.Eq(t, 2, sim.enginesWith("m0"))
			time.Sleep(2 * time.Minute)
			must.Eq(t, 2, sim.enginesWith("m0"))
		}},
		{"one more replica is loaded under load, up to the maximum", 3, nil, func(t *testing.T, sim *simulation) {
			for range 8 {
				go sim.ensureAndUse(sim.hosts[0], "m0", "a", 10*time.Second, 40*time.Second)
			}
			time.Sleep(30 * time.Second)
			must.Eq(t, 2, sim.enginesWith("m0"))
		}},
		{"an adapter is loaded beside its model", 2, func(cfg *config.Config) {
			cfg.Adapters = []config.Adapter{{Name: "a0", Version: "1", Base: "m0", Memory: 5, LoadTime: 20 * time.Millisecond}}
		}, func(t *testing.T, sim *simulation) {
			result, refusal := sim.ensureAndUse(sim.hosts[1], "a0", "a", 10*time.Second, time.Second)
			must.Nil(t, refusal)
			must.True(t, sim.engines[result.Replica.Target].hasModel("m0"))
			must.Eq(t, "m0", result.Replica.Ref.Base)
		}},
		{"a new version replaces the old one", 2, nil, testNewVersion},
		{"an engine moves to another group", 2, nil, testMovedEngine},
		{"the requests of a dead host don't keep a replica loaded", 1, nil, func(t *testing.T, sim *simulation) {
			go sim.ensureAndUse(sim.hosts[2], "m0", "a", 10*time.Second, 3*time.Minute)
			time.Sleep(10 * time.Second)
			sim.engines["e0"].endRequests()
			sim.hosts[2].kill()
			time.Sleep(30 * time.Second)
			must.True(t, sim.engines["e0"].hasModel("m0"))
			time.Sleep(90 * time.Second)
			must.False(t, sim.engines["e0"].hasModel("m0"))
		}},
		{"a team with few requests keeps its model while another team needs memory", 1, nil, testTeamIsolation},
		{"a draining engine gets no loads and its model is loaded elsewhere", 2, nil, func(t *testing.T, sim *simulation) {
			sim.ensureAtAllHosts("m0", 10*time.Second)
			e := sim.engineWith("m0")
			e.update(func(e *fakeEngine) { e.draining = true })
			time.Sleep(2 * time.Second)
			must.SliceEmpty(t, sim.hosts[1].Ready("m0"))
			result, refusal := sim.ensureAndUse(sim.hosts[1], "m0", "a", 10*time.Second, time.Second)
			must.Nil(t, refusal)
			must.NotEq(t, e.cfg.Name, result.Replica.Target)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var change []func(*config.Config)
				if c.change != nil {
					change = append(change, c.change)
				}
				sim := newSimulation(t, 3, testConfig(c.engines, 8, change...), withBufferedLog(false))
				defer sim.close()
				c.run(t, sim)
				must.SliceEmpty(t, sim.foundViolations())
			})
		})
	}
}

func testEarlyRefusal(t *testing.T, sim *simulation) {
	start := time.Now()
	_, refusal := sim.ensureAndUse(sim.hosts[1], "m0", "a", 2*time.Second, 0)
	must.NotNil(t, refusal)
	must.Eq(t, outcome.ReasonDeadline, refusal.Reason)
	must.Less(t, 100*time.Millisecond, time.Since(start))
	must.Between(t, 4*time.Second, refusal.RetryAfter, 6*time.Second)
	time.Sleep(refusal.RetryAfter)
	result, refusal := sim.ensureAndUse(sim.hosts[1], "m0", "a", time.Second, 0)
	must.Nil(t, refusal)
	must.Less(t, 600*time.Millisecond, result.Waited)
	must.Eq(t, 1, sim.loads)
}

func testNewVersion(t *testing.T, sim *simulation) {
	sim.ensureAtAllHosts("m0", 10*time.Second)
	cfg := *sim.config()
	cfg.Models = append([]config.Model(nil), cfg.Models...)
	cfg.Models[0].Version = "2"
	sim.setConfig(&cfg)
	time.Sleep(10 * time.Second)
	ready := sim.hosts[2].Ready("m0")
	must.SliceLen(t, 1, ready)
	must.Eq(t, "2", ready[0].Ref.Version)
	time.Sleep(5 * time.Second)
	must.Eq(t, 1, sim.enginesWith("m0"))
}

// testMovedEngine moves the engines and their models to another pool, whose
// group has another shard.
func testMovedEngine(t *testing.T, sim *simulation) {
	sim.ensureAtAllHosts("m0", 10*time.Second)
	cfg := *sim.config()
	cfg.Targets = append([]config.Target(nil), cfg.Targets...)
	for i := range cfg.Targets {
		cfg.Targets[i].Pool = "other"
	}
	cfg.Models = append([]config.Model(nil), cfg.Models...)
	for i := range cfg.Models {
		cfg.Models[i].Pool = "other"
	}
	sim.setConfig(&cfg)
	time.Sleep(5 * time.Second)
	result, refusal := sim.ensureAndUse(sim.hosts[2], "m0", "a", 10*time.Second, 0)
	must.Nil(t, refusal)
	must.Eq(t, SourceNone, result.Source)
	must.Eq(t, 1, sim.loads)
	sim.ensureAtAllHosts("m1", 10*time.Second)
	must.Eq(t, 2, sim.loads)
}

// testTeamIsolation has one team request four models in turn on an engine that
// fits two, while another team uses its model now and then. That model must
// stay loaded.
func testTeamIsolation(t *testing.T, sim *simulation) {
	_, refusal := sim.ensureAndUse(sim.hosts[0], "m0", "b", 10*time.Second, 100*time.Millisecond)
	must.Nil(t, refusal)
	stop := time.Now().Add(time.Minute)
	var busyTeam sync.WaitGroup
	for i := 1; i < 5; i++ {
		busyTeam.Go(func() {
			for time.Now().Before(stop) {
				sim.ensureAndUse(sim.hosts[i%3], testModel(i), "a", 20*time.Second, 100*time.Millisecond)
			}
		})
	}
	for time.Now().Before(stop) {
		time.Sleep(8 * time.Second)
		result, refusal := sim.ensureAndUse(sim.hosts[0], "m0", "b", 10*time.Second, 100*time.Millisecond)
		must.Nil(t, refusal)
		must.Eq(t, SourceNone, result.Source)
	}
	busyTeam.Wait()
}

// enginesWith counts the engines that hold a model.
func (sim *simulation) enginesWith(name model.Name) int {
	n := 0
	for _, e := range sim.engines {
		if e.hasModel(name) {
			n++
		}
	}
	return n
}
