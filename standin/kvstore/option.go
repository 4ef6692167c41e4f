package kvstore

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

// DefaultWatchWait is the time after which a watch without changes ends.
const DefaultWatchWait = 20 * time.Second

// Option changes a setting of a store.
type Option func(*Store)

// WithClock sets the clock of delays, leases, watches and rates.
func WithClock(clock clockwork.Clock) Option {
	return func(s *Store) { s.clock = clock }
}

// WithRates bounds the writes and reads a second. Calls beyond are refused
// without effect. Zero sets no bound.
func WithRates(writes, reads float64) Option {
	return func(s *Store) {
		s.writes = newLimiter(writes)
		s.reads = newLimiter(reads)
	}
}

// WithWatchWait sets the time after which a watch without changes ends.
func WithWatchWait(wait time.Duration) Option {
	return func(s *Store) { s.watchWait = wait }
}

// newLimiter returns a limiter that lets a tenth of a second's calls through at
// once.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}
