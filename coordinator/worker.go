package coordinator

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"hawthornway/catalog"
	"hawthornway/model"
	"hawthornway/placement"
	"hawthornway/platform"
	"hawthornway/roster"
	"hawthornway/target"
)

// The timing and limits of a worker.
const (
	// idlePollInterval is the minimum interval between two polls of an idle engine.
	idlePollInterval = time.Second
	// failedPollInterval is the interval between polls of an engine that did not answer
	// the last one, until it counts as unusable.
	failedPollInterval = 200 * time.Millisecond
	// minDoubtAge is the age of a load request from which an engine that should already
	// hold the model is polled. Hosts that have just not received the view of a load
	// repeat their request until then.
	minDoubtAge = 300 * time.Millisecond
	// pollIntervalPerEngine extends the poll interval with the number of engines, which
	// limits polls of all idle engines to about 30 per second.
	pollIntervalPerEngine = 30 * time.Millisecond
	// maxConcurrentPolls limits the concurrent polls of idle engines, which take about
	// 5 MB. If a third of 3,000 engines doesn't answer, all have been polled after 4 s.
	maxConcurrentPolls = 128
	// overduePollInterval is the interval between polls of an engine whose load has taken
	// longer than expected.
	overduePollInterval = 60 * time.Millisecond
	// maxReportLag is the maximum age of an engine's report, according to the platform's
	// documentation.
	maxReportLag = 150 * time.Millisecond
	// maxReportDelay is the time after an accepted order from which no report that arrives
	// predates it, however late.
	maxReportDelay = 2 * time.Second
	// loadTimeoutFactor is the timeout of a load from the weight store, as a multiple of
	// the time that it takes alone. Loads from a busy weight store take longer.
	loadTimeoutFactor = 5
	// unloadTimeout limits the attempts to give an order that may have to wait for an
	// unload, and is the minimum timeout of a load. Unloads wait for the requests that
	// use the model.
	unloadTimeout = 15 * time.Second
	// localLoadMargin is added to the duration of a load from memory or disk, to cover
	// the order's transmission.
	localLoadMargin = 20 * time.Millisecond
	// minAdapterResidency is the minimum time that an adapter stays loaded after its last
	// request, so that the requests that waited for it reach it.
	minAdapterResidency = 300 * time.Millisecond
	// unloadTime is the duration of an unload that has no requests to wait for.
	unloadTime = 25 * time.Millisecond
	// adapterOrderTimeout limits the attempts to give an order for an adapter.
	adapterOrderTimeout = time.Second
	// adapterLoadTime is the time after an accepted order until the adapter can run.
	adapterLoadTime = 25 * time.Millisecond
)

// worker gives orders to one engine, one at a time, until the engine restarts or
// leaves the roster.
type worker struct {
	coordinator *Coordinator
	engine      *engine
	target      roster.Target
	// fence is that of the term in which the worker was started. In a later term of this
	// host, what it knows of the engine is old.
	fence target.Fence
}

func (w *worker) run(ctx context.Context) {
	w.pollWithSlot(ctx)
	nextPoll := w.coordinator.clock.Now().Add(w.idlePollDelay())
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case job := <-w.engine.jobs:
			w.runJob(ctx, job)
			// The load may have evicted weights from the engine's memory and disk.
			nextPoll = w.coordinator.clock.Now().Add(maxReportLag)
		case job := <-w.engine.adapterJobs:
			w.loadAdapter(ctx, job)
		case <-w.engine.doubted:
			w.pollWithSlot(ctx)
			nextPoll = w.coordinator.clock.Now().Add(w.idlePollDelay())
		case <-w.coordinator.clock.After(w.coordinator.clock.Until(nextPoll)):
			w.pollWithSlot(ctx)
			nextPoll = w.coordinator.clock.Now().Add(w.idlePollDelay())
		}
	}
}

// pollWithSlot polls an idle engine once a poll slot is free. At the start of a term
// all engines are polled, and 1,000 concurrent connections would take more memory
// than a small host has.
func (w *worker) pollWithSlot(ctx context.Context) {
	select {
	case w.coordinator.pollSlots <- struct{}{}:
		defer func() { <-w.coordinator.pollSlots }()
		w.poll(ctx)
	case <-ctx.Done():
	}
}

// idlePollDelay returns the delay before the next poll of an idle engine. Large fleets
// poll less often, since each report is billed and takes time. An engine that doesn't
// answer is polled more often, until its models are loaded elsewhere.
func (w *worker) idlePollDelay() time.Duration {
	c := w.coordinator
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case w.engine.failedReports >= maxFailedReports:
		return idlePollInterval
	case w.engine.failedReports > 0:
		return failedPollInterval
	default:
		return max(idlePollInterval, time.Duration(len(c.engines))*pollIntervalPerEngine)
	}
}

