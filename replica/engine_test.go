package replica

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"hawthornway/config"
	"hawthornway/engine"
	"hawthornway/jsonhttp"
	"hawthornway/model"
	"hawthornway/target"
)

// fakeEngine is an in-memory engine with injectable faults. It accepts every
// order, and records violations of the invariants.
type fakeEngine struct {
	sim *simulation
	cfg config.Target

	mu             sync.Mutex
	boot           engine.BootID
	sequence       engine.Sequence
	fence          target.Fence
	acceptedOrders map[engine.OrderID]bool
	replicas       []*fakeReplica
	cached         []engine.Cached
	running        map[model.Name]int
	history        []timedReport

	reportLag  time.Duration
	orderDelay time.Duration
	loadsHang  bool
	down       bool
	slowdown   float64
	draining   bool
}

type fakeReplica struct {
	engine.Replica
	readyAt time.Time
}

type timedReport struct {
	at     time.Time
	report engine.Report
}

func newFakeEngine(sim *simulation, cfg config.Target) *fakeEngine {
	e := &fakeEngine{sim: sim, cfg: cfg, boot: 1, slowdown: 1, acceptedOrders: make(map[engine.OrderID]bool), running: make(map[model.Name]int)}
	e.recordState()
	return e
}

// recordState adds a new state to the history. The lock must be held.
func (e *fakeEngine) recordState() {
	e.sequence++
	e.history = append(e.history, timedReport{time.Now(), e.state()})
	if len(e.history) > 64 {
		e.history = e.history[len(e.history)-64:]
	}
}

func (e *fakeEngine) state() engine.Report {
	r := engine.Report{
		Target: e.cfg.Name, BootID: e.boot, Sequence: e.sequence, TakenAt: time.Now(), Fence: e.fence,
		Memory: e.cfg.Memory, Slots: e.cfg.Slots, Draining: e.draining, Cached: slices.Clone(e.cached),
	}
	for _, loaded := range e.replicas {
		r.Used += loaded.Bytes
		r.Replicas = append(r.Replicas, loaded.Replica)
	}
	for _, n := range e.running {
		r.Running += n
	}
	return r
}

// restart drops all replicas and all accepted orders.
func (e *fakeEngine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boot++
	e.sequence = 0
	e.fence = 0
	e.replicas = nil
	e.acceptedOrders = make(map[engine.OrderID]bool)
	clear(e.running)
	e.recordState()
}

// accept applies an order that arrives.
func (e *fakeEngine) accept(o engine.Order) (engine.Accepted, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFence && o.Fence < e.fence {
		return engine.Accepted{}, &engine.FenceError{Order: o.ID, Highest: e.fence}
	}
	e.fence = max(e.fence, o.Fence)
	if e.acceptedOrders[o.ID] {
		return engine.Accepted{Sequence: e.sequence}, nil
	}
	e.acceptedOrders[o.ID] = true
	switch o.Kind {
	case engine.OrderLoad, engine.OrderLoadAdapter:
		e.load(o)
	case engine.OrderUnload, engine.OrderUnloadAdapter:
		e.unload(o)
	}
	e.recordState()
	return engine.Accepted{Sequence: e.sequence}, nil
}

func (e *fakeEngine) load(o engine.Order) {
	used := o.Bytes
	for _, loaded := range e.replicas {
		used += loaded.Bytes
	}
	if used > e.cfg.Memory {
		e.sim.addViolation("memory overcommitted at %s: %d of %d bytes by order %s", e.cfg.Name, used, e.cfg.Memory, o.ID)
	}
	e.sim.checkRecorded(e.cfg.Name, o)
	loaded := &fakeReplica{Replica: engine.Replica{Ref: o.Ref, Bytes: o.Bytes, State: engine.ReplicaLoading, Order: o.ID}}
	e.replicas = append(e.replicas, loaded)
	e.sim.countLoad()
	if e.loadsHang {
		return
	}
	boot := e.boot
	took := e.loadTime(o.Ref)
	if e.sim.weightStore != nil && !o.Ref.IsAdapter() && !e.isCached(o.Ref) {
		e.sim.weightStore.load(took, func() { e.finishLoad(loaded, boot) })
		return
	}
	time.AfterFunc(took, func() { e.finishLoad(loaded, boot) })
}

func (e *fakeEngine) loadTime(ref model.Ref) time.Duration {
	item := e.sim.catalog().Item(ref.Name)
	if item == nil {
		return time.Second
	}
	t := time.Duration(e.slowdown * float64(item.LoadTime))
	if e.isCached(ref) {
		return t / 4
	}
	return t
}

