package coordinator

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"hawthornway/catalog"
	"hawthornway/model"
	"hawthornway/placement"
	"hawthornway/roster"
	"hawthornway/target"
)

// engine is what the coordinator knows of one engine. Its fields are guarded by
// the coordinator's lock.
type engine struct {
	target roster.Target
	// known says that a report of this start of the engine was read.
	known    bool
	start    roster.Start
	sequence roster.Sequence
	// resident are the models that can run, with their adapters and when each
	// was last asked for.
	resident map[model.Name]*resident
	inMemory map[model.Name]bool
	onDisk   map[model.Name]bool
	work     int
	// busy says that the last report told of an order in progress, and fetching
	// the adapters on their way by it.
	busy     bool
	fetching int
	// own says that the order for a model in progress is one that this coordinator
	// knows to be taken. Another one is a former coordinator's, or one whose answer
	// was lost.
	own    bool
	job    *placement.Job
	freeAt time.Time
	// failed counts reports in a row that could not be read.
	failed  int
	version uint64

	jobs     chan placement.Job
	adapters chan adapterJob
	// pending are adapters that are asked for and not loaded yet.
	pending map[adapterJob]bool
	cancel  context.CancelFunc
}

type resident struct {
	// leaving says that the model is being unloaded. Its memory is still taken.
	leaving bool
	// dropped says that the engine has taken the order to unload the model. It
	// takes no other order for a model until the memory is free.
	dropped bool
	asked   time.Time
	// since is when a load from near was expected to have ended.
	since    time.Time
	adapters map[model.Name]time.Time
}

type adapterJob struct {
	model   model.Name
	adapter model.Name
}

// mostFailed is the number of reports in a row that can't be read after which
// an engine isn't used for loads.
const mostFailed = 2

// unknownOrder is the time that an order of another coordinator is taken to last
// still.
const unknownOrder = 3 * time.Second

// unknownOrderRuns reports whether an order for a model is in progress that isn't
// known here. What it loads shows only in a report after its end.
func (e *engine) unknownOrderRuns() bool { return e.busy && !e.own }

// usable reports whether an engine may get orders.
func (e *engine) usable() bool {
	return e.known && !e.target.Draining && e.failed < mostFailed
}

// touch takes note of a request for a model.
func (e *engine) touch(name, adapter model.Name, now time.Time) {
	r, ok := e.resident[name]
	if !ok {
		return
	}
	r.asked = now
	if _, ok := r.adapters[adapter]; ok {
		r.adapters[adapter] = now
	}
}

func (e *engine) has(name, adapter model.Name) bool {
	r, ok := e.resident[name]
	if !ok || r.leaving {
		return false
	}
	if adapter == "" {
		return true
	}
	_, ok = r.adapters[adapter]
	return ok
}

// adapterCount returns the number of adapters that the engine holds or fetches.
func (e *engine) adapterCount() int {
	n := e.fetching
	for _, r := range e.resident {
		n += len(r.adapters)
	}
	return n
}

func (e *engine) wire(now time.Time) wireEngine {
	w := wireEngine{Version: e.version, Target: e.target.ID, Start: e.start, Work: e.work}
	if e.job != nil && e.job.Source == placement.SourceStore {
		w.Loading, w.ReadyIn = e.job.Load, e.freeAt.Sub(now).Milliseconds()
	}
	for name, r := range e.resident {
		if r.leaving {
			continue
		}
		m := wireResident{Model: name}
		for adapter := range r.adapters {
			m.Adapters = append(m.Adapters, adapter)
		}
		slices.Sort(m.Adapters)
		w.Models = append(w.Models, m)
	}
	slices.SortFunc(w.Models, func(a, b wireResident) int { return cmp.Compare(a.Model, b.Model) })
	return w
}

// describe returns the engine as the planner sees it.
func (e *engine) describe(pool catalog.Pool, running map[runningKey]int, now time.Time) placement.Engine {
	d := placement.Engine{
		ID:       e.target.ID,
		Domain:   e.target.Domain,
		Memory:   pool.Engines.Memory - adapterRoom(pool),
		InMemory: e.inMemory,
		OnDisk:   e.onDisk,
		FreeAt:   e.freeAt,
		Busy:     e.job != nil || e.busy,
		Work:     max(e.work, running[runningKey{target: e.target.ID}]),
		Slots:    e.target.Slots,
	}
	switch {
	case e.job != nil:
		d.Loading = e.job.Load
	case e.busy:
		d.FreeAt = now.Add(unknownOrder)
	}
	for name, r := range e.resident {
		d.Resident = append(d.Resident, placement.Resident{
			Model:   name,
			Size:    pool.Engines.Models[name].Size,
			Running: running[runningKey{e.target.ID, name}],
			Asked:   r.asked,
			Leaving: r.leaving,
		})
	}
	slices.SortFunc(d.Resident, func(a, b placement.Resident) int { return cmp.Compare(a.Model, b.Model) })
	return d
}

// adapterRoom is the memory that is left aside for adapters.
func adapterRoom(pool catalog.Pool) model.Bytes {
	var largest model.Bytes
	for _, m := range pool.Engines.Models {
		largest = max(largest, m.AdapterSize)
	}
	return largest * model.Bytes(pool.Engines.AdapterSlots)
}