// waitLoadingAdapters waits for a duration and loads requested adapters meanwhile.
func (w *worker) waitLoadingAdapters(ctx context.Context, d time.Duration) {
	timer := w.coordinator.clock.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-w.engine.adapterJobs:
			w.loadAdapter(ctx, job)
		case <-timer.Chan():
			return
		}
	}
}

// poll reads the engine's report and applies it. It reports false if the report can't
// be read or predates the last order.
func (w *worker) poll(ctx context.Context) (platform.Report, bool) {
	c, e := w.coordinator, w.engine
	report, err := c.engineAPI.Report(ctx, w.target)
	c.mu.Lock()
	defer c.mu.Unlock()
	e.polledAt = c.clock.Now()
	if err != nil {
		e.failedReports++
		if e.failedReports == maxFailedReports && ctx.Err() == nil {
			c.log.Warn("coordinator: engine doesn't answer; it gets no new loads until it does", "engine", w.target.ID, "error", err)
		}
		return platform.Report{}, false
	}
	if e.failedReports >= maxFailedReports {
		c.log.Info("coordinator: engine answers again", "engine", w.target.ID)
	}
	e.failedReports = 0
	if report.Start != e.start && e.reported {
		// The engine has restarted under the same ID, and registers again later.
		c.log.Warn("coordinator: engine has restarted", "engine", w.target.ID)
		e.start, e.sequence, e.resident = report.Start, report.Sequence, map[model.Name]*resident{}
	}
	e.work = report.Running + report.Waiting
	if report.Sequence < e.sequence && e.reported {
		if now := c.clock.Now(); now.Sub(e.orderedAt) < maxReportDelay {
			return report, false // predates the last order
		}
		c.log.Warn("coordinator: engine has not counted an order that it accepted", "engine", w.target.ID, "sequence", report.Sequence, "expected", e.sequence)
	}
	w.applyReport(report)
	return report, true
}

// applyReport replaces the engine's state with a report.
func (w *worker) applyReport(report platform.Report) {
	c, e := w.coordinator, w.engine
	now := c.clock.Now()
	current := map[model.Name]*resident{}
	stillLeaving, uncertain := map[adapterJob]bool{}, map[adapterJob]bool{}
	e.busy, e.fetchingAdapters = report.Busy, 0
	e.ownOrder = e.ownOrder && report.Busy && report.Sequence == e.sequence
	for _, m := range report.Holdings.Models {
		r := &resident{lastUsed: now, adapterLastUsed: map[model.Name]time.Time{}}
		previous, ok := e.resident[m.Model]
		if ok {
			r.lastUsed, r.unloading, r.unloadAccepted = previous.lastUsed, previous.unloading, previous.unloadAccepted
			if !previous.loadExpectedAt.IsZero() {
				c.recordLoaded(m.Model)
			}
		} else if !e.reported {
			r.lastUsed = time.Time{}
		}
		for _, adapter := range m.Adapters {
			job := adapterJob{m.Model, adapter}
			if e.leavingAdapters[job] {
				stillLeaving[job] = true
				continue
			}
			r.adapterLastUsed[adapter] = now
			known := false
			if ok {
				var lastUsed time.Time
				if lastUsed, known = previous.adapterLastUsed[adapter]; known {
					r.adapterLastUsed[adapter] = lastUsed
				}
			}
			uncertain[job] = e.uncertainAdapters[job] || !known
			if e.unconfirmedAdapters[job] {
				c.recordLoaded(job.fullName())
			}
		}
		current[m.Model] = r
	}
	e.leavingAdapters, e.uncertainAdapters = stillLeaving, uncertain
	if report.Start == e.target.Start {
		e.outlived(report.Pending)
	}
	for name, r := range e.resident {
		if _, ok := current[name]; ok || r.unloading || r.loadExpectedAt.IsZero() {
			continue
		}
		if now.Sub(r.loadExpectedAt) < 2*maxReportLag {
			current[name] = r // the report predates the end of the load
		} else {
			c.recordFailedLoad(name, w.target.ID, e.start)
		}
	}
	for _, p := range report.Pending {
		if r, ok := current[p.Model]; ok && e.has(p.Model, p.Adapter) {
			r.adapterLastUsed[p.Adapter] = e.resident[p.Model].adapterLastUsed[p.Adapter]
		} else {
			e.fetchingAdapters++
		}
	}
	changed := !sameResidents(e.resident, current) || report.Start != e.start
	if !e.reported {
		// Hosts already have the engine's registration.
		changed = !report.Holdings.SameModels(e.target.Holdings) || report.Start != e.target.Start
	}
	e.reported, e.start, e.sequence = true, report.Start, report.Sequence
	e.resident = current
	e.inMemory, e.onDisk = e.inMemory.Merge(report.Holdings.InMemory), nameSet(report.Holdings.OnDisk)
	if changed {
		c.publish(e)
		c.wake()
	}
}

