package measure

import (
	"cmp"
	"slices"
	"time"

	"hawthornway/model"
	"hawthornway/standin/engine"
	"hawthornway/workload"
)

// IdleMemory summarizes accelerator memory held by replicas without running
// requests.
type IdleMemory struct {
	// GiBHours is the memory held idle; ShareOfHeld is its share of all memory
	// held by replicas.
	GiBHours    float64 `json:"gib-hours"`
	ShareOfHeld float64 `json:"share-of-held"`
	// ShareOfTotal is its share of the total memory of all engines over the run.
	ShareOfTotal float64 `json:"share-of-fleet"`
	// LowerBoundGiBHours is the minimum held idle by a schedule that knows all
	// requests in advance and makes no more model loads than the run did.
	LowerBoundGiBHours float64 `json:"bound-gib-hours"`
	// OverBound is GiBHours divided by LowerBoundGiBHours.
	OverBound float64 `json:"over-bound"`
}

const byteSecondsPerGiBHour = (1 << 30) * 3600

func (r Run) idleMemory() IdleMemory {
	var idle, held, total float64
	for _, e := range r.Engines {
		idle += float64(e.Counts.Idle)
		held += float64(e.Counts.Idle + e.Counts.Busy + e.Counts.Loading)
		total += float64(e.Counts.Memory) * r.Duration.Seconds()
	}
	result := IdleMemory{GiBHours: idle / byteSecondsPerGiBHour, LowerBoundGiBHours: r.minIdleMemoryTime() / byteSecondsPerGiBHour}
	if held > 0 {
		result.ShareOfHeld = idle / held
	}
	if total > 0 {
		result.ShareOfTotal = idle / total
	}
	if result.LowerBoundGiBHours > 0 {
		result.OverBound = result.GiBHours / result.LowerBoundGiBHours
	}
	return result
}

// interval is a period during which a model has running requests.
type interval struct{ start, end time.Duration }

// idleGap is the period between two busy intervals of a model. Its cost is the
// idle memory time of keeping the model loaded through it.
type idleGap struct {
	cost engine.MemoryTime
}

// minIdleMemoryTime returns the minimum idle memory time, in byte-seconds, of a
// schedule that knows all requests in advance and makes no more model loads than
// the run did: it keeps models loaded through the cheapest gaps.
func (r Run) minIdleMemoryTime() float64 {
	sizes := r.memorySizes()
	var gaps []idleGap
	intervalCount := 0
	for name, intervals := range r.busyIntervals() {
		intervalCount += len(intervals)
		for i := 1; i < len(intervals); i++ {
			idle := (intervals[i].start - intervals[i-1].end).Seconds()
			gaps = append(gaps, idleGap{cost: engine.MemoryTime(idle * float64(sizes[name]))})
		}
	}
	slices.SortFunc(gaps, func(a, b idleGap) int { return cmp.Compare(a.cost, b.cost) })
	kept := min(len(gaps), max(0, intervalCount-r.countModelLoads()))
	var bound float64
	for _, g := range gaps[:kept] {
		bound += float64(g.cost)
	}
	return bound
}

func (r Run) countModelLoads() int {
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

// busyIntervals returns the intervals during which each model ran served
// requests, including those of its adapters.
func (r Run) busyIntervals() map[model.Name][]interval {
	bases := make(map[model.Name]model.Name)
	for _, a := range r.Config.Adapters {
		bases[a.Name] = a.Base
	}
	intervals := make(map[model.Name][]interval)
	for _, result := range r.measuredResults() {
		work, isCompletion := result.Arrival.Work.(workload.Completion)
		if !isCompletion || !result.Served() {
			continue
		}
		name := work.Model
		if base, isAdapter := bases[name]; isAdapter {
			name = base
		}
		from := result.Arrival.At + max(0, result.FirstToken-r.idleFirstTokenTime(work))
		intervals[name] = append(intervals[name], interval{start: from, end: result.Arrival.At + result.Duration})
	}
	for name, list := range intervals {
		intervals[name] = mergeIntervals(list)
	}
	return intervals
}

// mergeIntervals merges overlapping and adjacent intervals.
func mergeIntervals(intervals []interval) []interval {
	slices.SortFunc(intervals, func(a, b interval) int { return cmp.Compare(a.start, b.start) })
	merged := intervals[:1]
	for _, current := range intervals[1:] {
		last := &merged[len(merged)-1]
		if current.start > last.end {
			merged = append(merged, current)
			continue
		}
		last.end = max(last.end, current.end)
	}
	return merged
}
