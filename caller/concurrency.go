package caller

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornway/call"
	"hawthornway/outcome"
	"hawthornway/team"
)

// callCounter counts each team's calls in progress.
type callCounter struct {
	mu    sync.Mutex
	count map[team.ID]int
	// meanDuration is an exponential moving average of call durations.
	meanDuration time.Duration
}

const (
	// initialDuration is the assumed duration of calls while none has ended.
	initialDuration = time.Second
	// meanDurationWeight is the weight of a new duration in the moving average.
	meanDurationWeight = 0.1
)

func newCallCounter() *callCounter {
	return &callCounter{count: make(map[team.ID]int), meanDuration: initialDuration}
}

// HostConcurrencyFilter returns a filter that limits the number of calls that this host
// has in progress.
func HostConcurrencyFilter(limit int, clock clockwork.Clock) call.Filter {
	counter := newCallCounter()
	const all team.ID = ""
	return func(next call.Handler) call.Handler {
		return func(ctx context.Context, c *call.Call) outcome.Outcome {
			wait, ok := counter.acquire(all, limit)
			if !ok {
				detail := fmt.Sprintf("the host has %d calls in progress already", limit)
				return outcome.NotRun{Reason: outcome.ReasonQueueFull, RetryAfter: wait, Detail: detail}
			}
			start := clock.Now()
			defer func() { counter.release(all, clock.Since(start)) }()
			return next(ctx, c)
		}
	}
}

// ConcurrencyFilter returns a filter that limits the number of calls that each team
// has in progress on this host.
func ConcurrencyFilter(directory Directory, clock clockwork.Clock) call.Filter {
	counter := newCallCounter()
	return func(next call.Handler) call.Handler {
		return func(ctx context.Context, c *call.Call) outcome.Outcome {
			teamConfig, ok := directory.Team(c.Team)
			if !ok || teamConfig.Streams == 0 {
				return next(ctx, c)
			}
			wait, ok := counter.acquire(c.Team, teamConfig.Streams)
			if !ok {
				detail := fmt.Sprintf("the team has %d calls in progress at this host already", teamConfig.Streams)
				return outcome.NotRun{Reason: outcome.ReasonQueueFull, RetryAfter: wait, Detail: detail}
			}
			start := clock.Now()
			defer func() { counter.release(c.Team, clock.Since(start)) }()
			return next(ctx, c)
		}
	}
}

// acquire counts a call. At the limit it returns the expected time until one of
// the team's calls ends, which is never zero.
func (counter *callCounter) acquire(id team.ID, limit int) (wait time.Duration, ok bool) {
	counter.mu.Lock()
	defer counter.mu.Unlock()
	if counter.count[id] >= limit {
		return max(time.Millisecond, counter.meanDuration/time.Duration(limit)), false
	}
	counter.count[id]++
	return 0, true
}

func (counter *callCounter) release(id team.ID, duration time.Duration) {
	counter.mu.Lock()
	defer counter.mu.Unlock()
	counter.meanDuration += time.Duration(meanDurationWeight * float64(duration-counter.meanDuration))
	counter.count[id]--
	if counter.count[id] == 0 {
		delete(counter.count, id)
	}
}
