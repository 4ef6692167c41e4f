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
	seeds       = flag.Int("seeds", defaultSeeds, "number of seeds of the mixed faults")
	historyFile = flag.String("history", "", "file for the history of the first failing seed")
	onlySeed    = flag.Uint64("seed", 0, "the only seed to run, or zero")
)

// faultRun is one seeded run of requests and faults.
type faultRun struct {
	*simulation
	rng    *rand.Rand
	faults int
	kills  int
}

// TestMixedFaults runs real controllers under random faults. The simulation
// checks the invariants: memory is never overcommitted, orders are recorded
// before they are sent, no replica with requests is unloaded, load requests are
// answered by their deadlines, and in the end the engines hold what was
// decided.
func TestMixedFaults(t *testing.T) {
	first, last := uint64(1), uint64(*seeds)
	if *onlySeed != 0 {
		first, last = *onlySeed, *onlySeed
	}
	faults, served, refused, lateUnloads := 0, 0, 0, 0
	for seed := first; seed <= last; seed++ {
		r := runFaults(t, seed, disabledSafeguards{})
		faults += r.faults
		served += r.served
		refused += r.refused
		lateUnloads += r.lateUnloads
		for _, v := range r.foundViolations() {
			t.Errorf("seed %d: %s (replay with -seed %d)", seed, v, seed)
		}
		if t.Failed() && *historyFile != "" {
			must.NoError(t, os.WriteFile(*historyFile, []byte(strings.Join(r.logLines, "\n")), 0o600))
			return
		}
	}
	t.Logf("%d seeds, %d faults, %d load requests met, %d refused, %d late unloads after an outage", last-first+1, faults, served, refused, lateUnloads)
}

func runFaults(t *testing.T, seed uint64, disabled disabledSafeguards) *faultRun {
	r := &faultRun{rng: rand.New(rand.NewPCG(seed, 7))}
	synctest.Test(t, func(t *testing.T) {
		r.simulation = newSimulation(t, 3+r.rng.IntN(2), r.randomConfig(), withDisabled(disabled), withBufferedLog(*historyFile != ""))
		defer r.close()
		r.run(2 * time.Minute)
		r.settle()
	})
	return r
}

func (r *faultRun) randomConfig() *config.Config {
	return testConfig(2+r.rng.IntN(2), 7, func(cfg *config.Config) {
		for i := range cfg.Targets {
			cfg.Targets[i].ChecksFence = r.rng.IntN(2) == 0
		}
		for i := range cfg.Models {
			cfg.Models[i].Memory = model.Bytes(20 + 10*r.rng.IntN(5))
			cfg.Models[i].LoadTime = time.Duration(1+r.rng.IntN(5)) * time.Second
		}
		cfg.Adapters = append(cfg.Adapters,
			config.Adapter{Name: "a0", Version: "1", Base: "m0", Memory: 5, LoadTime: 20 * time.Millisecond},
			config.Adapter{Name: "a1", Version: "1", Base: "m1", Memory: 10, LoadTime: 20 * time.Millisecond},
		)
	})
}

// run sends load requests and injects faults for some time.
func (r *faultRun) run(duration time.Duration) {
	names := []model.Name{"m0", "m1", "m2", "m3", "m4", "m5", "m6", "a0", "a1"}
	end := time.Now().Add(duration)
	nextFault := time.Now().Add(r.randomDurationBetween(2, 8))
	for time.Now().Before(end) {
		if !time.Now().Before(nextFault) {
			r.injectFault()
			nextFault = time.Now().Add(r.randomDurationBetween(2, 12))
		}
		for range 1 + r.rng.IntN(4) {
			r.sendRequest(names[r.rng.IntN(len(names))])
		}
		time.Sleep(time.Duration(r.rng.IntN(1500)) * time.Millisecond)
	}
}

func (r *faultRun) randomDurationBetween(minimum, maximum int) time.Duration {
	return time.Duration(minimum*1000+r.rng.IntN((maximum-minimum)*1000)) * time.Millisecond
}

func (r *faultRun) sendRequest(name model.Name) {
	h := r.hosts[r.rng.IntN(len(r.hosts))]
	if !h.alive() {
		return
	}
	id := []team.ID{"a", "b", "c"}[r.rng.IntN(3)]
	within, use := r.randomDurationBetween(1, 30), r.randomDurationBetween(0, 3)
	go r.ensureAndUse(h, name, id, within, use)
}

