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
)

// The times of a worker.
const (
	// reportEvery is the time between two reports of an engine at rest.
	reportEvery = time.Second
	// reportEach bounds the reports of all engines to about thirty a second.
	reportEach = 30 * time.Millisecond
	// pollsAtOnce bounds the engines at rest that are asked at once, for about five
	// megabytes. With a third of 3,000 engines silent, all have been asked after 4 s.
	pollsAtOnce = 128
	// reportSoon is that while an order is in progress whose time is up.
	reportSoon = 60 * time.Millisecond
	// reportLag is how old a report may be, by the platform's documentation.
	reportLag = 150 * time.Millisecond
	// orderPatience bounds how long an order may be in progress, as a multiple of
	// the time that it takes alone. Unloads wait for their requests, and loads
	// from a busy weight store take longer.
	orderPatience = 5
	// unloadPatience bounds how long an unload is waited for.
	unloadPatience = 15 * time.Second
	// nearMargin is added to the time of a load from near, for the order's way.
	nearMargin = 20 * time.Millisecond
	// adapterStay is the least time that an adapter stays after it was asked for,
	// so that requests that waited for it reach it.
	adapterStay = 300 * time.Millisecond
	// unloadTime is the time that an unload takes without requests to wait for.
	unloadTime = 25 * time.Millisecond
	// adapterPatience bounds how long an engine is asked to take an adapter.
	adapterPatience = time.Second
	// adapterTime is the time after which an adapter that was ordered can run.
	adapterTime = 25 * time.Millisecond
)

// worker gives the orders to one start of an engine, one after another.
type worker struct {
	coordinator *Coordinator
	engine      *engine
	target      roster.Target
}

func (w *worker) run(ctx context.Context) {
	w.pollInTurn(ctx)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case job := <-w.engine.jobs:
			w.carryOut(ctx, job)
		case job := <-w.engine.adapters:
			w.loadAdapter(ctx, job)
		case <-w.coordinator.clock.After(w.reportPeriod()):
			w.pollInTurn(ctx)
		}
	}
}

// pollInTurn reads the report of an engine at rest. At the begin of a term all
// engines are to be asked; a thousand connections at once would take more memory
// than a small host has.
func (w *worker) pollInTurn(ctx context.Context) {
	select {
	case w.coordinator.polls <- struct{}{}:
		defer func() { <-w.coordinator.polls }()
		w.poll(ctx)
	case <-ctx.Done():
	}
}

// reportPeriod is the time between two reports of an engine at rest. Many
// engines are asked less often, since each report is paid for and takes time.
func (w *worker) reportPeriod() time.Duration {
	c := w.coordinator
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(reportEvery, time.Duration(len(c.engines))*reportEach)
}

// wait lets time pass and loads adapters meanwhile.
func (w *worker) wait(ctx context.Context, d time.Duration) {
	timer := w.coordinator.clock.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-w.engine.adapters:
			w.loadAdapter(ctx, job)
		case <-timer.Chan():
			return
		}
	}
}

// poll reads the engine's report and takes it over.
func (w *worker) poll(ctx context.Context) (platform.Report, bool) {
	c, e := w.coordinator, w.engine
	report, err := c.engineer.Report(ctx, w.target)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		e.failed++
		if e.failed == mostFailed && ctx.Err() == nil {
			c.log.Warn("coordinator: engine lost", "engine", w.target.ID, "error", err)
		}
		return platform.Report{}, false
	}
	if e.failed >= mostFailed {
		c.log.Info("coordinator: engine regained", "engine", w.target.ID)
	}
	e.failed = 0
	if report.Start != e.start && e.known {
		// The engine was started anew under its id; its registration follows.
		c.log.Warn("coordinator: engine was started anew", "engine", w.target.ID)
		e.start, e.sequence, e.resident = report.Start, report.Sequence, map[model.Name]*resident{}
	}
	e.work = report.Running + report.Waiting
	if report.Sequence < e.sequence && e.known {
		return report, false // from before the last order
	}
	w.take(report)
	return report, true
}

