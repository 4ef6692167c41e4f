package coordinator

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"hawthornway/catalog"
	"hawthornway/model"
	"hawthornway/pace"
	"hawthornway/placement"
	"hawthornway/platform"
	"hawthornway/roster"
	"hawthornway/target"
)

// engine is the coordinator's state of one engine. Its fields are guarded by the
// coordinator's lock.
type engine struct {
	target roster.Target
	// reported is set once a report of this start of the engine was read.
	reported bool
	start    roster.StartID
	sequence roster.Sequence
	// orderedAt is when the engine last accepted an order.
	orderedAt time.Time
	// resident holds the loaded models.
	resident map[model.Name]*resident
	inMemory placement.HostMemory
	onDisk   map[model.Name]bool
	// work is the number of requests running and waiting at the engine.
	work int
	// busy is set if an order for a model was in progress according to the last report,
	// and fetchingAdapters is the number of adapters that were being fetched.
	busy             bool
	fetchingAdapters int
	// ownOrder is set while the model order in progress is one that this coordinator
	// gave and knows to be accepted. Any other order is from a former coordinator, or
	// the response to it was lost.
	ownOrder bool
	// job is the job in progress, or nil, and freeAt the time when it is expected to
	// end.
	job    *placement.Job
	freeAt time.Time
	// loadAccepted is set while the load of the job in progress is accepted and not ended.
	loadAccepted bool
	// failedReports counts consecutive reports that could not be read.
	failedReports int
	// version is the version of the last view that included the engine, or zero.
	version uint64

	// doubted triggers a poll, since requests wait for a model that the engine should
	// already hold.
	doubted chan struct{}
	// polledAt is when the last poll ended.
	polledAt    time.Time
	jobs        chan placement.Job
	adapterJobs chan adapterJob
	// leavingAdapters holds the adapters whose unload the engine has accepted while
	// requests used them. They keep their slots until a report no longer shows them.
	leavingAdapters map[adapterJob]bool
	// uncertainAdapters holds the reported adapters that this coordinator hasn't loaded. A
	// former one may have had them unloaded while requests use them, and the engine may
	// answer a further unload as already done.
	uncertainAdapters map[adapterJob]bool
	// pendingAdapters holds the adapter loads that are queued or in progress.
	pendingAdapters map[adapterJob]bool
	// unconfirmedAdapters holds the adapters whose load the engine has accepted and that no
	// report has shown yet.
	unconfirmedAdapters map[adapterJob]bool
	cancel              context.CancelFunc
}

// resident is a model that an engine holds.
type resident struct {
	// unloading is set while the model is being unloaded. It still occupies memory.
	unloading bool
	// unloadAccepted is set once the engine has accepted the unload order. The engine
	// accepts no other order for a model until the memory is free.
	unloadAccepted bool
	lastUsed       time.Time
	// loadExpectedAt is when a load from the engine's memory or disk was expected to
	// end. It is zero for models that were first seen in a report.
	loadExpectedAt  time.Time
	adapterLastUsed map[model.Name]time.Time
}

type adapterJob struct {
	model   model.Name
	adapter model.Name
}

// fullName returns the name of the adapter among those of all models.
func (j adapterJob) fullName() model.Name { return model.FullName(j.model, j.adapter) }

// maxFailedReports is the number of consecutive failed reports after which an engine
// gets no more loads.
const maxFailedReports = 2

// unknownOrderDuration is the assumed remaining duration of an order that this
// coordinator didn't give.
const unknownOrderDuration = 3 * time.Second

// hasUnknownOrder reports whether a model order is in progress that this
// coordinator doesn't know. The model it loads only appears in a report after the
// order has ended.
func (e *engine) hasUnknownOrder() bool { return e.busy && !e.ownOrder }

// usable reports whether an engine may get orders.
func (e *engine) usable() bool {
	return e.reported && !e.target.Draining && e.failedReports < maxFailedReports
}

// recordUse records that a request used a model and, if named, an adapter.
func (e *engine) recordUse(name, adapter model.Name, now time.Time) {
	r, ok := e.resident[name]
	if !ok {
		return
	}
	r.lastUsed = now
	if _, ok := r.adapterLastUsed[adapter]; ok {
		r.adapterLastUsed[adapter] = now
	}
}

// has reports whether an engine holds a model and, if named, an adapter.
func (e *engine) has(name, adapter model.Name) bool {
	r, ok := e.resident[name]
	if !ok || r.unloading {
		return false
	}
	if adapter == "" {
		return true
	}
	_, ok = r.adapterLastUsed[adapter]
	return ok
}

// adapterCount returns the number of adapters that are loaded, being fetched or being
// unloaded.
func (e *engine) adapterCount() int {
	n := e.fetchingAdapters + len(e.leavingAdapters)
	for _, r := range e.resident {
		n += len(r.adapterLastUsed)
	}
	return n
}

