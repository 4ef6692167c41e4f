package retry

import (
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornway/outcome"
)

// DefaultMaxAttempts is the default limit on the attempts of one call.
const DefaultMaxAttempts = 4

// defaultRetryAfter is the retry delay reported to the caller if the target
// gave none.
const defaultRetryAfter = time.Second

// Call decides on the attempts of one request. It is not safe for concurrent
// use.
type Call struct {
	clock       clockwork.Clock
	budget      Budget
	deadline    time.Time
	idempotent  bool
	maxAttempts int
	attempts    int
	// mayHaveRun is set once an attempt may have run the request.
	mayHaveRun bool
	nextToken  int
	// retry is the retry that the next attempt uses, until it is sent.
	retry *Reservation
}

// CallOption sets an option of a Call.
type CallOption func(*Call)

// WithMaxAttempts limits the attempts of the call.
func WithMaxAttempts(n int) CallOption {
	return func(c *Call) { c.maxAttempts = n }
}

// WithIdempotent allows the request to run more than once.
func WithIdempotent() CallOption {
	return func(c *Call) { c.idempotent = true }
}

// NewCall returns a new Call and counts its request in the budget.
func NewCall(clock clockwork.Clock, budget Budget, deadline time.Time, opts ...CallOption) *Call {
	c := &Call{clock: clock, budget: budget, deadline: deadline, maxAttempts: DefaultMaxAttempts}
	for _, opt := range opts {
		opt(c)
	}
	budget.CountRequest()
	return c
}

// MayHaveRun reports whether an attempt so far may have run the request.
func (c *Call) MayHaveRun() bool { return c.mayHaveRun }

// Sending tells that an attempt is sent now.
func (c *Call) Sending() { c.retry.Sent() }

// End gives back what the call has taken from the budget and not used.
func (c *Call) End() { c.retry.Return() }

// Next returns what to do after an attempt with the given result, which must not
// be Cancelled: a cancelled call has no further attempt.
func (c *Call) Next(result Result) Decision {
	c.attempts++
	switch r := result.(type) {
	case ResponseReceived:
		return Finish{}
	case NotSent:
		return c.tryAgain(outcome.ReasonTargetFailed, defaultRetryAfter)
	case RefusedNotRun:
		return c.tryAgain(reasonOf(r.Refusal), max(r.RetryAfter, defaultRetryAfter))
	case NoResponse:
		return c.afterPossibleRun(outcome.ReasonTargetFailed)
	case Cancelled:
		c.mayHaveRun = true
		return c.stop(outcome.ReasonCallerLeft, 0)
	case Interrupted:
		c.nextToken = max(c.nextToken, r.NextToken)
		return c.afterPossibleRun(outcome.ReasonIncompleteResponse)
	default:
		panic("retry: unknown attempt result")
	}
}

// afterPossibleRun decides after an attempt that may have run the request.
func (c *Call) afterPossibleRun(reason outcome.Reason) Decision {
	c.mayHaveRun = true
	if !c.idempotent {
		return Stop{Outcome: outcome.Unknown{Reason: reason, Detail: "The target may have run the request."}}
	}
	return c.tryAgain(reason, defaultRetryAfter)
}

// tryAgain allows another attempt if the deadline, the limit on attempts and
// the budget permit it.
func (c *Call) tryAgain(reason outcome.Reason, retryAfter time.Duration) Decision {
	switch {
	case !c.clock.Now().Before(c.deadline):
		return c.stop(outcome.ReasonDeadline, retryAfter)
	case c.attempts >= c.maxAttempts:
		return c.stop(reason, retryAfter)
	}
	c.retry.Return()
	if c.retry = c.budget.Reserve(); c.retry == nil {
		return c.stop(reason, retryAfter)
	}
	return TryAgain{ResumeFrom: c.nextToken}
}

// stop ends the call. Its outcome is unknown if any attempt may have run the
// request, whatever the result of the last one.
func (c *Call) stop(reason outcome.Reason, retryAfter time.Duration) Decision {
	if c.mayHaveRun {
		return Stop{Outcome: outcome.Unknown{Reason: reason, Detail: "An attempt may have run the request."}}
	}
	return Stop{Outcome: outcome.NotRun{Reason: reason, RetryAfter: retryAfter, Detail: "No target ran the request."}}
}

func reasonOf(refusal Refusal) outcome.Reason {
	switch refusal {
	case RefusalQueueFull:
		return outcome.ReasonQueueFull
	case RefusalDraining:
		return outcome.ReasonDraining
	default:
		return outcome.ReasonNoTarget
	}
}
