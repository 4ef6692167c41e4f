package replica

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/config"
	"hawthornway/model"
	"hawthornway/standin/kvstore"
	"hawthornway/team"
)

var (
	seeds     = flag.Int("seeds", defaultSeeds, "number of seeds of the mixed faults")
	historyTo = flag.String("history", "", "file for the history of the first failing seed")
	onlySeed  = flag.Uint64("seed", 0, "the only seed to run, or zero")
)

// mix is one seeded run of requests and faults.
type mix struct {
	*world
	rng    *rand.Rand
	faults int
	kills  int
}

// TestMixedFaults runs real controllers under random faults. The invariants are
// those that the world notes: memory is never overcommitted, orders are
// recorded first, no replica with requests is unloaded, wants are answered by
// their deadlines, and in the end engines hold what was decided.
func TestMixedFaults(t *testing.T) {
	first, last := uint64(1), uint64(*seeds)
	if *onlySeed != 0 {
		first, last = *onlySeed, *onlySeed
	}
	faults, served, refused, late := 0, 0, 0, 0
	for seed := first; seed <= last; seed++ {
		m := runMix(t, seed, mechanisms{})
		faults += m.faults
		served += m.served
		refused += m.refused
		late += m.lateUnloads
		for _, v := range m.found() {
			t.Errorf("seed %d: %s (replay with -seed %d)", seed, v, seed)
		}
		if t.Failed() && *historyTo != "" {
			must.NoError(t, os.WriteFile(*historyTo, []byte(strings.Join(m.lines, "\n")), 0o600))
			return
		}
	}
	t.Logf("%d seeds, %d faults, %d wants met, %d refused, %d late unloads of an outage", last-first+1, faults, served, refused, late)
}

func runMix(t *testing.T, seed uint64, off mechanisms) *mix {
	m := &mix{rng: rand.New(rand.NewPCG(seed, 7))}
	synctest.Test(t, func(t *testing.T) {
		m.world = newWorld(t, 3+m.rng.IntN(2), m.mixedConfig(), withOff(off), withQuiet(*historyTo != ""))
		defer m.close()
		m.run(2 * time.Minute)
		m.settle()
	})
	return m
}

func (m *mix) mixedConfig() *config.Config {
	return testConfig(2+m.rng.IntN(2), 7, func(cfg *config.Config) {
		for i := range cfg.Targets {
			cfg.Targets[i].ChecksFence = m.rng.IntN(2) == 0
		}
		for i := range cfg.Models {
			cfg.Models[i].Memory = model.Bytes(20 + 10*m.rng.IntN(5))
			cfg.Models[i].LoadTime = time.Duration(1+m.rng.IntN(5)) * time.Second
		}
		cfg.Adapters = append(cfg.Adapters,
			config.Adapter{Name: "a0", Version: "1", Base: "m0", Memory: 5, LoadTime: 20 * time.Millisecond},
			config.Adapter{Name: "a1", Version: "1", Base: "m1", Memory: 10, LoadTime: 20 * time.Millisecond},
		)
	})
}

// run sends wants and brings faults about for some time.
func (m *mix) run(span time.Duration) {
	names := []model.Name{"m0", "m1", "m2", "m3", "m4", "m5", "m6", "a0", "a1"}
	end := time.Now().Add(span)
	nextFault := time.Now().Add(m.between(2, 8))
	for time.Now().Before(end) {
		if !time.Now().Before(nextFault) {
			m.fault()
			nextFault = time.Now().Add(m.between(2, 12))
		}
		for range 1 + m.rng.IntN(4) {
			m.want(names[m.rng.IntN(len(names))])
		}
		time.Sleep(time.Duration(m.rng.IntN(1500)) * time.Millisecond)
	}
}

func (m *mix) between(least, most int) time.Duration {
	return time.Duration(least*1000+m.rng.IntN((most-least)*1000)) * time.Millisecond
}

func (m *mix) want(name model.Name) {
	h := m.hosts[m.rng.IntN(len(m.hosts))]
	if !h.alive() {
		return
	}
	id := []team.ID{"a", "b", "c"}[m.rng.IntN(3)]
	within, use := m.between(1, 30), m.between(0, 3)
	go m.ask(h, name, id, within, use)
}

