// Package placement decides which engines load and unload which models. Plans are
// pure functions of the given state.
package placement

import (
	"cmp"
	"slices"
	"time"

	"hawthornway/catalog"
	"hawthornway/fleet"
	"hawthornway/model"
	"hawthornway/overload"
	"hawthornway/target"
	"hawthornway/team"
)

// State is the input of a plan.
type State struct {
	Now     time.Time
	Engines []Engine
	// Evacuated are engines that get no requests and load nothing until their domain is taken
	// back.
	Evacuated []Engine
	Models    map[model.Name]catalog.Model
	// LoadRequests lists the models that requests wait for.
	LoadRequests []LoadRequest
	// Held are models that must not be loaded now.
	Held map[model.Name]bool
	// FailedOn holds the engines on which loads of models failed. Others come first.
	FailedOn map[model.Name]map[target.ID]bool
	// Rates holds the recent requests per second of each model.
	Rates map[model.Name]float64
	// PromptRates holds the recent prompt tokens per second of each model.
	PromptRates map[model.Name]float64
	// RecentAdapters is the number of recently requested adapters of each model, and
	// AdapterSlots the number of adapters that an engine can hold.
	RecentAdapters map[model.Name]int
	AdapterSlots   int
	// HostMemory is the size of an engine's cache of weights in host memory, or zero if
	// it is unknown.
	HostMemory model.Bytes
	// MinResidency is the minimum time that a model stays loaded after its last use or
	// its load, so that requests that hosts haven't reported yet still reach it.
	MinResidency time.Duration
	// WeightStoreLoads is the number of loads from the weight store in progress, and
	// WeightStoreBudget the number of further ones that may start now.
	WeightStoreLoads  int
	WeightStoreBudget int
}

// Engine is the known state of one engine.
type Engine struct {
	ID      target.ID
	Domain  fleet.DomainID
	Version target.Version
	// Memory is the memory for models, without the reserve for adapters.
	Memory   model.Bytes
	Resident []Resident
	// InMemory and OnDisk are the models whose weights are cached in the engine's host
	// memory or on its disk.
	InMemory HostMemory
	OnDisk   map[model.Name]bool
	// Loading is the model being loaded, LoadingFrom where from, and FreeAt the time from
	// which the engine is expected to accept another order.
	Loading     model.Name
	LoadingFrom Source
	FreeAt      time.Time
	// Busy is set while an order is in progress.
	Busy bool
	// Work is the number of requests running and waiting, and Slots the number that can
	// run at the same time.
	Work  int
	Slots int
	// ReadSpeed is the speed at which the engine reads prompts, or zero if it isn't known.
	ReadSpeed team.TokensPerSecond
	// Limited is set if the engine takes a limited number of requests only. Requests wait
	// for a model although such an engine holds it, and models are loaded elsewhere.
	Limited bool
}

// Resident is a model that an engine holds.
type Resident struct {
	Model   model.Name
	Size    model.Bytes
	Running int
	// LastUsed is when the model was last requested, or when it was loaded.
	LastUsed time.Time
	// Unloading is set while the model is being unloaded. It still occupies memory.
	Unloading bool
}

// LoadRequest is a model with requests that wait for it.
type LoadRequest struct {
	Model model.Name
	// Version is the version of the engines that can serve the requests, or empty if any
	// engine can.
	Version target.Version
	// Domains holds the failure domains of the engines that can serve the requests, or is nil
	// if any engine can.
	Domains map[fleet.DomainID]bool
	Waiting int
	// OnTime is the number of waiting requests that still meet their deadlines if the
	// model is loaded now from an engine's disk.
	OnTime   int
	Priority int
	Since    time.Time
}

// Job is the task of one engine: to unload the models in Evict and then load one.
type Job struct {
	Engine target.ID
	Evict  []model.Name
	Load   model.Name
	Source Source
	Reason Reason
}

// Source is where weights are loaded from.
type Source int

// The sources, from the fastest to the slowest.
const (
	SourceMemory Source = iota
	SourceDisk
	SourceWeightStore
)

// String returns the source's name in logs.
func (s Source) String() string { return [...]string{"memory", "disk", "store"}[s] }

// Reason is the reason for a load. Its value appears in logs.
type Reason string

