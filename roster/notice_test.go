package roster_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/boottime"
	"hawthornway/roster"
	"hawthornway/target"
)

// steppedClock is a boot clock that tests advance.
type steppedClock struct{ now boottime.Instant }

func (c *steppedClock) Now() boottime.Instant { return c.now }

func ready(r *roster.Roster) (ids []target.ID) {
	for _, t := range r.Ready("p") {
		ids = append(ids, t.ID)
	}
	return ids
}

func newNoticeRoster() (*steppedClock, *roster.Roster) {
	clock := &steppedClock{now: boottime.Instant(time.Hour)}
	r := roster.New(clock)
	for _, id := range []target.ID{"a", "b"} {
		r.Put(roster.Target{ID: id, Start: 1, Pool: "p", Address: "10.0.0.1:" + string(id)})
	}
	return clock, r
}

// A target says in an answer that it leaves, and its registration lags behind, is removed
// or comes again. Only a new start may bring it back.
func TestLeavingTargetStaysOutUntilItStartsAgain(t *testing.T) {
	_, r := newNoticeRoster()
	must.True(t, r.SetLeaving("a", 1))
	must.False(t, r.SetLeaving("a", 1))
	must.Eq(t, []target.ID{"b"}, ready(r))
	must.SliceLen(t, 1, r.Leaving())
	a := roster.Target{ID: "a", Start: 1, Pool: "p", Address: "10.0.0.1:a", Revision: 7}
	r.Put(a)
	must.Eq(t, []target.ID{"b"}, ready(r))
	r.Drop("a", 0)
	must.SliceEmpty(t, r.Leaving())
	r.Put(a)
	must.Eq(t, []target.ID{"b"}, ready(r))
	a.Start = 2
	r.Put(a)
	must.Eq(t, []target.ID{"a", "b"}, ready(r))
	must.SliceEmpty(t, r.Leaving())
}

func TestPausedTargets(t *testing.T) {
	clock, r := newNoticeRoster()
	must.SliceEmpty(t, r.Paused("p"))
	r.Pause("a", 1, 2*time.Second)
	r.Pause("a", 1, time.Second) // the longer one counts
	must.Eq(t, []target.ID{"b"}, ready(r))
	must.Eq(t, map[target.ID]time.Duration{"a": 2 * time.Second}, paused(r))
	r.Pause("b", 1, time.Second)
	must.SliceEmpty(t, ready(r))
	must.Eq(t, map[target.ID]time.Duration{"a": 2 * time.Second, "b": time.Second}, paused(r))
	must.SliceEmpty(t, r.Paused("other"))
	clock.now = clock.now.Add(1500 * time.Millisecond)
	must.Eq(t, []target.ID{"b"}, ready(r))
	must.Eq(t, map[target.ID]time.Duration{"a": 500 * time.Millisecond}, paused(r))
	r.Put(roster.Target{ID: "a", Start: 2, Pool: "p", Address: "10.0.0.1:a"})
	must.Eq(t, []target.ID{"a", "b"}, ready(r))
	must.SliceEmpty(t, r.Paused("p"))
}

// Targets that leave can't be waited for.
func TestLeavingTargetsAreNotPaused(t *testing.T) {
	_, r := newNoticeRoster()
	r.Pause("a", 1, time.Second)
	r.Pause("b", 1, time.Second)
	r.SetLeaving("b", 1)
	must.Eq(t, map[target.ID]time.Duration{"a": time.Second}, paused(r))
}

func paused(r *roster.Roster) map[target.ID]time.Duration {
	rest := map[target.ID]time.Duration{}
	for _, p := range r.Paused("p") {
		rest[p.ID] = p.Rest
	}
	return rest
}
