package replica

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/config"
)

// TestTwoDomains requests models from hosts of two domains that each have
// engines.
func TestTwoDomains(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(t *testing.T, sim *simulation)
	}{
		{"first requests in both domains make one decision", func(t *testing.T, sim *simulation) {
			var wg sync.WaitGroup
			for i := range 24 {
				h := sim.hosts[i%len(sim.hosts)]
				wg.Go(func() {
					_, refusal := sim.ensureAndUse(h, "m0", "a", 10*time.Second, time.Second)
					must.Nil(t, refusal)
				})
			}
			wg.Wait()
			must.Eq(t, 1, sim.loads)
		}},
		{"each domain continues to serve while they are cut off from each other", func(t *testing.T, sim *simulation) {
			sim.cutDomains()
			for i := range 4 {
				sim.ensureAtAllHosts(testModel(i), 20*time.Second)
			}
			must.Zero(t, sim.refused)
			sim.network.HealAll()
			time.Sleep(5 * time.Second)
			sim.ensureAtAllHosts("m5", 10*time.Second)
			must.Zero(t, sim.refused)
		}},
		{"memory of the other domain is used when its own is full of requests", func(t *testing.T, sim *simulation) {
			for i := range 4 {
				for range 4 {
					go sim.ensureAndUse(sim.hosts[0], testModel(i), "a", 20*time.Second, time.Minute)
				}
			}
			time.Sleep(20 * time.Second)
			must.Zero(t, sim.refused)
			must.Eq(t, 4, sim.loads)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := newSimulation(t, 3, testConfig(2, 6, func(cfg *config.Config) {
					cfg.Targets[1].Domain = "far"
				}), withFarHosts(3), withBufferedLog(false))
				defer sim.close()
				c.run(t, sim)
				sim.settle()
				must.SliceEmpty(t, sim.foundViolations())
			})
		})
	}
}

// cutDomains cuts the connections between the hosts of different domains.
func (sim *simulation) cutDomains() {
	for _, a := range sim.hosts {
		for _, b := range sim.hosts {
			if a.member.Domain < b.member.Domain {
				sim.network.Cut(a.member.Host, b.member.Host)
			}
		}
	}
}
