package coordinator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"hawthornway/catalog"
	"hawthornway/model"
	"hawthornway/overload"
	"hawthornway/slowdown"
	"hawthornway/target"
	"hawthornway/team"
)

const (
	// flowDecayTime is the time constant of the demand by which requests are admitted. It is
	// shorter than that for placement, since an engine is overloaded within a second.
	flowDecayTime = 1500 * time.Millisecond
	// minFlowRate is the demand in tokens per second below which a flow is forgotten.
	minFlowRate = 1
	// waitingTime is the time in which the requests that wait for a load are admitted, beside
	// those that arrive then.
	waitingTime = 2 * time.Second
	// loadingTime is the rest of a load from which the engine counts as holding the model.
	loadingTime = time.Second
	// defaultObjective is the time to a first event that callers expect of routes without an
	// objective.
	defaultObjective = time.Second
	// allocateFactor is the least time between two allocations, as a multiple of the time that one
	// takes. In a large fleet it would otherwise take a part of a core that the coordinator needs.
	allocateFactor = 20
	// maxSharesPerAnswer bounds the answers to reports. The flows with the largest demand come first.
	maxSharesPerAnswer = 100
	// maxAllotmentsPerModel and maxAllotmentsPerAnswer bound the allotments that are sent.
	maxAllotmentsPerModel  = 20
	maxAllotmentsPerAnswer = 100
)

// flowKey identifies a flow of a pool.
type flowKey struct {
	pool target.Pool
	overload.FlowID
}

// flowRate is the recent demand of a flow in prompt tokens per second, as a decaying average since
// its first request.
type flowRate struct {
	tokens             float64
	updatedAt, firstAt time.Time
}

func (r flowRate) decayed(now time.Time) flowRate {
	return flowRate{r.tokens * math.Exp(-now.Sub(r.updatedAt).Seconds()/flowDecayTime.Seconds()), now, r.firstAt}
}

// demand returns the demand, corrected for the time before the first request, in which there was
// none. All hosts report within a report interval.
func (r flowRate) demand(now time.Time) team.TokensPerSecond {
	age := max(reportIntervalLargeFleet, now.Sub(r.firstAt))
	return team.TokensPerSecond(r.decayed(now).tokens / -math.Expm1(-age.Seconds()/flowDecayTime.Seconds()))
}

// admission is what the coordinator knows of demand and reading by pool, and the shares that follow
// from it. Only pools whose targets state how long work takes have any.
type admission struct {
	flows      map[flowKey]flowRate
	speeds     map[target.Pool]*overload.Speedometer
	computedAt time.Time
	// took is how long the last computation took.
	took       time.Duration
	shares     []wireShare
	allotments []wireAllotment
	// adaptersAt is when adapters of each pool were last loaded on further engines.
	adaptersAt map[target.Pool]time.Time
	// refused holds the models of which requests are refused.
	refused map[target.Pool]map[model.Name]bool
}

func newAdmission() *admission {
	return &admission{flows: map[flowKey]flowRate{}, speeds: map[target.Pool]*overload.Speedometer{}, adaptersAt: map[target.Pool]time.Time{}, refused: map[target.Pool]map[model.Name]bool{}}
}

// recordDemand records reported requests. Hosts name the team only for pools whose targets state how
// long work takes.
func (a *admission) recordDemand(d wireDemand, now time.Time) {
	if d.Team == "" {
		return
	}
	key := flowKey{d.Pool, overload.FlowID{Model: d.Model, Priority: d.Priority, Team: d.Team}}
	r, ok := a.flows[key]
	if !ok {
		r.firstAt = now
	}
	r = r.decayed(now)
	r.tokens += float64(d.Prompt) / flowDecayTime.Seconds()
	a.flows[key] = r
}

// recordReadings records how fast engines read prompts.
func (a *admission) recordReadings(readings []wireReading, now time.Time) {
	for _, r := range readings {
		a.speedometer(r.Pool).Record(r.reading(), now)
	}
}

func (a *admission) speedometer(pool target.Pool) *overload.Speedometer {
	s, ok := a.speeds[pool]
	if !ok {
		s = &overload.Speedometer{}
		a.speeds[pool] = s
	}
	return s
}

// addAdmission adds the shares of requests that hosts admit to the answer to a report. Those of a new
// coordinator, which hasn't heard from all hosts, are too large.
func (c *Coordinator) addAdmission(view *wireView, now time.Time) {
	if len(c.admission.flows) == 0 {
		return
	}
	if a := c.admission; now.Sub(a.computedAt) >= max(loadsInterval, allocateFactor*a.took) {
		c.allocate(now)
		a.took = c.clock.Since(now)
	}
	view.Admission = &wireAdmission{Shares: c.admission.shares, Allotments: c.admission.allotments, Early: now.Sub(c.termBegan) < ReportTime}
}

