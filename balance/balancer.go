// Package balance chooses among the targets that can run a request, by load,
// failure rate, failure domain and session.
package balance

import (
	"hash/fnv"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"hawthornway/fleet"
	"hawthornway/roster"
	"hawthornway/slowdown"
	"hawthornway/target"
)

// Parameters of the choice. Costs are fractions of full load.
const (
	// fullLoad is the number of requests at which a target counts as full even
	// if it has more slots. Engines that batch requests slow down with each
	// further one.
	fullLoad = 12
	// remoteDomainCost is added for targets of other domains, since traffic
	// between domains is slower and is charged for.
	remoteDomainCost = 0.15
	// sessionMargin is the difference in cost up to which the targets' ranks for
	// the session decide. A target that serves a session has part of its prompt
	// cached.
	sessionMargin = 0.1
	// failureCost is added for a target that fails all requests, and in
	// proportion for one that fails some.
	failureCost = 4
	// failureDecay is the weight of the previous failure rate in the moving
	// average. A target that fails two in five requests stands out after about
	// five of them.
	failureDecay = 0.85
	// maxLoadAge is how long a reported load is used.
	maxLoadAge = 2 * time.Second
)

// The backoff after which an unreachable target may be chosen again. It stays
// short, since targets that are gone leave the roster within a few seconds.
const (
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
)

// Balancer chooses targets and learns from the outcomes of requests. It is safe
// for concurrent use.
type Balancer struct {
	clock  clockwork.Clock
	domain fleet.DomainID

	mu     sync.Mutex
	states map[target.ID]*targetState
}

type targetState struct {
	running     int
	failureRate float64 // weighted average over recent requests
	// otherHostsLoad is the number of other hosts' requests at the target, as
	// of loadReportedAt.
	otherHostsLoad int
	loadReportedAt time.Time
	// backoffUntil is the time until which the target is not chosen.
	backoffUntil time.Time
	nextBackoff  time.Duration
	lastUsed     time.Time
	// stated is how long work takes there now, as the target says, and learned how long it has
	// taken, or zero if that isn't known. Uneven is set if either has been reported.
	stated  slowdown.Statement
	learned slowdown.Factor
	uneven  bool
}

// New returns a new Balancer for a host in the given domain.
func New(domain fleet.DomainID, clock clockwork.Clock) *Balancer {
	return &Balancer{clock: clock, domain: domain, states: map[target.ID]*targetState{}}
}

// Choose returns one of the candidates, or false if all of them are backing
// off. Requests of one session go to the same target while its load allows.
func (b *Balancer) Choose(candidates []roster.Target, session string) (roster.Target, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if b.uneven(candidates) {
		return b.chooseByWeight(candidates, session, now)
	}
	best, found := roster.Target{}, false
	bestCost := 0.0
	var bestRank uint64
	for _, t := range candidates {
		s := b.state(t.ID)
		if now.Before(s.backoffUntil) {
			continue
		}
		cost := b.cost(t, s, now)
		rank := sessionRank(session, t.ID)
		if !found || isBetter(cost, rank, bestCost, bestRank) {
			best, bestCost, bestRank, found = t, cost, rank, true
		}
	}
	return best, found
}

// uneven reports whether it is known of a candidate how long work takes there.
func (b *Balancer) uneven(candidates []roster.Target) bool {
	return slices.ContainsFunc(candidates, func(t roster.Target) bool {
		s, ok := b.states[t.ID]
		return ok && s.uneven
	})
}

// ChooseInProportion returns one of the candidates in proportion to their weights, or false if those
// with a weight are backing off. Requests of one session go to the same target while the weights
// change little.
func (b *Balancer) ChooseInProportion(candidates []roster.Target, session string, weights map[target.ID]float64) (best roster.Target, found bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	bestScore := 0.0
	for _, t := range candidates {
		s := b.state(t.ID)
		if now.Before(s.backoffUntil) || weights[t.ID] <= 0 {
			continue
		}
		failures := 1 + failureCost*s.failureRate
		if score := rendezvousScore(session, t.ID, weights[t.ID]/(failures*failures)); !found || score < bestScore {
			best, bestScore, found = t, score, true
		}
	}
	return best, found
}

// rendezvousScore returns the score of a target for a session. The target with the lowest score is
// chosen, and of many sessions each target gets a number in proportion to its weight.
func rendezvousScore(session string, id target.ID, weight float64) float64 {
	hash := xxhash.Sum64String(session + "\x00" + string(id))
	uniform := (float64(hash>>11) + 0.5) / (1 << 53) // the bits that a float64 holds
	return -math.Log(uniform) / weight
}

// chooseByWeight returns one of the candidates by weighted rendezvous hashing of the session. A
// target's weight falls with the square of the expected time that it takes. All hosts learn the
// load and speed of targets a little late, and would all choose the best one until they learn that
// it no longer is.
func (b *Balancer) chooseByWeight(candidates []roster.Target, session string, now time.Time) (best roster.Target, found bool) {
	bestScore := 0.0
	for _, t := range candidates {
		s := b.state(t.ID)
		if now.Before(s.backoffUntil) {
			continue
		}
		expected := s.slowdown(now)*(1+float64(s.load(now))/float64(capacity(t))) + failureCost*s.failureRate
		if t.Domain != b.domain {
			expected += remoteDomainCost
		}
		if score := rendezvousScore(session, t.ID, 1/(expected*expected)); !found || score < bestScore {
			best, bestScore, found = t, score, true
		}
	}
	return best, found
}

