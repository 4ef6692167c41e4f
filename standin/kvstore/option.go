package kvstore

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

// DefaultWatchWait is how long a watch waits for changes by default.
const DefaultWatchWait = 20 * time.Second

// Option configures a Store.
type Option func(*Store)

// WithClock sets the clock used for delays, leases, watches and rate limits.
func WithClock(clock clockwork.Clock) Option {
	return func(s *Store) { s.clock = clock }
}

// WithRates limits the writes and reads per second. Calls over a limit fail
// without effect. Zero means no limit.
func WithRates(writes, reads float64) Option {
	return func(s *Store) {
		s.writes = newLimiter(writes)
		s.reads = newLimiter(reads)
	}
}

// WithWatchWait sets how long a watch waits for changes.
func WithWatchWait(wait time.Duration) Option {
	return func(s *Store) { s.watchWait = wait }
}

// newLimiter returns a limiter whose burst is a tenth of a second's calls.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}