func (e *fakeEngine) isCached(ref model.Ref) bool {
	return slices.ContainsFunc(e.cached, func(c engine.Cached) bool { return c.Name == ref.Name })
}

func (e *fakeEngine) finishLoad(loaded *fakeReplica, boot engine.BootID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot != boot || loaded.State != engine.ReplicaLoading || !slices.Contains(e.replicas, loaded) {
		return
	}
	loaded.State = engine.ReplicaReady
	loaded.readyAt = time.Now()
	cached := engine.Cached{Name: loaded.Ref.Name, Version: loaded.Ref.Version, Tier: engine.TierDisk}
	if !slices.Contains(e.cached, cached) {
		e.cached = append(e.cached, cached)
	}
	e.recordState()
}

func (e *fakeEngine) unload(o engine.Order) {
	if n := e.running[o.Ref.Name]; n > 0 && !e.sim.isLateUnload(o) {
		e.sim.addViolation("%s unloaded from %s with %d requests", o.Ref.Name, e.cfg.Name, n)
	}
	e.replicas = slices.DeleteFunc(e.replicas, func(loaded *fakeReplica) bool { return loaded.Ref == o.Ref })
}

// serve runs a request for some time and reports whether the model was ready.
func (e *fakeEngine) serve(name model.Name, took time.Duration) bool {
	e.mu.Lock()
	ready := !e.down && slices.ContainsFunc(e.replicas, func(loaded *fakeReplica) bool {
		return loaded.Ref.Name == name && loaded.State == engine.ReplicaReady
	})
	boot := e.boot
	if ready {
		e.running[name]++
		e.recordState()
	}
	e.mu.Unlock()
	if !ready {
		return false
	}
	time.Sleep(took)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot == boot {
		e.running[name]--
		e.recordState()
	}
	return true
}

// endRequests ends all requests, as if a host's connections had closed.
func (e *fakeEngine) endRequests() {
	e.update(func(e *fakeEngine) { clear(e.running) })
}

// update changes the engine's faults or requests.
func (e *fakeEngine) update(change func(*fakeEngine)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e)
	e.recordState()
}

// fakeClient is one host's client of an engine.
type fakeClient struct {
	host   *testHost
	engine *fakeEngine
}

// Order sends an order. The host may freeze between the check of its lease and
// the sending. An order is delivered late if orders are delayed.
func (c fakeClient) Order(ctx context.Context, o engine.Order) (engine.Accepted, error) {
	c.host.freezeIfDue(beforeSend)
	time.Sleep(time.Millisecond)
	c.host.gate()
	if ctx.Err() != nil && !c.host.sim.sendsAfterTimeout() {
		return engine.Accepted{}, jsonhttp.ErrNotSent
	}
	e := c.engine
	e.mu.Lock()
	down, delay := e.down, e.orderDelay
	e.mu.Unlock()
	if down {
		return engine.Accepted{}, jsonhttp.ErrNotSent
	}
	if delay == 0 {
		return e.accept(o)
	}
	type result struct {
		accepted engine.Accepted
		err      error
	}
	results := make(chan result, 1)
	time.AfterFunc(delay, func() {
		accepted, err := e.accept(o)
		results <- result{accepted, err}
	})
	select {
	case r := <-results:
		return r.accepted, r.err
	case <-ctx.Done():
		return engine.Accepted{}, fmt.Errorf("%w: timeout", jsonhttp.ErrUnanswered)
	}
}

// Report returns the engine's state, or an earlier one if reports lag.
func (c fakeClient) Report(_ context.Context, freshness engine.Freshness) (engine.Report, error) {
	time.Sleep(time.Millisecond)
	report, err := c.engine.report(freshness)
	time.Sleep(c.host.sim.randomDuration(c.host.sim.reportDelay))
	return report, err
}

func (e *fakeEngine) report(freshness engine.Freshness) (engine.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return engine.Report{}, jsonhttp.ErrUnanswered
	}
	if freshness == engine.Fresh {
		return e.state(), nil
	}
	old := e.history[0].report
	for _, h := range e.history {
		if time.Since(h.at) >= e.reportLag {
			old = h.report
		}
	}
	return old, nil
}

func (c fakeClient) Events(context.Context, engine.EventNumber) (engine.Events, error) {
	return engine.Events{}, nil
}
