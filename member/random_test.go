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

// wholeAfter bounds the time from the end of all faults until a whole domain
// holds all shards.
const wholeAfter = 100 * time.Second

// mix brings about random faults.
type mix struct {
	*cluster
	rng    *rand.Rand
	faults map[string]int
}

// mixedFault is one kind of fault.
type mixedFault struct {
	name string
	do   func(*mix)
}

// mixedFaults are the faults of the mix, in a fixed order.
var mixedFaults = []mixedFault{
	{"kill", func(m *mix) { m.pick().kill(); m.add() }},
	{"kill and start at same address", func(m *mix) {
		h := m.pick()
		h.kill()
		m.start(h.member.Host, h.member.PeerAddress)
	}},
	{"kill two", func(m *mix) { m.pick().kill(); m.add(); m.pick().kill(); m.add() }},
	{"freeze", func(m *mix) { m.freezeOne(false) }},
	{"suspend", func(m *mix) { m.freezeOne(true) }},
	{"cut", func(m *mix) { a, b := m.pair(); m.network.Cut(a.member.Host, b.member.Host) }},
	{"one-way cut", func(m *mix) { a, b := m.pair(); m.network.CutOneWay(a.member.Host, b.member.Host) }},
	{"isolate", func(m *mix) { m.isolate(m.pick(), m.all()) }},
	{"split", (*mix).split},
	{"silent link", func(m *mix) { a, b := m.pair(); m.network.Silence(a.member.Host, b.member.Host) }},
	{"heal", func(m *mix) { m.network.HealAll() }},
	{"outage", func(m *mix) { m.store.SetFaults(kvstore.Faults{Outage: true}) }},
	{"one host off the service", func(m *mix) { m.pick().store.reach(false) }},
	{"slow service", func(m *mix) {
		m.store.SetFaults(kvstore.Faults{Delay: time.Duration(m.rng.IntN(7000)) * time.Millisecond})
	}},
	{"lost answers", func(m *mix) {
		m.store.SetFaults(kvstore.Faults{LoseAnswers: 3, Seed: m.rng.Uint64N(3), Delay: 4 * time.Millisecond})
	}},
	{"late writes", func(m *mix) { m.pick().store.late(2, time.Duration(m.rng.IntN(20000))*time.Millisecond) }},
	{"service back", func(m *mix) {
		m.store.SetFaults(kvstore.Faults{Delay: 4 * time.Millisecond})
		for _, h := range m.all() {
			h.store.reach(true)
		}
	}},
	{"slow network", func(m *mix) { m.network.SetDelay(0, time.Duration(m.rng.IntN(1500))*time.Millisecond) }},
	{"leave", func(m *mix) {
		m.add()
		_ = m.pick().leave(time.Duration(m.rng.IntN(5000)) * time.Millisecond)
	}},
	{"wall clock step", func(m *mix) { m.pick().stepWallClock(time.Duration(m.rng.IntN(20)-10) * time.Second) }},
}

func (m *mix) pick() *host {
	hosts := m.all()
	return hosts[m.rng.IntN(len(hosts))]
}

// pair returns two hosts, which can be the same.
func (m *mix) pair() (a, b *host) { return m.pick(), m.pick() }

func (m *mix) freezeOne(suspend bool) {
	h := m.pick()
	h.freeze(suspend)
	time.AfterFunc(time.Duration(m.rng.IntN(20000))*time.Millisecond, h.thaw)
}

// split cuts the domain in two, one part perhaps off the service.
func (m *mix) split() {
	hosts := m.all()
	at := 1 + m.rng.IntN(len(hosts)-1)
	off := m.rng.IntN(2) == 0
	for _, h := range hosts[:at] {
		m.isolate(h, hosts[at:])
		h.store.reach(!off)
	}
}

// play brings faults about for a while, ends them, and waits for a whole domain.
func (m *mix) play(faults int) time.Duration {
	m.listLag = 15 * time.Second
	m.addMany(3 + m.rng.IntN(3))
	m.run(time.Duration(m.rng.IntN(10000)) * time.Millisecond)
	for range faults {
		f := mixedFaults[m.rng.IntN(len(mixedFaults))]
		m.faults[f.name]++
		f.do(m)
		m.run(time.Duration(m.rng.IntN(9000)) * time.Millisecond)
	}
	m.run(20 * time.Second)
	m.restore()
	return m.awaitWhole(wholeAfter)
}

func TestRandomMixOfFaults(t *testing.T) {
	const faultsPerSeed = 15
	faults := map[string]int{}
	var longest time.Duration
	for seed := *fromSeed; seed < *fromSeed+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			violations := runCluster(t, seed, checks{}, func(c *cluster) {
				m := &mix{cluster: c, rng: rand.New(rand.NewPCG(seed, 2)), faults: faults}
				longest = max(longest, m.play(faultsPerSeed))
			})
			must.SliceEmpty(t, violations, must.Sprintf("replay: go test ./member -run TestRandomMixOfFaults -from-seed %d -seeds 1", seed))
		})
	}
	t.Logf("%d seeds, %d faults each; longest time to a whole domain %v; faults by kind: %v", *seeds, faultsPerSeed, longest, faults)
}
