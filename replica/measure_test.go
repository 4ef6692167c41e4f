package replica

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/config"
	"hawthornway/engine"
	"hawthornway/model"
	"hawthornway/target"
	"hawthornway/team"
)

// policy is a placement policy under measurement.
type policy interface {
	// place waits for a replica until a deadline.
	place(host int, name model.Name, id team.ID, within time.Duration) (target.ID, bool)
	// use runs a request at a replica and reports whether the replica was
	// there.
	use(host int, name model.Name, id target.ID, took time.Duration) bool
}

// packagePolicy is the policy of this package.
type packagePolicy struct{ sim *simulation }

func (p packagePolicy) place(host int, name model.Name, id team.ID, within time.Duration) (target.ID, bool) {
	result, refusal := p.sim.ensureAndUse(p.sim.hosts[host], name, id, within, 0)
	return result.Replica.Target, refusal == nil
}

func (p packagePolicy) use(host int, name model.Name, id target.ID, took time.Duration) bool {
	return p.sim.runRequest(p.sim.hosts[host], name, id, took)
}

// fifoPolicy is the baseline. It loads models in the order of their requests,
// each on a random engine with free memory. If there is none, it evicts the
// least recently used replicas. It releases idle replicas after the same time
// as this package.
type fifoPolicy struct {
	sim *simulation
	rng *rand.Rand

	mu          sync.Mutex
	queue       []model.Name
	placedOn    map[model.Name]target.ID
	requested   map[model.Name]bool
	lastUse     map[model.Name]time.Time
	running     map[model.Name]int
	lastOrderID int
}

func newFIFOPolicy(sim *simulation) *fifoPolicy {
	return &fifoPolicy{
		sim: sim, rng: rand.New(rand.NewPCG(3, 4)), placedOn: make(map[model.Name]target.ID), requested: make(map[model.Name]bool),
		lastUse: make(map[model.Name]time.Time), running: make(map[model.Name]int),
	}
}

