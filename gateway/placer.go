package gateway

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"hawthornway/balance"
	"hawthornway/coordinator"
	"hawthornway/model"
	"hawthornway/outcome"
	"hawthornway/relay"
	"hawthornway/roster"
	"hawthornway/target"
	"hawthornway/team"
)

// The times of placing.
const (
	// recheckInterval is the time after which a waiting request looks again even if
	// nothing has changed, since suspicions end by themselves.
	recheckInterval = 100 * time.Millisecond
	// minRunTime is the time that a request needs at least once it is sent. One
	// that has less left is given up.
	minRunTime = 50 * time.Millisecond
	// emptyPoolRetryAfter is when a caller should try again whose pool has no target. New
	// targets take some seconds to come.
	emptyPoolRetryAfter = time.Second
	// maxIsolatedWait is how long a request waits for a model while the
	// coordinator isn't reached, and aloneWait when its caller should try again:
	// another host is likely to take the next connection.
	maxIsolatedWait    = time.Second
	isolatedRetryAfter = 500 * time.Millisecond
	// notLoadedTTL is the time for which a target isn't chosen that lacked what
	// it was thought to hold. The coordinator has a newer report by then.
	notLoadedTTL = 150 * time.Millisecond
)

// placer chooses targets for the relay. A request whose model no engine holds
// waits, and the coordinator is told.
type placer struct {
	gateway *gateway
	usage   *usageTracker
}

// Place waits for a target.
func (p *placer) Place(ctx context.Context, request relay.PlacementRequest) (relay.Placement, *outcome.NotRun) {
	g := p.gateway
	p.usage.recordDemand(request)
	waitStart := g.clock.Now()
	waited := false
	diskLoad := g.diskLoadTime(request)
	for {
		changed, rosterChanged := g.coordinatorClient.Changed(), g.roster.Changed()
		ready := g.roster.Ready(request.Pool)
		if t, ok := p.choose(ready, request); ok {
			if waited {
				g.log.Info("gateway: wait ended", "request", request.ID, "model", request.Model, "adapter", request.Adapter,
					"target", t.ID, "waited", g.clock.Since(waitStart).Round(time.Millisecond))
			}
			return p.startPlacement(t, request), nil
		}
		if refusal := p.refuseIfHopeless(ready, request, waitStart, diskLoad); refusal != nil {
			return relay.Placement{}, refusal
		}
		if !waited {
			waited = true
			defer p.usage.startWaiting(request)()
			g.log.Info("gateway: waiting", "request", request.ID, "model", request.Model, "adapter", request.Adapter, "ready", len(ready))
		}
		if request.Model != "" {
			g.coordinatorClient.Want(request.Pool, request.Model, request.Adapter, p.usage.countWaiting(request, g.clock.Now().Add(diskLoad)), request.Priority)
		}
		timer := g.clock.NewTimer(recheckInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return relay.Placement{}, contextRefusal(ctx)
		case <-changed:
		case <-rosterChanged:
		case <-timer.Chan():
		}
		timer.Stop()
	}
}

// nearLoadTime returns how long the request's model takes to load from an
// engine's disk.
func (g *gateway) diskLoadTime(request relay.PlacementRequest) time.Duration {
	current := g.catalog.Load()
	if current == nil {
		return 0
	}
	pool, ok := current.Pool(request.Pool)
	if !ok || pool.Engines == nil {
		return 0
	}
	return pool.Engines.Models[request.Model].Disk
}

// contextRefusal returns the refusal of a request whose context has ended.
func contextRefusal(ctx context.Context) *outcome.NotRun {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return &outcome.NotRun{Reason: outcome.ReasonDeadline, Detail: "no target was free before the request's time ran out"}
	}
	return &outcome.NotRun{Reason: outcome.ReasonCallerLeft, Detail: "the caller left"}
}

