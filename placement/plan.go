// Package placement decides which engines load and unload which models. Its
// decisions are functions of a state that is passed in.
package placement

import (
	"cmp"
	"slices"
	"time"

	"hawthornway/catalog"
	"hawthornway/fleet"
	"hawthornway/model"
	"hawthornway/target"
)

// State is what a plan is made from.
type State struct {
	Now     time.Time
	Engines []Engine
	Models  map[model.Name]catalog.Model
	// Wants are the models that requests wait for.
	Wants []Want
	// Rates are the requests a second of each model of late.
	Rates map[model.Name]float64
	// Prompts are the prompt tokens a second of each model of late.
	Prompts map[model.Name]float64
	// Adapters are the numbers of adapters of each model that were asked for of
	// late, and AdapterSlots those that an engine holds.
	Adapters     map[model.Name]int
	AdapterSlots int
	// Settle is the time for which a model stays that was loaded or asked for, so
	// that the hosts' requests that began since their last reports reach it.
	Settle time.Duration
	// StoreLoads is the number of loads from the weight store in progress, and
	// StoreBudget how many more may begin now.
	StoreLoads  int
	StoreBudget int
}

// Engine is one engine as the coordinator knows it.
type Engine struct {
	ID     target.ID
	Domain fleet.DomainID
	// Memory is what models may take, with adapters left aside.
	Memory   model.Bytes
	Resident []Resident
	// InMemory and OnDisk are the models whose weights are near.
	InMemory map[model.Name]bool
	OnDisk   map[model.Name]bool
	// Loading is the model that is being loaded, and FreeAt the time at which
	// the engine is expected to take the next order.
	Loading model.Name
	FreeAt  time.Time
	// Busy says that an order is in progress.
	Busy bool
	// Work is the number of requests running and waiting.
	Work  int
	Slots int
}

// Resident is a model that an engine holds.
type Resident struct {
	Model   model.Name
	Size    model.Bytes
	Running int
	// Asked is when a request for it was last seen, or when it was loaded.
	Asked time.Time
	// Leaving says that it is being unloaded. Its memory is still taken.
	Leaving bool
}

// Want is a model that requests wait for.
type Want struct {
	Model   model.Name
	Waiting int
	// OnTime is the number of those that are answered on time if the model is
	// loaded from near now.
	OnTime   int
	Priority int
	Since    time.Time
}

// Job is what one engine is to do: unload models, then load one.
type Job struct {
	Engine target.ID
	Evict  []model.Name
	Load   model.Name
	Source Source
	Reason Reason
}

// Source is where weights are loaded from.
type Source int

// The sources, from fast to slow.
const (
	SourceMemory Source = iota
	SourceDisk
	SourceStore
)

// String names the source in logs.
func (s Source) String() string { return [...]string{"memory", "disk", "store"}[s] }

// Reason says why a model is loaded.
type Reason string

// The reasons.
const (
	ReasonWanted   Reason = "wanted"
	ReasonSpread   Reason = "spread"
	ReasonStandby  Reason = "standby"
	ReasonPrefetch Reason = "prefetch"
)

// The weights of placement.
const (
	// storeStreams is the number of loads that the weight store serves at full
	// speed; more at once take longer in proportion.
	storeStreams = 4
	// prefetchStreams leaves one of them to requests that wait.
	prefetchStreams = 3
	// prefillSpeed is the prompt tokens that an engine reads in a second. The
	// engines that the platform's users have read 19,000 to 26,000.
	prefillSpeed = 20_000
	// prefillShare is the share of an engine's time that reading the prompts of
	// one model may take. Each prompt that is read delays the streams of the
	// others.
	prefillShare = 0.25
	// urgentTimes is how many times the engines that a model has it needs for its
	// further ones to come before models that no engine holds. Its requests are
	// many, and late as long as it lacks them.
	urgentTimes = 2
	// leastSpreadRate is the requests a second below which a model gets no further
	// engine for its engines' slots, since other models fill them.
	leastSpreadRate = 1
	// spreadShare is the share of its engines' slots from which a model gets
	// another engine.
	spreadShare = 0.5
	// standbyRate is the requests a second from which a model gets a second
	// engine in another domain, so that the loss of one engine costs no cold
	// start.
	standbyRate = 0.8
	// wantPatience is the time after which engines whose models are in use become
	// less worth waiting for: hot models may be in use always. It is longer than
	// answers and loads from near take.
	wantPatience = 4 * time.Second
	// useTime is the time after which a model that is in use can make way, for an
	// engine of which all are. Answers take about as long.
	useTime = 2 * time.Second
	// lateWeight is what a late answer counts against one that is on time. The
	// routes that the platform's users have give a late answer a tenth to a third.
	lateWeight = 0.2
	// followTime is the time for which requests that follow count as waiting.
	followTime = 6 * time.Second
	// ageWeight is what a want counts more for each second, so that a late one
	// comes before a new one after about four seconds. Callers of streams give up
	// after two to sixteen.
	ageWeight = 0.2
	// evictionWeight is how many seconds of loading one request a second to the
	// model that is evicted counts.
	evictionWeight = 1.0
	// readingWeight is how many seconds of loading an engine counts worse that
	// reads prompts all the time.
	readingWeight = 2.0
)

