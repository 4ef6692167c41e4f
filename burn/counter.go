package burn

import "time"

// Count is the calls of an objective over some time.
type Count struct {
	Calls  int64           `json:"calls"`
	Missed map[Cause]int64 `json:"missed,omitempty"`
}

// misses returns all missed calls.
func (c Count) misses() int64 {
	var sum int64
	for _, n := range c.Missed {
		sum += n
	}
	return sum
}

// add adds another count to this one.
func (c *Count) add(other Count) {
	c.Calls += other.Calls
	for cause, n := range other.Missed {
		if c.Missed == nil {
			c.Missed = make(map[Cause]int64)
		}
		c.Missed[cause] += n
	}
}

// Windows are the times over which burn is reported, shortest first.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// ring counts in buckets of equal span that are used again in turn.
type ring struct {
	span    time.Duration
	buckets []bucket
}

type bucket struct {
	index int64
	count Count
}

// rings per window have a sixtieth of the window as their span, so that a
// window's edge is known to about 2%.
const bucketsPerWindow = 60

func newRing(window time.Duration) *ring {
	return &ring{span: window / bucketsPerWindow, buckets: make([]bucket, bucketsPerWindow)}
}

func (r *ring) add(now time.Time, one Count) {
	index := now.UnixNano() / int64(r.span)
	b := &r.buckets[index%bucketsPerWindow]
	if b.index != index {
		*b = bucket{index: index}
	}
	b.count.add(one)
}

// sum returns the count of the window that ends now.
func (r *ring) sum(now time.Time) Count {
	var whole Count
	index := now.UnixNano() / int64(r.span)
	for _, b := range r.buckets {
		if index-b.index < bucketsPerWindow {
			whole.add(b.count)
		}
	}
	return whole
}
