package caller

import (
	"context"

	"hawthornway/call"
	"hawthornway/limit"
	"hawthornway/outcome"
	"hawthornway/team"
)

// LimitFilter returns a filter that charges each call to its team and settles
// the charge when the call ends.
func LimitFilter(limiter limit.Limiter) call.Filter {
	return func(next call.Handler) call.Handler {
		return func(ctx context.Context, c *call.Call) outcome.Outcome {
			cost := c.Cost()
			if c.Team == "" || cost == 0 {
				return next(ctx, c)
			}
			waiting, cancel := context.WithDeadline(ctx, c.Deadline)
			charge, refused := limiter.Reserve(waiting, c.Team, cost)
			cancel()
			if refused != nil {
				return refused.Outcome()
			}
			ended := next(ctx, c)
			charge.Settle(used(c, ended, cost))
			return ended
		}
	}
}

// used returns what an ended call took of its charge. A call that may have run
// without a count of its tokens is taken to have used all.
func used(c *call.Call, ended outcome.Outcome, cost team.Tokens) team.Tokens {
	if _, ok := ended.(outcome.NotRun); ok {
		return 0
	}
	if _, ok := c.Subject.(*call.Service); ok {
		return cost
	}
	if _, ok := ended.(outcome.Served); ok && c.Trace.PromptTokens > 0 {
		return c.Trace.UsedTokens()
	}
	return cost
}
