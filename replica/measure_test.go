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

// placer is a policy that is measured.
type placer interface {
	// place waits for a replica up to a deadline.
	place(host int, name model.Name, id team.ID, within time.Duration) (target.ID, bool)
	// use runs a request at a replica and reports whether it was there.
	use(host int, name model.Name, id target.ID, took time.Duration) bool
}

// ours is the policy of this package.
type ours struct{ w *world }

func (o ours) place(host int, name model.Name, id team.ID, within time.Duration) (target.ID, bool) {
	wait, refusal := o.w.ask(o.w.hosts[host], name, id, within, 0)
	return wait.Replica.Target, refusal == nil
}

func (o ours) use(host int, name model.Name, id target.ID, took time.Duration) bool {
	return o.w.request(o.w.hosts[host], name, id, took)
}

// firstCome is the baseline: loads in the order of their coming, each at an
// engine with room drawn at random, least recently used replicas evicted if there
// is none, idle ones released after the same time as ours.
type firstCome struct {
	w   *world
	rng *rand.Rand

	mu      sync.Mutex
	queue   []model.Name
	at      map[model.Name]target.ID
	coming  map[model.Name]bool
	lastUse map[model.Name]time.Time
	running map[model.Name]int
	next    int
}

func newFirstCome(w *world) *firstCome {
	return &firstCome{
		w: w, rng: rand.New(rand.NewPCG(3, 4)), at: make(map[model.Name]target.ID), coming: make(map[model.Name]bool),
		lastUse: make(map[model.Name]time.Time), running: make(map[model.Name]int),
	}
}

