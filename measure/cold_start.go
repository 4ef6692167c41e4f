package measure

import (
	"cmp"
	"slices"
	"time"

	"hawthornway/loadgen"
	"hawthornway/model"
	"hawthornway/standin/engine"
	"hawthornway/workload"
)

// ColdStarts summarizes the time to first token of requests that waited for a
// model load.
type ColdStarts struct {
	Source engine.Source `json:"source"`
	Quantiles
	// LowerBound summarizes the times of the same requests if each load had
	// started on arrival of its first request, limited only by the weight store.
	LowerBound Quantiles `json:"bound"`
	// P99OverBound is P99 divided by the P99 of LowerBound.
	P99OverBound float64 `json:"p99-over-bound"`
}

// coldRequest is a completion that waited for a model load. Its firstToken and
// bound count from plannedAt.
type coldRequest struct {
	model      model.Name
	plannedAt  time.Time
	firstToken time.Duration
	source     engine.Source
	bound      time.Duration
	completion workload.Completion
}

// load is one model or adapter load with the requests that waited for it.
type load struct {
	engine.LoadRecord
	size     model.Bytes
	requests []*coldRequest
	// requestedAt is the planned time of the earliest of the requests.
	requestedAt time.Time
	// earliestReady is the earliest time at which the load could have ended.
	earliestReady time.Time
}

// coldStarts returns one summary for each weight source, then one for all
// sources together.
func (r Run) coldStarts() []ColdStarts {
	requests := r.coldRequests()
	var all []ColdStarts
	for _, source := range []engine.Source{engine.SourceMemory, engine.SourceDisk, engine.SourceRemote, "all"} {
		var times, bounds []time.Duration
		for _, c := range requests {
			if source == "all" || c.source == source {
				times = append(times, c.firstToken)
				bounds = append(bounds, c.bound)
			}
		}
		summary := ColdStarts{Source: source, Quantiles: newQuantiles(times), LowerBound: newQuantiles(bounds)}
		if summary.LowerBound.P99 > 0 {
			summary.P99OverBound = float64(summary.P99 / summary.LowerBound.P99)
		}
		all = append(all, summary)
	}
	return all
}

// coldRequests returns the completions whose model became ready on some engine
// between their planned time and their first token.
func (r Run) coldRequests() []*coldRequest {
	var requests []*coldRequest
	for _, list := range r.loadsWithRequests() {
		for _, l := range list {
			requests = append(requests, l.requests...)
		}
	}
	slices.SortFunc(requests, func(a, b *coldRequest) int { return a.plannedAt.Compare(b.plannedAt) })
	return requests
}

// loadsWithRequests returns the loads by model, each with the requests that
// waited for it and their lower bounds.
func (r Run) loadsWithRequests() map[model.Name][]*load {
	loads := r.loads()
	for _, result := range r.measuredResults() {
		work, isCompletion := result.Arrival.Work.(workload.Completion)
		if !isCompletion || result.FirstToken == 0 || !result.Served() {
			continue
		}
		c := &coldRequest{model: work.Model, plannedAt: r.Start.Add(result.Arrival.At), firstToken: result.FirstToken, completion: work}
		if l := findAwaitedLoad(loads[work.Model], c); l != nil {
			c.source = l.Source
			l.requests = append(l.requests, c)
		}
	}
	r.setBounds(loads)
	return loads
}

// loads returns the engines' loads by model, ordered by completion time.
func (r Run) loads() map[model.Name][]*load {
	loads := make(map[model.Name][]*load)
	sizes := r.memorySizes()
	for _, e := range r.Engines {
		for _, record := range e.Loads {
			loads[record.Model] = append(loads[record.Model], &load{LoadRecord: record, size: sizes[record.Model]})
		}
	}
	for _, list := range loads {
		slices.SortFunc(list, func(a, b *load) int { return cmp.Compare(a.ReadyMS, b.ReadyMS) })
	}
	return loads
}

func (r Run) memorySizes() map[model.Name]model.Bytes {
	sizes := make(map[model.Name]model.Bytes)
	for _, m := range r.Config.Models {
		sizes[m.Name] = m.Memory
	}
	for _, a := range r.Config.Adapters {
		sizes[a.Name] = a.Memory
	}
	return sizes
}