// take replaces what is known of the engine by a report.
func (w *worker) take(report platform.Report) {
	c, e := w.coordinator, w.engine
	now := c.clock.Now()
	fresh := map[model.Name]*resident{}
	e.busy, e.fetching = report.Busy, 0
	e.own = e.own && report.Busy && report.Sequence == e.sequence
	for _, m := range report.Holdings.Models {
		r := &resident{asked: now, adapters: map[model.Name]time.Time{}}
		old, ok := e.resident[m.Model]
		if ok {
			r.asked, r.leaving, r.dropped, r.since = old.asked, old.leaving, old.dropped, old.since
		} else if !e.known {
			r.asked = time.Time{}
		}
		for _, adapter := range m.Adapters {
			r.adapters[adapter] = now
			if ok {
				if asked, ok := old.adapters[adapter]; ok {
					r.adapters[adapter] = asked
				}
			}
		}
		fresh[m.Model] = r
	}
	for name, r := range e.resident {
		if _, ok := fresh[name]; !ok && !r.leaving && !r.since.IsZero() && now.Sub(r.since) < 2*reportLag {
			fresh[name] = r // the report is from before its load had ended
		}
	}
	for _, p := range report.Pending {
		if r, ok := fresh[p.Model]; ok && e.has(p.Model, p.Adapter) {
			r.adapters[p.Adapter] = e.resident[p.Model].adapters[p.Adapter]
		} else {
			e.fetching++
		}
	}
	changed := !sameResidents(e.resident, fresh) || report.Start != e.start
	if !e.known {
		// Hosts know what the engine has registered.
		changed = !report.Holdings.SameModels(e.target.Holdings) || report.Start != e.target.Start
	}
	e.known, e.start, e.sequence = true, report.Start, report.Sequence
	e.resident = fresh
	e.inMemory, e.onDisk = set(report.Holdings.InMemory), set(report.Holdings.OnDisk)
	if changed {
		c.publish(e)
		c.wake()
	}
}

func sameResidents(a, b map[model.Name]*resident) bool {
	if len(a) != len(b) {
		return false
	}
	for name, r := range a {
		other, ok := b[name]
		if !ok || len(r.adapters) != len(other.adapters) {
			return false
		}
		for adapter := range r.adapters {
			if _, ok := other.adapters[adapter]; !ok {
				return false
			}
		}
	}
	return true
}

func set(names []model.Name) map[model.Name]bool {
	s := make(map[model.Name]bool, len(names))
	for _, name := range names {
		s[name] = true
	}
	return s
}

// carryOut unloads and loads as a job says.
func (w *worker) carryOut(ctx context.Context, job placement.Job) {
	c, e := w.coordinator, w.engine
	began := c.clock.Now()
	done := w.steps(ctx, job)
	c.mu.Lock()
	e.job = nil
	if job.Source == placement.SourceStore {
		c.publish(e)
	}
	c.log.Info("coordinator: job ended", "engine", w.target.ID, "load", job.Load, "done", done,
		"took", c.clock.Since(began).Round(time.Millisecond), "sequence", e.sequence)
	c.mu.Unlock()
	c.wake()
}

func (w *worker) steps(ctx context.Context, job placement.Job) bool {
	defer w.settle(job.Evict)
	for _, name := range job.Evict {
		w.drop(name)
		if !w.give(ctx, platform.Order{Unload: true, Model: name}, unloadPatience, w.wait, w.always) {
			w.wait(ctx, reportLag)
			w.poll(ctx)
			return false
		}
	}
	expected := w.expected(job)
	if len(job.Evict) > 0 {
		w.wait(ctx, unloadTime)
	}
	if !w.give(ctx, platform.Order{Model: job.Load}, unloadPatience, w.wait, func() bool { return w.fits(job.Load) }) {
		w.wait(ctx, reportLag)
		w.poll(ctx)
		return false
	}
	if job.Source != placement.SourceStore {
		// Loads from near take the time that the operator states.
		w.wait(ctx, expected+nearMargin)
		return ctx.Err() == nil && w.hold(job.Load)
	}
	return w.await(ctx, job.Load, expected)
}

