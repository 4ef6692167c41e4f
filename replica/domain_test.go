package replica

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/config"
)

// TestTwoDomains has hosts of two domains, each with engines, want models.
func TestTwoDomains(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(t *testing.T, w *world)
	}{
		{"first requests in both domains make one decision", func(t *testing.T, w *world) {
			var group sync.WaitGroup
			for i := range 24 {
				h := w.hosts[i%len(w.hosts)]
				group.Go(func() {
					_, refusal := w.ask(h, "m0", "a", 10*time.Second, time.Second)
					must.Nil(t, refusal)
				})
			}
			group.Wait()
			must.Eq(t, 1, w.loads)
		}},
		{"each domain serves on while they are cut off from each other", func(t *testing.T, w *world) {
			w.cutDomains()
			for i := range 4 {
				w.askAll(testModel(i), 20*time.Second)
			}
			must.Zero(t, w.refused)
			w.network.HealAll()
			time.Sleep(5 * time.Second)
			w.askAll("m5", 10*time.Second)
			must.Zero(t, w.refused)
		}},
		{"memory of the other domain is used when its own is full of requests", func(t *testing.T, w *world) {
			for i := range 4 {
				for range 4 {
					go w.ask(w.hosts[0], testModel(i), "a", 20*time.Second, time.Minute)
				}
			}
			time.Sleep(20 * time.Second)
			must.Zero(t, w.refused)
			must.Eq(t, 4, w.loads)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 3, testConfig(2, 6, func(cfg *config.Config) {
					cfg.Targets[1].Domain = "far"
				}), withFarHosts(3), withQuiet(false))
				defer w.close()
				c.run(t, w)
				w.settle()
				must.SliceEmpty(t, w.found())
			})
		})
	}
}

// cutDomains cuts each host off the hosts of the other domain.
func (w *world) cutDomains() {
	for _, a := range w.hosts {
		for _, b := range w.hosts {
			if a.member.Domain < b.member.Domain {
				w.network.Cut(a.member.Host, b.member.Host)
			}
		}
	}
}
