// Package pace keeps the requests of all hosts together within the rates that targets
// state for themselves.
package pace

import (
	"maps"
	"sync"
	"time"

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
	// Rate is the stated limit. Ended is set if the target stated none.
	Rate  Rate
	Ended bool
	At    boottime.Instant
}

// endedTTL is how long it is remembered that a limit has ended. By then, all hosts in
// contact with each other know it.
const endedTTL = time.Minute

// statementTTL is how long a limit is remembered that no target repeats.
const statementTTL = time.Hour

// Limits holds the newest statement of each target that stated a limit. It is safe for
// concurrent use.
type Limits struct {
	clock boottime.Clock

	mu    sync.Mutex
	known map[Key]Statement
}

// NewLimits returns Limits without statements.
func NewLimits(clock boottime.Clock) *Limits {
	return &Limits{clock: clock, known: map[Key]Statement{}}
}

// Record records a statement unless a newer one is known. It reports whether the limit in
// force has changed. A target that never stated a limit needs no record.
func (l *Limits) Record(s Statement) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous, known := l.known[s.Key]
	switch {
	case known && s.At < previous.At:
		return false
	case !known && s.Ended:
		return false
	case !known:
		l.expire()
	}
	l.known[s.Key] = s
	return !known || previous.Rate != s.Rate || previous.Ended != s.Ended
}

// expire removes statements that no longer matter.
func (l *Limits) expire() {
	now := l.clock.Now()
	maps.DeleteFunc(l.known, func(_ Key, s Statement) bool {
		age := now.Sub(s.At)
		return age > statementTTL || s.Ended && age > endedTTL
	})
}

// Rate returns the limit of a target, and false if it has none.
func (l *Limits) Rate(key Key) (Rate, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.known[key]
	return s.Rate, ok && !s.Ended
}