// hold takes note that a model has been loaded, before a report tells of it.
func (w *worker) hold(name model.Name) bool {
	c, e := w.coordinator, w.engine
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if _, ok := e.resident[name]; !ok {
		e.resident[name] = &resident{asked: now, since: now, adapters: map[model.Name]time.Time{}}
		c.publish(e)
	}
	return true
}

// always is the condition of orders that need no room.
func (w *worker) always() bool { return true }

// fits reports whether a model has room on the engine, by its last report.
func (w *worker) fits(name model.Name) bool {
	pool, ok := w.pool()
	return ok && !w.engine.unknownOrderRuns() && w.engine.room(pool) >= pool.Engines.Models[name].Size
}

func (w *worker) pool() (catalog.Pool, bool) {
	current := w.coordinator.catalogs()
	if current == nil {
		return catalog.Pool{}, false
	}
	pool, ok := current.Pool(w.target.Pool)
	return pool, ok && pool.Engines != nil
}

// drop takes a model out of what hosts are told, before it is unloaded.
func (w *worker) drop(name model.Name) {
	c := w.coordinator
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := w.engine.resident[name]; ok {
		r.leaving = true
		c.publish(w.engine)
	}
}

// settle ends the unloads of a job. A model whose unload the engine has not taken
// is told to hosts again.
func (w *worker) settle(names []model.Name) {
	c := w.coordinator
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		r, ok := w.engine.resident[name]
		switch {
		case ok && r.dropped:
			delete(w.engine.resident, name)
		case ok && r.leaving:
			r.leaving = false
			c.publish(w.engine)
		}
	}
}

// expected returns how long a job's load takes alone.
func (w *worker) expected(job placement.Job) time.Duration {
	pool, ok := w.pool()
	if !ok {
		return 0
	}
	return loadTime(pool, job)
}

// await waits until a model that was ordered can run.
func (w *worker) await(ctx context.Context, name model.Name, expected time.Duration) bool {
	c := w.coordinator
	began := c.clock.Now()
	w.wait(ctx, expected)
	for ctx.Err() == nil && c.clock.Since(began) < max(orderPatience*expected, unloadPatience) {
		report, current := w.poll(ctx)
		if current && report.Holdings.Has(name, "") {
			return true
		}
		if current && !report.Busy {
			return false
		}
		w.wait(ctx, reportSoon)
	}
	return false
}

// give gives an order until the engine takes it, as soon as there is room for
// it. An order that is not answered may be carried out at any later time, but
// only while the engine's sequence is the one that was expected; so the same
// order is given again until the sequence shows that one of them was taken.
func (w *worker) give(ctx context.Context, order platform.Order, patience time.Duration, pause func(context.Context, time.Duration), room func() bool) bool {
	c := w.coordinator
	began := c.clock.Now()
	for ctx.Err() == nil && c.clock.Since(began) < patience {
		fence, mayOrder, _ := c.terms.Term()
		if !mayOrder {
			return false
		}
		c.mu.Lock()
		order.Expected = w.engine.sequence
		fits := room()
		c.mu.Unlock()
		order.Holder, order.Fence = c.self.Host, fence
		if fits {
			accepted, err := c.engineer.Order(ctx, w.target, order)
			switch {
			case err == nil:
				w.took(order, accepted)
				return true
			case errors.Is(err, platform.ErrEngineReplaced):
				return false
			case errors.Is(err, platform.ErrOrderRefused):
				c.log.Error("coordinator: order refused", "engine", w.target.ID, "order", order, "error", err)
				return false
			}
			c.log.Debug("coordinator: order not taken", "engine", w.target.ID, "order", order, "error", err)
		}
		pause(ctx, reportLag)
		report, ok := w.poll(ctx)
		switch {
		case ok && carriedOut(report, order):
			return true
		case ok && !fits && !report.Busy:
			return false // nothing is under way that would make room
		}
	}
	return false
}