// Plan returns the jobs to begin now, at most one for each engine that is free.
func Plan(s State) []Job {
	p := &planner{State: s, engines: slices.Clone(s.Engines), replicas: map[model.Name]int{}, near: map[model.Name]bool{}}
	for i := range p.engines {
		p.engines[i].Resident = slices.Clone(p.engines[i].Resident)
		p.count(&p.engines[i])
	}
	for _, w := range p.Wants {
		if p.replicas[w.Model] == 0 && !p.near[w.Model] {
			p.storeWanted++
		}
	}
	p.spread(urgentTimes)
	p.wanted()
	p.spread(1)
	p.standby()
	p.prefetch()
	return p.jobs
}

type planner struct {
	State
	engines  []Engine
	replicas map[model.Name]int
	// near are the models that some engine has weights of.
	near map[model.Name]bool
	// storeWanted is the number of wants whose weights only the store has.
	storeWanted int
	jobs        []Job
}

func (p *planner) count(e *Engine) {
	for _, r := range e.Resident {
		p.near[r.Model] = true
		if !r.Leaving {
			p.replicas[r.Model]++
		}
	}
	if e.Loading != "" {
		p.replicas[e.Loading]++
		p.near[e.Loading] = true
	}
	for name := range e.InMemory {
		p.near[name] = true
	}
	for name := range e.OnDisk {
		p.near[name] = true
	}
}

// urgency orders wants by the requests that a load lets be answered on time:
// those that wait, and those that are likely to follow. A want that is late
// already yields to them, but not for long, since its callers give up. Loading in
// the order of arrival would make all requests late once loads are behind.
func (p *planner) urgency(w Want) float64 {
	late := float64(w.Waiting - w.OnTime)
	return float64(w.OnTime) + lateWeight*late + p.Rates[w.Model]*followTime.Seconds() + ageWeight*p.Now.Sub(w.Since).Seconds()
}

// wanted plans loads of models that requests wait for and no engine holds.
func (p *planner) wanted() {
	wants := slices.Clone(p.Wants)
	slices.SortFunc(wants, func(a, b Want) int {
		return cmp.Or(cmp.Compare(p.urgency(b), p.urgency(a)), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Model, b.Model))
	})
	for _, w := range wants {
		if p.replicas[w.Model] == 0 {
			p.place(w.Model, ReasonWanted, max(0, p.Now.Sub(w.Since)-wantPatience), anyEngine)
		}
	}
}

// spread plans further engines for models that need more by the number of times
// given: by the slots of their engines, by the prompts that they have to read,
// or by the adapters that are asked for.
func (p *planner) spread(times float64) {
	work, slots := map[model.Name]int{}, map[model.Name]int{}
	for _, e := range p.engines {
		for _, r := range e.Resident {
			work[r.Model] += e.Work
			slots[r.Model] += e.Slots
		}
	}
	for _, name := range sorted(p.Rates) {
		have := float64(p.replicas[name])
		if have == 0 || p.loading(name) {
			continue
		}
		full := slots[name] > 0 && float64(work[name]) >= spreadShare*times*float64(slots[name]) && p.Rates[name] >= leastSpreadRate
		reading := p.Prompts[name] > have*prefillSpeed*prefillShare*times
		adapters := p.AdapterSlots > 0 && float64(p.Adapters[name]) > have*float64(p.AdapterSlots)*times
		if full || reading || adapters {
			p.place(name, ReasonSpread, 0, func(e *Engine) bool { return !e.holds(name) })
		}
	}
}

// reading is the share of an engine's time that reading prompts takes.
func (p *planner) reading(e *Engine) float64 {
	sum := 0.0
	for _, r := range e.Resident {
		sum += p.Prompts[r.Model] / float64(max(1, p.replicas[r.Model]))
	}
	return sum / prefillSpeed
}