// choose returns a target that can run the request now.
func (p *placer) choose(ready []roster.Target, request relay.PlacementRequest) (roster.Target, bool) {
	g := p.gateway
	var eligible, failedBefore []roster.Target
	for _, t := range ready {
		if request.Model != "" && (!g.coordinatorClient.Holdings(t).Has(request.Model, request.Adapter) || p.usage.recentlyNotLoaded(t.ID, request, g.clock.Now())) {
			continue
		}
		if request.Avoid[t.ID] {
			failedBefore = append(failedBefore, t)
			continue
		}
		eligible = append(eligible, t)
	}
	session := request.Session
	if session == "" {
		session = string(request.ID)
	}
	if t, ok := g.balancer.Choose(eligible, session); ok {
		return t, true
	}
	if request.Model == "" || len(eligible) == 0 {
		return g.balancer.Choose(failedBefore, session)
	}
	return roster.Target{}, false
}

// hopeless returns a refusal if waiting won't help the request. Near is the time
// of a load of its model from an engine's disk.
func (p *placer) refuseIfHopeless(ready []roster.Target, request relay.PlacementRequest, waitStart time.Time, diskLoad time.Duration) *outcome.NotRun {
	g := p.gateway
	now := g.clock.Now()
	switch {
	case len(ready) == 0:
		return &outcome.NotRun{Reason: outcome.ReasonNoTarget, RetryAfter: emptyPoolRetryAfter, Detail: "the pool has no target"}
	case now.Add(minRunTime).After(request.Deadline):
		return &outcome.NotRun{Reason: outcome.ReasonDeadline, Detail: "the request's time is too short to begin"}
	case request.Model == "":
		return nil
	case !g.coordinatorClient.Reached() && now.Sub(waitStart) > maxIsolatedWait:
		return &outcome.NotRun{Reason: outcome.ReasonCutOff, RetryAfter: isolatedRetryAfter, Detail: "the model is not loaded and the coordinator is not reached"}
	default:
		return refuseIfTooLate(now, request.Deadline, g.coordinatorClient.LoadIn(request.Model, diskLoad))
	}
}

// tooLate refuses a request whose model can't be there before its caller leaves.
// The caller learns at once when to come back, instead of waiting in vain.
func refuseIfTooLate(now, callerTimeout time.Time, loadIn time.Duration) *outcome.NotRun {
	if loadIn <= 0 || !now.Add(loadIn+minRunTime).After(callerTimeout) {
		return nil
	}
	return &outcome.NotRun{
		Reason:     outcome.ReasonDeadline,
		RetryAfter: loadIn,
		Detail:     "the model can't be loaded before the caller leaves",
	}
}

func (p *placer) startPlacement(t roster.Target, request relay.PlacementRequest) relay.Placement {
	g := p.gateway
	g.balancer.RequestStarted(t.ID)
	end := p.usage.startRequest(t.ID, request)
	var once sync.Once
	return relay.Placement{
		Target: t,
		Done: func(result relay.Result) {
			once.Do(func() {
				end()
				p.recordResult(t, request, result)
			})
		},
	}
}

// learn takes note of what became of a sending.
func (p *placer) recordResult(t roster.Target, request relay.PlacementRequest, result relay.Result) {
	g := p.gateway
	switch r := result.(type) {
	case relay.Served:
		g.balancer.RequestEnded(t.ID, balance.Succeeded)
		if r.Load != nil {
			g.balancer.ReportLoad(t.ID, r.Load.Running+r.Load.Waiting)
		}
	case relay.Refused:
		g.balancer.RequestEnded(t.ID, balance.Inconclusive)
		if r.Load != nil {
			g.balancer.ReportLoad(t.ID, r.Load.Running+r.Load.Waiting)
		}
		if request.Model != "" {
			p.usage.recordNotLoaded(t.ID, request, g.clock.Now())
		}
	case relay.Failed:
		if r.Unreachable {
			g.balancer.RequestEnded(t.ID, balance.Unreachable)
			g.targetClient.Forget(t.Address)
			return
		}
		g.balancer.RequestEnded(t.ID, balance.Failed)
	case relay.Abandoned:
		g.balancer.RequestEnded(t.ID, balance.Inconclusive)
	}
}