func (e *engine) wire(now time.Time) wireEngine {
	w := wireEngine{Version: e.version, Target: e.target.ID, Start: e.start, Work: e.work}
	if e.job != nil && e.job.Source == placement.SourceWeightStore {
		w.Loading, w.ReadyIn = e.job.Load, e.freeAt.Sub(now).Milliseconds()
	}
	for name, r := range e.resident {
		if r.unloading {
			continue
		}
		m := wireResident{Model: name}
		for adapter := range r.adapterLastUsed {
			m.Adapters = append(m.Adapters, adapter)
		}
		slices.Sort(m.Adapters)
		w.Models = append(w.Models, m)
	}
	slices.SortFunc(w.Models, func(a, b wireResident) int { return cmp.Compare(a.Model, b.Model) })
	return w
}

// mayLoad reports whether an engine may be ordered to load models for requests. Those of an
// evacuated domain get none.
func (c *Coordinator) mayLoad(e *engine) bool {
	return e.usable() && !c.roster.Evacuations().Includes(e.target.Domain)
}

// limited reports whether an engine takes a limited number of requests only, for longer than it
// takes to warm up.
func (c *Coordinator) limited(e *engine) bool { return c.limits.Stated(pace.KeyOf(e.target)) }

// plannerEngine returns the engine's state as input for the planner.
func (e *engine) plannerEngine(pool catalog.Pool, running map[runningKey]int, now time.Time) placement.Engine {
	state := placement.Engine{
		ID:       e.target.ID,
		Domain:   e.target.Domain,
		Version:  e.target.Version,
		Memory:   pool.Engines.Memory - adapterMemory(pool),
		InMemory: e.inMemory,
		OnDisk:   e.onDisk,
		FreeAt:   e.freeAt,
		Busy:     e.job != nil || e.busy,
		Work:     max(e.work, running[runningKey{target: e.target.ID}]),
		Slots:    e.target.Slots,
	}
	switch {
	case e.job != nil:
		state.Loading, state.LoadingFrom = e.job.Load, e.job.Source
	case e.busy:
		state.FreeAt = now.Add(unknownOrderDuration)
	}
	for name, r := range e.resident {
		state.Resident = append(state.Resident, placement.Resident{
			Model:     name,
			Size:      pool.Engines.Models[name].Size,
			Running:   running[runningKey{e.target.ID, name}],
			LastUsed:  r.lastUsed,
			Unloading: r.unloading,
		})
	}
	slices.SortFunc(state.Resident, func(a, b placement.Resident) int { return cmp.Compare(a.Model, b.Model) })
	return state
}

// adapterMemory returns the memory reserved for adapters on each engine of a pool.
func adapterMemory(pool catalog.Pool) model.Bytes {
	var largest model.Bytes
	for _, m := range pool.Engines.Models {
		largest = max(largest, m.AdapterSize)
	}
	return largest * model.Bytes(pool.Engines.AdapterSlots)
}

// freeMemory returns the memory available to a model loaded by the engine's next
// order. The engine accepts that order only after accepted unloads have freed theirs.
func (e *engine) freeMemory(pool catalog.Pool) model.Bytes {
	free := pool.Engines.Memory - adapterMemory(pool)
	for name, r := range e.resident {
		if !r.unloadAccepted {
			free -= pool.Engines.Models[name].Size
		}
	}
	return free
}

func sortEngines(engines []placement.Engine) {
	slices.SortFunc(engines, func(a, b placement.Engine) int { return cmp.Compare(a.ID, b.ID) })
}

// followRoster starts a worker for each engine that has joined the roster or has
// restarted, and stops the workers of those that have left or restarted.
func (c *Coordinator) followRoster(ctx context.Context, workers *sync.WaitGroup, current *catalog.Catalog) {
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
			c.loseEngine(e) // it has restarted and lost its models
		}
		c.engines[t.ID] = c.newEngine(ctx, workers, t)
	}
	for id, e := range c.engines {
		if !seen[id] {
			c.loseEngine(e)
			delete(c.engines, id)
		}
	}
}

// outlived forgets the accepted adapter loads that a report of the same engine no longer has
// as pending: an engine that ends later doesn't end because of them.
func (e *engine) outlived(pending []platform.Pending) {
	maps.DeleteFunc(e.unconfirmedAdapters, func(job adapterJob, _ bool) bool {
		return !slices.ContainsFunc(pending, func(p platform.Pending) bool { return adapterJob{p.Model, p.Adapter} == job })
	})
}

// loseEngine stops the worker of an engine that is gone. It may have ended because of a load.
func (c *Coordinator) loseEngine(e *engine) {
	e.cancel()
	if e.target.Draining {
		return
	}
	if e.job != nil && e.loadAccepted {
		c.recordFailedLoad(e.job.Load, e.target.ID, e.start)
	}
	for job := range e.unconfirmedAdapters {
		c.recordFailedLoad(job.fullName(), e.target.ID, e.start)
	}
}

