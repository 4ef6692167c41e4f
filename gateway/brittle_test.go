package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/platform/platformtest"
)

// Guards against a service that says that it is brittle and is pushed over by all hosts
// together, again and again: what doesn't fit waits, or is refused, at the hosts.
func TestBrittleServiceIsNotPushedOverByAllHosts(t *testing.T) {
	const (
		targets = 2
		slots   = 4
		work    = 40 * time.Millisecond
		// notice is the time in which all hosts have to comply.
		notice = 3 * time.Second
		length = 4 * time.Second
		// maxFalls is two and a tenth of the targets.
		maxFalls = 2
	)
	cases := []struct {
		name  string
		bears int
		load  float64
		// served is the share of what the service bears that must be served at least.
		served float64
	}{
		{"little load", 0, 0.3, 0.9},
		{"more than it bears", 1, 3, 0.5},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, config(1), 3)
			f.plain.Unregister()
			var services []*platformtest.Engine
			for i := range targets {
				e := platformtest.NewEngine(f.store, fmt.Sprint("i-brittle-", i), platformtest.EngineSpec{
					Service: platformtest.PlainService, Zone: "zone-0", Slots: slots, Work: work, RestartTime: time.Second,
				})
				t.Cleanup(e.Close)
				services = append(services, e)
			}
			f.waitUntil("the targets are in use", func() bool {
				f.call(f.hosts[0], "secret", "")
				return len(services[0].Arrivals()) > 0 && len(services[1].Arrivals()) > 0
			})
			for _, e := range services {
				e.StateBrittle(tc.bears)
			}
			play := func(load float64, length time.Duration) (served, sent int64) {
				var wg sync.WaitGroup
				var count atomic.Int64
				interval := time.Duration(float64(work) / (load * targets * slots))
				for begun := time.Now(); time.Since(begun) < length; sent++ {
					h := f.hosts[sent%3]
					wg.Go(func() {
						if f.send(h, platformtest.Call{Key: "secret", Timeout: time.Second}).status == http.StatusOK {
							count.Add(1)
						}
					})
					time.Sleep(interval)
				}
				wg.Wait()
				return count.Load(), sent
			}
			play(0.2, notice)
			before := services[0].Crashes() + services[1].Crashes()
			served, sent := play(tc.load, length)
			falls := services[0].Crashes() + services[1].Crashes() - before
			bears := min(float64(sent), length.Seconds()/work.Seconds()*targets*slots)
			t.Logf("%d falls; %d of %d served, %.0f%% of what the service bears; %d turned away", falls, served, sent, 100*float64(served)/bears, services[0].TurnedAway()+services[1].TurnedAway())
			must.LessEq(t, maxFalls, falls)
			must.GreaterEq(t, tc.served, float64(served)/bears)
		})
	}
}
