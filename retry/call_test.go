package retry

import (
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"hawthornway/outcome"
)

func TestCallDecision(t *testing.T) {
	err := errors.New("connection reset")
	for _, c := range []struct {
		name       string
		idempotent bool
		results    []Result
		want       Decision
	}{
		{"complete response", false, []Result{ResponseReceived{Status: 200}}, Finish{}},
		{"not sent is retried", false, []Result{NotSent{Err: err}}, TryAgain{}},
		{"refused is retried", false, []Result{RefusedNotRun{Refusal: RefusalDraining}}, TryAgain{}},
		{
			"no response stops", false,
			[]Result{NoResponse{Err: err}},
			Stop{outcome.Unknown{Reason: outcome.ReasonTargetFailed, Detail: "The target may have run the request."}},
		},
		{"no response is repeated if idempotent", true, []Result{NoResponse{Err: err}}, TryAgain{}},
		{"interrupted stream resumes", true, []Result{Interrupted{NextToken: 7}}, TryAgain{ResumeFrom: 7}},
		{"resume point never goes back", true, []Result{Interrupted{NextToken: 7}, NotSent{Err: err}}, TryAgain{ResumeFrom: 7}},
		{
			"cancelled stops", true,
			[]Result{Cancelled{}},
			Stop{outcome.Unknown{Reason: outcome.ReasonCallerLeft, Detail: "An attempt may have run the request."}},
		},
		{
			"unknown stays unknown after a refusal", true,
			[]Result{NoResponse{Err: err}, NotSent{Err: err}, NotSent{Err: err}, NotSent{Err: err}},
			Stop{outcome.Unknown{Reason: outcome.ReasonTargetFailed, Detail: "An attempt may have run the request."}},
		},
		{
			"attempts are exhausted", false,
			[]Result{NotSent{Err: err}, NotSent{Err: err}, NotSent{Err: err}, RefusedNotRun{Refusal: RefusalQueueFull, RetryAfter: 3 * time.Second}},
			Stop{outcome.NotRun{Reason: outcome.ReasonQueueFull, RetryAfter: 3 * time.Second, Detail: "No target ran the request."}},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			var opts []CallOption
			if c.idempotent {
				opts = append(opts, WithIdempotent())
			}
			call := NewCall(clock, NewBudget(clock), clock.Now().Add(time.Minute), opts...)
			var got Decision
			for _, result := range c.results {
				got = call.Next(result)
			}
			must.Eq(t, c.want, got)
		})
	}
}

func TestCallStopsAtDeadline(t *testing.T) {
	clock := clockwork.NewFakeClock()
	call := NewCall(clock, NewBudget(clock), clock.Now().Add(time.Second))
	clock.Advance(time.Second)
	stop, ok := call.Next(NotSent{}).(Stop)
	must.True(t, ok)
	must.Eq(t, "not-run", stop.Outcome.Header())
}

func TestBudgetLimitsRetries(t *testing.T) {
	for _, c := range []struct {
		name     string
		requests int
		want     int
	}{
		{"floor", 0, 3},
		{"floor under few requests", 20, 3},
		{"tenth of many requests", 200, 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			b := NewBudget(clock)
			for range c.requests {
				b.CountRequest()
			}
			got := 0
			for b.TakeRetry() {
				got++
			}
			must.Eq(t, c.want, got)
			clock.Advance(DefaultBudgetWindow - time.Millisecond)
			must.False(t, b.TakeRetry())
			clock.Advance(time.Second)
			must.True(t, b.TakeRetry())
		})
	}
}
