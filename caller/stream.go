package caller

import (
	"context"
	"fmt"
	"sync"

	"hawthornway/call"
	"hawthornway/outcome"
	"hawthornway/team"
)

// streams counts the calls of each team that are in progress.
type streams struct {
	mu    sync.Mutex
	count map[team.ID]int
}

// StreamFilter returns a filter that bounds the calls in progress of each team
// at this host.
func StreamFilter(directory Directory) call.Filter {
	s := &streams{count: make(map[team.ID]int)}
	return func(next call.Handler) call.Handler {
		return func(ctx context.Context, c *call.Call) outcome.Outcome {
			owner, ok := directory.Team(c.Team)
			if !ok || owner.Streams == 0 {
				return next(ctx, c)
			}
			if !s.begin(c.Team, owner.Streams) {
				detail := fmt.Sprintf("the team has %d calls in progress at this host already", owner.Streams)
				return outcome.NotRun{Reason: outcome.ReasonQueueFull, Detail: detail}
			}
			defer s.end(c.Team)
			return next(ctx, c)
		}
	}
}

func (s *streams) begin(id team.ID, most int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.count[id] >= most {
		return false
	}
	s.count[id]++
	return true
}

func (s *streams) end(id team.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count[id]--
	if s.count[id] == 0 {
		delete(s.count, id)
	}
}
