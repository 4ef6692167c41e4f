package gateway_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/platform/platformtest"
)

// load sends requests for a model through all hosts at an interval, until the returned function is
// called, which returns how many were sent and served.
func (f *fleet) load(interval time.Duration, models ...string) (stop func() (sent, served int64)) {
	var sent, served atomic.Int64
	end := make(chan struct{})
	var callers sync.WaitGroup
	for i, h := range f.hosts {
		callers.Go(func() {
			var calls sync.WaitGroup
			defer calls.Wait()
			for n := i; ; n++ {
				select {
				case <-end:
					return
				case <-time.After(interval):
				}
				calls.Go(func() {
					sent.Add(1)
					if f.send(h, platformtest.Call{Key: "secret", Model: models[n%len(models)], Timeout: 3 * time.Second}).status == http.StatusOK {
						served.Add(1)
					}
				})
			}
		})
	}
	return func() (int64, int64) {
		close(end)
		callers.Wait()
		return sent.Load(), served.Load()
	}
}

// Load: requests for models that only one domain holds, while it is evacuated, the coordinator ends
// and another host starts. Guards against requests that still reach the domain, requests that are
// lost by its evacuation, and a domain that stays empty once it is taken back.
func TestEvacuatedDomainGetsNothing(t *testing.T) {
	t.Parallel()
	f := newFleet(t, config(1), 3)
	for _, e := range f.engines[:2] {
		must.True(t, e.Holds(config(1).Models[0]) || e.Holds(config(1).Models[2]))
	}
	stop := f.load(30*time.Millisecond, "m0", "m1", "m2")
	time.Sleep(500 * time.Millisecond) // requests run at all targets
	platformtest.Evacuate(f.store, "zone-0")
	acknowledged := time.Now()
	time.Sleep(300 * time.Millisecond) // the hosts know of the evacuation, and the next one starts within it
	f.start("host-late", false)
	time.Sleep(evacuationTime) // the promise covers what arrives after this bound
	late := after(acknowledged.Add(evacuationTime), f.engines[0].Arrivals())
	must.SliceEmpty(t, late)
	last := f.engines[0].Arrivals()[len(f.engines[0].Arrivals())-1].Sub(acknowledged)
	t.Logf("the last request reached the domain %v after the evacuation", last.Round(time.Millisecond))

	leader := f.coordinator()
	f.hosts[leader].stop()
	<-f.hosts[leader].ended
	time.Sleep(2 * time.Second) // a takeover takes less
	must.SliceEmpty(t, after(acknowledged.Add(evacuationTime), f.engines[0].Arrivals()))
	sent, served := stop()
	t.Logf("%d of %d requests were served", served, sent)

	platformtest.TakeBack(f.store, "zone-0")
	f.hosts = append(f.hosts[:leader], f.hosts[leader+1:]...)
	takenBack := time.Now()
	f.waitUntil("the domain to be used again", func() bool {
		for _, h := range f.hosts {
			f.call(h, "secret", "m0")
			f.call(h, "secret", "m1")
		}
		return len(after(takenBack, f.engines[0].Arrivals())) > 0
	})
}

// Load: a target turns cold while the requests of three hosts for it are more than it bears. Guards
// against hosts that together send it more, and against a target that is left idle.
func TestColdTargetGetsWhatItBears(t *testing.T) {
	t.Parallel()
	const rate = 4
	c := config(1)
	c.ColdPerSecond, c.ColdTime = rate, 3*time.Second
	f := newFleet(t, c, 3)
	cold := f.plain
	cold.TurnCold(4 * time.Second)
	turned := time.Now()
	time.Sleep(1200 * time.Millisecond) // reports and views of all hosts
	from := time.Now()
	stop := f.load(20*time.Millisecond, "")
	time.Sleep(2500 * time.Millisecond) // ten requests at the rate that it bears
	arrivals := after(from, cold.Arrivals())
	used := float64(len(arrivals)) / (rate * time.Since(from).Seconds())
	t.Logf("%.2f of what the target bears was used", used)
	must.LessEq(t, rate*3/2+5, mostWithin(time.Second, arrivals), must.Sprint("what the users' rule allows"))
	must.GreaterEq(t, 0.5, used, must.Sprint("the first places come within a second"))
	time.Sleep(2 * time.Second) // it is warm after 4 s, and gets requests for a second from then
	warm := len(after(turned.Add(4500*time.Millisecond), cold.Arrivals()))
	must.Greater(t, rate, warm, must.Sprint("once it is warm, it gets what others get"))
	stop()
}

// Guards against requests that run outside of the home regions of their route and team, and
// against a caller that waits for a home target that can't come.
func TestRequestsStayAtHome(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name        string
		route, team []string
		status      int
		elsewhere   bool
	}{
		{"anywhere", nil, nil, http.StatusOK, true},
		{"route", []string{"west"}, nil, http.StatusOK, false},
		{"team", nil, []string{"west"}, http.StatusOK, false},
		{"both", []string{"east", "west"}, []string{"west"}, http.StatusOK, false},
		{"nowhere", []string{"west"}, []string{"east"}, http.StatusServiceUnavailable, false},
		{"unknown region", []string{"north"}, nil, http.StatusServiceUnavailable, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := config(1)
			c.RouteHomes, c.TenantHomes = tc.route, tc.team
			f := newFleet(t, c, 1)
			east := f.engines[2]
			began := time.Now()
			for range 3 {
				// The engine in the east holds m4 and m5; those in the west load them.
				must.Eq(t, tc.status, f.send(f.hosts[0], platformtest.Call{Key: "secret", Model: "m4", Timeout: 5 * time.Second}).status)
			}
			if tc.status != http.StatusOK {
				must.Less(t, 3*time.Second, time.Since(began), must.Sprint("refused at once"))
			}
			must.Eq(t, tc.elsewhere, len(east.Arrivals()) > 0)
		})
	}
}
