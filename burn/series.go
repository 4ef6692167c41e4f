package burn

import (
	"sync"
	"time"
)

const (
	fineStep = time.Minute
	// fineSlots covers the windows of up to six hours and the points of the charts.
	fineSlots  = 360
	coarseStep = 30 * time.Minute
	// coarseSlots covers the longest window.
	coarseSlots = 144
)

// Windows are the lengths of the windows in reports, shortest first.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// Counts are the request counts of a period of time.
type Counts struct {
	Total int64 `json:"total"`
	// Missed counts the requests that missed their objective, by cause.
	Missed map[Cause]int64 `json:"missed,omitempty"`
}

// Bad returns the number of requests that missed their objective.
func (c Counts) Bad() int64 {
	var bad int64
	for _, n := range c.Missed {
		bad += n
	}
	return bad
}

func (c *Counts) add(other Counts) {
	c.Total += other.Total
	for cause, n := range other.Missed {
		if c.Missed == nil {
			c.Missed = map[Cause]int64{}
		}
		c.Missed[cause] += n
	}
}

// slot holds the counts of one time step.
type slot struct {
	step   int64
	counts Counts
}

// ring is a ring buffer of the latest slots, which all have the same width.
type ring struct {
	width time.Duration
	slots []slot
}

func newRing(width time.Duration, slots int) ring {
	return ring{width, make([]slot, slots)}
}

func (r *ring) step(at time.Time) int64 { return at.UnixNano() / int64(r.width) }

func (r *ring) add(at time.Time, counts Counts) {
	step := r.step(at)
	s := &r.slots[step%int64(len(r.slots))]
	if s.step != step {
		*s = slot{step: step}
	}
	s.counts.add(counts)
}

// sum returns the counts of the latest slots, including the current one.
func (r *ring) sum(now time.Time, slots int) Counts {
	var total Counts
	last := r.step(now)
	for _, s := range r.slots {
		if s.step > last-int64(slots) && s.step <= last {
			total.add(s.counts)
		}
	}
	return total
}

// series holds the counts of one objective.
type series struct {
	mu     sync.Mutex
	since  time.Time
	fine   ring
	coarse ring
}

func newSeries(now time.Time) *series {
	return &series{
		since:  now,
		fine:   newRing(fineStep, fineSlots),
		coarse: newRing(coarseStep, coarseSlots),
	}
}

func (s *series) add(at time.Time, missed Cause) {
	counts := Counts{Total: 1}
	if missed != "" {
		counts.Missed = map[Cause]int64{missed: 1}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fine.add(at, counts)
	s.coarse.add(at, counts)
}

func (s *series) window(now time.Time, window time.Duration) Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	if window <= fineSlots*fineStep {
		return s.fine.sum(now, int(window/fineStep))
	}
	return s.coarse.sum(now, int(window/coarseStep))
}

// points returns the counts of the latest steps of equal length, oldest first.
func (s *series) points(now time.Time, step time.Duration, count int) []Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	slots := int(step / fineStep)
	points := make([]Counts, count)
	for i := range points {
		end := now.Add(-time.Duration(count-1-i) * step)
		points[i] = s.fine.sum(end, slots)
	}
	return points
}