// slowdown returns how many times as long as usual work takes at a target.
func (s *targetState) slowdown(now time.Time) float64 {
	if stated, ok := s.stated.Now(now); ok {
		return float64(stated)
	}
	if s.learned > 0 {
		return float64(s.learned)
	}
	return float64(slowdown.Usual)
}

// ReportStated records how long work takes at a target now, as it says.
func (b *Balancer) ReportStated(id target.ID, factor slowdown.Factor) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(id)
	s.stated, s.uneven = slowdown.Statement{Factor: factor, At: b.clock.Now()}, true
}

// ReportLearned records how long work has taken at a target, as all hosts see it.
func (b *Balancer) ReportLearned(id target.ID, factor slowdown.Factor) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(id)
	s.learned, s.uneven = factor, true
}

// Full reports whether all candidates that aren't backing off have as many requests as they can
// run well. It reports false if there are none.
func (b *Balancer) Full(candidates []roster.Target) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	found := false
	for _, t := range candidates {
		s := b.state(t.ID)
		if now.Before(s.backoffUntil) {
			continue
		}
		found = true
		if s.load(now) < capacity(t) {
			return false
		}
	}
	return found
}

// load returns the known number of requests at a target.
func (s *targetState) load(now time.Time) int {
	if now.Sub(s.loadReportedAt) < maxLoadAge {
		return s.running + s.otherHostsLoad
	}
	return s.running
}

// capacity returns the number of requests that a target can run well at the same time.
func capacity(t roster.Target) int { return max(1, min(t.Slots, fullLoad)) }

// isBetter compares two targets by cost, or by their rank for the session if
// the costs are close.
func isBetter(cost float64, rank uint64, bestCost float64, bestRank uint64) bool {
	if diff := cost - bestCost; diff > sessionMargin || diff < -sessionMargin {
		return diff < 0
	}
	return rank > bestRank
}

// cost returns a target's load as a fraction of full load, plus the added
// costs.
func (b *Balancer) cost(t roster.Target, s *targetState, now time.Time) float64 {
	cost := float64(s.load(now))/float64(capacity(t)) + failureCost*s.failureRate
	if t.Domain != b.domain {
		cost += remoteDomainCost
	}
	return cost
}

// sessionRank ranks targets for a session by rendezvous hashing, so that all
// hosts agree on the order.
func sessionRank(session string, id target.ID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(session)) // never fails
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// state returns the state of a target, which it creates if there is none, and
// records the use of the target.
func (b *Balancer) state(id target.ID) *targetState {
	s, ok := b.states[id]
	if !ok {
		s = &targetState{nextBackoff: minBackoff}
		b.states[id] = s
	}
	s.lastUsed = b.clock.Now()
	return s
}

// RequestStarted records that a request is sent to a target.
func (b *Balancer) RequestStarted(id target.ID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(id).running++
}

// Outcome is the outcome of a request at a target, as far as it concerns the
// target.
type Outcome int

// The outcomes.
const (
	// Succeeded lowers the target's failure rate.
	Succeeded Outcome = iota
	// Failed raises the target's failure rate.
	Failed
	// Unreachable makes the target back off.
	Unreachable
	// Inconclusive says nothing about the target.
	Inconclusive
)

// RequestEnded records the end of a request at a target.
func (b *Balancer) RequestEnded(id target.ID, outcome Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(id)
	s.running = max(0, s.running-1)
	switch outcome {
	case Succeeded:
		s.failureRate *= failureDecay
		s.nextBackoff = minBackoff
	case Failed:
		s.failureRate = s.failureRate*failureDecay + 1 - failureDecay
	case Unreachable:
		s.backoffUntil = b.clock.Now().Add(s.nextBackoff)
		s.nextBackoff = min(2*s.nextBackoff, maxBackoff)
	case Inconclusive:
	}
}

// ReportLoad records a target's own report of its load, running and waiting
// requests together.
func (b *Balancer) ReportLoad(id target.ID, load int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(id)
	s.otherHostsLoad = max(0, load-s.running)
	s.loadReportedAt = b.clock.Now()
}

// BackingOff reports whether a target is not chosen because it was unreachable.
func (b *Balancer) BackingOff(id target.ID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.states[id]
	return ok && b.clock.Now().Before(s.backoffUntil)
}

// EndBackoffs lets all targets be chosen again, since another path to them was found.
func (b *Balancer) EndBackoffs() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.states {
		s.backoffUntil, s.nextBackoff = time.Time{}, minBackoff
	}
}

// Running returns the number of this host's requests in progress at each
// target.
func (b *Balancer) Running() map[target.ID]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	running := map[target.ID]int{}
	for id, s := range b.states {
		if s.running > 0 {
			running[id] = s.running
		}
	}
	return running
}

// Forget drops the state of targets that have had no requests for longer than
// maxIdle.
func (b *Balancer) Forget(maxIdle time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	for id, s := range b.states {
		if s.running == 0 && now.Sub(s.lastUsed) > maxIdle {
			delete(b.states, id)
		}
	}
}
