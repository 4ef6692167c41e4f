// Package slowdown learns how long work takes at targets, compared with others of their pool.
// Targets that share their machines state how busy these are, many times a second; that some
// machines are slower than others shows in the time between the events of streams only.
package slowdown

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"hawthornway/roster"
	"hawthornway/target"
)

// Factor is how many times as long as usual work takes at a target.
type Factor float64

// Usual is the factor of a target of which nothing is known.
const Usual Factor = 1

const (
	// minFactor and maxFactor limit what is believed, so that a target that states nonsense
	// neither gets all requests nor none.
	minFactor Factor = 0.25
	maxFactor Factor = 8
	// maxStatedAge is how long a statement is used, since targets' machines become busy and calm
	// again within a second.
	maxStatedAge = 600 * time.Millisecond
	// decayTime is the time constant with which older gaps count less. It is a few times that of
	// a stream, so that a target which has become slow shows after a few streams.
	decayTime = 8 * time.Second
	// minEvents is the weight of gaps, in events, at which the learned factor counts half. Fewer
	// events show little, since some of them arrive together.
	minEvents = 40
	// forgetTime is the time after which a target without gaps is forgotten.
	forgetTime = time.Minute
)

func limited(f Factor) Factor {
	if math.IsNaN(float64(f)) || f <= 0 {
		return Usual
	}
	return max(minFactor, min(maxFactor, f))
}

// Statement is what a target has stated of the machine that it shares.
type Statement struct {
	Factor Factor
	At     time.Time
}

// Now returns the factor that a statement shows at a time.
func (s Statement) Now(now time.Time) Factor {
	if s.At.IsZero() || now.Sub(s.At) > maxStatedAge {
		return Usual
	}
	return limited(s.Factor)
}

// Gaps are the gaps between the events of streams from one start of a target.
type Gaps struct {
	Target target.ID
	Start  roster.StartID
	// Sum is the total length of Count gaps.
	Sum   time.Duration
	Count int
}

// Collector collects the gaps that one host sees. It is safe for concurrent use.
type Collector struct {
	mu   sync.Mutex
	gaps map[startKey]Gaps
}

// startKey identifies one start of a target.
type startKey struct {
	target target.ID
	start  roster.StartID
}

// NewCollector returns an empty Collector.
func NewCollector() *Collector { return &Collector{gaps: map[startKey]Gaps{}} }

// Add adds the gaps of a stream.
func (c *Collector) Add(g Gaps) {
	if g.Count <= 0 || g.Sum <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	key := startKey{g.Target, g.Start}
	sum := c.gaps[key]
	c.gaps[key] = Gaps{g.Target, g.Start, sum.Sum + g.Sum, sum.Count + g.Count}
}

// Take returns the gaps since the last call.
func (c *Collector) Take() []Gaps {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := slices.Collect(maps.Values(c.gaps))
	clear(c.gaps)
	return taken
}

// Estimator learns the factors of the targets of one pool from the gaps that all hosts see. It is
// not safe for concurrent use.
type Estimator struct {
	targets map[target.ID]*evidence
	// usual caches the usual gap as of usualAt.
	usual   float64
	usualAt time.Time
}

// evidence is the decayed sum of a target's gaps.
type evidence struct {
	start   roster.StartID
	seconds float64
	count   float64
	at      time.Time
}

// NewEstimator returns an Estimator that takes all targets for equally fast.
func NewEstimator() *Estimator { return &Estimator{targets: map[target.ID]*evidence{}} }

// Record records gaps that a host has seen.
func (e *Estimator) Record(g Gaps, now time.Time) {
	if g.Count <= 0 || g.Sum <= 0 {
		return
	}
	known, ok := e.targets[g.Target]
	if !ok || known.start != g.Start {
		maps.DeleteFunc(e.targets, func(_ target.ID, old *evidence) bool { return now.Sub(old.at) > forgetTime })
		known = &evidence{start: g.Start, at: now}
		e.targets[g.Target] = known
	}
	known.decay(now)
	known.seconds += g.Sum.Seconds()
	known.count += float64(g.Count)
}

func (v *evidence) decay(now time.Time) {
	factor := math.Exp(-max(0, now.Sub(v.at).Seconds()) / decayTime.Seconds())
	v.seconds, v.count, v.at = v.seconds*factor, v.count*factor, now
}

// usualAge is how long the usual gap is used before it is computed anew.
const usualAge = time.Second

// usualGap returns the median of the targets' mean gaps in seconds, or zero if none is known.
func (e *Estimator) usualGap(now time.Time) float64 {
	if now.Sub(e.usualAt) < usualAge && e.usual > 0 {
		return e.usual
	}
	var means []float64
	for _, v := range e.targets {
		if v.count > 0 && now.Sub(v.at) < forgetTime {
			means = append(means, v.seconds/v.count)
		}
	}
	e.usual, e.usualAt = 0, now
	if len(means) > 0 {
		slices.Sort(means)
		e.usual = means[len(means)/2]
	}
	return e.usual
}

// Factor returns the learned factor of a start of a target. The less evidence there is, and the
// older it is, the closer it is to Usual.
func (e *Estimator) Factor(id target.ID, start roster.StartID, now time.Time) Factor {
	v, ok := e.targets[id]
	usual := e.usualGap(now)
	if !ok || v.start != start || usual <= 0 || v.count <= 0 {
		return Usual
	}
	current := *v
	current.decay(now)
	weight := current.count / (current.count + minEvents)
	learned := float64(limited(Factor(v.seconds / v.count / usual)))
	return limited(Factor(math.Pow(learned, weight)))
}