// fault brings one fault about that ends by itself.
func (m *mix) fault() {
	m.faults++
	lasting := m.between(1, 25)
	switch m.rng.IntN(16) {
	case 0:
		if m.kills == 0 {
			m.kills++
			m.log("kill owner")
			if owner := m.owner(); owner != nil {
				owner.kill()
			}
		}
	case 1, 2:
		m.freezeHost(lasting)
	case 3:
		m.storeFault(kvstore.Faults{Outage: true}, lasting)
	case 4:
		m.storeFault(kvstore.Faults{Delay: 1500 * time.Millisecond}, lasting)
	case 5:
		m.log("lose answers")
		m.store.SetFaults(kvstore.Faults{LoseAnswers: 1 + m.rng.IntN(4), Seed: m.rng.Uint64()})
	case 6:
		m.cutOffHost(lasting)
	case 7:
		e := m.engine()
		m.log("restart %s", e.cfg.Name)
		e.restart()
	case 8:
		delay := m.between(0, 15)
		m.engineFault("orders late", lasting, func(e *fakeEngine, on bool) { e.orderDelay = choose(on, delay, 0) })
	case 9:
		m.engineFault("reports lag", lasting, func(e *fakeEngine, on bool) { e.lag = choose(on, 4*time.Second, 0) })
	case 10:
		m.engineFault("loads hang", lasting, func(e *fakeEngine, on bool) { e.hangs = on })
	case 11:
		m.engineFault("down", lasting, func(e *fakeEngine, on bool) { e.down = on })
	case 13:
		m.engineFault("leaving", lasting, func(e *fakeEngine, on bool) { e.leaving = on })
	case 14:
		m.handOver()
	case 15:
		m.cutHosts(lasting)
	case 12:
		m.engineFault("slow", lasting, func(e *fakeEngine, on bool) { e.slowdown = choose(on, 8.0, 1.0) })
	}
}

// handOver has the owner hand its shards over to another host.
func (m *mix) handOver() {
	to := m.hosts[m.rng.IntN(len(m.hosts))]
	if to.alive() && m.owner() != nil && m.owner() != to {
		m.log("hand over to %s", to.member.Host)
		m.owners.handOver(to)
	}
}

// cutHosts cuts two hosts off each other.
func (m *mix) cutHosts(lasting time.Duration) {
	i := m.rng.IntN(len(m.hosts))
	j := (i + 1 + m.rng.IntN(len(m.hosts)-1)) % len(m.hosts)
	a, b := m.hosts[i], m.hosts[j]
	m.log("cut %s and %s for %v", a.member.Host, b.member.Host, lasting)
	m.network.Cut(a.member.Host, b.member.Host)
	m.owners.cut(a, b, 1)
	time.AfterFunc(lasting, func() {
		m.network.Heal(a.member.Host, b.member.Host)
		m.owners.cut(a, b, -1)
	})
}

func choose[T any](on bool, a, b T) T {
	if on {
		return a
	}
	return b
}

func (m *mix) engine() *fakeEngine {
	ids := make([]string, 0, len(m.engines))
	for id := range m.engines {
		ids = append(ids, string(id))
	}
	slices.Sort(ids)
	id := ids[m.rng.IntN(len(ids))]
	for _, e := range m.engines {
		if string(e.cfg.Name) == id {
			return e
		}
	}
	panic(fmt.Sprintf("no engine %s", id))
}

func (m *mix) engineFault(name string, lasting time.Duration, set func(e *fakeEngine, on bool)) {
	e := m.engine()
	m.log("%s: %s for %v", e.cfg.Name, name, lasting)
	e.set(func(e *fakeEngine) { set(e, true) })
	time.AfterFunc(lasting, func() { e.set(func(e *fakeEngine) { set(e, false) }) })
}

func (m *mix) freezeHost(lasting time.Duration) {
	h := m.hosts[m.rng.IntN(len(m.hosts))]
	if owner := m.owner(); owner != nil && m.rng.IntN(3) > 0 {
		h = owner
	}
	if h.isDead() {
		return
	}
	m.log("freeze %s for %v", h.member.Host, lasting)
	h.freeze()
	time.AfterFunc(lasting, h.thaw)
}

func (m *mix) storeFault(f kvstore.Faults, lasting time.Duration) {
	m.log("store %+v for %v", f, lasting)
	m.setStore(f)
	time.AfterFunc(lasting, func() { m.setStore(kvstore.Faults{}) })
}

// cutOffHost keeps a host from the key-value service.
func (m *mix) cutOffHost(lasting time.Duration) {
	h := m.hosts[m.rng.IntN(len(m.hosts))]
	m.log("cut %s off the store for %v", h.member.Host, lasting)
	m.noteOut()
	h.setCutOff(true)
	time.AfterFunc(lasting, func() {
		m.noteOut()
		h.setCutOff(false)
	})
}