// The reasons for loads.
const (
	ReasonRequested Reason = "wanted"
	ReasonSpread    Reason = "spread"
	ReasonStandby   Reason = "standby"
	ReasonPrefetch  Reason = "prefetch"
	ReasonEvacuated Reason = "evacuated"
)

// The limits and cost weights of placement.
const (
	// WeightStoreStreams is the number of concurrent loads that the weight store serves at
	// full speed. The duration of more concurrent loads grows in proportion, so that more
	// of them don't raise the throughput.
	WeightStoreStreams = 4
	// prefetchStreams limits the concurrent prefetches, which leaves one stream to loads
	// for waiting requests.
	prefetchStreams = 3
	// maxPrefillShare is the share of an engine's time that the prefill of one model's
	// prompts may take. Each prefill delays the output streams of other requests.
	maxPrefillShare = 0.25
	// urgentFactor is the ratio of a model's needed to existing engines from which
	// further engines are loaded before models that no engine holds. Such a model has
	// many requests, which are late until it gets more engines.
	urgentFactor = 2
	// minSpreadRate is the number of requests per second below which full slots don't
	// give a model another engine, since then other models fill the slots.
	minSpreadRate = 1
	// spreadSlotShare is the share of occupied slots on a model's engines from which the
	// model gets another engine.
	spreadSlotShare = 0.5
	// minStandbyRate is the number of requests per second from which a model gets a
	// second engine in another domain, so that the loss of one engine causes no cold
	// start.
	minStandbyRate = 0.8
	// minReplaceRate is the number of requests per second from which a model is loaded anew
	// that only evacuated engines hold: one is likely to come within a few seconds, the time
	// that callers wait.
	minReplaceRate = 0.1
	// maxInUseWait is the age of a load request from which waiting for an engine whose
	// models are all in use costs more and more, since hot models may always be in use.
	// It is longer than responses and loads from memory or disk take.
	maxInUseWait = 4 * time.Second
	// inUseTime is the expected time until one of an engine's models can be evicted if all
	// of them are in use. Responses take about as long.
	inUseTime = 2 * time.Second
	// lateWeight is the value of a late response relative to one on time. The routes of the
	// platform's users value a late response at a tenth to a third.
	lateWeight = 0.2
	// followUpTime is the period in which expected further requests count as waiting.
	followUpTime = 6 * time.Second
	// ageWeight is the increase of a load request's urgency per second, so that a late
	// one comes before a new one after about 4 s. Callers of streams give up after 2 to
	// 16 s.
	ageWeight = 0.2
	// evictionWeight scales the cost of an eviction: the expected reload time per second
	// at the evicted model's request rate.
	evictionWeight = 1.0
	// prefillWeight is the cost, in seconds of loading, of an engine that is fully
	// occupied by prefill.
	prefillWeight = 2.0
)

// Plan returns the jobs to start now, at most one for each idle engine.
func Plan(s State) []Job {
	p := newPlanner(s)
	p.spread(urgentFactor)
	p.loadRequested()
	p.replace()
	p.spread(1)
	p.standby()
	p.prefetch()
	return p.jobs
}

func newPlanner(s State) *planner {
	p := &planner{
		State: s, engines: slices.Clone(s.Engines), replicas: map[model.Name]int{}, readSpeed: map[model.Name]float64{}, cached: map[model.Name]bool{},
		loading: map[model.Name]bool{}, requested: map[model.Name]bool{}, unlimited: map[model.Name]int{},
		allLimited: !slices.ContainsFunc(s.Engines, func(e Engine) bool { return !e.Limited }),
	}
	for i := range p.engines {
		e := &p.engines[i]
		e.Resident = slices.Clone(e.Resident)
		p.countReplicas(e)
		if !e.Busy {
			p.idle++
		}
	}
	for _, request := range p.LoadRequests {
		p.requested[request.Model] = true
		if p.weightStoreOnly(request.Model) {
			p.weightStoreOnlyRequests++
		}
	}
	return p
}

// weightStoreOnly reports whether no engine has the weights of a model.
func (p *planner) weightStoreOnly(name model.Name) bool {
	return p.replicas[name] == 0 && !p.cached[name]
}