// findAwaitedLoad returns the first load that completed while the request
// waited, or nil.
func findAwaitedLoad(loads []*load, c *coldRequest) *load {
	firstTokenAt := c.plannedAt.Add(c.firstToken)
	for _, l := range loads {
		ready := time.UnixMilli(l.ReadyMS)
		if ready.After(c.plannedAt) && ready.Before(firstTokenAt) {
			return l
		}
	}
	return nil
}

// setBounds sets each request's lower bound: the wait for its load, had the load
// started with the first request for it, plus an idle engine's time to the first
// token.
func (r Run) setBounds(byModel map[model.Name][]*load) {
	var remote []*load
	for _, list := range byModel {
		for _, l := range list {
			if len(l.requests) == 0 {
				continue
			}
			l.requestedAt = slices.MinFunc(l.requests, func(a, b *coldRequest) int { return a.plannedAt.Compare(b.plannedAt) }).plannedAt
			l.earliestReady = l.requestedAt.Add(r.minLoadTime(l))
			if l.Source == engine.SourceRemote && !r.isAdapter(l.Model) {
				remote = append(remote, l)
			}
		}
	}
	r.scheduleRemoteLoads(remote)
	for _, list := range byModel {
		for _, l := range list {
			for _, c := range l.requests {
				c.bound = max(0, l.earliestReady.Sub(c.plannedAt)) + r.idleFirstTokenTime(c.completion)
			}
		}
	}
}

// minLoadTime returns the duration of a load without contention.
func (r Run) minLoadTime(l *load) time.Duration {
	switch {
	case l.Source == engine.SourceMemory:
		return transferTime(l.size, r.Engine.HostBytesPerSecond)
	case l.Source == engine.SourceDisk:
		return transferTime(l.size, r.Engine.DiskBytesPerSecond)
	case r.isAdapter(l.Model):
		return transferTime(l.size, r.Weights.AdapterBytesPerSecond)
	default:
		return transferTime(l.size, r.Weights.ModelBytesPerSecond)
	}
}

func (r Run) isAdapter(name model.Name) bool {
	for _, a := range r.Config.Adapters {
		if a.Name == name {
			return true
		}
	}
	return false
}

// scheduleRemoteLoads sets the earliest completion of each remote load under the
// weight store's request rate, in order of request time. Among loads requested
// at the same instant, the one with more waiting requests goes first, which
// minimizes the sum of the bounds. The slowdown of loads beyond the store's
// slots is not modeled, so the result is a lower bound.
func (r Run) scheduleRemoteLoads(loads []*load) {
	slices.SortFunc(loads, func(a, b *load) int {
		return cmp.Or(a.requestedAt.Compare(b.requestedAt), cmp.Compare(len(b.requests), len(a.requests)), cmp.Compare(a.Model, b.Model))
	})
	spacing := time.Duration(float64(time.Second) / r.Weights.RatePerSecond)
	var next time.Time
	for _, l := range loads {
		start := l.requestedAt
		if start.Before(next) {
			start = next
		}
		next = start.Add(spacing)
		l.earliestReady = start.Add(r.minLoadTime(l))
	}
}

// idleFirstTokenTime returns the time that an idle engine takes to the first
// token.
func (r Run) idleFirstTokenTime(work workload.Completion) time.Duration {
	tokens := len([]rune(work.Prompt)) / runesPerToken
	return r.Engine.StepTime + time.Duration(tokens)*r.Engine.PrefillPerToken
}

// runesPerToken is the token size used by the stand-in engines.
const runesPerToken = 4

func transferTime(size, perSecond model.Bytes) time.Duration {
	return time.Duration(float64(size) / float64(perSecond) * float64(time.Second))
}

// warmFirstTokens returns the times to first token of the served completions that
// are not among the cold requests.
func (r Run) warmFirstTokens(cold []*coldRequest) []time.Duration {
	type requestKey struct {
		plannedAt  time.Time
		firstToken time.Duration
	}
	isCold := make(map[requestKey]bool)
	for _, c := range cold {
		isCold[requestKey{c.plannedAt, c.firstToken}] = true
	}
	var times []time.Duration
	for _, result := range r.measuredResults() {
		plannedAt := r.Start.Add(result.Arrival.At)
		if result.FirstToken > 0 && result.Outcome == loadgen.OutcomeServed && !isCold[requestKey{plannedAt, result.FirstToken}] {
			times = append(times, result.FirstToken)
		}
	}
	return times
}