// room is the memory that another model may take with the engine's next order.
func (e *engine) room(pool catalog.Pool) model.Bytes {
	room := pool.Engines.Memory - adapterRoom(pool)
	for name, r := range e.resident {
		if !r.dropped {
			room -= pool.Engines.Models[name].Size
		}
	}
	return room
}

func sortEngines(engines []placement.Engine) {
	slices.SortFunc(engines, func(a, b placement.Engine) int { return cmp.Compare(a.ID, b.ID) })
}

// follow starts and ends the work on engines as they come and go.
func (c *Coordinator) follow(ctx context.Context, workers *sync.WaitGroup, current *catalog.Catalog) {
	seen := map[target.ID]bool{}
	for _, t := range c.roster.All() {
		pool, ok := current.Pool(t.Pool)
		if !ok || pool.Engines == nil {
			continue
		}
		seen[t.ID] = true
		e, ok := c.engines[t.ID]
		if ok && e.target.Start == t.Start && e.target.Address == t.Address {
			e.target = t
			continue
		}
		if ok {
			e.cancel() // it was started anew and holds nothing of before
		}
		c.engines[t.ID] = c.newEngine(ctx, workers, t)
	}
	for id, e := range c.engines {
		if !seen[id] {
			e.cancel()
			delete(c.engines, id)
		}
	}
}

func (c *Coordinator) newEngine(ctx context.Context, workers *sync.WaitGroup, t roster.Target) *engine {
	ctx, cancel := context.WithCancel(ctx)
	e := &engine{
		target:   t,
		start:    t.Start,
		sequence: t.Sequence,
		resident: map[model.Name]*resident{},
		jobs:     make(chan placement.Job, 1),
		adapters: make(chan adapterJob, 64),
		pending:  map[adapterJob]bool{},
		cancel:   cancel,
	}
	w := &worker{coordinator: c, engine: e, target: t}
	workers.Go(func() { w.run(ctx) })
	return e
}

// start hands a job to its engine's worker.
func (c *Coordinator) start(pool catalog.Pool, job placement.Job) {
	e, ok := c.engines[job.Engine]
	if !ok || e.job != nil {
		return
	}
	now := c.clock.Now()
	e.job, e.freeAt = &job, now.Add(loadTime(pool, job))
	if job.Source == placement.SourceStore {
		c.loads = append(c.loads, now)
		c.publish(e)
	}
	c.log.Info("coordinator: job", "engine", job.Engine, "load", job.Load, "evict", job.Evict,
		"source", job.Source.String(), "reason", job.Reason, "rate", c.rateOf(job.Load, now), "fence", c.fence)
	e.jobs <- job // the channel has room for the one job that an engine has
}

func (c *Coordinator) rateOf(name model.Name, now time.Time) float64 {
	if r, ok := c.rates[name]; ok {
		return r.decayed(now).requests
	}
	return 0
}

func loadTime(pool catalog.Pool, job placement.Job) time.Duration {
	m := pool.Engines.Models[job.Load]
	switch job.Source {
	case placement.SourceMemory:
		return m.MemoryLoadTime
	case placement.SourceDisk:
		return m.DiskLoadTime
	default:
		return m.StoreLoadTime
	}
}

// loadAdapters asks engines for the adapters that requests wait for.
func (c *Coordinator) loadAdapters(pool catalog.Pool) {
	for key := range c.wants {
		if key.pool != pool.Name || key.adapter == "" {
			continue
		}
		job := adapterJob{key.model, key.adapter}
		if e := c.engineFor(pool, job); e != nil && !e.pending[job] {
			select {
			case e.adapters <- job:
				e.pending[job] = true
			default: // its worker is behind; the want is repeated
			}
		}
	}
}

// engineFor returns the engine that should load an adapter, or nil if none can
// or one has it.
func (c *Coordinator) engineFor(pool catalog.Pool, job adapterJob) *engine {
	var best *engine
	for _, e := range c.engines {
		if e.target.Pool != pool.Name || !e.usable() || !e.has(job.model, "") {
			continue
		}
		if e.has(job.model, job.adapter) {
			c.publish(e) // the host that asks has missed it
			return nil
		}
		if e.pending[job] {
			return e
		}
		if best == nil || c.adapterCost(pool, e) < c.adapterCost(pool, best) ||
			(c.adapterCost(pool, e) == c.adapterCost(pool, best) && e.target.ID < best.target.ID) {
			best = e
		}
	}
	return best
}

// adapterCost orders engines for another adapter: those with free places first,
// then those with less work.
func (c *Coordinator) adapterCost(pool catalog.Pool, e *engine) int {
	full := max(0, e.adapterCount()+len(e.pending)-pool.Engines.AdapterSlots+1)
	return full*1000 + e.work
}

// publish has all hosts told what an engine holds.
func (c *Coordinator) publish(e *engine) {
	c.dirty[e] = true
	c.wake()
}

func (c *Coordinator) ledgerHosts() int {
	if c.ledger == nil {
		return 0
	}
	return c.ledger.Hosts()
}