type planner struct {
	State
	// engines are copies of State.Engines that include the jobs planned so far.
	engines []Engine
	// replicas holds the number of engines that hold or load each model, and readSpeed the speed
	// at which these read prompts together.
	replicas  map[model.Name]int
	readSpeed map[model.Name]float64
	// cached holds the models whose weights some engine has, loading those that an engine
	// loads, and requested those that requests wait for.
	cached, loading, requested map[model.Name]bool
	// unlimited holds the number of engines without a limit that hold or load each model, and
	// allLimited is set if there is no engine without one.
	unlimited  map[model.Name]int
	allLimited bool
	// idle is the number of engines that may get a job.
	idle int
	// weightStoreOnlyRequests is the number of load requests for models whose weights only the
	// weight store has.
	weightStoreOnlyRequests int
	jobs                    []Job
	// weightStoreJobs is the number of jobs that load from the weight store.
	weightStoreJobs int
}

// countReplicas counts the models that an engine holds or loads, and records the models
// whose weights it has.
func (p *planner) countReplicas(e *Engine) {
	for _, r := range e.Resident {
		p.cached[r.Model] = true
		if !r.Unloading {
			p.countReplica(r.Model, e)
		}
	}
	if e.Loading != "" {
		p.countReplica(e.Loading, e)
		p.cached[e.Loading], p.loading[e.Loading] = true, true
	}
	for _, name := range e.InMemory {
		p.cached[name] = true
	}
	for name := range e.OnDisk {
		p.cached[name] = true
	}
}

func (p *planner) countReplica(name model.Name, e *Engine) {
	p.replicas[name]++
	p.readSpeed[name] += e.readSpeed()
	if !e.Limited {
		p.unlimited[name]++
	}
}

// served reports whether an engine that may take the requests for a model holds or loads it.
func (p *planner) served(name model.Name) bool {
	return p.unlimited[name] > 0 || p.allLimited && p.replicas[name] > 0
}

// urgency ranks load requests by the number of requests that a load allows to be
// served on time: those that wait, and those that are likely to follow. Late
// requests count less, but gain with age, since their callers give up. Loading in the
// order of arrival would make all requests late once loads fall behind.
func (p *planner) urgency(request LoadRequest) float64 {
	late := float64(request.Waiting - request.OnTime)
	return float64(request.OnTime) + lateWeight*late + p.Rates[request.Model]*followUpTime.Seconds() + ageWeight*p.Now.Sub(request.Since).Seconds()
}

// requestsByUrgency returns the load requests, the most urgent first.
func (p *planner) requestsByUrgency() []LoadRequest {
	type ranked struct {
		LoadRequest
		urgency float64
	}
	ranking := make([]ranked, len(p.LoadRequests))
	for i, request := range p.LoadRequests {
		ranking[i] = ranked{request, p.urgency(request)}
	}
	slices.SortFunc(ranking, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.urgency, a.urgency), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Model, b.Model))
	})
	requests := make([]LoadRequest, len(ranking))
	for i, r := range ranking {
		requests[i] = r.LoadRequest
	}
	return requests
}

// loadRequested plans loads of the requested models that no engine holds.
func (p *planner) loadRequested() {
	for _, request := range p.requestsByUrgency() {
		late := max(0, p.Now.Sub(request.Since)-maxInUseWait)
		switch {
		case request.Version != "" || request.Domains != nil:
			p.loadWhereAllowed(request, late)
		case !p.served(request.Model):
			p.place(request.Model, ReasonRequested, late, anyEngine)
		}
	}
}

// loadWhereAllowed plans a load for requests that only engines of a version or of some domains can
// serve, unless one of them holds the model.
func (p *planner) loadWhereAllowed(request LoadRequest, late time.Duration) {
	allowed := func(e *Engine) bool {
		return (request.Version == "" || e.Version == request.Version) && (request.Domains == nil || request.Domains[e.Domain])
	}
	for i := range p.engines {
		if e := &p.engines[i]; allowed(e) && e.holds(request.Model) {
			return
		}
	}
	p.place(request.Model, ReasonRequested, late, allowed)
}

