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

// streams counts the calls of each team that are in progress.
type streams struct {
	mu    sync.Mutex
	count map[team.ID]int
	// mean is the running mean of the calls' durations.
	mean time.Duration
}

// meanGain is the part of a new duration in the running mean.
const meanGain = 0.1

// StreamFilter returns a filter that bounds the calls in progress of each team
// at this host.
func StreamFilter(directory Directory, clock clockwork.Clock) call.Filter {
	s := &streams{count: make(map[team.ID]int)}
	return func(next call.Handler) call.Handler {
		return func(ctx context.Context, c *call.Call) outcome.Outcome {
			owner, ok := directory.Team(c.Team)
			if !ok || owner.Streams == 0 {
				return next(ctx, c)
			}
			wait, ok := s.begin(c.Team, owner.Streams)
			if !ok {
				detail := fmt.Sprintf("the team has %d calls in progress at this host already", owner.Streams)
				return outcome.NotRun{Reason: outcome.ReasonQueueFull, RetryAfter: wait, Detail: detail}
			}
			start := clock.Now()
			defer func() { s.end(c.Team, clock.Since(start)) }()
			return next(ctx, c)
		}
	}
}

// begin counts a call, or returns when one of the team's is expected to end.
func (s *streams) begin(id team.ID, most int) (wait time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.count[id] >= most {
		return s.mean / time.Duration(most), false
	}
	s.count[id]++
	return 0, true
}

func (s *streams) end(id team.ID, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mean += time.Duration(meanGain * float64(took-s.mean))
	s.count[id]--
	if s.count[id] == 0 {
		delete(s.count, id)
	}
}