// sameResidents reports whether both hold the same models and adapters.
func sameResidents(a, b map[model.Name]*resident) bool {
	if len(a) != len(b) {
		return false
	}
	for name, r := range a {
		other, ok := b[name]
		if !ok || len(r.adapterLastUsed) != len(other.adapterLastUsed) {
			return false
		}
		for adapter := range r.adapterLastUsed {
			if _, ok := other.adapterLastUsed[adapter]; !ok {
				return false
			}
		}
	}
	return true
}

func nameSet(names []model.Name) map[model.Name]bool {
	s := make(map[model.Name]bool, len(names))
	for _, name := range names {
		s[name] = true
	}
	return s
}

// runJob carries out a job's unloads and its load.
func (w *worker) runJob(ctx context.Context, job placement.Job) {
	c, e := w.coordinator, w.engine
	start := c.clock.Now()
	result := w.runSteps(ctx, job)
	done := result == loadDone
	c.mu.Lock()
	e.job, e.loadAccepted = nil, false
	if result == loadFailed {
		c.recordFailedLoad(job.Load, w.target.ID, e.start)
	}
	if done && job.Source == placement.SourceWeightStore {
		c.recordLoaded(job.Load)
	}
	if job.Source == placement.SourceWeightStore {
		c.publish(e)
	}
	c.log.Info("coordinator: job ended", "engine", w.target.ID, "load", job.Load, "done", done,
		"took", c.clock.Since(start).Round(time.Millisecond), "sequence", e.sequence)
	c.mu.Unlock()
	c.wake()
}

// loadResult is how a job ended.
type loadResult int

const (
	// loadNotOrdered means that the engine has not accepted the order.
	loadNotOrdered loadResult = iota
	loadDone
	// loadFailed means that the engine carried out the order and doesn't hold the model.
	loadFailed
	// loadCancelled means that the worker was stopped meanwhile.
	loadCancelled
)

// runSteps unloads a job's models one after another and then loads its model.
func (w *worker) runSteps(ctx context.Context, job placement.Job) loadResult {
	defer w.finishUnloads(job.Evict)
	for _, name := range job.Evict {
		w.markUnloading(name)
		if !w.sendOrder(ctx, platform.Order{Unload: true, Model: name}, unloadTimeout, w.waitLoadingAdapters, w.alwaysFits) {
			w.waitLoadingAdapters(ctx, maxReportLag)
			w.poll(ctx)
			return loadNotOrdered
		}
	}
	expected := w.expectedLoadTime(job)
	if len(job.Evict) > 0 {
		w.waitLoadingAdapters(ctx, unloadTime)
	}
	if !w.sendOrder(ctx, platform.Order{Model: job.Load}, unloadTimeout, w.waitLoadingAdapters, func() bool { return w.modelFits(job.Load) }) {
		w.waitLoadingAdapters(ctx, maxReportLag)
		w.poll(ctx)
		return loadNotOrdered
	}
	if job.Source != placement.SourceWeightStore {
		// The engine isn't polled, since loads from memory or disk take the time that the
		// operator configured.
		w.waitLoadingAdapters(ctx, expected+localLoadMargin)
		if ctx.Err() != nil {
			return loadCancelled
		}
		w.addResident(job.Load)
		return loadDone
	}
	return w.awaitLoad(ctx, job.Load, expected)
}

// addResident records a loaded model before a report includes it.
func (w *worker) addResident(name model.Name) {
	c, e := w.coordinator, w.engine
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if _, ok := e.resident[name]; !ok {
		e.resident[name] = &resident{lastUsed: now, loadExpectedAt: now, adapterLastUsed: map[model.Name]time.Time{}}
		c.publish(e)
	}
}

// alwaysFits is the condition for orders that need no memory.
func (w *worker) alwaysFits() bool { return true }

// modelFits reports whether the engine has free memory for a model, and no unknown
// order in progress that might use that memory.
func (w *worker) modelFits(name model.Name) bool {
	pool, ok := w.pool()
	return ok && !w.engine.hasUnknownOrder() && w.engine.freeMemory(pool) >= pool.Engines.Models[name].Size
}

