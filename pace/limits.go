// Package pace keeps the requests of all hosts together within the rates that targets
// state for themselves.
//
// A host that hears a target's limit tells the coordinator, and through it all others.
// Each request to such a target then needs a place in the target's line, which the
// coordinator's Schedule gives out. A host that can't reach the coordinator keeps to its
// own part of the rate.
package pace

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornway/boottime"
	"hawthornway/roster"
	"hawthornway/target"
)

// Rate is a number of requests per second, from all hosts together.
type Rate float64

// Key identifies one start of a target.
type Key struct {
	Target target.ID
	Start  roster.StartID
}

// KeyOf returns the key of a registered target.
func KeyOf(t roster.Target) Key { return Key{t.ID, t.Start} }

// Statement is what a target said about its limit at some time.
type Statement struct {
	Key
	// Rate is the stated limit, or zero. Room is the number of requests that the target may
	// have at a time, since it says that it can't bear turning requests away, or zero. Ended
	// is set if the target stated neither.
	Rate  Rate
	Room  int
	Ended bool
	At    boottime.Instant
	// Cold is the span in which the target is cold now, or zero. Until it ends, Rate is at most
	// what the target bears while it is cold, and StatedRate is what it states beside that, or
	// zero.
	Cold       Warming
	StatedRate Rate
}

// WarmIn returns the time from now after which the target's rate is no longer limited, or zero if
// that isn't because the target is cold.
func (s Statement) WarmIn(now boottime.Instant) time.Duration {
	if s.Cold.Until == 0 || s.StatedRate > 0 {
		return 0
	}
	return max(0, s.Cold.Until.Sub(now))
}

// minRate is the rate at which targets are asked that state a lower one, since only their
// answers tell when that ends.
const minRate = Rate(0.1)

// statementTTL is how long a statement is remembered that no target repeats.
const statementTTL = time.Hour

// Limits holds the newest statement of each target that ever stated a limit. It is safe
// for concurrent use.
type Limits struct {
	clock boottime.Clock
	// active is replaced whenever a limit changes.
	active atomic.Pointer[activeLimits]

	mu    sync.Mutex
	known map[Key]Statement
	// warming holds the last span in which each target was cold.
	warming map[Key]Warming
}

// activeLimits are the limits in force, with their digest.
type activeLimits struct {
	limits map[Key]Statement
	digest uint64
	// cold is the number of known spans of cold targets, and validUntil when the first of them
	// ends or is forgotten, or zero.
	cold       int
	validUntil boottime.Instant
}

// NewLimits returns Limits without statements.
func NewLimits(clock boottime.Clock) *Limits {
	l := &Limits{clock: clock, known: map[Key]Statement{}, warming: map[Key]Warming{}}
	l.active.Store(&activeLimits{})
	return l
}

// Record records a statement unless a newer one is known. It reports whether the limit in
// force has changed. A target that never stated a limit needs no record.
func (l *Limits) Record(s Statement) (changed bool) {
	if s.Ended && len(l.active.Load().limits) == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s.Cold, s.StatedRate = Warming{}, 0
	previous, known := l.known[s.Key]
	switch {
	case known && s.At < previous.At:
		return false
	case !known && s.Ended:
		return false
	case !known:
		now := l.clock.Now()
		maps.DeleteFunc(l.known, func(_ Key, old Statement) bool { return now.Sub(old.At) > statementTTL })
	}
	if !s.Ended && s.Room == 0 {
		s.Rate = max(s.Rate, minRate)
	}
	l.known[s.Key] = s
	if known && previous.Rate == s.Rate && previous.Room == s.Room && previous.Ended == s.Ended {
		return false
	}
	l.activate()
	return true
}

// activate computes the limits in force. The caller holds the lock.
func (l *Limits) activate() {
	now := l.clock.Now()
	a := &activeLimits{limits: map[Key]Statement{}}
	for key, s := range l.known {
		if s.Ended {
			continue
		}
		a.limits[key] = s
		text := fmt.Appendf(nil, "%q %d %g", key.Target, key.Start, s.Rate)
		if s.Room > 0 {
			text = fmt.Appendf(text, " %d", s.Room)
		}
		a.digest ^= xxhash.Sum64(text)
	}
	for key, w := range l.warming {
		if warmingOver(w, now) {
			delete(l.warming, key)
			continue
		}
		a.digest ^= w.digest()
		a.cold++
		ends := w.Until
		if now.Before(w.Until) {
			a.limits[key] = whileCold(a.limits[key], w)
		} else {
			ends = w.Until.Add(warmingTTL)
		}
		if a.validUntil == 0 || ends.Before(a.validUntil) {
			a.validUntil = ends
		}
	}
	l.active.Store(a)
}

// whileCold returns the limit in force of a target that is cold and may state a limit too.
func whileCold(stated Statement, w Warming) Statement {
	s := stated
	s.Key, s.StatedRate, s.Rate, s.Cold = w.Key, stated.Rate, w.Rate, w
	if stated.Rate > 0 {
		s.Rate = min(stated.Rate, w.Rate)
	}
	return s
}

// current returns the limits in force now.
func (l *Limits) current() *activeLimits {
	a := l.active.Load()
	if a.validUntil == 0 || l.clock.Now().Before(a.validUntil) {
		return a
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.activate()
	return l.active.Load()
}

// Limit returns the statement in force of a target, and false if it has no limit.
func (l *Limits) Limit(key Key) (Statement, bool) {
	s, limited := l.current().limits[key]
	return s, limited
}

// Stated reports whether a target states a limit itself, beside being cold.
func (l *Limits) Stated(key Key) bool {
	s, limited := l.current().limits[key]
	return limited && (s.Cold.Until == 0 || s.StatedRate > 0 || s.Room > 0)
}

// AnyRoom reports whether a target has stated that it can't bear turning requests away.
func (l *Limits) AnyRoom() bool {
	for _, s := range l.current().limits {
		if s.Room > 0 {
			return true
		}
	}
	return false
}

// Known reports whether a target has ever stated a limit, which may have ended.
func (l *Limits) Known(key Key) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, known := l.known[key]
	return known
}

// Digest returns a hash of the limits in force. Limits with equal digests are the same.
func (l *Limits) Digest() uint64 { return l.current().digest }

// List returns all statements, in order of their targets.
func (l *Limits) List() []Statement {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.SortedFunc(maps.Values(l.known), func(a, b Statement) int { return strings.Compare(string(a.Target), string(b.Target)) })
}

// Statements returns the statements in force of those keys that have a limit.
func (l *Limits) Statements(keys []Key) (limited []Statement) {
	current := l.current()
	for _, key := range keys {
		if s, ok := current.limits[key]; ok {
			limited = append(limited, s)
		}
	}
	return limited
}
