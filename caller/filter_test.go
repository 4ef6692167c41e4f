package caller

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"hawthornway/call"
	"hawthornway/config"
	"hawthornway/limit"
	"hawthornway/outcome"
	"hawthornway/team"
)

func newCall(subject call.Subject) *call.Call {
	request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(""))
	request.Header.Set("Authorization", "Bearer hw_good")
	now := time.Now()
	return &call.Call{
		ID: "r1", Writer: call.NewWriter(httptest.NewRecorder()), Request: request,
		Received: now, Deadline: now.Add(time.Minute), Subject: subject,
	}
}

// withdrawableKeys accepts any key, which can be withdrawn.
type withdrawableKeys struct{ withdrawn chan struct{} }

func (k withdrawableKeys) Check(string) (team.ID, <-chan struct{}, *outcome.NotRun) {
	return "escorts", k.withdrawn, nil
}

func TestWithdrawnKeyEndsCallInProgress(t *testing.T) {
	keys := withdrawableKeys{make(chan struct{})}
	handler := KeyFilter(keys)(func(ctx context.Context, _ *call.Call) outcome.Outcome {
		close(keys.withdrawn)
		<-ctx.Done()
		var withdrawn *call.KeyWithdrawnError
		must.True(t, errors.As(context.Cause(ctx), &withdrawn))
		return outcome.Unknown{Reason: outcome.ReasonKeyWithdrawn}
	})
	result := handler(t.Context(), newCall(&call.Generation{}))
	must.EqOp(t, "unknown", result.Header())
}

// TestOnlyOpenRoutesPassWithoutKey checks that no other subject is served
// without a key.
func TestOnlyOpenRoutesPassWithoutKey(t *testing.T) {
	cases := []struct {
		name    string
		subject call.Subject
		passed  bool
	}{
		{"open route", &call.Service{Route: config.Route{Open: true}}, true},
		{"closed route", &call.Service{}, false},
		{"generation", &call.Generation{}, false},
		{"listing", &call.Listing{}, false},
	}
	for _, tc := range cases {
		passed := false
		handler := KeyFilter(fakeKeys{})(func(context.Context, *call.Call) outcome.Outcome {
			passed = true
			return outcome.Served{}
		})
		c := newCall(tc.subject)
		c.Request.Header.Del("Authorization")
		handler(t.Context(), c)
		must.EqOp(t, tc.passed, passed, must.Sprint(tc.name))
	}
}

// countingLimiter records the reserved cost and the settled tokens.
type countingLimiter struct{ charged, settled team.Tokens }

func (l *countingLimiter) Reserve(_ context.Context, _ team.ID, cost team.Tokens) (limit.Charge, *limit.Refusal) {
	l.charged = cost
	return l, nil
}

func (l *countingLimiter) Settle(used team.Tokens) { l.settled = used }

func TestChargeIsSettledWithKnownUsage(t *testing.T) {
	generation := func() call.Subject { return &call.Generation{PromptTokens: 30, MaxTokens: 70} }
	cases := []struct {
		name      string
		subject   call.Subject
		result    outcome.Outcome
		prompt    team.Tokens
		generated team.Tokens
		want      team.Tokens
	}{
		{"served", generation(), outcome.Served{}, 20, 10, 30},
		{"more than charged", generation(), outcome.Served{}, 90, 70, 160},
		{"not run", generation(), outcome.NotRun{}, 0, 0, 0},
		{"unknown", generation(), outcome.Unknown{}, 0, 10, 100},
		{"served without a count", generation(), outcome.Served{}, 0, 10, 100},
		{"service", &call.Service{Route: config.Route{Cost: 5}}, outcome.Served{}, 0, 0, 5},
	}
	for _, tc := range cases {
		limiter := &countingLimiter{}
		handler := LimitFilter(limiter)(func(_ context.Context, c *call.Call) outcome.Outcome {
			c.Trace.PromptTokens, c.Trace.GeneratedTokens = tc.prompt, tc.generated
			return tc.result
		})
		c := newCall(tc.subject)
		c.Team = "escorts"
		handler(t.Context(), c)
		must.EqOp(t, c.Cost(), limiter.charged, must.Sprint(tc.name))
		must.EqOp(t, tc.want, limiter.settled, must.Sprint(tc.name))
	}
}

func TestCallsInProgressOfTeamAreLimited(t *testing.T) {
	directory := fakeDirectory{}
	depth := 0
	var handler call.Handler
	handler = ConcurrencyFilter(directory, clockwork.NewRealClock())(func(ctx context.Context, c *call.Call) outcome.Outcome {
		depth++
		return handler(ctx, c) // nested calls, until one is refused
	})
	c := newCall(&call.Listing{})
	c.Team = "escorts"
	result := handler(t.Context(), c)
	must.EqOp(t, 4, depth)
	must.Eq[outcome.Outcome](t, outcome.NotRun{
		Reason:     outcome.ReasonQueueFull,
		RetryAfter: initialDuration / 4, // zero would mean that a retry won't help
		Detail:     "the team has 4 calls in progress at this host already",
	}, result)
}

func TestCallsInProgressOfHostAreLimited(t *testing.T) {
	depth := 0
	var handler call.Handler
	handler = HostConcurrencyFilter(2, clockwork.NewRealClock())(func(ctx context.Context, c *call.Call) outcome.Outcome {
		depth++
		c.Team = "another" // the limit holds for all teams together
		return handler(ctx, c)
	})
	result := handler(t.Context(), newCall(&call.Listing{}))
	must.EqOp(t, 2, depth)
	must.Eq[outcome.Outcome](t, outcome.NotRun{
		Reason:     outcome.ReasonQueueFull,
		RetryAfter: initialDuration / 2,
		Detail:     "the host has 2 calls in progress already",
	}, result)
	must.EqOp(t, "not-run", handler(t.Context(), newCall(&call.Listing{})).Header())
	must.EqOp(t, 4, depth) // the first calls have ended
}