// allocate computes the allocations of all pools.
func (c *Coordinator) allocate(now time.Time) {
	a := c.admission
	a.computedAt, a.shares, a.allotments = now, nil, nil
	current := c.catalogs()
	if current == nil {
		return
	}
	demand := map[flowKey]team.TokensPerSecond{}
	for key, r := range a.flows {
		if demand[key] = r.demand(now); demand[key] < minFlowRate {
			delete(a.flows, key)
			delete(demand, key)
		}
	}
	c.addWaiting(demand, now)
	flows := map[target.Pool][]overload.Flow{}
	for key, d := range demand {
		flows[key.pool] = append(flows[key.pool], overload.Flow{FlowID: key.FlowID, Demand: d, Weight: teamWeight(current, key.Team)})
	}
	for pool, ofPool := range flows {
		allocation := overload.Allocate(c.overloadEngines(pool, now), ofPool)
		c.logOverload(pool, allocation.Shares)
		for _, s := range allocation.Shares {
			a.shares = append(a.shares, wireShare{pool, s.Model, s.Priority, s.Team, int(math.Round(shareUnit * s.Admitted))})
		}
		a.addAllotments(pool, allocation.Allotments)
	}
	for pool := range a.refused {
		if _, ok := flows[pool]; !ok {
			c.logOverload(pool, nil)
		}
	}
	if len(a.shares) > maxSharesPerAnswer {
		slices.SortStableFunc(a.shares, func(x, y wireShare) int {
			return cmp.Compare(demand[y.key()], demand[x.key()])
		})
		a.shares = a.shares[:maxSharesPerAnswer]
	}
}

// addAllotments adds the allotments for models with few engines. Requests for others are spread by the
// load of the engines alone: one of many engines gets few of them before hosts learn of it.
func (a *admission) addAllotments(pool target.Pool, allotments []overload.Allotment) {
	for len(allotments) > 0 {
		n := slices.IndexFunc(allotments, func(other overload.Allotment) bool { return other.Model != allotments[0].Model })
		if n < 0 {
			n = len(allotments)
		}
		if n <= maxAllotmentsPerModel && len(a.allotments)+n <= maxAllotmentsPerAnswer {
			for _, part := range allotments[:n] {
				a.allotments = append(a.allotments, wireAllotment{pool, part.Model, part.Target, int(math.Round(float64(part.Rate)))})
			}
		}
		allotments = allotments[n:]
	}
}

// addWaiting adds the requests that wait for a load to the demand for their model: they are sent as
// soon as an engine holds it.
func (c *Coordinator) addWaiting(demand map[flowKey]team.TokensPerSecond, now time.Time) {
	type poolModel struct {
		pool  target.Pool
		model model.Name
	}
	factors := map[poolModel]float64{}
	for need, pending := range c.loadRequests {
		r, ok := c.rates[need.Model]
		if !ok {
			continue
		}
		rate := r.decayed(now).requests
		waiting := 0
		for _, h := range pending.byHost {
			waiting += h.waiting
		}
		if rate > 0 {
			factors[poolModel{need.Pool, need.Model}] += float64(waiting) / (rate * waitingTime.Seconds())
		}
	}
	for key, d := range demand {
		demand[key] = d * team.TokensPerSecond(1+factors[poolModel{key.pool, key.Model}])
	}
}

// teamWeight returns the weight of a team among others: its configured rate, which is what it is
// owed.
func teamWeight(current *catalog.Catalog, id team.ID) float64 {
	if t, ok := current.Team(id); ok && t.Limit != nil && t.Limit.Rate > 0 {
		return float64(t.Limit.Rate)
	}
	return 1
}

// overloadEngines returns the engines of a pool that get requests, in any order, with the prompts that
// hosts have sent them and that they haven't read.
func (c *Coordinator) overloadEngines(pool target.Pool, now time.Time) []overload.Engine {
	unread := map[target.ID]team.Tokens{}
	for _, h := range c.hosts {
		if now.Sub(h.receivedAt) > maxHostReportAge {
			continue
		}
		for _, u := range h.unread {
			unread[u.Target] += u.Tokens
		}
	}
	objective := defaultObjective
	if current := c.catalogs(); current != nil {
		objective = cmp.Or(current.LeastObjective(pool), defaultObjective)
	}
	var engines []overload.Engine
	for id, e := range c.engines {
		if e.target.Pool != pool || !c.mayLoad(e) || c.limited(e) {
			continue
		}
		speed, learned := c.readSpeed(e, now)
		state := overload.Engine{ID: id, Speed: speed, Assumed: !learned, Objective: objective, Unread: unread[id]}
		for name, r := range e.resident {
			if !r.unloading {
				state.Models = append(state.Models, name)
			}
		}
		if e.job != nil && e.freeAt.Sub(now) < loadingTime && !slices.Contains(state.Models, e.job.Load) {
			state.Models = append(state.Models, e.job.Load)
		}
		engines = append(engines, state)
	}
	return engines
}

// readSpeed returns the speed at which an engine reads prompts, and false if it is assumed.
func (c *Coordinator) readSpeed(e *engine, now time.Time) (speed team.TokensPerSecond, learned bool) {
	factor := slowdown.Usual
	if estimator, ok := c.slowdowns[e.target.Pool]; ok {
		factor = estimator.Factor(e.target.ID, e.start, now)
	}
	usual, learned := c.admission.speedometer(e.target.Pool).Speed()
	return usual / team.TokensPerSecond(factor), learned
}

