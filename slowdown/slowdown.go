// Package slowdown learns how long work takes at targets that state it with each response: some run
// on slower machines than others, and most share theirs, which others make busy for moments.
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
	// maxStatedAge is how long a statement counts as the present state, since targets' machines
	// become busy and calm again within a second.
	maxStatedAge = 600 * time.Millisecond
	// decayTime is the time constant with which older statements count less. It spans many of the
	// moments in which a machine is busy.
	decayTime = 10 * time.Second
	// usualWeight is the number of statements that Usual counts for. It lets a target that was
	// avoided because it was busy be tried again.
	usualWeight = 1
	// forgetTime is the time after which a target without statements is forgotten.
	forgetTime = time.Minute
)

func limited(f Factor) Factor {
	if math.IsNaN(float64(f)) || f <= 0 {
		return Usual
	}
	return max(minFactor, min(maxFactor, f))
}

// Statement is what a target has stated.
type Statement struct {
	Factor Factor
	At     time.Time
}

// Now returns the factor that a statement shows at a time, and false if it is too old.
func (s Statement) Now(now time.Time) (Factor, bool) {
	if s.At.IsZero() || now.Sub(s.At) > maxStatedAge {
		return 0, false
	}
	return limited(s.Factor), true
}

// Statements are what one start of a target has stated.
type Statements struct {
	Target target.ID
	Start  roster.StartID
	// Sum is the sum of Count statements.
	Sum   Factor
	Count int
}

// Collector collects the statements that one host receives. It is safe for concurrent use.
type Collector struct {
	mu         sync.Mutex
	statements map[startKey]Statements
}

// startKey identifies one start of a target.
type startKey struct {
	target target.ID
	start  roster.StartID
}

// NewCollector returns an empty Collector.
func NewCollector() *Collector { return &Collector{statements: map[startKey]Statements{}} }

// Add adds a statement.
func (c *Collector) Add(id target.ID, start roster.StartID, stated Factor) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := startKey{id, start}
	sum := c.statements[key]
	c.statements[key] = Statements{id, start, sum.Sum + limited(stated), sum.Count + 1}
}

// Take returns the statements since the last call.
func (c *Collector) Take() []Statements {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := slices.Collect(maps.Values(c.statements))
	clear(c.statements)
	return taken
}

// Estimator learns the factors of targets from the statements that all hosts receive. It is not safe
// for concurrent use.
type Estimator struct {
	targets map[target.ID]*evidence
}

// evidence is the decayed sum of a target's statements.
type evidence struct {
	start      roster.StartID
	sum, count float64
	at         time.Time
}

// NewEstimator returns an Estimator that takes all targets for usual ones.
func NewEstimator() *Estimator { return &Estimator{targets: map[target.ID]*evidence{}} }

// Record records statements that a host has received. Those that no target can mean are ignored.
func (e *Estimator) Record(s Statements, now time.Time) {
	if s.Count <= 0 || math.IsNaN(float64(s.Sum)) || s.Sum <= 0 {
		return
	}
	known, ok := e.targets[s.Target]
	if !ok || known.start != s.Start {
		maps.DeleteFunc(e.targets, func(_ target.ID, old *evidence) bool { return now.Sub(old.at) > forgetTime })
		known = &evidence{start: s.Start, at: now}
		e.targets[s.Target] = known
	}
	known.decay(now)
	known.sum += float64(limited(s.Sum/Factor(s.Count))) * float64(s.Count)
	known.count += float64(s.Count)
}

func (v *evidence) decay(now time.Time) {
	factor := math.Exp(-max(0, now.Sub(v.at).Seconds()) / decayTime.Seconds())
	v.sum, v.count, v.at = v.sum*factor, v.count*factor, now
}

// Factor returns the learned factor of a start of a target. The less evidence there is, and the
// older it is, the closer it is to Usual.
func (e *Estimator) Factor(id target.ID, start roster.StartID, now time.Time) Factor {
	v, ok := e.targets[id]
	if !ok || v.start != start {
		return Usual
	}
	current := *v
	current.decay(now)
	return limited(Factor((current.sum + usualWeight*float64(Usual)) / (current.count + usualWeight)))
}