// usageTracker counts requests by model, for the coordinator.
type usageTracker struct {
	mu      sync.Mutex
	running map[targetModel]int
	demand  map[poolModel]demand
	// waiting are the times at which the requests that wait are due.
	waiting   map[poolModel][]time.Time
	notLoaded map[targetModel]time.Time
}

type targetModel struct {
	target  target.ID
	model   model.Name
	adapter model.Name
}

type demand struct {
	count  int
	prompt team.Tokens
}

type poolModel struct {
	pool    target.Pool
	model   model.Name
	adapter model.Name
}

func poolModelOf(request relay.PlacementRequest) poolModel {
	return poolModel{request.Pool, request.Model, request.Adapter}
}

func newUsageTracker() *usageTracker {
	return &usageTracker{
		running:   map[targetModel]int{},
		demand:    map[poolModel]demand{},
		waiting:   map[poolModel][]time.Time{},
		notLoaded: map[targetModel]time.Time{},
	}
}

func (tracker *usageTracker) recordDemand(request relay.PlacementRequest) {
	if request.Model == "" {
		return
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	key := poolModelOf(request)
	sum := tracker.demand[key]
	tracker.demand[key] = demand{count: sum.count + 1, prompt: sum.prompt + request.PromptTokens}
}

func (tracker *usageTracker) startRequest(id target.ID, request relay.PlacementRequest) (end func()) {
	if request.Model == "" {
		return func() {}
	}
	key := targetModel{id, request.Model, request.Adapter}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	tracker.running[key]++
	return func() {
		tracker.mu.Lock()
		defer tracker.mu.Unlock()
		if tracker.running[key]--; tracker.running[key] <= 0 {
			delete(tracker.running, key)
		}
	}
}

func (tracker *usageTracker) startWaiting(request relay.PlacementRequest) (done func()) {
	key := poolModelOf(request)
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	tracker.waiting[key] = append(tracker.waiting[key], request.Due)
	return func() {
		tracker.mu.Lock()
		defer tracker.mu.Unlock()
		i := slices.Index(tracker.waiting[key], request.Due)
		tracker.waiting[key] = slices.Delete(tracker.waiting[key], i, i+1)
		if len(tracker.waiting[key]) == 0 {
			delete(tracker.waiting, key)
		}
	}
}

// waiting counts the requests that wait for the same model as one, by whether
// they are due later than an instant.
func (tracker *usageTracker) countWaiting(request relay.PlacementRequest, after time.Time) coordinator.Waiting {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	w := coordinator.Waiting{All: len(tracker.waiting[poolModelOf(request)])}
	for _, due := range tracker.waiting[poolModelOf(request)] {
		if due.After(after) {
			w.OnTime++
		}
	}
	return w
}

// miss takes note that a target lacks what it was thought to hold.
func (tracker *usageTracker) recordNotLoaded(id target.ID, request relay.PlacementRequest, now time.Time) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	tracker.notLoaded[targetModel{id, request.Model, request.Adapter}] = now
}

// lacks reports whether a target was found lacking a moment ago.
func (tracker *usageTracker) recentlyNotLoaded(id target.ID, request relay.PlacementRequest, now time.Time) bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	key := targetModel{id, request.Model, request.Adapter}
	at, ok := tracker.notLoaded[key]
	if ok && now.Sub(at) >= notLoadedTTL {
		delete(tracker.notLoaded, key)
		return false
	}
	return ok
}

// takeUsage returns what was asked since the last call and what is running.
func (tracker *usageTracker) takeUsage() coordinator.Usage {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	var u coordinator.Usage
	for key, a := range tracker.demand {
		u.Asked = append(u.Asked, coordinator.Asked{Pool: key.pool, Model: key.model, Adapter: key.adapter, Count: a.count, Prompt: a.prompt})
	}
	clear(tracker.demand)
	for key, n := range tracker.running {
		u.Running = append(u.Running, coordinator.Running{Target: key.target, Model: key.model, Adapter: key.adapter, Count: n})
	}
	slices.SortFunc(u.Asked, func(a, b coordinator.Asked) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	return u
}
