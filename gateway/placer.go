package gateway

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornway/balance"
	"hawthornway/coordinator"
	"hawthornway/model"
	"hawthornway/outcome"
	"hawthornway/pace"
	"hawthornway/quarantine"
	"hawthornway/relay"
	"hawthornway/roster"
	"hawthornway/slowdown"
	"hawthornway/target"
	"hawthornway/team"
)

// Timing of placements.
const (
	// recheckInterval is how often a waiting request looks for a target even if
	// nothing has changed, since the backoff of a target ends without notice.
	recheckInterval = 100 * time.Millisecond
	// minRunTime is the least time that a request needs once it is sent. A
	// request with less time left is refused.
	minRunTime = 50 * time.Millisecond
	// emptyPoolRetryAfter is sent as Retry-After if the pool has no target. New
	// targets take some seconds to appear.
	emptyPoolRetryAfter = time.Second
	// isolatedRetryAfter is sent as Retry-After by a host that has lost the
	// coordinator for longer than a takeover lasts. Another host is likely to accept
	// the next connection.
	isolatedRetryAfter = 500 * time.Millisecond
	// notLoadedTTL is how long a target is not chosen for a model that it
	// refused. By then, the coordinator has a newer report.
	notLoadedTTL = 150 * time.Millisecond
)

// placer chooses targets for the relay. If no engine holds the model of a
// request, the request waits and the coordinator is asked to load the model.
type placer struct {
	gateway *gateway
	usage   *usageTracker
	pacer   *pace.Pacer
}

