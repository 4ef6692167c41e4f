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
	// lookEvery is the time after which a waiting request looks again even if
	// nothing has changed, since suspicions end by themselves.
	lookEvery = 100 * time.Millisecond
	// leastRun is the time that a request needs at least once it is sent. One
	// that has less left is given up.
	leastRun = 50 * time.Millisecond
	// emptyWait is when a caller should try again whose pool has no target. New
	// targets take some seconds to come.
	emptyWait = time.Second
	// alonePatience is how long a request waits for a model while the
	// coordinator isn't reached, and aloneWait when its caller should try again:
	// another host is likely to take the next connection.
	alonePatience = time.Second
	aloneWait     = 500 * time.Millisecond
	// missingMemory is the time for which a target isn't chosen that lacked what
	// it was thought to hold. The coordinator has a newer report by then.
	missingMemory = 150 * time.Millisecond
)

// placer chooses targets for the relay. A request whose model no engine holds
// waits, and the coordinator is told.
type placer struct {
	gateway *gateway
	flights *flights
}

// Place waits for a target.
func (p *placer) Place(ctx context.Context, ask relay.Ask) (relay.Place, *outcome.NotRun) {
	g := p.gateway
	p.flights.ask(ask)
	began := g.clock.Now()
	waited := false
	near := g.nearLoadTime(ask)
	for {
		changed, joined := g.client.Changed(), g.roster.Changed()
		ready := g.roster.Ready(ask.Pool)
		if t, ok := p.choose(ready, ask); ok {
			if waited {
				g.log.Info("gateway: wait ended", "request", ask.ID, "model", ask.Model, "adapter", ask.Adapter,
					"target", t.ID, "waited", g.clock.Since(began).Round(time.Millisecond))
			}
			return p.place(t, ask), nil
		}
		if refusal := p.hopeless(ready, ask, began, near); refusal != nil {
			return relay.Place{}, refusal
		}
		if !waited {
			waited = true
			defer p.flights.wait(ask)()
			g.log.Info("gateway: waiting", "request", ask.ID, "model", ask.Model, "adapter", ask.Adapter, "ready", len(ready))
		}
		if ask.Model != "" {
			g.client.RequestLoad(ask.Pool, ask.Model, ask.Adapter, p.flights.waiting(ask, g.clock.Now().Add(near)), ask.Priority)
		}
		timer := g.clock.NewTimer(lookEvery)
		select {
		case <-ctx.Done():
			timer.Stop()
			return relay.Place{}, ended(ctx)
		case <-changed:
		case <-joined:
		case <-timer.Chan():
		}
		timer.Stop()
	}
}

// nearLoadTime returns how long the request's model takes to load from an
// engine's disk.
func (g *gateway) nearLoadTime(ask relay.Ask) time.Duration {
	current := g.catalog.Load()
	if current == nil {
		return 0
	}
	pool, ok := current.Pool(ask.Pool)
	if !ok || pool.Engines == nil {
		return 0
	}
	return pool.Engines.Models[ask.Model].DiskLoadTime
}

// ended returns the refusal of a request whose context has ended.
func ended(ctx context.Context) *outcome.NotRun {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return &outcome.NotRun{Reason: outcome.ReasonDeadline, Detail: "no target was free before the request's time ran out"}
	}
	return &outcome.NotRun{Reason: outcome.ReasonCallerLeft, Detail: "the caller left"}
}

// choose returns a target that can run the request now.
func (p *placer) choose(ready []roster.Target, ask relay.Ask) (roster.Target, bool) {
	g := p.gateway
	var able, tried []roster.Target
	for _, t := range ready {
		if ask.Model != "" && (!g.client.Holdings(t).Has(ask.Model, ask.Adapter) || p.flights.lacks(t.ID, ask, g.clock.Now())) {
			continue
		}
		if ask.Avoid[t.ID] {
			tried = append(tried, t)
			continue
		}
		able = append(able, t)
	}
	session := ask.Session
	if session == "" {
		session = string(ask.ID)
	}
	if t, ok := g.balancer.Choose(able, session); ok {
		return t, true
	}
	if ask.Model == "" || len(able) == 0 {
		return g.balancer.Choose(tried, session)
	}
	return roster.Target{}, false
}

// hopeless returns a refusal if waiting won't help the request. Near is the time
// of a load of its model from an engine's disk.
func (p *placer) hopeless(ready []roster.Target, ask relay.Ask, began time.Time, near time.Duration) *outcome.NotRun {
	g := p.gateway
	now := g.clock.Now()
	switch {
	case len(ready) == 0:
		return &outcome.NotRun{Reason: outcome.ReasonNoTarget, RetryAfter: emptyWait, Detail: "the pool has no target"}
	case now.Add(leastRun).After(ask.Deadline):
		return &outcome.NotRun{Reason: outcome.ReasonDeadline, Detail: "the request's time is too short to begin"}
	case ask.Model == "":
		return nil
	case !g.client.Reached() && now.Sub(began) > alonePatience:
		return &outcome.NotRun{Reason: outcome.ReasonCutOff, RetryAfter: aloneWait, Detail: "the model is not loaded and the coordinator is not reached"}
	default:
		return tooLate(now, ask.Deadline, g.client.MinLoadDelay(ask.Model, near))
	}
}

