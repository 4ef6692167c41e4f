package relay

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"hawthornway/catalog"
	"hawthornway/outcome"
)

// Guards against requests that are taken late in the time of a planned stop and passed on, and
// that are cut at its end (LOST).
func TestStoppingHostTakesWhatEndsInTime(t *testing.T) {
	once, repeatable := catalog.Route{Name: "once", Delivery: catalog.AtMostOnce{}}, catalog.Route{Name: "repeatable", Delivery: catalog.Idempotent{}}
	cases := []struct {
		name     string
		route    catalog.Route
		served   []time.Duration // durations of earlier requests
		stopIn   time.Duration   // zero if the host doesn't stop
		timeout  time.Duration
		refused  bool
		deadline time.Duration
	}{
		{"not stopping", once, nil, 0, time.Minute, false, time.Minute},
		{"ends before by its deadline", once, nil, 3 * time.Second, 2 * time.Second, false, 2 * time.Second},
		{"nothing known", once, nil, 3 * time.Second, time.Minute, true, 0},
		{"only the objective known", catalog.Route{Objective: time.Second}, nil, 3 * time.Second, time.Minute, false, 3 * time.Second},
		{"only the objective known, too late", catalog.Route{Objective: time.Second}, nil, time.Second / 2, time.Minute, true, 0},
		{"short", once, []time.Duration{time.Second}, 4 * time.Second, time.Minute, false, 4 * time.Second},
		{"long", once, []time.Duration{5 * time.Second}, 4 * time.Second, time.Minute, true, 0},
		{"uneven, may run once", once, []time.Duration{time.Second, 2 * time.Second, time.Second}, 3 * time.Second, time.Minute, true, 0},
		{"uneven, may be repeated", repeatable, []time.Duration{time.Second, 2 * time.Second, time.Second}, 3 * time.Second, time.Minute, false, 3 * time.Second},
		{"the time is over", repeatable, []time.Duration{time.Second}, -time.Second, time.Minute, true, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			start := clock.Now()
			var stopAt time.Time
			if tc.stopIn != 0 {
				stopAt = start.Add(tc.stopIn)
			}
			r := New(WithClock(clock), WithStopTime(func() time.Time { return stopAt }))
			for _, d := range tc.served {
				r.durations.record(tc.route.Name, d)
			}
			f := &inflight{route: tc.route, deadline: start.Add(tc.timeout)}
			got := r.admitWhileStopping(t.Context(), f)
			if !tc.refused {
				must.Nil(t, got)
				must.Eq(t, start.Add(tc.deadline), f.deadline)
				return
			}
			refusal, ok := got.(outcome.NotRun)
			must.True(t, ok)
			must.Eq(t, outcome.ReasonDraining, refusal.Reason)
			must.Positive(t, refusal.RetryAfter)
		})
	}
}

// Guards against "the caller left" for requests that the host itself has given up on.
func TestStopIsNamedAsTheReason(t *testing.T) {
	ctx, stop := context.WithCancelCause(t.Context())
	request, cancel := context.WithCancel(ctx)
	defer cancel()
	stop(ErrStopping)
	unknown, ok := contextEnded(request, true).(outcome.Unknown)
	must.True(t, ok)
	must.Eq(t, outcome.ReasonDraining, unknown.Reason)
	notRun, ok := contextEnded(request, false).(outcome.NotRun)
	must.True(t, ok)
	must.Eq(t, outcome.ReasonDraining, notRun.Reason)
}