// Place implements relay.Placer.
func (p *placer) Place(ctx context.Context, request relay.PlacementRequest) (relay.Placement, *outcome.NotRun) {
	g := p.gateway
	p.usage.recordDemand(request)
	waitStart := g.clock.Now()
	waited := false
	diskLoadTime := g.diskLoadTime(request)
	line := lineWait{pacer: p.pacer}
	defer line.leave()
	for {
		changed, rosterChanged := g.coordinatorClient.Changed(), g.roster.Changed()
		if refusal := request.Refusal(); refusal != nil {
			return relay.Placement{}, refusal
		}
		ready := atHome(ofVersion(g.roster.Ready(request.Pool), request.Version), request.Homes, g.settings.Regions)
		c := p.candidates(ready, request)
		if len(c.eligible) > 0 {
			if refusal := g.refuseIfOverloaded(request); refusal != nil {
				return relay.Placement{}, refusal
			}
		}
		t, ok := line.ask(ctx, g.clock.Now(), c, request)
		if !ok && g.balancer.Full(c.eligible) {
			t, ok = line.askCold(ctx, g.clock.Now(), g.coldOf(c.limited), request)
		}
		if !ok {
			t, ok = p.choose(c, request)
		}
		if !ok {
			t, ok = line.wait(ctx, g.clock, c.limited, request)
		}
		if ok {
			if waited {
				g.log.Info("gateway: wait ended", "request", request.ID, "model", request.Model, "adapter", request.Adapter,
					"target", t.ID, "waited", g.clock.Since(waitStart).Round(time.Millisecond))
			}
			return p.startPlacement(t, request, line.take()), nil
		}
		if refusal := p.refuseIfUnplaceable(ready, request, diskLoadTime); refusal != nil {
			return relay.Placement{}, refusal
		}
		if refusal := p.refuseIfLimited(ready, c, request, line); refusal != nil {
			return relay.Placement{}, refusal
		}
		if !waited {
			waited = true
			defer p.usage.startWaiting(request)()
			g.log.Info("gateway: waiting", "request", request.ID, "model", request.Model, "adapter", request.Adapter, "ready", len(ready), "limited", len(c.limited))
		}
		if request.Model != "" && line.place == nil {
			g.coordinatorClient.RequestLoad(needOf(request), p.usage.countWaiting(request, g.clock.Now().Add(diskLoadTime)), request.Priority)
		}
		timer := g.clock.NewTimer(line.recheckDelay(g.clock.Now()))
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

// ofVersion returns the targets of a version, or all if it is empty.
func ofVersion(targets []roster.Target, version target.Version) []roster.Target {
	if version == "" {
		return targets
	}
	other := func(t roster.Target) bool { return t.Version != version }
	if !slices.ContainsFunc(targets, other) {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), other)
}

// diskLoadTime returns the time to load the request's model from an engine's
// disk, or zero if it is unknown.
func (g *gateway) diskLoadTime(request relay.PlacementRequest) time.Duration {
	current := g.catalog.Load()
	if current == nil {
		return 0
	}
	pool, ok := current.Pool(request.Pool)
	if !ok || pool.Engines == nil {
		return 0
	}
	return pool.Engines.Models[request.Model].DiskLoadTime
}

// contextRefusal returns the refusal of a request whose context has ended.
func contextRefusal(ctx context.Context) *outcome.NotRun {
	switch cause := context.Cause(ctx); {
	case cause == context.DeadlineExceeded:
		return &outcome.NotRun{Reason: outcome.ReasonDeadline, Detail: "no target was free before the request's time ran out"}
	case errors.Is(cause, relay.ErrStopping):
		return &outcome.NotRun{Reason: outcome.ReasonDraining, RetryAfter: relay.StoppingRetryAfter, Detail: "the host stopped before a target was free"}
	default:
		return &outcome.NotRun{Reason: outcome.ReasonCallerLeft, Detail: "the caller left"}
	}
}

// candidates are the targets that can run a request. Failed ones have failed it before, and
// limited ones take a limited number of requests only.
type candidates struct {
	eligible, failed, limited, limitedFailed []roster.Target
}

// candidates returns the targets that can run a request.
func (p *placer) candidates(ready []roster.Target, request relay.PlacementRequest) candidates {
	g := p.gateway
	var c candidates
	p.limitNewTargets(ready)
	evacuations := g.roster.Evacuations()
	var evacuated []roster.Target
	for _, t := range ready {
		if evacuations.Includes(t.Domain) {
			evacuated = append(evacuated, t)
			continue
		}
		p.addCandidate(&c, t, request)
	}
	if len(c.eligible)+len(c.limited) == 0 {
		for _, t := range evacuated {
			p.addCandidate(&c, t, request)
		}
	}
	c.addLastResort()
	return c
}

// addCandidate adds a target to the candidates if it can run a request.
func (p *placer) addCandidate(c *candidates, t roster.Target, request relay.PlacementRequest) {
	g := p.gateway
	if request.Model != "" && (!g.coordinatorClient.Holdings(t).Has(request.Model, request.Adapter) || p.usage.recentlyNotLoaded(t.ID, request, g.clock.Now())) {
		return
	}
	_, limited := g.limits.Limit(pace.KeyOf(t))
	c.add(t, limited, request.Avoid[t.ID], g.balancer.BackingOff(t.ID))
}

// roomShare is the share of a target's slots that it is sent requests for while it can't bear
// turning many away. Connections and health checks take slots for moments as well.
const roomShare = 0.85

// roomOf returns the number of requests that a target may have at a time while it can't bear
// turning many away.
func roomOf(t roster.Target) int { return max(1, int(roomShare*float64(t.Slots))) }

// limitNewTargets takes targets that have not answered yet for brittle, if others of their
// pool are. A target that has just fallen over comes back to all the requests that wait.
func (p *placer) limitNewTargets(ready []roster.Target) {
	limits := p.gateway.limits
	if !limits.AnyRoom() {
		return
	}
	brittle := slices.ContainsFunc(p.gateway.roster.All(), func(t roster.Target) bool {
		s, limited := limits.Limit(pace.KeyOf(t))
		return limited && s.Room > 0 && len(ready) > 0 && t.Pool == ready[0].Pool
	})
	if !brittle {
		return
	}
	for _, t := range ready {
		if !limits.Known(pace.KeyOf(t)) {
			p.recordLimit(pace.Statement{Key: pace.KeyOf(t), Room: roomOf(t)})
		}
	}
}

// addLastResort makes targets with a limit that have failed the request candidates if there
// are no others. The request would otherwise wait in vain.
func (c *candidates) addLastResort() {
	if len(c.eligible) == 0 && len(c.failed) == 0 && len(c.limited) == 0 {
		c.limited = c.limitedFailed
	}
}

// add adds a target to those that it belongs to. The balancer skips those without a limit that
// are backing off.
func (c *candidates) add(t roster.Target, limited, failed, backingOff bool) {
	switch {
	case limited && backingOff:
	case limited && failed:
		c.limitedFailed = append(c.limitedFailed, t)
	case limited:
		c.limited = append(c.limited, t)
	case failed:
		c.failed = append(c.failed, t)
	default:
		c.eligible = append(c.eligible, t)
	}
}

// choose returns a target without a limit that can run the request now. Targets that have
// failed the request are chosen only if there are no others or, for plain services, if all
// others are backing off.
func (p *placer) choose(c candidates, request relay.PlacementRequest) (roster.Target, bool) {
	g := p.gateway
	session := request.Session
	if session == "" {
		session = string(request.ID)
	}
	if weights := g.allocations.Weights(request.Pool, request.Model); len(weights) > 0 {
		if t, ok := g.balancer.ChooseInProportion(c.eligible, session, weights); ok {
			return t, true
		}
	}
	if t, ok := g.balancer.Choose(c.eligible, session); ok {
		return t, true
	}
	if len(c.limited) == 0 && (request.Model == "" || len(c.eligible) == 0) {
		return g.balancer.Choose(c.failed, session)
	}
	return roster.Target{}, false
}

// refuseIfUnplaceable returns a refusal if no target can run the request before
// its deadline.
func (p *placer) refuseIfUnplaceable(ready []roster.Target, request relay.PlacementRequest, diskLoadTime time.Duration) *outcome.NotRun {
	g := p.gateway
	now := g.clock.Now()
	if paused := g.pausedFor(request); len(paused) > 0 {
		holds := func(t roster.Target) bool {
			return request.Model == "" || g.coordinatorClient.Holdings(t).Has(request.Model, request.Adapter)
		}
		if refusal, wait := refuseIfPaused(now, request, ready, paused, holds); refusal != nil || wait {
			return refusal
		}
	}
	switch {
	case len(ready) == 0 && request.Homes.Limited() && len(g.roster.Ready(request.Pool)) > 0:
		return &outcome.NotRun{Reason: outcome.ReasonHomes, RetryAfter: emptyPoolRetryAfter, Detail: "no target is left in the home regions of the route and the team"}
	case len(ready) == 0 && request.Version != "":
		return &outcome.NotRun{Reason: outcome.ReasonVersion, RetryAfter: emptyPoolRetryAfter, Detail: "no target has the software version that began the stream"}
	case len(ready) == 0:
		return &outcome.NotRun{Reason: outcome.ReasonNoTarget, RetryAfter: emptyPoolRetryAfter, Detail: "the pool has no target"}
	case now.Add(minRunTime).After(request.Deadline):
		return &outcome.NotRun{Reason: outcome.ReasonDeadline, Detail: "the request's time is too short to begin"}
	case request.Model == "":
		return nil
	case g.heldFor(request) > 0:
		return &outcome.NotRun{Reason: outcome.ReasonLoadFails, RetryAfter: g.heldFor(request), Detail: "loads of the model have failed on several engines"}
	case g.coordinatorClient.Isolated():
		return &outcome.NotRun{Reason: outcome.ReasonCutOff, RetryAfter: isolatedRetryAfter, Detail: "the model is not loaded and the coordinator is not reached"}
	default:
		return refuseIfTooLate(now, request.Deadline, g.coordinatorClient.MinLoadDelay(request.Model, ready, diskLoadTime))
	}
}

// pausedFor returns the targets that could run the request and ask for a pause.
func (g *gateway) pausedFor(request relay.PlacementRequest) []roster.PausedTarget {
	return slices.DeleteFunc(g.roster.Paused(request.Pool), func(t roster.PausedTarget) bool {
		return request.Version != "" && t.Version != request.Version || !request.Homes.Includes(g.settings.Regions[t.Domain])
	})
}

// heldFor returns the time until the request's model and adapter may be loaded again, if
// their loads fail.
func (g *gateway) heldFor(request relay.PlacementRequest) time.Duration {
	rest := g.screen.Rest(quarantine.ModelSuspect(request.Model))
	if request.Adapter != "" {
		rest = max(rest, g.screen.Rest(quarantine.ModelSuspect(model.FullName(request.Model, request.Adapter))))
	}
	return rest
}

// refuseIfPaused returns a refusal if a request can't be served because of targets that ask
// for a pause. It reports whether the request waits until a pause ends.
func refuseIfPaused(now time.Time, request relay.PlacementRequest, ready []roster.Target, paused []roster.PausedTarget, holds func(roster.Target) bool) (refusal *outcome.NotRun, wait bool) {
	rest := time.Duration(0)
	for _, p := range paused {
		if (len(ready) == 0 || holds(p.Target)) && (rest == 0 || p.Rest < rest) {
			rest = p.Rest
		}
	}
	tooLate := now.Add(rest + minRunTime).After(request.Deadline)
	switch {
	case len(ready) == 0 && (request.Repeatable || tooLate):
		return &outcome.NotRun{Reason: outcome.ReasonNoTarget, RetryAfter: rest, Detail: "all targets of the pool ask for a pause"}, false
	case len(ready) == 0:
		return nil, true // the caller might not send it again
	case rest == 0 || slices.ContainsFunc(ready, holds):
		return nil, false
	case tooLate:
		return &outcome.NotRun{Reason: outcome.ReasonNoTarget, RetryAfter: rest, Detail: "the targets with the model ask for a pause"}, false
	default:
		return nil, true
	}
}

// refuseIfTooLate refuses a request whose model can't be loaded before the
// caller stops waiting. The caller learns at once when to try again, instead of
// waiting in vain.
func refuseIfTooLate(now, callerDeadline time.Time, loadDelay time.Duration) *outcome.NotRun {
	if loadDelay <= 0 || !now.Add(loadDelay+minRunTime).After(callerDeadline) {
		return nil
	}
	return &outcome.NotRun{
		Reason:     outcome.ReasonDeadline,
		RetryAfter: loadDelay,
		Detail:     "the model can't be loaded before the caller leaves",
	}
}

func (p *placer) startPlacement(t roster.Target, request relay.PlacementRequest, place pace.Reservation) relay.Placement {
	g := p.gateway
	g.balancer.RequestStarted(t.ID)
	end := p.usage.startRequest(t.ID, request)
	read := p.usage.reading.start(t, request)
	var once sync.Once
	return relay.Placement{
		Target: t,
		Notice: func(notice relay.Notice) {
			switch n := notice.(type) {
			case relay.Loaded:
				read.recordLoad(n.TargetLoad)
			case relay.FirstEvent:
				read.firstEvent()
			}
			p.recordNotice(t, notice)
		},
		Done: func(result relay.Result) {
			once.Do(func() {
				end()
				read.end()
				refused, turnedAway := result.(relay.Refused)
				p.pacer.Release(place, turnedAway && !refused.NotLoaded)
				p.recordResult(t, request, result)
			})
		},
	}
}

// recordNotice applies what a target says of itself.
func (p *placer) recordNotice(t roster.Target, notice relay.Notice) {
	switch n := notice.(type) {
	case relay.Leaving:
		p.gateway.targetLeaves(t)
		p.gateway.tunnels.Notify(t.Address, true, 0)
	case relay.Paused:
		p.gateway.tunnels.Notify(t.Address, false, n.For)
		p.gateway.roster.Pause(t.ID, t.Start, n.For)
		p.gateway.log.Info("gateway: target asks for a pause", "target", t.ID, "for", n.For)
	case relay.Loaded:
		p.usage.reading.recordStated(t.Pool)
		p.gateway.balancer.ReportLoad(t.ID, n.Running+n.Waiting)
		p.gateway.balancer.ReportStated(t.ID, n.Slowdown)
		p.usage.statements.Add(t.ID, t.Start, n.Slowdown)
	case relay.Cold:
		p.gateway.hearCold(t, n.For)
	case relay.Limited:
		statement := pace.Statement{Key: pace.KeyOf(t), Rate: n.Rate}
		if n.Brittle {
			statement.Room = roomOf(t)
		}
		p.recordLimit(statement)
	case relay.Unlimited:
		p.recordLimit(pace.Statement{Key: pace.KeyOf(t), Ended: true})
	}
}

// recordLimit records what a target has just said about its limit.
func (p *placer) recordLimit(s pace.Statement) {
	g := p.gateway
	s.At = g.bootClock.Now()
	switch {
	case !g.limits.Record(s):
	case s.Ended:
		g.log.Info("gateway: target states no limit any more", "target", s.Target, "start", s.Start)
	default:
		g.log.Info("gateway: target states a limit", "target", s.Target, "start", s.Start, "requests-per-second", s.Rate, "room", s.Room)
	}
}

// recordResult passes the result of an attempt to the balancer and the usage
// tracker.
func (p *placer) recordResult(t roster.Target, request relay.PlacementRequest, result relay.Result) {
	g := p.gateway
	switch r := result.(type) {
	case relay.Served:
		g.balancer.RequestEnded(t.ID, balance.Succeeded)
		switch {
		case r.Load == nil, r.Load.Slowdown > 0: // its load was recorded as the response began
		default:
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

// usageTracker counts requests by model. The counts are reported to the
// coordinator.
type usageTracker struct {
	mu      sync.Mutex
	running map[targetModel]int
	demand  map[demandKey]demand
	// waiting holds the due times of the waiting requests.
	waiting map[coordinator.Need][]time.Time
	// notLoaded holds when a target last refused a model.
	notLoaded map[targetModel]time.Time
	// statements are what targets have stated of how long work takes there.
	statements *slowdown.Collector
	// reading tracks the reading of prompts by such targets.
	reading *readingTracker
}

type targetModel struct {
	target  target.ID
	model   model.Name
	adapter model.Name
}

type demand struct {
	count        int
	promptTokens team.Tokens
}

// demandKey identifies requests that are reported together. Priority and team are those of the
// requests for pools whose targets state how long work takes.
type demandKey struct {
	pool     target.Pool
	model    model.Name
	adapter  model.Name
	priority int
	team     team.ID
}

// needOf returns what a waiting request needs.
func needOf(request relay.PlacementRequest) coordinator.Need {
	return coordinator.Need{Pool: request.Pool, Model: request.Model, Adapter: request.Adapter, Version: request.Version, Homes: request.Homes}
}

func newUsageTracker(clock clockwork.Clock) *usageTracker {
	return &usageTracker{
		running:    map[targetModel]int{},
		demand:     map[demandKey]demand{},
		waiting:    map[coordinator.Need][]time.Time{},
		notLoaded:  map[targetModel]time.Time{},
		statements: slowdown.NewCollector(),
		reading:    newReadingTracker(clock),
	}
}

func (tracker *usageTracker) recordDemand(request relay.PlacementRequest) {
	if request.Model == "" {
		return
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	key := demandKey{pool: request.Pool, model: request.Model, adapter: request.Adapter}
	if tracker.reading.states(request.Pool) {
		key.priority, key.team = request.Priority, request.Team
	}
	sum := tracker.demand[key]
	tracker.demand[key] = demand{count: sum.count + 1, promptTokens: sum.promptTokens + request.PromptTokens}
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
	key := needOf(request)
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

// countWaiting counts the requests that wait for the same model, and how many
// of them are due after the given time.
func (tracker *usageTracker) countWaiting(request relay.PlacementRequest, after time.Time) coordinator.Waiting {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	w := coordinator.Waiting{Total: len(tracker.waiting[needOf(request)])}
	for _, due := range tracker.waiting[needOf(request)] {
		if due.After(after) {
			w.OnTime++
		}
	}
	return w
}

// recordNotLoaded records that a target refused a model that it was thought to
// hold.
func (tracker *usageTracker) recordNotLoaded(id target.ID, request relay.PlacementRequest, now time.Time) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	tracker.notLoaded[targetModel{id, request.Model, request.Adapter}] = now
}

// recentlyNotLoaded reports whether a target refused the model within
// notLoadedTTL.
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

// takeUsage returns the demand since the last call and the requests in
// progress.
func (tracker *usageTracker) takeUsage() coordinator.Usage {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	var u coordinator.Usage
	for key, d := range tracker.demand {
		u.Demand = append(u.Demand, coordinator.Demand{Pool: key.pool, Model: key.model, Adapter: key.adapter, Count: d.count, Prompt: d.promptTokens, Priority: key.priority, Team: key.team})
	}
	clear(tracker.demand)
	u.Stated = tracker.statements.Take()
	u.Unread, u.Readings = tracker.reading.take()
	for key, n := range tracker.running {
		u.Running = append(u.Running, coordinator.Running{Target: key.target, Model: key.model, Adapter: key.adapter, Count: n})
	}
	slices.SortFunc(u.Demand, func(a, b coordinator.Demand) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Team, b.Team))
	})
	return u
}
