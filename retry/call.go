package retry

import (
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornway/outcome"
)

// DefaultTries bounds the attempts of one call.
const DefaultTries = 4

// defaultRetryAfter is what a refused caller is told when the target said
// nothing.
const defaultRetryAfter = time.Second

// Call follows the attempts of one request. It is used by one goroutine.
type Call struct {
	clock      clockwork.Clock
	budget     Budget
	deadline   time.Time
	idempotent bool
	tries      int
	used       int
	// mayHaveRun says that some attempt may have run.
	mayHaveRun bool
	nextToken  int
}

// CallOption sets an option of a Call.
type CallOption func(*Call)

// WithTries bounds the attempts of the call.
func WithTries(n int) CallOption {
	return func(c *Call) { c.tries = n }
}

// WithIdempotent says that the request may run more than once.
func WithIdempotent() CallOption {
	return func(c *Call) { c.idempotent = true }
}

// NewCall returns a new Call that counts one request in the budget.
func NewCall(clock clockwork.Clock, budget Budget, deadline time.Time, opts ...CallOption) *Call {
	c := &Call{clock: clock, budget: budget, deadline: deadline, tries: DefaultTries}
	for _, opt := range opts {
		opt(c)
	}
	budget.Request()
	return c
}

// Next decides what follows an attempt.
func (c *Call) Next(result Result) Decision {
	c.used++
	switch r := result.(type) {
	case Answered:
		return Finish{}
	case NotSent:
		return c.again(outcome.ReasonTargetFailed, defaultRetryAfter)
	case RefusedNotRun:
		return c.again(reasonOf(r.Refusal), max(r.RetryAfter, defaultRetryAfter))
	case SentNoAnswer:
		return c.afterRun(outcome.ReasonTargetFailed)
	case Broken:
		c.nextToken = max(c.nextToken, r.NextToken)
		return c.afterRun(outcome.ReasonShortAnswer)
	default:
		panic("retry: unknown result of an attempt")
	}
}

// afterRun decides after an attempt that may have run.
func (c *Call) afterRun(reason outcome.Reason) Decision {
	c.mayHaveRun = true
	if !c.idempotent {
		return Stop{Outcome: outcome.Unknown{Reason: reason, Detail: "The target may have run the request."}}
	}
	return c.again(reason, defaultRetryAfter)
}

// again tries once more if time, tries and budget allow it.
func (c *Call) again(reason outcome.Reason, retryAfter time.Duration) Decision {
	switch {
	case !c.clock.Now().Before(c.deadline):
		return c.stop(outcome.ReasonDeadline, retryAfter)
	case c.used >= c.tries:
		return c.stop(reason, retryAfter)
	case !c.budget.Take():
		return c.stop(reason, retryAfter)
	}
	return Again{ResumeFrom: c.nextToken}
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
	case RefusalDraining:
		return outcome.ReasonDraining
	default:
		return outcome.ReasonNoTarget
	}
}
