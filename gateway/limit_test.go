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

// mostWithin returns the largest number of times within any window of the given length.
func mostWithin(window time.Duration, times []time.Time) int {
	most, from := 0, 0
	for to := range times {
		for times[to].Sub(times[from]) > window {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// after returns the times from a given one on.
func after(from time.Time, times []time.Time) (later []time.Time) {
	for _, at := range times {
		if !at.Before(from) {
			later = append(later, at)
		}
	}
	return later
}

// Guards against hosts that together exceed the limit that an engine states, because each
// of them sends it its usual share of requests. Other engines take over its models, and a
// service without other targets refuses at once what its limit doesn't allow.
func TestStatedLimitHoldsOverAllHosts(t *testing.T) {
	const (
		hosts    = 3
		interval = 40 * time.Millisecond // of the requests at each host
		window   = 4 * time.Second
		duration = 6 * time.Second
		// told is the time from which every host has passed on the limit.
		told = time.Second
		// maxArrivals is what the users' rule allows: half as much again as the limit, and
		// five requests.
		maxArrivals = 3*4/2 + 5
	)
	cases := []struct {
		name, model string
		limited     func(f *fleet) *platformtest.Engine
		// minServed is the least share of requests to serve, and minArrivals the least number
		// that reaches the target: most of what its limit allows in five seconds, or one now
		// and then if other targets take the rest.
		minServed   float64
		minArrivals int
	}{
		{"engine", "m0", func(f *fleet) *platformtest.Engine { return f.engines[0] }, 0.8, 1},
		{"plain service", "", func(f *fleet) *platformtest.Engine { return f.plain }, 0, 3},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, config(1), hosts)
			limited := tc.limited(f)
			limited.StateLimit("1")
			var served, sent, slow, promised atomic.Int64
			var clients sync.WaitGroup
			start := time.Now()
			for _, h := range f.hosts {
				clients.Go(func() {
					var calls sync.WaitGroup
					defer calls.Wait()
					for time.Since(start) < duration {
						calls.Go(func() {
							began := time.Now()
							r := f.send(h, platformtest.Call{Key: "secret", Model: tc.model, Timeout: 2 * time.Second})
							sent.Add(1)
							switch {
							case r.status == http.StatusOK:
								served.Add(1)
							case r.status != http.StatusServiceUnavailable || r.header.Get("Retry-After") == "":
							default:
								promised.Add(1)
								if time.Since(began) > time.Second {
									slow.Add(1)
								}
							}
						})
						time.Sleep(interval)
					}
				})
			}
			clients.Wait()
			arrivals := after(start.Add(told), limited.Arrivals())
			t.Logf("%d requests sent, %d served, %d refused; %d reached the target", sent.Load(), served.Load(), promised.Load(), len(arrivals))
			must.LessEq(t, maxArrivals, mostWithin(window, arrivals))
			must.GreaterEq(t, tc.minArrivals, len(arrivals))
			must.GreaterEq(t, tc.minServed*float64(sent.Load()), float64(served.Load()))
			must.Eq(t, sent.Load(), served.Load()+promised.Load())
			must.Zero(t, slow.Load())
		})
	}
}

// A host that has heard of a limit tells the others, so that they keep it before they have
// asked the target themselves.
func TestLimitHeardByOneHostBindsOthers(t *testing.T) {
	t.Parallel()
	f := newFleet(t, config(1), 3)
	f.plain.StateLimit("0.5")
	must.Eq(t, http.StatusOK, f.call(f.hosts[0], "secret", "").status)
	time.Sleep(time.Second) // reports and views of all hosts
	before := time.Now()
	var calls sync.WaitGroup
	for i := range 20 {
		calls.Go(func() { f.send(f.hosts[1+i%2], platformtest.Call{Key: "secret", Timeout: time.Second}) })
	}
	calls.Wait()
	must.LessEq(t, 2, len(after(before, f.plain.Arrivals())))
}

// Once a target states no limit any more, hosts learn that from its answers, and from each
// other.
func TestLimitThatEndsBindsNobody(t *testing.T) {
	t.Parallel()
	f := newFleet(t, config(1), 3)
	f.plain.StateLimit("1")
	for _, h := range f.hosts {
		must.Eq(t, http.StatusOK, f.call(h, "secret", "").status)
	}
	f.plain.StateLimit("")
	f.waitUntil("the limit to end", func() bool { return f.call(f.hosts[0], "secret", "").status == http.StatusOK })
	time.Sleep(time.Second) // reports and views of all hosts
	for i := range 12 {
		must.Eq(t, http.StatusOK, f.call(f.hosts[i%3], "secret", "").status)
	}
}