// injectFault injects one fault that ends by itself.
func (r *faultRun) injectFault() {
	r.faults++
	duration := r.randomDurationBetween(1, 25)
	switch r.rng.IntN(16) {
	case 0:
		if r.kills == 0 {
			r.kills++
			r.log("kill owner")
			if owner := r.owner(); owner != nil {
				owner.kill()
			}
		}
	case 1, 2:
		r.freezeRandomHost(duration)
	case 3:
		r.injectStoreFault(kvstore.Faults{Outage: true}, duration)
	case 4:
		r.injectStoreFault(kvstore.Faults{Delay: 1500 * time.Millisecond}, duration)
	case 5:
		r.log("lose answers")
		r.store.SetFaults(kvstore.Faults{LoseResponses: 1 + r.rng.IntN(4), Seed: r.rng.Uint64()})
	case 6:
		r.cutHostFromStore(duration)
	case 7:
		e := r.randomEngine()
		r.log("restart %s", e.cfg.Name)
		e.restart()
	case 8:
		delay := r.randomDurationBetween(0, 15)
		r.injectEngineFault("orders late", duration, func(e *fakeEngine, on bool) { e.orderDelay = choose(on, delay, 0) })
	case 9:
		r.injectEngineFault("reports lag", duration, func(e *fakeEngine, on bool) { e.reportLag = choose(on, 4*time.Second, 0) })
	case 10:
		r.injectEngineFault("loads hang", duration, func(e *fakeEngine, on bool) { e.loadsHang = on })
	case 11:
		r.injectEngineFault("down", duration, func(e *fakeEngine, on bool) { e.down = on })
	case 13:
		r.injectEngineFault("draining", duration, func(e *fakeEngine, on bool) { e.draining = on })
	case 14:
		r.handOverShards()
	case 15:
		r.cutHostPair(duration)
	case 12:
		r.injectEngineFault("slow", duration, func(e *fakeEngine, on bool) { e.slowdown = choose(on, 8.0, 1.0) })
	}
}

// handOverShards makes the owner hand its shards over to another host.
func (r *faultRun) handOverShards() {
	to := r.hosts[r.rng.IntN(len(r.hosts))]
	if to.alive() && r.owner() != nil && r.owner() != to {
		r.log("hand over to %s", to.member.Host)
		r.ownership.handOver(to)
	}
}

// cutHostPair cuts the connection between two hosts.
func (r *faultRun) cutHostPair(duration time.Duration) {
	i := r.rng.IntN(len(r.hosts))
	j := (i + 1 + r.rng.IntN(len(r.hosts)-1)) % len(r.hosts)
	a, b := r.hosts[i], r.hosts[j]
	r.log("cut %s and %s for %v", a.member.Host, b.member.Host, duration)
	r.network.Cut(a.member.Host, b.member.Host)
	r.ownership.addCuts(a, b, 1)
	time.AfterFunc(duration, func() {
		r.network.Heal(a.member.Host, b.member.Host)
		r.ownership.addCuts(a, b, -1)
	})
}

func choose[T any](on bool, a, b T) T {
	if on {
		return a
	}
	return b
}

func (r *faultRun) randomEngine() *fakeEngine {
	ids := make([]string, 0, len(r.engines))
	for id := range r.engines {
		ids = append(ids, string(id))
	}
	slices.Sort(ids)
	id := ids[r.rng.IntN(len(ids))]
	for _, e := range r.engines {
		if string(e.cfg.Name) == id {
			return e
		}
	}
	panic(fmt.Sprintf("no engine %s", id))
}

func (r *faultRun) injectEngineFault(name string, duration time.Duration, set func(e *fakeEngine, on bool)) {
	e := r.randomEngine()
	r.log("%s: %s for %v", e.cfg.Name, name, duration)
	e.update(func(e *fakeEngine) { set(e, true) })
	time.AfterFunc(duration, func() { e.update(func(e *fakeEngine) { set(e, false) }) })
}

func (r *faultRun) freezeRandomHost(duration time.Duration) {
	h := r.hosts[r.rng.IntN(len(r.hosts))]
	if owner := r.owner(); owner != nil && r.rng.IntN(3) > 0 {
		h = owner
	}
	if h.isDead() {
		return
	}
	r.log("freeze %s for %v", h.member.Host, duration)
	h.freeze()
	time.AfterFunc(duration, h.resume)
}

func (r *faultRun) injectStoreFault(f kvstore.Faults, duration time.Duration) {
	r.log("store %+v for %v", f, duration)
	r.setStoreFaults(f)
	time.AfterFunc(duration, func() { r.setStoreFaults(kvstore.Faults{}) })
}

// cutHostFromStore cuts a host off from the key-value service.
func (r *faultRun) cutHostFromStore(duration time.Duration) {
	h := r.hosts[r.rng.IntN(len(r.hosts))]
	r.log("cut %s off the store for %v", h.member.Host, duration)
	r.noteStoreFault()
	h.setStoreUnreachable(true)
	time.AfterFunc(duration, func() {
		r.noteStoreFault()
		h.setStoreUnreachable(false)
	})
}