// replace plans loads of recently requested models that only evacuated engines hold, the most
// requested first, so that fewer requests have to wait for a load once these get none.
func (p *planner) replace() {
	held := map[model.Name]bool{}
	for _, e := range p.Evacuated {
		for _, r := range e.Resident {
			if p.replicas[r.Model] == 0 && p.Rates[r.Model] >= minReplaceRate {
				held[r.Model] = true
			}
		}
	}
	names := sortedNames(held)
	slices.SortStableFunc(names, func(a, b model.Name) int { return cmp.Compare(p.Rates[b], p.Rates[a]) })
	for _, name := range names {
		if p.replicas[name] == 0 {
			p.place(name, ReasonEvacuated, 0, anyEngine)
		}
	}
}

// spread plans another engine for each model whose demand exceeds the given multiple of
// its engines' capacity: in slots, in prefill time, or in adapter slots.
func (p *planner) spread(factor float64) {
	work, slots := map[model.Name]int{}, map[model.Name]int{}
	for _, e := range p.engines {
		for _, r := range e.Resident {
			work[r.Model] += e.Work
			slots[r.Model] += e.Slots
		}
	}
	for _, name := range sortedNames(p.Rates) {
		replicas := float64(p.replicas[name])
		if replicas == 0 || p.loading[name] && !p.farBelowDemand(name) {
			continue
		}
		slotsFull := !p.loading[name] && slots[name] > 0 && float64(work[name]) >= spreadSlotShare*factor*float64(slots[name]) && p.Rates[name] >= minSpreadRate
		prefillFull := p.PromptRates[name] > p.readSpeed[name]*maxPrefillShare*factor
		adaptersFull := !p.loading[name] && p.AdapterSlots > 0 && float64(p.RecentAdapters[name]) > replicas*float64(p.AdapterSlots)*factor
		if slotsFull || prefillFull || adaptersFull {
			p.place(name, ReasonSpread, 0, func(e *Engine) bool { return !e.holds(name) })
		}
	}
}

// farBelowDemand reports whether the engines that hold or load a model can read less than half of
// the prompts for it. Loads for it then run side by side: one after another, they would take longer
// than its callers wait.
func (p *planner) farBelowDemand(name model.Name) bool {
	return p.PromptRates[name] > p.readSpeed[name]*maxPrefillShare*urgentFactor
}

// prefillLoad returns the share of an engine's time that prefill takes.
func (p *planner) prefillLoad(e *Engine) float64 {
	sum := 0.0
	for _, r := range e.Resident {
		sum += p.PromptRates[r.Model] / max(e.readSpeed(), p.readSpeed[r.Model])
	}
	return sum
}

// addedLoad returns the share of an engine's time that the prefill of its part of a further model's
// prompts takes. It makes models with many prompts go to fast engines.
func (p *planner) addedLoad(e *Engine, name model.Name) float64 {
	return p.PromptRates[name] / float64(p.replicas[name]+1) / e.readSpeed()
}

// readSpeed returns the speed at which an engine reads prompts, in tokens per second.
func (e *Engine) readSpeed() float64 {
	if e.ReadSpeed > 0 {
		return float64(e.ReadSpeed)
	}
	return float64(overload.AssumedSpeed)
}

// standby plans a second engine, in another domain, for frequently requested models.
func (p *planner) standby() {
	for _, name := range sortedNames(p.Rates) {
		if p.Rates[name] < minStandbyRate || p.replicas[name] != 1 {
			continue
		}
		domain := fleet.DomainID("")
		for _, e := range p.engines {
			if e.holds(name) {
				domain = e.Domain
			}
		}
		p.place(name, ReasonStandby, 0, func(e *Engine) bool { return !e.holds(name) && e.Domain != domain })
	}
}

// prefetch plans loads of models whose weights no engine has, so that their first
// request finds them on an engine's disk.
func (p *planner) prefetch() {
	if len(p.LoadRequests) > 0 && p.WeightStoreLoads+p.weightStoreJobs > 0 {
		return
	}
	for _, name := range sortedNames(p.Models) {
		if p.WeightStoreLoads+p.weightStoreJobs >= prefetchStreams || p.weightStoreJobs >= p.WeightStoreBudget || len(p.jobs) >= len(p.engines) {
			return
		}
		if !p.cached[name] {
			p.place(name, ReasonPrefetch, 0, anyEngine)
		}
	}
}

func anyEngine(*Engine) bool { return true }