func (c *Coordinator) newEngine(ctx context.Context, workers *sync.WaitGroup, t roster.Target) *engine {
	ctx, cancel := context.WithCancel(ctx)
	e := &engine{
		target:              t,
		start:               t.Start,
		sequence:            t.Sequence,
		resident:            map[model.Name]*resident{},
		doubted:             make(chan struct{}, 1),
		jobs:                make(chan placement.Job, 1),
		adapterJobs:         make(chan adapterJob, 64),
		leavingAdapters:     map[adapterJob]bool{},
		pendingAdapters:     map[adapterJob]bool{},
		uncertainAdapters:   map[adapterJob]bool{},
		unconfirmedAdapters: map[adapterJob]bool{},
		cancel:              cancel,
	}
	w := &worker{coordinator: c, engine: e, target: t, fence: c.fence}
	workers.Go(func() { w.run(ctx) })
	return e
}

// startJob passes a job to its engine's worker.
func (c *Coordinator) startJob(pool catalog.Pool, job placement.Job) {
	e, ok := c.engines[job.Engine]
	if !ok || e.job != nil || !c.mayLoad(e) {
		return // the engine has changed since the plan was made
	}
	now := c.clock.Now()
	e.job, e.freeAt = &job, now.Add(placement.LoadTime(pool.Engines.Models[job.Load], job.Source))
	if job.Source == placement.SourceWeightStore {
		c.weightStoreLoadTimes = append(c.weightStoreLoadTimes, now)
		c.publish(e)
	}
	c.log.Info("coordinator: job", "engine", job.Engine, "load", job.Load, "evict", job.Evict,
		"source", job.Source.String(), "reason", job.Reason, "rate", c.rateOf(job.Load, now), "fence", c.fence)
	e.jobs <- job // never blocks: an engine has at most one job, and the channel buffers one
}

func (c *Coordinator) rateOf(name model.Name, now time.Time) float64 {
	if r, ok := c.rates[name]; ok {
		return r.decayed(now).requests
	}
	return 0
}

// queueAdapterLoads queues loads of the adapters that requests wait for.
func (c *Coordinator) queueAdapterLoads(pool catalog.Pool) {
	held := c.heldModels(c.clock.Now())
	for key := range c.loadRequests {
		job := adapterJob{key.Model, key.Adapter}
		if key.Pool != pool.Name || key.Adapter == "" || held[job.fullName()] {
			continue
		}
		if e := c.adapterEngine(pool, key); e != nil && !e.pendingAdapters[job] {
			select {
			case e.adapterJobs <- job:
				e.pendingAdapters[job] = true
			default: // the worker's queue is full; hosts repeat the load request
			}
		}
	}
}

// adapterEngine returns the engine that should load an adapter, or nil if no engine
// can load it or one already has it.
func (c *Coordinator) adapterEngine(pool catalog.Pool, need Need) *engine {
	job := adapterJob{need.Model, need.Adapter}
	var best *engine
	for _, e := range c.engines {
		if !need.servedBy(e.target, c.regions) || !c.mayLoad(e) || !e.has(job.model, "") {
			continue
		}
		if e.has(job.model, job.adapter) {
			if c.limited(e) {
				continue // requests wait although this engine could run them
			}
			c.publish(e) // the requesting host doesn't know yet that the adapter is loaded
			return nil
		}
		if e.pendingAdapters[job] {
			return e
		}
		if best == nil || c.adapterCost(pool, e) < c.adapterCost(pool, best) ||
			(c.adapterCost(pool, e) == c.adapterCost(pool, best) && e.target.ID < best.target.ID) {
			best = e
		}
	}
	return best
}

// limitedCost is more than any number of adapters and requests adds to the cost of an engine.
const limitedCost = 1_000_000

// adapterCost ranks engines for another adapter: those without a limit come first, then
// those with free adapter slots, then those with fewer requests.
func (c *Coordinator) adapterCost(pool catalog.Pool, e *engine) int {
	excess := max(0, e.adapterCount()+len(e.pendingAdapters)-pool.Engines.AdapterSlots+1)
	cost := excess*1000 + e.work
	if c.limited(e) {
		cost += limitedCost
	}
	return cost
}

// publish includes an engine in the next view that is broadcast to hosts.
func (c *Coordinator) publish(e *engine) {
	c.dirty[e] = true
	c.wake()
}

// Hosts returns the number of hosts that have recently reported to this coordinator.
func (c *Coordinator) Hosts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledgerHosts()
}

// ledgerHosts returns the number of hosts that may spend tokens of the ledger, or zero
// outside a term.
func (c *Coordinator) ledgerHosts() int {
	if c.ledger == nil {
		return 0
	}
	return c.ledger.Hosts()
}