func (w *worker) pool() (catalog.Pool, bool) {
	current := w.coordinator.catalogs()
	if current == nil {
		return catalog.Pool{}, false
	}
	pool, ok := current.Pool(w.target.Pool)
	return pool, ok && pool.Engines != nil
}

// markUnloading hides a model from hosts before it is unloaded.
func (w *worker) markUnloading(name model.Name) {
	c := w.coordinator
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := w.engine.resident[name]; ok {
		r.unloading = true
		c.publish(w.engine)
	}
}

// finishUnloads completes the unloads of a job. Models whose unload the engine hasn't
// accepted become visible to hosts again.
func (w *worker) finishUnloads(names []model.Name) {
	c := w.coordinator
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		r, ok := w.engine.resident[name]
		switch {
		case ok && r.unloadAccepted:
			delete(w.engine.resident, name)
		case ok && r.unloading:
			r.unloading = false
			c.publish(w.engine)
		}
	}
}

// expectedLoadTime returns the duration of a job's load without concurrent loads.
func (w *worker) expectedLoadTime(job placement.Job) time.Duration {
	pool, ok := w.pool()
	if !ok {
		return 0
	}
	return placement.LoadTime(pool.Engines.Models[job.Load], job.Source)
}

// awaitLoad waits until a load from the weight store has ended.
func (w *worker) awaitLoad(ctx context.Context, name model.Name, expected time.Duration) loadResult {
	c := w.coordinator
	start := c.clock.Now()
	w.waitLoadingAdapters(ctx, expected)
	for ctx.Err() == nil && c.clock.Since(start) < max(loadTimeoutFactor*expected, unloadTimeout) {
		report, current := w.poll(ctx)
		if current && report.Holdings.Has(name, "") {
			return loadDone
		}
		if current && !report.Busy {
			return loadFailed
		}
		w.waitLoadingAdapters(ctx, overduePollInterval)
	}
	if ctx.Err() != nil {
		return loadCancelled
	}
	return loadFailed
}

// sendOrder sends an order once canFit reports that the engine can take it, and
// repeats it until the engine accepts it or the timeout has passed. It calls pause
// between the attempts, and canFit with the coordinator's lock held.
//
// An unanswered order may still be carried out later, but only while the engine's
// sequence is the expected one. So the same order is repeated until the sequence shows
// that one of its copies was accepted.
func (w *worker) sendOrder(ctx context.Context, order platform.Order, timeout time.Duration, pause func(context.Context, time.Duration), canFit func() bool) bool {
	c := w.coordinator
	start := c.clock.Now()
	for ctx.Err() == nil && c.clock.Since(start) < timeout {
		fence, mayOrder, _ := c.terms.Term()
		if !mayOrder || fence != w.fence {
			return false
		}
		c.mu.Lock()
		order.Expected = w.engine.sequence
		fits := canFit()
		c.mu.Unlock()
		order.Holder, order.Fence = c.self.Host, fence
		if fits {
			accepted, err := c.engineAPI.Order(ctx, w.target, order)
			switch {
			case err == nil:
				w.orderAccepted(order, accepted)
				return true
			case errors.Is(err, platform.ErrEngineReplaced):
				return false
			case errors.Is(err, platform.ErrOrderRefused):
				c.log.Error("coordinator: order refused", "engine", w.target.ID, "order", order, "error", err)
				return false
			}
			c.log.Debug("coordinator: order not accepted or not answered; it is repeated until it times out", "engine", w.target.ID, "order", order, "error", err)
		}
		pause(ctx, maxReportLag)
		report, ok := w.poll(ctx)
		switch {
		case ok && orderCarriedOut(report, order):
			return true
		case ok && !fits && !report.Busy && !w.fits(canFit):
			return false // no order is in progress that would free memory
		}
	}
	return false
}

// fits calls a condition with the coordinator's lock held.
func (w *worker) fits(condition func() bool) bool {
	w.coordinator.mu.Lock()
	defer w.coordinator.mu.Unlock()
	return condition()
}

// orderCarriedOut reports whether a report shows the effect of an unanswered order.
func orderCarriedOut(report platform.Report, order platform.Order) bool {
	return report.Sequence > order.Expected && report.Holdings.Has(order.Model, order.Adapter) != order.Unload
}

