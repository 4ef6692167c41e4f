package retry

import (
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornway/outcome"
)

// DefaultMaxAttempts bounds the attempts of one call.
const DefaultMaxAttempts = 4

// defaultRetryAfter is what a refused caller is told when the target said
// nothing.
const defaultRetryAfter = time.Second

// Call follows the attempts of one request. It is used by one goroutine.
type Call struct {
	clock       clockwork.Clock
	budget      Budget
	deadline    time.Time
	idempotent  bool
	maxAttempts int
	attempts    int
	// mayHaveRun says that some attempt may have run.
	mayHaveRun bool
	nextToken  int
}

// CallOption sets an option of a Call.
type CallOption func(*Call)

// WithMaxAttempts bounds the attempts of the call.
func WithMaxAttempts(n int) CallOption {
	return func(c *Call) { c.maxAttempts = n }
}

// WithIdempotent says that the request may run more than once.
func WithIdempotent() CallOption {
	return func(c *Call) { c.idempotent = true }
}

// NewCall returns a new Call that counts one request in the budget.
func NewCall(clock clockwork.Clock, budget Budget, deadline time.Time, opts ...CallOption) *Call {
	c := &Call{clock: clock, budget: budget, deadline: deadline, maxAttempts: DefaultMaxAttempts}
	for _, opt := range opts {
		opt(c)
	}
	budget.CountRequest()
	return c
}

// Next decides what follows an attempt.
func (c *Call) Next(result Result) Decision {
	c.attempts++
	switch r := result.(type) {
	case Answered:
		return Finish{}
	case NotSent:
		return c.tryAgain(outcome.ReasonTargetFailed, defaultRetryAfter)
	case RefusedNotRun:
		return c.tryAgain(reasonOf(r.Refusal), max(r.RetryAfter, defaultRetryAfter))
	case SentNoAnswer:
		return c.afterPossibleRun(outcome.ReasonTargetFailed)
	case Broken:
		c.nextToken = max(c.nextToken, r.NextToken)
		return c.afterPossibleRun(outcome.ReasonShortAnswer)
	default:
		panic("retry: unknown result of an attempt")
	}
}

// afterPossibleRun decides after an attempt that may have run.
func (c *Call) afterPossibleRun(reason outcome.Reason) Decision {
	c.mayHaveRun = true
	if !c.idempotent {
		return Stop{Outcome: outcome.Unknown{Reason: reason, Detail: "The target may have run the request."}}
	}
	return c.tryAgain(reason, defaultRetryAfter)
}

// tryAgain tries once more if time, tries and budget allow it.
func (c *Call) tryAgain(reason outcome.Reason, retryAfter time.Duration) Decision {
	switch {
	case !c.clock.Now().Before(c.deadline):
		return c.stop(outcome.ReasonDeadline, retryAfter)
	case c.attempts >= c.maxAttempts:
		return c.stop(reason, retryAfter)
	case !c.budget.TakeRetry():
		return c.stop(reason, retryAfter)
	}
	return TryAgain{ResumeFrom: c.nextToken}
}

// stop ends the call. An earlier attempt that may have run makes the outcome
// unknown, whatever the last attempt was.
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
	case RefusalLeaving:
		return outcome.ReasonLeaving
	default:
		return outcome.ReasonNoTarget
	}
}