// place plans a load on the engine with the lowest cost. It plans nothing if that
// engine is busy or can't free enough memory now, since waiting for it is then
// cheaper than using another engine. Late is the time by which the requests have waited
// longer than maxInUseWait.
func (p *planner) place(name model.Name, reason Reason, late time.Duration, allowed func(*Engine) bool) {
	m, ok := p.Models[name]
	if !ok || p.idle == 0 || p.Held[name] {
		return
	}
	failedOn := p.FailedOn[name]
	if !slices.ContainsFunc(p.engines, func(e Engine) bool { return !failedOn[e.ID] }) {
		failedOn = nil
	}
	var best *Engine
	var bestJob Job
	bestCost, bestBlocked := 0.0, false
	for i := range p.engines {
		e := &p.engines[i]
		if !allowed(e) || e.holds(name) || e.Limited && !p.allLimited || failedOn[e.ID] {
			continue
		}
		if best != nil && p.minCost(e, m) >= bestCost {
			continue
		}
		job, cost, fits := p.cost(e, m, reason)
		if !fits {
			cost += (inUseTime + late).Seconds()
		}
		if best == nil || cost < bestCost {
			best, bestJob, bestCost, bestBlocked = e, job, cost, !fits
		}
	}
	if best == nil || best.Busy || bestBlocked {
		return // cheaper to wait for the best engine
	}
	if bestJob.Source == SourceWeightStore && !p.mayLoadFromWeightStore(reason) {
		return
	}
	p.jobs = append(p.jobs, bestJob)
	if bestJob.Source == SourceWeightStore {
		p.weightStoreJobs++
	}
	p.idle--
	p.loading[name] = true
	best.Busy, best.Loading, best.FreeAt = true, name, p.Now.Add(LoadTime(m, bestJob.Source))
	best.Resident = slices.DeleteFunc(best.Resident, func(r Resident) bool { return slices.Contains(bestJob.Evict, r.Model) })
	p.countReplica(name, best)
	p.cached[name] = true
	for _, evicted := range bestJob.Evict {
		p.replicas[evicted]--
		p.readSpeed[evicted] -= best.readSpeed()
		if !best.Limited {
			p.unlimited[evicted]--
		}
	}
}

// mayLoadFromWeightStore reports whether a load from the weight store may start now. Requested
// models that no engine has take precedence over the other reasons.
func (p *planner) mayLoadFromWeightStore(reason Reason) bool {
	budget := p.WeightStoreBudget - p.weightStoreJobs
	if reason != ReasonRequested {
		budget -= p.weightStoreOnlyRequests
	}
	return budget > 0
}

// cost returns the job that loads a model on an engine, and its cost in seconds. It
// reports false if the engine can't free enough memory now.
func (p *planner) cost(e *Engine, m catalog.Model, reason Reason) (Job, float64, bool) {
	evict, evictCost, ok := p.victims(e, m)
	job := Job{Engine: e.ID, Load: m.Name, Evict: evict, Source: p.sourceAfter(e, m.Name, evict), Reason: reason}
	return job, p.loadCost(m, job.Source) + p.waitCost(e) + evictCost + prefillWeight*(p.prefillLoad(e)+p.addedLoad(e, m.Name)), ok
}

// minCost returns a lower bound of cost that takes little time to compute. A load from
// memory may turn into another one by the evictions before it.
func (p *planner) minCost(e *Engine, m catalog.Model) float64 {
	source := e.source(m.Name)
	cost := p.loadCost(m, source)
	if source == SourceMemory {
		cost = min(cost, p.loadCost(m, SourceDisk), p.loadCost(m, SourceWeightStore))
	}
	return cost + p.waitCost(e)
}

// loadCost returns the expected duration of a load in seconds.
func (p *planner) loadCost(m catalog.Model, from Source) float64 {
	cost := LoadTime(m, from).Seconds()
	if from == SourceWeightStore {
		cost *= max(1, float64(p.WeightStoreLoads+p.weightStoreJobs+1)/WeightStoreStreams)
	}
	return cost
}

// waitCost returns the expected time in seconds until an engine accepts another order. One
// that is overdue by some time is assumed to last as long again.
func (p *planner) waitCost(e *Engine) float64 {
	if !e.Busy {
		return 0
	}
	return e.FreeAt.Sub(p.Now).Abs().Seconds()
}

