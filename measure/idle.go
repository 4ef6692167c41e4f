package measure

import (
	"cmp"
	"slices"
	"time"

	"hawthornway/model"
	"hawthornway/standin/engine"
	"hawthornway/workload"
)

// Idle is the memory that replicas held without running requests.
type Idle struct {
	// GiBHours is memory held idle; Share is its part of all memory held.
	GiBHours float64 `json:"gib-hours"`
	Share    float64 `json:"share-of-held"`
	// ShareOfFleet is its part of the engines' whole memory over the run.
	ShareOfFleet float64 `json:"share-of-fleet"`
	// BoundGiBHours is the least that a clairvoyant schedule with as many
	// loads would hold idle.
	BoundGiBHours float64 `json:"bound-gib-hours"`
	Ratio         float64 `json:"over-bound"`
}

// byteSecondsPerGiBHour converts byte-seconds to GiB-hours.
const byteSecondsPerGiBHour = (1 << 30) * 3600

func (r Run) idle() Idle {
	var idle, held, fleet float64
	for _, e := range r.Engines {
		idle += float64(e.Counts.Idle)
		held += float64(e.Counts.Idle + e.Counts.Busy + e.Counts.Loading)
		fleet += float64(e.Counts.Memory) * r.Length.Seconds()
	}
	result := Idle{GiBHours: idle / byteSecondsPerGiBHour, BoundGiBHours: r.idleBound() / byteSecondsPerGiBHour}
	if held > 0 {
		result.Share = idle / held
	}
	if fleet > 0 {
		result.ShareOfFleet = idle / fleet
	}
	if result.BoundGiBHours > 0 {
		result.Ratio = result.GiBHours / result.BoundGiBHours
	}
	return result
}

// span is a time in which a model has requests.
type span struct{ from, to time.Duration }

// gap is a time between two spans of a model, and the idle memory time of
// keeping the model loaded over it.
type gap struct {
	cost engine.MemoryTime
}

// idleBound returns the least idle memory time, in bytes times seconds, of a
// schedule that knows all requests ahead and makes no more model loads than the
// run made: it keeps a model over the gaps that cost least.
func (r Run) idleBound() float64 {
	sizes := r.sizes()
	var gaps []gap
	starts := 0
	for name, spans := range r.spans() {
		starts += len(spans)
		for i := 1; i < len(spans); i++ {
			idle := (spans[i].from - spans[i-1].to).Seconds()
			gaps = append(gaps, gap{cost: engine.MemoryTime(idle * float64(sizes[name]))})
		}
	}
	slices.SortFunc(gaps, func(a, b gap) int { return cmp.Compare(a.cost, b.cost) })
	kept := min(len(gaps), max(0, starts-r.modelLoads()))
	var bound float64
	for _, g := range gaps[:kept] {
		bound += float64(g.cost)
	}
	return bound
}

func (r Run) modelLoads() int {
	loads := 0
	for _, e := range r.Engines {
		for _, l := range e.Loads {
			if !r.isAdapter(l.Model) {
				loads++
			}
		}
	}
	return loads
}

// spans returns the times in which each model has served requests, those of
// its adapters too.
func (r Run) spans() map[model.Name][]span {
	bases := make(map[model.Name]model.Name)
	for _, a := range r.Config.Adapters {
		bases[a.Name] = a.Base
	}
	spans := make(map[model.Name][]span)
	for _, result := range r.measured() {
		work, isCompletion := result.Arrival.Work.(workload.Completion)
		if !isCompletion || !result.Served() {
			continue
		}
		name := work.Model
		if base, isAdapter := bases[name]; isAdapter {
			name = base
		}
		from := result.Arrival.At + max(0, result.FirstToken-r.firstTokenTime(work))
		spans[name] = append(spans[name], span{from: from, to: result.Arrival.At + result.End})
	}
	for name, list := range spans {
		spans[name] = merge(list)
	}
	return spans
}

// merge joins the spans that touch.
func merge(spans []span) []span {
	slices.SortFunc(spans, func(a, b span) int { return cmp.Compare(a.from, b.from) })
	merged := spans[:1]
	for _, s := range spans[1:] {
		last := &merged[len(merged)-1]
		if s.from > last.to {
			merged = append(merged, s)
			continue
		}
		last.to = max(last.to, s.to)
	}
	return merged
}