// standby plans a second engine for models that are asked for often.
func (p *planner) standby() {
	for _, name := range sorted(p.Rates) {
		if p.Rates[name] < standbyRate || p.replicas[name] != 1 {
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

// prefetch plans loads of models that no engine has weights of, so that a first
// request finds them on a disk.
func (p *planner) prefetch() {
	if len(p.Wants) > 0 && p.StoreLoads+p.planned(SourceStore) > 0 {
		return
	}
	for _, name := range sorted(p.Models) {
		planned := p.planned(SourceStore)
		if p.StoreLoads+planned >= prefetchStreams || planned >= p.StoreBudget || len(p.jobs) >= len(p.engines) {
			return
		}
		if !p.near[name] {
			p.place(name, ReasonPrefetch, 0, anyEngine)
		}
	}
}

func (p *planner) planned(source Source) int {
	n := 0
	for _, j := range p.jobs {
		if j.Source == source {
			n++
		}
	}
	return n
}

func (p *planner) loading(name model.Name) bool {
	return slices.ContainsFunc(p.engines, func(e Engine) bool { return e.Loading == name })
}

func anyEngine(*Engine) bool { return true }

// place plans a load on the engine where it costs least, unless it is better to
// wait for an engine that is busy or full. Late is by how long requests have
// waited more than that should take.
func (p *planner) place(name model.Name, reason Reason, late time.Duration, allowed func(*Engine) bool) {
	m, ok := p.Models[name]
	if !ok {
		return
	}
	var best *Engine
	var bestJob Job
	bestCost, bestFull := 0.0, false
	for i := range p.engines {
		e := &p.engines[i]
		if !allowed(e) || e.holds(name) {
			continue
		}
		job, cost, fits := p.cost(e, m, reason)
		if !fits {
			cost += (useTime + late).Seconds()
		}
		if best == nil || cost < bestCost {
			best, bestJob, bestCost, bestFull = e, job, cost, !fits
		}
	}
	if best == nil || best.Busy || bestFull {
		return // the best one is worth waiting for
	}
	if bestJob.Source == SourceStore && !p.mayFetch(reason) {
		return
	}
	p.jobs = append(p.jobs, bestJob)
	best.Busy, best.Loading, best.FreeAt = true, name, p.Now.Add(loadTime(m, bestJob.Source))
	best.Resident = slices.DeleteFunc(best.Resident, func(r Resident) bool { return slices.Contains(bestJob.Evict, r.Model) })
	p.replicas[name]++
	p.near[name] = true
	for _, evicted := range bestJob.Evict {
		p.replicas[evicted]--
	}
}

// mayFetch reports whether a load from the weight store may begin. Models that
// no engine holds come before further engines for others.
func (p *planner) mayFetch(reason Reason) bool {
	left := p.StoreBudget - p.planned(SourceStore)
	if reason != ReasonWanted {
		left -= p.storeWanted
	}
	return left > 0
}

// cost returns the job that loads a model at an engine and its cost in seconds.
// The last result is false if none of the engine's models can make way now.
func (p *planner) cost(e *Engine, m catalog.Model, reason Reason) (Job, float64, bool) {
	job := Job{Engine: e.ID, Load: m.Name, Source: e.source(m.Name), Reason: reason}
	cost := loadTime(m, job.Source).Seconds()
	if job.Source == SourceStore {
		cost *= max(1, float64(p.StoreLoads+p.planned(SourceStore)+1)/storeStreams)
	}
	if e.Busy {
		// An order that is late by some time is taken to last as long again.
		cost += e.FreeAt.Sub(p.Now).Abs().Seconds()
	}
	evict, loss, ok := p.victims(e, m)
	job.Evict = evict
	return job, cost + loss + readingWeight*p.reading(e), ok
}

// victims returns the models to unload so that another fits, and what their loss
// costs in seconds.
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
		return cmp.Or(cmp.Compare(p.loss(a, e), p.loss(b, e)), a.Asked.Compare(b.Asked), cmp.Compare(a.Model, b.Model))
	})
	var evict []model.Name
	loss := 0.0
	for _, c := range candidates {
		evict = append(evict, c.Model)
		loss += p.loss(c, e)
		free += c.Size
		if free >= m.Size {
			return evict, loss, true
		}
	}
	return nil, 0, false
}

// evictable reports whether a model may be unloaded now. Its requests would
// have to wait for the unload, and the unload for its requests.
func (p *planner) evictable(r Resident) bool {
	wanted := slices.ContainsFunc(p.Wants, func(w Want) bool { return w.Model == r.Model })
	return r.Running == 0 && !wanted && !r.Leaving && p.Now.Sub(r.Asked) >= p.Settle
}

// loss is the expected time of loading a model again for its requests, in
// seconds for each second, weighed against loads.
func (p *planner) loss(r Resident, e *Engine) float64 {
	again := loadTime(p.Models[r.Model], e.source(r.Model)).Seconds()
	others := max(1, p.replicas[r.Model])
	return evictionWeight * p.Rates[r.Model] * again / float64(others*others)
}

func (e *Engine) holds(name model.Name) bool {
	if e.Loading == name {
		return true
	}
	return slices.ContainsFunc(e.Resident, func(r Resident) bool { return r.Model == name })
}

func (e *Engine) source(name model.Name) Source {
	switch {
	case e.InMemory[name]:
		return SourceMemory
	case e.OnDisk[name]:
		return SourceDisk
	default:
		return SourceStore
	}
}

// loadTime returns the time that a load takes alone.
func loadTime(m catalog.Model, from Source) time.Duration {
	switch {
	case from == SourceMemory && m.MemoryLoadTime > 0:
		return m.MemoryLoadTime
	case from != SourceStore && m.DiskLoadTime > 0:
		return m.DiskLoadTime
	default:
		return m.StoreLoadTime
	}
}

func sorted[V any](m map[model.Name]V) []model.Name {
	keys := make([]model.Name, 0, len(m))
	for name := range m {
		keys = append(keys, name)
	}
	slices.Sort(keys)
	return keys
}
