package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"hawthornway/balance"
	"hawthornway/roster"
	"hawthornway/target"
)

func targets(n int) []roster.Target {
	var out []roster.Target
	for i := range n {
		out = append(out, roster.Target{ID: target.ID(fmt.Sprintf("t%d", i)), Domain: "d", Slots: 64})
	}
	return out
}

// Many requests at once are spread over all targets by load.
func TestBurstIsSpreadEvenly(t *testing.T) {
	b := balance.New("d", clockwork.NewFakeClock())
	counts := map[target.ID]int{}
	for i := range 120 {
		chosen, ok := b.Choose(targets(4), fmt.Sprint("session", i))
		must.True(t, ok)
		b.RequestStarted(chosen.ID)
		counts[chosen.ID]++
	}
	for id, n := range counts {
		must.Between(t, 26, n, 34, must.Sprintf("target %s", id))
	}
}

// Requests of a session go to the same target while it is no busier than
// others.
func TestSessionsReturnToTheirTarget(t *testing.T) {
	b := balance.New("d", clockwork.NewFakeClock())
	first := map[string]target.ID{}
	for round := range 3 {
		for i := range 20 {
			session := fmt.Sprint("session", i)
			chosen, _ := b.Choose(targets(4), session)
			b.RequestStarted(chosen.ID)
			b.RequestEnded(chosen.ID, balance.Succeeded)
			if round == 0 {
				first[session] = chosen.ID
			}
			must.Eq(t, first[session], chosen.ID)
		}
	}
}

// A target that fails part of its requests, although it is reachable, gets few
// of them.
func TestPartlyFailingTargetGetsFewRequests(t *testing.T) {
	b := balance.New("d", clockwork.NewFakeClock())
	share := func(fails bool) float64 {
		n := 0
		for i := range 400 {
			chosen, _ := b.Choose(targets(3), fmt.Sprint("s", i, fails))
			b.RequestStarted(chosen.ID)
			outcome := balance.Succeeded
			if chosen.ID == "t0" {
				n++
				if fails && n%5 < 2 {
					outcome = balance.Failed
				}
			}
			b.RequestEnded(chosen.ID, outcome)
		}
		return float64(n) / 400
	}
	must.Less(t, 0.1, share(true))
}

// An unreachable target is not chosen for a while, which doubles each time up
// to a maximum.
func TestUnreachableTargetBacksOff(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := balance.New("d", clock)
	one := targets(1)
	backoffs := []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second}
	for _, backoff := range backoffs {
		chosen, ok := b.Choose(one, "")
		must.True(t, ok)
		b.RequestStarted(chosen.ID)
		b.RequestEnded(chosen.ID, balance.Unreachable)
		clock.Advance(backoff - time.Millisecond)
		_, ok = b.Choose(one, "")
		must.False(t, ok)
		must.True(t, b.BackingOff("t0"))
		clock.Advance(time.Millisecond)
	}
}

// Requests stay in their own domain while its targets are only slightly busier
// than others.
func TestOwnDomainIsPreferred(t *testing.T) {
	b := balance.New("d", clockwork.NewFakeClock())
	two := []roster.Target{{ID: "near", Domain: "d", Slots: 6}, {ID: "far", Domain: "e", Slots: 6}}
	chosen, _ := b.Choose(two, "s")
	must.Eq(t, "near", chosen.ID)
	b.ReportLoad("near", 5)
	chosen, _ = b.Choose(two, "s")
	must.Eq(t, "far", chosen.ID)
}

func TestForget(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := balance.New("d", clock)
	b.RequestStarted("a")
	b.RequestStarted("b")
	b.RequestEnded("b", balance.Unreachable)
	clock.Advance(time.Minute)
	b.Forget(time.Second)
	must.Eq(t, map[target.ID]int{"a": 1}, b.Running())
	must.False(t, b.BackingOff("b"))
}

// A target that states no load whatever it runs, or one beyond all bounds, must not get all
// requests, or leave the others without any.
func TestTargetsThatStateFalseLoads(t *testing.T) {
	for _, stated := range []int{0, -1000, 1 << 40} {
		b := balance.New("d", clockwork.NewFakeClock())
		counts := map[target.ID]int{}
		for i := range 120 {
			chosen, ok := b.Choose(targets(4), fmt.Sprint("session", i))
			must.True(t, ok)
			b.RequestStarted(chosen.ID)
			b.ReportLoad("t0", stated)
			counts[chosen.ID]++
		}
		must.LessEq(t, 34, counts["t0"], must.Sprint(stated))
		for _, other := range []target.ID{"t1", "t2", "t3"} {
			must.GreaterEq(t, 26, counts[other], must.Sprint(stated))
		}
	}
}