func (f *firstCome) place(_ int, name model.Name, _ team.ID, within time.Duration) (target.ID, bool) {
	deadline := time.Now().Add(within)
	for {
		f.mu.Lock()
		if !f.coming[name] {
			f.coming[name] = true
			f.queue = append(f.queue, name)
		}
		f.step()
		id, ready := f.at[name], false
		if id != "" {
			ready = f.w.engines[id].ready(name)
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

// step starts the first loads of the queue that find room, and releases idle
// replicas; the lock is held.
func (f *firstCome) step() {
	for name, id := range f.at {
		item := f.w.catalog().Item(name)
		if f.w.engines[id].ready(name) && f.running[name] == 0 && time.Since(f.lastUse[name]) > item.IdleAfter {
			f.evict(name)
		}
	}
	for len(f.queue) > 0 {
		ids := slices.Sorted(maps.Keys(f.w.engines))
		f.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
		i := slices.IndexFunc(ids, func(id target.ID) bool { return f.makeRoom(id, f.queue[0], false) })
		if i < 0 {
			i = slices.IndexFunc(ids, func(id target.ID) bool { return f.makeRoom(id, f.queue[0], true) })
		}
		if i < 0 {
			return
		}
		id := ids[i]
		name := f.queue[0]
		f.queue = f.queue[1:]
		f.at[name] = id
		f.lastUse[name] = time.Now()
		f.order(id, engine.OrderLoad, name)
	}
}

// makeRoom reports whether an engine has room for a model, after the eviction of
// its least recently used replicas if that is allowed.
func (f *firstCome) makeRoom(id target.ID, name model.Name, evicting bool) bool {
	e := f.w.engines[id]
	need := f.w.catalog().Item(name).Bytes
	var idle []model.Name
	for other, at := range f.at {
		if at != id {
			continue
		}
		need += f.w.catalog().Item(other).Bytes
		if evicting && e.readySince(other) > time.Second && f.running[other] == 0 && time.Since(f.lastUse[other]) > time.Second {
			idle = append(idle, other)
		}
	}
	slices.SortFunc(idle, func(a, b model.Name) int {
		return cmp.Or(f.lastUse[a].Compare(f.lastUse[b]), cmp.Compare(a, b))
	})
	n := 0
	for ; n < len(idle) && need > e.cfg.Memory; n++ {
		need -= f.w.catalog().Item(idle[n]).Bytes
	}
	if need > e.cfg.Memory {
		return false
	}
	for _, other := range idle[:n] {
		f.evict(other)
	}
	return true
}

func (f *firstCome) evict(name model.Name) {
	id := f.at[name]
	delete(f.at, name)
	delete(f.coming, name)
	f.order(id, engine.OrderUnload, name)
}

func (f *firstCome) order(id target.ID, kind engine.OrderKind, name model.Name) {
	f.next++
	item := f.w.catalog().Item(name)
	order := engine.Order{ID: engine.OrderID(fmt.Sprint(f.next)), Kind: kind, Ref: item.Ref, Bytes: item.Bytes}
	_, _ = f.w.engines[id].take(order)
}

func (f *firstCome) use(_ int, name model.Name, id target.ID, took time.Duration) bool {
	f.mu.Lock()
	f.running[name]++
	f.mu.Unlock()
	ok := f.w.engines[id].serve(name, took)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[name]--
	f.lastUse[name] = time.Now()
	return ok
}

func (e *fakeEngine) ready(name model.Name) bool { return e.readySince(name) >= 0 }

// readySince returns how long a replica has been ready, or less than zero if it
// isn't.
func (e *fakeEngine) readySince(name model.Name) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.loaded {
		if l.Ref.Name == name && l.State == engine.ReplicaReady {
			return time.Since(l.readyAt)
		}
	}
	return -1
}

// measures are the results of one run.
type measures struct {
	p50, p99 time.Duration
	// quietP99 is that of the teams that are not loud.
	quietP99 time.Duration
	// idle is the memory held without a request, in byte seconds, per engine
	// memory: idle accelerator seconds.
	idle float64
	// worst is the least part of a team's wants that was met.
	worst     float64
	worstTeam team.ID
	met, all  int
	loads     int
	parts     []float64
}

// TestMeasuresAgainstBaseline runs one scenario with this package and with the
// baseline. Most models are idle, a loud team wakes many of its own, and the
// weight store is slow. Ratios are ours over the baseline's.
func TestMeasuresAgainstBaseline(t *testing.T) {
	var a, b measures
	synctest.Test(t, func(t *testing.T) {
		w := newMeasuredWorld(t, 3)
		defer w.close()
		a = w.measure(ours{w})
		must.SliceEmpty(t, w.found())
	})
	synctest.Test(t, func(t *testing.T) {
		w := newMeasuredWorld(t, 0)
		defer w.close()
		b = w.measure(newFirstCome(w))
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

func newMeasuredWorld(t *testing.T, hosts int) *world {
	cfg := testConfig(4, 40, func(cfg *config.Config) {
		for i := range cfg.Models {
			cfg.Models[i].LoadTime = time.Duration(2+i%4) * time.Second
			cfg.Models[i].Memory = model.Bytes(20 + 10*(i%3))
			cfg.Models[i].IdleAfter = 20 * time.Second
		}
	})
	weights := withWeights(&fakeWeights{rate: 3, slots: 4})
	return newWorld(t, hosts, cfg, weights, withReportDelay(2*time.Millisecond), withQuiet(false))
}

// measure runs five minutes of requests: team a wakes its thirty models all the
// time, teams b and c one of their five each now and then.
func (w *world) measure(p placer) measures {
	const span = 5 * time.Minute
	rng := rand.New(rand.NewPCG(11, 12))
	teams := []struct {
		id          team.ID
		first, last int
		every       time.Duration
	}{{"a", 0, 30, 200 * time.Millisecond}, {"b", 30, 35, 6 * time.Second}, {"c", 35, 40, 6 * time.Second}}
	var mu sync.Mutex
	met, all := make(map[team.ID]int), make(map[team.ID]int)
	var cold, quiet []time.Duration
	var group sync.WaitGroup
	stop := make(chan struct{})
	idle := 0.0
	group.Go(func() { idle = w.watchIdle(stop) })
	var callers sync.WaitGroup
	for _, of := range teams {
		seed := rng.Uint64()
		callers.Go(func() {
			rng := rand.New(rand.NewPCG(seed, 1))
			for end := time.Now().Add(span); time.Now().Before(end); {
				time.Sleep(time.Duration(rng.ExpFloat64() * float64(of.every)))
				name := testModel(of.first + rng.IntN(of.last-of.first))
				host, use := rng.IntN(3), time.Duration(200+rng.IntN(1500))*time.Millisecond
				callers.Go(func() {
					start := time.Now()
					id, ok := p.place(host, name, of.id, 20*time.Second)
					waited := time.Since(start)
					if ok {
						ok = p.use(host, name, id, use)
					}
					if !ok {
						waited = 20 * time.Second
					}
					mu.Lock()
					defer mu.Unlock()
					all[of.id]++
					if ok {
						met[of.id]++
					}
					if waited > 100*time.Millisecond {
						cold = append(cold, waited)
						if of.id != "a" {
							quiet = append(quiet, waited)
						}
					}
				})
			}
		})
	}
	callers.Wait()
	close(stop)
	group.Wait()
	slices.Sort(cold)
	slices.Sort(quiet)
	m := measures{
		p50: cold[len(cold)/2], p99: cold[len(cold)*99/100], quietP99: quiet[len(quiet)*99/100],
		idle: idle, worst: 2, loads: w.loads,
	}
	for _, of := range teams {
		m.met += met[of.id]
		m.all += all[of.id]
		m.parts = append(m.parts, float64(met[of.id])/float64(all[of.id]))
		if part := float64(met[of.id]) / float64(all[of.id]); part < m.worst {
			m.worst, m.worstTeam = part, of.id
		}
	}
	return m
}

// watchIdle adds up the part of engines' memory that holds replicas without a
// request, each half second until it is stopped.
func (w *world) watchIdle(stop <-chan struct{}) float64 {
	const step = 500 * time.Millisecond
	idle := 0.0
	for {
		select {
		case <-stop:
			return idle
		case <-time.After(step):
		}
		for _, e := range w.engines {
			e.mu.Lock()
			for _, l := range e.loaded {
				if l.State == engine.ReplicaReady && e.running[l.Ref.Name] == 0 {
					idle += step.Seconds() * float64(l.Bytes) / float64(e.cfg.Memory)
				}
			}
			e.mu.Unlock()
		}
	}
}