func (f *fifoPolicy) place(_ int, name model.Name, _ team.ID, within time.Duration) (target.ID, bool) {
	deadline := time.Now().Add(within)
	for {
		f.mu.Lock()
		if !f.requested[name] {
			f.requested[name] = true
			f.queue = append(f.queue, name)
		}
		f.startLoads()
		id, ready := f.placedOn[name], false
		if id != "" {
			ready = f.sim.engines[id].ready(name)
		}
		if ready {
			f.lastUse[name] = time.Now()
		}
		f.mu.Unlock()
		if ready {
			return id, true
		}
		if !time.Now().Before(deadline) {
			return "", false
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// startLoads starts the first loads of the queue that find memory, and releases
// idle replicas. The lock must be held.
func (f *fifoPolicy) startLoads() {
	for name, id := range f.placedOn {
		item := f.sim.catalog().Item(name)
		if f.sim.engines[id].ready(name) && f.running[name] == 0 && time.Since(f.lastUse[name]) > item.IdleTimeout {
			f.evict(name)
		}
	}
	for len(f.queue) > 0 {
		ids := slices.Sorted(maps.Keys(f.sim.engines))
		f.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
		i := slices.IndexFunc(ids, func(id target.ID) bool { return f.freeMemory(id, f.queue[0], false) })
		if i < 0 {
			i = slices.IndexFunc(ids, func(id target.ID) bool { return f.freeMemory(id, f.queue[0], true) })
		}
		if i < 0 {
			return
		}
		id := ids[i]
		name := f.queue[0]
		f.queue = f.queue[1:]
		f.placedOn[name] = id
		f.lastUse[name] = time.Now()
		f.sendOrder(id, engine.OrderLoad, name)
	}
}

// freeMemory reports whether an engine has memory for a model, after evicting
// its least recently used replicas if that is allowed.
func (f *fifoPolicy) freeMemory(id target.ID, name model.Name, evicting bool) bool {
	e := f.sim.engines[id]
	need := f.sim.catalog().Item(name).Bytes
	var idle []model.Name
	for other, at := range f.placedOn {
		if at != id {
			continue
		}
		need += f.sim.catalog().Item(other).Bytes
		if evicting && e.readySince(other) > time.Second && f.running[other] == 0 && time.Since(f.lastUse[other]) > time.Second {
			idle = append(idle, other)
		}
	}
	slices.SortFunc(idle, func(a, b model.Name) int {
		return cmp.Or(f.lastUse[a].Compare(f.lastUse[b]), cmp.Compare(a, b))
	})
	n := 0
	for ; n < len(idle) && need > e.cfg.Memory; n++ {
		need -= f.sim.catalog().Item(idle[n]).Bytes
	}
	if need > e.cfg.Memory {
		return false
	}
	for _, other := range idle[:n] {
		f.evict(other)
	}
	return true
}

func (f *fifoPolicy) evict(name model.Name) {
	id := f.placedOn[name]
	delete(f.placedOn, name)
	delete(f.requested, name)
	f.sendOrder(id, engine.OrderUnload, name)
}

func (f *fifoPolicy) sendOrder(id target.ID, kind engine.OrderKind, name model.Name) {
	f.lastOrderID++
	item := f.sim.catalog().Item(name)
	order := engine.Order{ID: engine.OrderID(fmt.Sprint(f.lastOrderID)), Kind: kind, Ref: item.Ref, Bytes: item.Bytes}
	_, _ = f.sim.engines[id].accept(order)
}

func (f *fifoPolicy) use(_ int, name model.Name, id target.ID, took time.Duration) bool {
	f.mu.Lock()
	f.running[name]++
	f.mu.Unlock()
	ok := f.sim.engines[id].serve(name, took)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[name]--
	f.lastUse[name] = time.Now()
	return ok
}

func (e *fakeEngine) ready(name model.Name) bool { return e.readySince(name) >= 0 }

// readySince returns how long a replica has been ready, or a negative time if
// it isn't.
func (e *fakeEngine) readySince(name model.Name) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.replicas {
		if r.Ref.Name == name && r.State == engine.ReplicaReady {
			return time.Since(r.readyAt)
		}
	}
	return -1
}

// measurements are the results of one run.
type measurements struct {
	p50, p99 time.Duration
	// quietP99 is the p99 of the quiet teams, which are those without high load.
	quietP99 time.Duration
	// idle is the accelerator time whose memory is held without a request: the
	// byte seconds of idle replicas, divided by the engine's memory.
	idle float64
	// worst is the smallest fraction of a team's requests that was met.
	worst     float64
	worstTeam team.ID
	met, all  int
	loads     int
	// metFractions holds the fraction of each team's requests that was met.
	metFractions []float64
}

// TestMeasuresAgainstBaseline runs one workload with this package and with the
// baseline. Most models are idle, one team keeps requesting many models, and
// the weight store is slow. Ratios are this package's value over the
// baseline's.
func TestMeasuresAgainstBaseline(t *testing.T) {
	var a, b measurements
	synctest.Test(t, func(t *testing.T) {
		sim := newMeasuredSimulation(t, 3)
		defer sim.close()
		a = sim.runWorkload(packagePolicy{sim})
		must.SliceEmpty(t, sim.foundViolations())
	})
	synctest.Test(t, func(t *testing.T) {
		sim := newMeasuredSimulation(t, 0)
		defer sim.close()
		b = sim.runWorkload(newFIFOPolicy(sim))
	})
	t.Logf("ours:     %+v", a)
	t.Logf("baseline: %+v", b)
	t.Logf("ratios: p50 %.2f, p99 %.2f, p99 of quiet teams %.2f, idle %.2f, worst team %.3f, met %.3f",
		float64(a.p50)/float64(b.p50), float64(a.p99)/float64(b.p99), float64(a.quietP99)/float64(b.quietP99),
		a.idle/b.idle, a.worst/b.worst, float64(a.met)/float64(b.met))
	must.LessEq(t, b.p99*11/10, a.p99)
	must.LessEq(t, b.quietP99, a.quietP99)
	must.LessEq(t, b.idle*1.2, a.idle)
	must.GreaterEq(t, b.worst*0.99, a.worst)
}

func newMeasuredSimulation(t *testing.T, hosts int) *simulation {
	cfg := testConfig(4, 40, func(cfg *config.Config) {
		for i := range cfg.Models {
			cfg.Models[i].LoadTime = time.Duration(2+i%4) * time.Second
			cfg.Models[i].Memory = model.Bytes(20 + 10*(i%3))
			cfg.Models[i].IdleAfter = 20 * time.Second
		}
	})
	weights := withWeightStore(&fakeWeightStore{rate: 3, slots: 4})
	return newSimulation(t, hosts, cfg, weights, withReportDelay(2*time.Millisecond), withBufferedLog(false))
}

// runWorkload runs five minutes of requests: team a requests its thirty models
// all the time, teams b and c request one of their five each now and then.
func (sim *simulation) runWorkload(p policy) measurements {
	const duration = 5 * time.Minute
	rng := rand.New(rand.NewPCG(11, 12))
	teams := []struct {
		id          team.ID
		first, last int
		interval    time.Duration
	}{{"a", 0, 30, 200 * time.Millisecond}, {"b", 30, 35, 6 * time.Second}, {"c", 35, 40, 6 * time.Second}}
	var mu sync.Mutex
	met, all := make(map[team.ID]int), make(map[team.ID]int)
	var coldWaits, quietWaits []time.Duration
	var wg sync.WaitGroup
	stop := make(chan struct{})
	idle := 0.0
	wg.Go(func() { idle = sim.measureIdleMemory(stop) })
	var callers sync.WaitGroup
	for _, teamLoad := range teams {
		seed := rng.Uint64()
		callers.Go(func() {
			rng := rand.New(rand.NewPCG(seed, 1))
			for end := time.Now().Add(duration); time.Now().Before(end); {
				time.Sleep(time.Duration(rng.ExpFloat64() * float64(teamLoad.interval)))
				name := testModel(teamLoad.first + rng.IntN(teamLoad.last-teamLoad.first))
				host, use := rng.IntN(3), time.Duration(200+rng.IntN(1500))*time.Millisecond
				callers.Go(func() {
					start := time.Now()
					id, ok := p.place(host, name, teamLoad.id, 20*time.Second)
					waited := time.Since(start)
					if ok {
						ok = p.use(host, name, id, use)
					}
					if !ok {
						waited = 20 * time.Second
					}
					mu.Lock()
					defer mu.Unlock()
					all[teamLoad.id]++
					if ok {
						met[teamLoad.id]++
					}
					if waited > 100*time.Millisecond {
						coldWaits = append(coldWaits, waited)
						if teamLoad.id != "a" {
							quietWaits = append(quietWaits, waited)
						}
					}
				})
			}
		})
	}
	callers.Wait()
	close(stop)
	wg.Wait()
	slices.Sort(coldWaits)
	slices.Sort(quietWaits)
	m := measurements{
		p50: coldWaits[len(coldWaits)/2], p99: coldWaits[len(coldWaits)*99/100], quietP99: quietWaits[len(quietWaits)*99/100],
		idle: idle, worst: 2, loads: sim.loads,
	}
	for _, teamLoad := range teams {
		m.met += met[teamLoad.id]
		m.all += all[teamLoad.id]
		m.metFractions = append(m.metFractions, float64(met[teamLoad.id])/float64(all[teamLoad.id]))
		if metFraction := float64(met[teamLoad.id]) / float64(all[teamLoad.id]); metFraction < m.worst {
			m.worst, m.worstTeam = metFraction, teamLoad.id
		}
	}
	return m
}

// measureIdleMemory sums the fraction of the engines' memory that holds
// replicas without a request, sampled every half second until stopped.
func (sim *simulation) measureIdleMemory(stop <-chan struct{}) float64 {
	const step = 500 * time.Millisecond
	idle := 0.0
	for {
		select {
		case <-stop:
			return idle
		case <-time.After(step):
		}
		for _, e := range sim.engines {
			e.mu.Lock()
			for _, r := range e.replicas {
				if r.State == engine.ReplicaReady && e.running[r.Ref.Name] == 0 {
					idle += step.Seconds() * float64(r.Bytes) / float64(e.cfg.Memory)
				}
			}
			e.mu.Unlock()
		}
	}
}
