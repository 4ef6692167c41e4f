package member

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/standin/kvstore"
)

var (
	seeds    = flag.Uint64("seeds", defaultSeeds, "number of seeds of the random mix of faults")
	fromSeed = flag.Uint64("from-seed", 1, "first seed of the random mix of faults")
)

// convergenceBound limits the time from the end of all faults until the domain has
// converged and all shards are leased.
const convergenceBound = 100 * time.Second

// randomMix injects random faults into a cluster.
type randomMix struct {
	*cluster
	rng    *rand.Rand
	faults map[string]int
}

// randomFault is one kind of fault.
type randomFault struct {
	name string
	do   func(*randomMix)
}

// randomFaults are all faults. Their order is fixed, so that seeds replay.
var randomFaults = []randomFault{
	{"kill", func(m *randomMix) { m.randomHost().kill(); m.add() }},
	{"kill and start at same address", func(m *randomMix) {
		h := m.randomHost()
		h.kill()
		m.start(h.member.Host, h.member.PeerAddress)
	}},
	{"kill two", func(m *randomMix) { m.randomHost().kill(); m.add(); m.randomHost().kill(); m.add() }},
	{"freeze", func(m *randomMix) { m.freezeRandomHost(false) }},
	{"suspend", func(m *randomMix) { m.freezeRandomHost(true) }},
	{"cut", func(m *randomMix) { a, b := m.randomPair(); m.network.Cut(a.member.Host, b.member.Host) }},
	{"one-way cut", func(m *randomMix) { a, b := m.randomPair(); m.network.CutOneWay(a.member.Host, b.member.Host) }},
	{"isolate", func(m *randomMix) { m.isolate(m.randomHost(), m.all()) }},
	{"partition", (*randomMix).partition},
	{"silent link", func(m *randomMix) { a, b := m.randomPair(); m.network.Silence(a.member.Host, b.member.Host) }},
	{"heal", func(m *randomMix) { m.network.HealAll() }},
	{"outage", func(m *randomMix) { m.store.SetFaults(kvstore.Faults{Outage: true}) }},
	{"one host cut off from the service", func(m *randomMix) { m.randomHost().store.setReachable(false) }},
	{"slow service", func(m *randomMix) {
		m.store.SetFaults(kvstore.Faults{Delay: time.Duration(m.rng.IntN(7000)) * time.Millisecond})
	}},
	{"lost answers", func(m *randomMix) {
		m.store.SetFaults(kvstore.Faults{LoseResponses: 3, Seed: m.rng.Uint64N(3), Delay: 4 * time.Millisecond})
	}},
	{"delayed writes", func(m *randomMix) {
		m.randomHost().store.delayWrites(2, time.Duration(m.rng.IntN(20000))*time.Millisecond)
	}},
	{"service restored", func(m *randomMix) {
		m.store.SetFaults(kvstore.Faults{Delay: 4 * time.Millisecond})
		for _, h := range m.all() {
			h.store.setReachable(true)
		}
	}},
	{"slow network", func(m *randomMix) { m.network.SetDelay(0, time.Duration(m.rng.IntN(1500))*time.Millisecond) }},
	{"leave", func(m *randomMix) {
		m.add()
		_ = m.randomHost().leave(time.Duration(m.rng.IntN(5000)) * time.Millisecond)
	}},
	{"wall clock step", func(m *randomMix) { m.randomHost().stepWallClock(time.Duration(m.rng.IntN(20)-10) * time.Second) }},
}

func (m *randomMix) randomHost() *host {
	hosts := m.all()
	return hosts[m.rng.IntN(len(hosts))]
}

// randomPair returns two hosts, which can be the same.
func (m *randomMix) randomPair() (a, b *host) { return m.randomHost(), m.randomHost() }

func (m *randomMix) freezeRandomHost(suspend bool) {
	h := m.randomHost()
	h.freeze(suspend)
	time.AfterFunc(time.Duration(m.rng.IntN(20000))*time.Millisecond, h.resume)
}

// partition splits the domain in two parts, one of which may be cut off from the
// key-value service.
func (m *randomMix) partition() {
	hosts := m.all()
	at := 1 + m.rng.IntN(len(hosts)-1)
	cutOff := m.rng.IntN(2) == 0
	for _, h := range hosts[:at] {
		m.isolate(h, hosts[at:])
		h.store.setReachable(!cutOff)
	}
}

// runFaults injects a number of faults, ends them, and waits until the domain has
// converged.
func (m *randomMix) runFaults(faults int) time.Duration {
	m.listLag = 15 * time.Second
	m.addMany(3 + m.rng.IntN(3))
	m.run(time.Duration(m.rng.IntN(10000)) * time.Millisecond)
	for range faults {
		f := randomFaults[m.rng.IntN(len(randomFaults))]
		m.faults[f.name]++
		f.do(m)
		m.run(time.Duration(m.rng.IntN(9000)) * time.Millisecond)
	}
	m.run(20 * time.Second)
	m.restore()
	return m.awaitConverged(convergenceBound)
}

func TestRandomMixOfFaults(t *testing.T) {
	const faultsPerSeed = 15
	faults := map[string]int{}
	var longest time.Duration
	for seed := *fromSeed; seed < *fromSeed+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			violations := runCluster(t, seed, disabledMechanisms{}, func(c *cluster) {
				m := &randomMix{cluster: c, rng: rand.New(rand.NewPCG(seed, 2)), faults: faults}
				longest = max(longest, m.runFaults(faultsPerSeed))
			})
			must.SliceEmpty(t, violations, must.Sprintf("replay: go test ./member -run TestRandomMixOfFaults -from-seed %d -seeds 1", seed))
		})
	}
	t.Logf("%d seeds, %d faults each; longest time to convergence %v; faults by kind: %v", *seeds, faultsPerSeed, longest, faults)
}
