package limit

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/fleet"
	"hawthornway/standin/kvstore"
	"hawthornway/team"
)

var (
	seedCount = flag.Int("seeds", 200, "number of seeds of each random mix")
	firstSeed = flag.Uint64("seed", 1, "first seed of each random mix")
)

// The size of one random mix of faults and traffic.
const (
	mixDomains = 3
	mixHosts   = 3
	mixLength  = 45 * time.Second
)

// The kinds of faults in a random mix.
const (
	faultKill = iota
	faultPause
	faultCutDomain
	faultCutOneWay
	faultCutHosts
	faultOutage
	faultSlowStore
	faultLateWrites
	faultCutFromStore
	faultHandOver
	faultSilence
	faultKinds
)

var mixLimits = map[team.ID]Limit{
	"busy":  {Rate: 400, Burst: 1200},
	"small": {Rate: 50, Burst: 60},
	"large": {Rate: 100, Burst: 5000},
	"quick": {Rate: 600, Burst: 300},
}

// traffic sends requests of all teams for a time. The hosts that receive them change
// every few seconds.
func (f *testFleet) traffic(length time.Duration, load float64) {
	end := time.Now().Add(length)
	for _, id := range slices.Sorted(maps.Keys(mixLimits)) {
		limit := mixLimits[id]
		rng := f.fork()
		f.running.Go(func() {
			var at []*testHost
			nextMove := time.Now()
			for time.Now().Before(end) {
				if !time.Now().Before(nextMove) {
					at = f.trafficHosts(rng.IntN(3), rng.IntN(len(f.hosts)))
					nextMove = time.Now().Add(time.Duration(1+rng.IntN(15)) * time.Second)
				}
				maxTokens := 1 + team.Tokens(rng.Int64N(int64(limit.Burst)/2))
				used := maxTokens - team.Tokens(rng.IntN(2)*rng.IntN(int(maxTokens)+1))
				duration := time.Duration(rng.Int64N(int64(4 * time.Second)))
				host := at[rng.IntN(len(at))]
				f.running.Go(func() { f.request(host, id, maxTokens, used, duration) })
				gap := float64(maxTokens) / float64(limit.Rate) / load
				time.Sleep(time.Duration(rng.ExpFloat64() * gap * float64(time.Second)))
			}
		})
	}
}

// trafficHosts returns the hosts that receive traffic: one, those of a domain, or all.
func (f *testFleet) trafficHosts(kind, host int) []*testHost {
	switch kind {
	case 0:
		return f.hosts[host : host+1]
	case 1:
		return f.hostsOf(f.hosts[host].self.Domain)
	}
	return f.hosts
}

// injectFaults injects random faults, one after another, for a time.
func (f *testFleet) injectFaults(length time.Duration) {
	rng := f.fork()
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(rng.Int64N(int64(8 * time.Second))))
		f.faults++
		duration := time.Duration(1+rng.IntN(20)) * time.Second
		f.injectFault(rng.IntN(faultKinds), rng.IntN(len(f.hosts)), rng.IntN(len(f.domains)), duration)
	}
}

func (f *testFleet) injectFault(kind, host, domain int, duration time.Duration) {
	h, d := f.hosts[host], f.domains[domain]
	undo := func(undo func()) { time.AfterFunc(duration, undo) }
	switch kind {
	case faultKill:
		if len(f.healthyOf(h.self.Domain)) > 1 {
			h.kill()
		}
	case faultPause:
		h.pause()
		undo(h.resume)
	case faultCutDomain:
		f.cutDomain(d, f.net.Cut)
		undo(f.net.HealAll)
	case faultCutOneWay:
		f.cutDomain(d, f.net.CutOneWay)
		undo(f.net.HealAll)
	case faultCutHosts:
		other := f.hosts[(host+1+domain)%len(f.hosts)]
		f.net.Cut(h.self.Host, other.self.Host)
		undo(func() { f.net.Heal(h.self.Host, other.self.Host) })
	case faultOutage:
		f.store.SetFaults(kvstore.Faults{Outage: true})
		undo(func() { f.store.SetFaults(kvstore.Faults{}) })
	case faultSlowStore:
		f.store.SetFaults(kvstore.Faults{Delay: 700 * time.Millisecond})
		undo(func() { f.store.SetFaults(kvstore.Faults{}) })
	case faultLateWrites:
		f.setLateWrites(true)
		undo(func() { f.setLateWrites(false) })
	case faultCutFromStore:
		h.setCutOff(true)
		undo(func() { h.setCutOff(false) })
	case faultHandOver:
		if to := f.firstHealthy(h.self.Domain); to != nil && to != h {
			f.handOver(h, to)
		}
	case faultSilence:
		f.net.Silence(h.self.Host, f.hosts[(host+1)%len(f.hosts)].self.Host)
	}
}

func (f *testFleet) cutDomain(domain fleet.DomainID, cut func(a, b fleet.HostID)) {
	for _, a := range f.hosts {
		for _, b := range f.hosts {
			if a.self.Domain == domain && b.self.Domain != domain {
				cut(a.self.Host, b.self.Host)
			}
		}
	}
}

// runMix runs one random mix, and returns the fleet with its log of admissions.
func runMix(t *testing.T, seed uint64, mutations testMutations) *testFleet {
	var f *testFleet
	synctest.Test(t, func(t *testing.T) {
		f = newTestFleet(t, seed, mixDomains, mixHosts, mixLimits, mutations)
		f.traffic(mixLength, 2)
		f.injectFaults(mixLength)
		f.net.HealAll()
		f.store.SetFaults(kvstore.Faults{})
		time.Sleep(time.Minute)
		f.stop()
		time.Sleep(time.Minute)
	})
	return f
}

// worstOverrun returns the largest overrun of any team.
func (f *testFleet) worstOverrun() float64 {
	worst := 0.0
	for id, limit := range mixLimits {
		worst = max(worst, overrun(f.log, id, limit))
	}
	return worst
}

func TestBoundHoldsInRandomMixes(t *testing.T) {
	faults, admitted, requests := 0, 0, 0
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		f := runMix(t, seed, testMutations{})
		faults += f.faults
		admitted += len(f.log)
		requests += f.requests
		must.LessEq(t, boundSlack, f.worstOverrun(),
			must.Sprintf("replay with: go test ./limit -run %s -seed %d -seeds 1", t.Name(), seed))
	}
	fmt.Printf("limit: %d seeds, %d faults, %d of %d requests admitted\n", *seedCount, faults, admitted, requests)
	must.Positive(t, admitted)
}