// orderAccepted records an order that the engine has accepted.
func (w *worker) orderAccepted(order platform.Order, accepted platform.Accepted) {
	c, e := w.coordinator, w.engine
	c.mu.Lock()
	defer c.mu.Unlock()
	adapter := adapterJob{order.Model, order.Adapter}
	unloadedAdapter := order.Unload && order.Adapter != ""
	uncertain := unloadedAdapter && accepted.AlreadyDone && e.uncertainAdapters[adapter]
	if r, ok := e.resident[order.Model]; ok && order.Unload && order.Adapter == "" {
		r.unloadAccepted = true
	}
	if unloadedAdapter {
		delete(e.unconfirmedAdapters, adapter)
	}
	if unloadedAdapter && (!accepted.AlreadyDone || uncertain) {
		e.leavingAdapters[adapter] = true
	}
	if !accepted.AlreadyDone || (unloadedAdapter && !uncertain) {
		e.sequence = order.Expected + 1
		e.ownOrder = e.ownOrder || order.Adapter == ""
	}
	if !order.Unload && order.Adapter == "" {
		e.loadAccepted = true
	}
	if pool, ok := w.pool(); ok && order.Adapter == "" && !accepted.AlreadyDone {
		e.inMemory = e.inMemory.Use(order.Model, pool.Engines.Models, pool.Engines.HostMemory)
	}
	e.orderedAt = c.clock.Now()
	c.log.Info("coordinator: order accepted", "engine", w.target.ID, "unload", order.Unload, "model", order.Model,
		"adapter", order.Adapter, "sequence", e.sequence, "held-already", accepted.AlreadyDone, "fence", order.Fence)
}

// loadAdapter loads an adapter. If all slots are taken, it first unloads the least
// recently used adapter.
func (w *worker) loadAdapter(ctx context.Context, job adapterJob) {
	c, e := w.coordinator, w.engine
	defer func() {
		c.mu.Lock()
		delete(e.pendingAdapters, job)
		c.mu.Unlock()
	}()
	c.mu.Lock()
	ready := e.has(job.model, "") && !e.has(job.model, job.adapter)
	evict, leaving := w.adapterToUnload(), len(e.leavingAdapters)
	c.mu.Unlock()
	if !ready {
		return
	}
	if evict != nil && leaving > 0 {
		w.poll(ctx) // shows when the slot is free; hosts repeat the load request
		return
	}
	if evict != nil && c.clock.Since(evict.lastUsed) < minAdapterResidency {
		return // hosts repeat the load request
	}
	if evict != nil {
		w.removeAdapter(evict.adapterJob)
		if !w.sendOrder(ctx, platform.Order{Unload: true, Model: evict.model, Adapter: evict.adapter}, adapterOrderTimeout, w.sleep, w.alwaysFits) {
			return
		}
	}
	if !w.sendOrder(ctx, platform.Order{Model: job.model, Adapter: job.adapter}, adapterOrderTimeout, w.sleep, w.adapterFits) {
		return
	}
	w.sleep(ctx, adapterLoadTime)
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := e.resident[job.model]; ok {
		r.adapterLastUsed[job.adapter] = c.clock.Now()
		e.unconfirmedAdapters[job] = true
		c.publish(e)
	}
}

// sleep waits for a duration or until the context ends.
func (w *worker) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-w.coordinator.clock.After(d):
	}
}

// adapterFits reports whether the engine has a free adapter slot.
func (w *worker) adapterFits() bool {
	pool, ok := w.pool()
	return ok && w.engine.adapterCount() < pool.Engines.AdapterSlots
}

// removeAdapter hides an adapter from hosts before it is unloaded.
func (w *worker) removeAdapter(job adapterJob) {
	c := w.coordinator
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := w.engine.resident[job.model]; ok {
		delete(r.adapterLastUsed, job.adapter)
		c.publish(w.engine)
	}
}

// usedAdapter is an adapter and the time of its last request.
type usedAdapter struct {
	adapterJob
	lastUsed time.Time
}

// adapterToUnload returns the least recently used adapter if no slot is free for
// another one, and nil otherwise.
func (w *worker) adapterToUnload() *usedAdapter {
	e := w.engine
	pool, ok := w.pool()
	if !ok || e.adapterCount() < pool.Engines.AdapterSlots {
		return nil
	}
	var all []usedAdapter
	for name, r := range e.resident {
		for adapter, lastUsed := range r.adapterLastUsed {
			all = append(all, usedAdapter{adapterJob{name, adapter}, lastUsed})
		}
	}
	if len(all) == 0 {
		return nil
	}
	oldest := slices.MinFunc(all, func(a, b usedAdapter) int {
		return cmp.Or(a.lastUsed.Compare(b.lastUsed), cmp.Compare(a.model, b.model), cmp.Compare(a.adapter, b.adapter))
	})
	return &oldest
}