// carriedOut reports whether an order that was not answered shows in a report.
func carriedOut(report platform.Report, order platform.Order) bool {
	return report.Sequence > order.Expected && report.Holdings.Has(order.Model, order.Adapter) != order.Unload
}

// took takes note of an order that the engine took.
func (w *worker) took(order platform.Order, accepted platform.Accepted) {
	c, e := w.coordinator, w.engine
	c.mu.Lock()
	defer c.mu.Unlock()
	unloadedAdapter := order.Unload && order.Adapter != ""
	if r, ok := e.resident[order.Model]; ok && order.Unload && order.Adapter == "" {
		r.dropped = true
	}
	if !accepted.Done || unloadedAdapter {
		e.sequence = order.Expected + 1
		e.own = e.own || order.Adapter == ""
	}
	c.log.Info("coordinator: order taken", "engine", w.target.ID, "unload", order.Unload, "model", order.Model,
		"adapter", order.Adapter, "sequence", e.sequence, "held-already", accepted.Done, "fence", order.Fence)
}

// loadAdapter loads an adapter, in place of the one that was not asked for the
// longest if there is no room.
func (w *worker) loadAdapter(ctx context.Context, job adapterJob) {
	c, e := w.coordinator, w.engine
	defer func() {
		c.mu.Lock()
		delete(e.pending, job)
		c.mu.Unlock()
	}()
	c.mu.Lock()
	ready := e.has(job.model, "") && !e.has(job.model, job.adapter)
	evict := w.oldestAdapter()
	c.mu.Unlock()
	if !ready {
		return
	}
	if evict != nil && c.clock.Since(evict.asked) < adapterStay {
		return // the want is repeated
	}
	if evict != nil {
		w.dropAdapter(evict.adapterJob)
		if !w.give(ctx, platform.Order{Unload: true, Model: evict.model, Adapter: evict.adapter}, adapterPatience, w.sleep, w.always) {
			return
		}
	}
	if !w.give(ctx, platform.Order{Model: job.model, Adapter: job.adapter}, adapterPatience, w.sleep, w.fitsAdapter) {
		return
	}
	w.sleep(ctx, adapterTime)
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := e.resident[job.model]; ok {
		r.adapters[job.adapter] = c.clock.Now()
		c.publish(e)
	}
}

// sleep lets time pass.
func (w *worker) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-w.coordinator.clock.After(d):
	}
}

// fitsAdapter reports whether the engine has a place for another adapter.
func (w *worker) fitsAdapter() bool {
	pool, ok := w.pool()
	return ok && w.engine.adapterCount() < pool.Engines.AdapterSlots
}

func (w *worker) dropAdapter(job adapterJob) {
	c := w.coordinator
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := w.engine.resident[job.model]; ok {
		delete(r.adapters, job.adapter)
		c.publish(w.engine)
	}
}

// agedAdapter is an adapter with when it was last asked for.
type agedAdapter struct {
	adapterJob
	asked time.Time
}

// oldestAdapter returns the adapter to unload before another is loaded, or nil
// if there is room.
func (w *worker) oldestAdapter() *agedAdapter {
	e := w.engine
	pool, ok := w.pool()
	if !ok || e.adapterCount() < pool.Engines.AdapterSlots {
		return nil
	}
	var all []agedAdapter
	for name, r := range e.resident {
		for adapter, asked := range r.adapters {
			all = append(all, agedAdapter{adapterJob{name, adapter}, asked})
		}
	}
	if len(all) == 0 {
		return nil
	}
	oldest := slices.MinFunc(all, func(a, b agedAdapter) int {
		return cmp.Or(a.asked.Compare(b.asked), cmp.Compare(a.model, b.model), cmp.Compare(a.adapter, b.adapter))
	})
	return &oldest
}