// tooLate refuses a request whose model can't be there before its caller leaves.
// The caller learns at once when to come back, instead of waiting in vain.
func tooLate(now, leaves time.Time, loadIn time.Duration) *outcome.NotRun {
	if loadIn <= 0 || !now.Add(loadIn+leastRun).After(leaves) {
		return nil
	}
	return &outcome.NotRun{
		Reason:     outcome.ReasonDeadline,
		RetryAfter: loadIn,
		Detail:     "the model can't be loaded before the caller leaves",
	}
}

func (p *placer) place(t roster.Target, ask relay.Ask) relay.Place {
	g := p.gateway
	g.balancer.Began(t.ID)
	end := p.flights.begin(t.ID, ask)
	var once sync.Once
	return relay.Place{
		Target: t,
		Done: func(result relay.Result) {
			once.Do(func() {
				end()
				p.learn(t, ask, result)
			})
		},
	}
}

// learn takes note of what became of a sending.
func (p *placer) learn(t roster.Target, ask relay.Ask, result relay.Result) {
	g := p.gateway
	switch r := result.(type) {
	case relay.Served:
		g.balancer.Ended(t.ID, balance.Answered)
		if r.Load != nil {
			g.balancer.Told(t.ID, r.Load.Running+r.Load.Waiting)
		}
	case relay.Refused:
		g.balancer.Ended(t.ID, balance.Unclear)
		if r.Load != nil {
			g.balancer.Told(t.ID, r.Load.Running+r.Load.Waiting)
		}
		if ask.Model != "" {
			p.flights.miss(t.ID, ask, g.clock.Now())
		}
	case relay.Failed:
		if r.Unreachable {
			g.balancer.Ended(t.ID, balance.Unreachable)
			g.targets.Forget(t.Address)
			return
		}
		g.balancer.Ended(t.ID, balance.Broken)
	case relay.Abandoned:
		g.balancer.Ended(t.ID, balance.Unclear)
	}
}

// flights counts requests by model, for the coordinator.
type flights struct {
	mu      sync.Mutex
	running map[flightKey]int
	asked   map[askKey]asked
	// held are the times at which the requests that wait are due.
	held    map[askKey][]time.Time
	missing map[flightKey]time.Time
}

type flightKey struct {
	target  target.ID
	model   model.Name
	adapter model.Name
}

type asked struct {
	count  int
	prompt team.Tokens
}

type askKey struct {
	pool    target.Pool
	model   model.Name
	adapter model.Name
}

func keyOf(ask relay.Ask) askKey { return askKey{ask.Pool, ask.Model, ask.Adapter} }

func newFlights() *flights {
	return &flights{
		running: map[flightKey]int{},
		asked:   map[askKey]asked{},
		held:    map[askKey][]time.Time{},
		missing: map[flightKey]time.Time{},
	}
}

func (f *flights) ask(ask relay.Ask) {
	if ask.Model == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	key := keyOf(ask)
	sum := f.asked[key]
	f.asked[key] = asked{count: sum.count + 1, prompt: sum.prompt + ask.Prompt}
}

func (f *flights) begin(id target.ID, ask relay.Ask) (end func()) {
	if ask.Model == "" {
		return func() {}
	}
	key := flightKey{id, ask.Model, ask.Adapter}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[key]++
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.running[key]--; f.running[key] <= 0 {
			delete(f.running, key)
		}
	}
}

func (f *flights) wait(ask relay.Ask) (done func()) {
	key := keyOf(ask)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held[key] = append(f.held[key], ask.Due)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		i := slices.Index(f.held[key], ask.Due)
		f.held[key] = slices.Delete(f.held[key], i, i+1)
		if len(f.held[key]) == 0 {
			delete(f.held, key)
		}
	}
}

// waiting counts the requests that wait for the same model as one, by whether
// they are due later than an instant.
func (f *flights) waiting(ask relay.Ask, after time.Time) coordinator.Waiting {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := coordinator.Waiting{Total: len(f.held[keyOf(ask)])}
	for _, due := range f.held[keyOf(ask)] {
		if due.After(after) {
			w.OnTime++
		}
	}
	return w
}

// miss takes note that a target lacks what it was thought to hold.
func (f *flights) miss(id target.ID, ask relay.Ask, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.missing[flightKey{id, ask.Model, ask.Adapter}] = now
}

// lacks reports whether a target was found lacking a moment ago.
func (f *flights) lacks(id target.ID, ask relay.Ask, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := flightKey{id, ask.Model, ask.Adapter}
	at, ok := f.missing[key]
	if ok && now.Sub(at) >= missingMemory {
		delete(f.missing, key)
		return false
	}
	return ok
}

// usage returns what was asked since the last call and what is running.
func (f *flights) usage() coordinator.Usage {
	f.mu.Lock()
	defer f.mu.Unlock()
	var u coordinator.Usage
	for key, a := range f.asked {
		u.Demand = append(u.Demand, coordinator.Demand{Pool: key.pool, Model: key.model, Adapter: key.adapter, Count: a.count, Prompt: a.prompt})
	}
	clear(f.asked)
	for key, n := range f.running {
		u.Running = append(u.Running, coordinator.Running{Target: key.target, Model: key.model, Adapter: key.adapter, Count: n})
	}
	slices.SortFunc(u.Demand, func(a, b coordinator.Demand) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	return u
}