// logOverload logs which models of a pool have begun or ceased to get more requests than their
// engines can read.
func (c *Coordinator) logOverload(pool target.Pool, shares []overload.Share) {
	least := map[model.Name]float64{}
	for _, s := range shares {
		if known, ok := least[s.Model]; !ok || s.Admitted < known {
			least[s.Model] = s.Admitted
		}
	}
	refused := c.admission.refused[pool]
	if len(least) == 0 && len(refused) == 0 {
		return
	}
	for name, admitted := range least {
		if !refused[name] {
			c.log.Info("coordinator: engines can't read the prompts for a model; some requests are refused", "pool", pool, "model", name, "least-admitted", admitted)
		}
	}
	for name := range refused {
		if _, ok := least[name]; !ok {
			c.log.Info("coordinator: engines can read the prompts for a model again", "pool", pool, "model", name)
		}
	}
	current := map[model.Name]bool{}
	for name := range least {
		current[name] = true
	}
	c.admission.refused[pool] = current
}

// shareUnit is the number of units of a share on the wire.
const shareUnit = 1000

func (w wireShare) key() flowKey {
	return flowKey{w.Pool, overload.FlowID{Model: w.Model, Priority: w.Priority, Team: w.Team}}
}

// adoptAdmission passes on the shares of requests that this host admits.
func (c *Client) adoptAdmission(view wireView) {
	if view.Admission == nil {
		return
	}
	allocations := map[target.Pool]overload.Allocation{}
	for _, w := range view.Admission.Shares {
		a := allocations[w.Pool]
		a.Shares = append(a.Shares, overload.Share{FlowID: w.key().FlowID, Admitted: float64(w.Admitted) / shareUnit})
		allocations[w.Pool] = a
	}
	for _, w := range view.Admission.Allotments {
		a := allocations[w.Pool]
		a.Allotments = append(a.Allotments, overload.Allotment{Model: w.Model, Target: w.Target, Rate: team.TokensPerSecond(w.Rate)})
		allocations[w.Pool] = a
	}
	c.updateAllocations(allocations, view.Admission.Early)
}

// spreadAdapters queues loads of adapters that engines which are behind with reading hold, on engines
// that also hold the model and have time. Requests for an adapter otherwise stay with the one engine
// that has it. Each engine that is behind hands over one adapter at a time, that with the most
// requests.
func (c *Coordinator) spreadAdapters(pool catalog.Pool) {
	now := c.clock.Now()
	_, stated := c.slowdowns[pool.Name]
	if !stated || pool.Engines.AdapterSlots == 0 || now.Sub(c.admission.adaptersAt[pool.Name]) < loadsInterval {
		return
	}
	c.admission.adaptersAt[pool.Name] = now
	engines := c.overloadEngines(pool.Name, now)
	requests := c.runningByAdapter(now)
	held := c.heldModels(now)
	for _, state := range engines {
		if !state.Behind() {
			continue
		}
		var job adapterJob
		var to *engine
		for candidate, n := range requests[state.ID] {
			best := requests[state.ID][job]
			if n < best || n == best && cmp.Compare(candidate.fullName(), job.fullName()) > 0 || held[candidate.fullName()] {
				continue
			}
			if other := c.idleEngineFor(pool, candidate, engines); other != nil {
				job, to = candidate, other
			}
		}
		if to == nil {
			continue
		}
		select {
		case to.adapterJobs <- job:
			to.pendingAdapters[job] = true
			c.log.Info("coordinator: adapter is loaded on a further engine", "model", job.model, "adapter", job.adapter, "from", state.ID, "to", to.target.ID)
		default: // the worker's queue is full
		}
	}
}

// runningByAdapter counts the hosts' requests with adapters by engine.
func (c *Coordinator) runningByAdapter(now time.Time) map[target.ID]map[adapterJob]int {
	sums := map[target.ID]map[adapterJob]int{}
	for _, h := range c.hosts {
		if now.Sub(h.receivedAt) > maxHostReportAge {
			continue
		}
		for _, r := range h.running {
			if r.Adapter == "" {
				continue
			}
			if sums[r.Target] == nil {
				sums[r.Target] = map[adapterJob]int{}
			}
			sums[r.Target][adapterJob{r.Model, r.Adapter}] += r.Count
		}
	}
	return sums
}

// idleEngineFor returns the engine with the smallest backlog that holds an adapter's model and has time
// and a free slot for the adapter, or nil if there is none or an engine with time has it already.
func (c *Coordinator) idleEngineFor(pool catalog.Pool, job adapterJob, engines []overload.Engine) *engine {
	var best *engine
	var bestUnread team.Tokens
	for _, state := range engines {
		e := c.engines[state.ID]
		if !state.Idle() || !e.has(job.model, "") {
			continue
		}
		if e.has(job.model, job.adapter) || e.pendingAdapters[job] {
			return nil
		}
		free := e.adapterCount()+len(e.pendingAdapters) < pool.Engines.AdapterSlots
		if free && (best == nil || state.Unread < bestUnread) {
			best, bestUnread = e, state.Unread
		}
	}
	return best
}
