package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/relay"
	"hawthornway/roster"
)

// Callers that wait for two to four seconds ask for models that can't be loaded
// in that time, because a new coordinator may not give orders yet or the
// weights come from the weight store. They are refused at once and learn when
// the model can be available.
func TestRefusedAtOnceIfModelLoadsTooLate(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	cases := []struct {
		name               string
		timeout, loadDelay time.Duration
		refused            bool
	}{
		{"unknown load time", 2 * time.Second, 0, false},
		{"in time", 4 * time.Second, 3 * time.Second, false},
		{"too late", 2400 * time.Millisecond, 3500 * time.Millisecond, true},
		{"no time to run", 3 * time.Second, 2990 * time.Millisecond, true},
		{"long timeout", 16 * time.Second, 7 * time.Second, false},
	}
	for _, tc := range cases {
		refusal := refuseIfTooLate(now, now.Add(tc.timeout), tc.loadDelay)
		must.Eq(t, tc.refused, refusal != nil, must.Sprint(tc.name))
		if refusal != nil {
			must.Eq(t, tc.loadDelay, refusal.RetryAfter)
		}
	}
}

// A request waits for targets that ask for a pause only if it can still be served then. One
// that may be repeated doesn't wait if all targets of the pool do, since another host may
// not have been asked to pause.
func TestRefusedIfTargetsPause(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	holder, other := roster.Target{ID: "holder"}, roster.Target{ID: "other"}
	holds := func(t roster.Target) bool { return t.ID == "holder" }
	pause := func(t roster.Target, rest time.Duration) roster.PausedTarget {
		return roster.PausedTarget{Target: t, Rest: rest}
	}
	cases := []struct {
		name       string
		timeout    time.Duration
		repeatable bool
		ready      []roster.Target
		paused     []roster.PausedTarget
		wait       bool
		retryAfter time.Duration
	}{
		{"all paused", 8 * time.Second, true, nil, []roster.PausedTarget{pause(holder, 3*time.Second), pause(other, 2*time.Second)}, false, 2 * time.Second},
		{"all paused, not repeatable", 8 * time.Second, false, nil, []roster.PausedTarget{pause(other, 2*time.Second)}, true, 0},
		{"all paused for too long, not repeatable", 2 * time.Second, false, nil, []roster.PausedTarget{pause(other, 2*time.Second)}, false, 2 * time.Second},
		{"another holder", 8 * time.Second, true, []roster.Target{holder}, []roster.PausedTarget{pause(holder, time.Minute)}, false, 0},
		{"holder paused for a moment", 8 * time.Second, true, []roster.Target{other}, []roster.PausedTarget{pause(holder, time.Second)}, true, 0},
		{"holder paused for too long", 8 * time.Second, true, []roster.Target{other}, []roster.PausedTarget{pause(holder, time.Minute)}, false, time.Minute},
		{"no holder", 8 * time.Second, true, []roster.Target{other}, []roster.PausedTarget{pause(other, time.Minute)}, false, 0},
	}
	for _, tc := range cases {
		request := relay.PlacementRequest{Deadline: now.Add(tc.timeout), Repeatable: tc.repeatable}
		refusal, wait := refuseIfPaused(now, request, tc.ready, tc.paused, holds)
		must.Eq(t, tc.wait, wait, must.Sprint(tc.name))
		must.Eq(t, tc.retryAfter > 0, refusal != nil, must.Sprint(tc.name))
		if refusal != nil {
			must.Eq(t, tc.retryAfter, refusal.RetryAfter, must.Sprint(tc.name))
		}
	}
}

// A target with a limit that has failed a request is still better than none: the request would
// wait until its deadline without being sent.
func TestCandidates(t *testing.T) {
	type kind struct{ limited, failed, backingOff bool }
	cases := []struct {
		name                      string
		targets                   []kind
		eligible, failed, limited int
	}{
		{"none", nil, 0, 0, 0},
		{"sound ones", []kind{{}, {}}, 2, 0, 0},
		{"one has failed", []kind{{}, {failed: true}}, 1, 1, 0},
		{"one is backing off, which the balancer knows", []kind{{backingOff: true}}, 1, 0, 0},
		{"one has a limit", []kind{{}, {limited: true}}, 1, 0, 1},
		{"one with a limit has failed", []kind{{limited: true}, {limited: true, failed: true}}, 0, 0, 1},
		{"all with a limit have failed", []kind{{limited: true, failed: true}, {limited: true, failed: true}}, 0, 0, 2},
		{"one with a limit and one without have failed", []kind{{limited: true, failed: true}, {failed: true}}, 0, 1, 0},
		{"one with a limit is backing off", []kind{{limited: true, backingOff: true}}, 0, 0, 0},
	}
	for _, tc := range cases {
		var c candidates
		for _, k := range tc.targets {
			c.add(roster.Target{}, k.limited, k.failed, k.backingOff)
		}
		c.addLastResort()
		must.Eq(t, []int{tc.eligible, tc.failed, tc.limited}, []int{len(c.eligible), len(c.failed), len(c.limited)}, must.Sprint(tc.name))
	}
}
