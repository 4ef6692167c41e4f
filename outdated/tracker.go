// Package outdated tells whether a host's state may still be used although the host knows that a
// newer version exists.
package outdated

import (
	"cmp"
	"sync"
	"sync/atomic"
	"time"

	"hawthornway/boottime"
)

// State is how a host's version compares to the newest one that the host knows of.
type State int

// The states of a version.
const (
	// Newest means that no newer version is known.
	Newest State = iota
	// Pending means that a newer one is known. The host's own may be used for a little
	// longer, but what it lacks may exist.
	Pending
	// Overdue means that a newer one should be in force by now.
	Overdue
)

// noticeTime is how long after a change a host may be told of it.
const noticeTime = time.Second

// Tracker tracks which versions newer than this host's this host knows of, and since when. It is
// safe for concurrent use.
type Tracker[V cmp.Ordered] struct {
	clock      boottime.Clock
	maxPending time.Duration

	mu      sync.Mutex
	inForce V
	pending []known[V]
	// oldest is when the first of pending became known, or zero.
	oldest atomic.Int64
}

// known is a version with the time when the host was told of it.
type known[V cmp.Ordered] struct {
	version V
	at      boottime.Instant
}

// NewTracker returns a Tracker of versions that have to be in force everywhere within maxDelay of
// their acceptance, or at any time if that is zero.
func NewTracker[V cmp.Ordered](clock boottime.Clock, maxDelay time.Duration) *Tracker[V] {
	return &Tracker[V]{clock: clock, maxPending: max(maxDelay/2, maxDelay-noticeTime)}
}

// Learn records that a version exists, and reports whether it is newer than all that were
// known.
func (t *Tracker[V]) Learn(version V) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	newest := t.inForce
	if n := len(t.pending); n > 0 {
		newest = t.pending[n-1].version
	}
	if version <= newest {
		return false
	}
	t.pending = append(t.pending, known[V]{version, t.clock.Now()})
	t.update()
	return true
}

// Apply records that a version is in force. It returns for how long that or an earlier one had
// been known, and whether that was too long.
func (t *Tracker[V]) Apply(version V) (age time.Duration, late bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inForce = max(t.inForce, version)
	since := t.clock.Now()
	for len(t.pending) > 0 && t.pending[0].version <= t.inForce {
		since = min(since, t.pending[0].at)
		t.pending = t.pending[1:]
	}
	t.update()
	age = t.clock.Now().Sub(since)
	return age, t.maxPending > 0 && age >= t.maxPending
}

func (t *Tracker[V]) update() {
	if len(t.pending) == 0 {
		t.oldest.Store(0)
		return
	}
	t.oldest.Store(int64(t.pending[0].at))
}

// State compares this host's version to the newest one that it knows of.
func (t *Tracker[V]) State() State {
	oldest := t.oldest.Load()
	switch {
	case oldest == 0:
		return Newest
	case t.maxPending == 0 || t.clock.Now().Sub(boottime.Instant(oldest)) < t.maxPending:
		return Pending
	default:
		return Overdue
	}
}
