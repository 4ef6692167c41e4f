package caller

import (
	"context"
	"time"

	"hawthornway/call"
	"hawthornway/outcome"
	"hawthornway/outdated"
)

// staleConfiguration refuses a call that the host's configuration may handle otherwise than the
// newest one does. Another host is likely to have that.
var staleConfiguration = outcome.NotRun{Reason: outcome.ReasonStaleConfiguration, RetryAfter: 250 * time.Millisecond, Detail: "a newer configuration exists, which the host hasn't read yet"}

// ConfigurationFilter returns a filter that refuses calls while the host's configuration should
// have been replaced by a newer one that it knows of, and before that those that it refuses for
// something that the newer one may have.
func ConfigurationFilter(state func() outdated.State) call.Filter {
	return func(next call.Handler) call.Handler {
		return func(ctx context.Context, c *call.Call) outcome.Outcome {
			before := state()
			if before == outdated.Overdue {
				return staleConfiguration
			}
			result := next(ctx, c)
			refusal, notRun := result.(outcome.NotRun)
			if notRun && before == outdated.Pending && mayBeNew(refusal.Reason) {
				return staleConfiguration
			}
			return result
		}
	}
}

// mayBeNew reports whether a newer configuration may have what a refusal says is missing.
func mayBeNew(reason outcome.Reason) bool {
	switch reason {
	case outcome.ReasonNoKey, outcome.ReasonNotAllowed, outcome.ReasonUnknownModel, outcome.ReasonUnknownRoute:
		return true
	default:
		return false
	}
}