// victims returns the models to evict so that another one fits, and the cost of their
// eviction in seconds. It reports false if the memory can't be freed now.
func (p *planner) victims(e *Engine, m catalog.Model) ([]model.Name, float64, bool) {
	free := e.Memory
	for _, r := range e.Resident {
		free -= r.Size
	}
	if e.Loading != "" {
		free -= p.Models[e.Loading].Size
	}
	if free >= m.Size {
		return nil, 0, true
	}
	var candidates []Resident
	for _, r := range e.Resident {
		if p.evictable(r) {
			candidates = append(candidates, r)
		}
	}
	slices.SortFunc(candidates, func(a, b Resident) int {
		return cmp.Or(cmp.Compare(p.evictionCost(a, e), p.evictionCost(b, e)), a.LastUsed.Compare(b.LastUsed), cmp.Compare(a.Model, b.Model))
	})
	if c, cost, ok := p.cheapestVictim(e, m, candidates, m.Size-free); ok {
		return []model.Name{c.Model}, cost, true
	}
	var evict []model.Name
	evictCost := 0.0
	for _, c := range candidates {
		evict = append(evict, c.Model)
		evictCost += p.evictionCost(c, e)
		free += c.Size
		if free >= m.Size {
			return evict, evictCost, true
		}
	}
	return nil, 0, false
}

// cheapestVictim returns the candidate that frees enough memory by itself at the lowest
// cost, which includes the time of the load that follows: the unload may evict the
// weights of the model to load from the engine's host memory.
func (p *planner) cheapestVictim(e *Engine, m catalog.Model, candidates []Resident, missing model.Bytes) (best Resident, cost float64, ok bool) {
	bestTotal := 0.0
	for _, c := range candidates {
		if c.Size < missing {
			continue
		}
		evictCost := p.evictionCost(c, e)
		total := evictCost + LoadTime(m, p.sourceAfter(e, m.Name, []model.Name{c.Model})).Seconds()
		if !ok || total < bestTotal {
			best, cost, bestTotal, ok = c, evictCost, total, true
		}
	}
	return best, cost, ok
}

// sourceAfter returns where an engine loads a model from after it has unloaded others.
func (p *planner) sourceAfter(e *Engine, name model.Name, evict []model.Name) Source {
	source := e.source(name)
	if source != SourceMemory {
		return source
	}
	cache := e.InMemory
	for _, evicted := range evict {
		cache = cache.Use(evicted, p.Models, p.HostMemory)
	}
	if slices.Contains(cache, name) {
		return SourceMemory
	}
	if e.OnDisk[name] {
		return SourceDisk
	}
	return SourceWeightStore
}

// evictable reports whether a model may be unloaded now. The unload of a model in use
// would have to wait for its requests, and the next requests for the end of the unload.
func (p *planner) evictable(r Resident) bool {
	return r.Running == 0 && !p.requested[r.Model] && !r.Unloading && p.Now.Sub(r.LastUsed) >= p.MinResidency
}

// evictionCost returns the cost of evicting a model: the expected time spent on loading
// it again per second, weighted by evictionWeight. It falls with the square of the number
// of engines that hold the model.
func (p *planner) evictionCost(r Resident, e *Engine) float64 {
	reload := LoadTime(p.Models[r.Model], e.source(r.Model)).Seconds()
	replicas := max(1, p.replicas[r.Model])
	return evictionWeight * p.Rates[r.Model] * reload / float64(replicas*replicas)
}

func (e *Engine) holds(name model.Name) bool {
	if e.Loading == name {
		return true
	}
	return slices.ContainsFunc(e.Resident, func(r Resident) bool { return r.Model == name })
}

func (e *Engine) source(name model.Name) Source {
	switch {
	case slices.Contains(e.InMemory, name):
		return SourceMemory
	case e.OnDisk[name]:
		return SourceDisk
	default:
		return SourceWeightStore
	}
}

// LoadTime returns the duration of a load without concurrent loads.
func LoadTime(m catalog.Model, from Source) time.Duration {
	switch {
	case from == SourceMemory && m.MemoryLoadTime > 0:
		return m.MemoryLoadTime
	case from != SourceWeightStore && m.DiskLoadTime > 0:
		return m.DiskLoadTime
	default:
		return m.StoreLoadTime
	}
}

func sortedNames[V any](m map[model.Name]V) []model.Name {
	names := make([]model.Name, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
