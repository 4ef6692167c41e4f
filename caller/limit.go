package caller

import (
	"context"

	"hawthornway/call"
	"hawthornway/limit"
	"hawthornway/outcome"
	"hawthornway/team"
)

// LimitFilter returns a filter that reserves the cost of each call from its
// team's limit and settles the charge when the call ends.
func LimitFilter(limiter limit.Limiter) call.Filter {
	return func(next call.Handler) call.Handler {
		return func(ctx context.Context, c *call.Call) outcome.Outcome {
			cost := c.Cost()
			if c.Team == "" || cost == 0 {
				return next(ctx, c)
			}
			waitCtx, cancel := context.WithDeadline(ctx, c.Deadline)
			charge, refusal := limiter.Reserve(waitCtx, c.Team, cost)
			cancel()
			if refusal != nil {
				return refusal.Outcome()
			}
			result := next(ctx, c)
			charge.Settle(usedTokens(c, result, cost))
			return result
		}
	}
}

// usedTokens returns the number of tokens that an ended call used. A call that
// may have run without a token count is charged its full cost.
func usedTokens(c *call.Call, result outcome.Outcome, cost team.Tokens) team.Tokens {
	if _, ok := result.(outcome.NotRun); ok {
		return 0
	}
	if _, ok := c.Subject.(*call.Service); ok {
		return cost
	}
	if _, ok := result.(outcome.Served); ok && c.Trace.PromptTokens > 0 {
		return c.Trace.UsedTokens()
	}
	return cost
}
