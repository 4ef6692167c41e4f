package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"hawthornway/balance"
	"hawthornway/roster"
	"hawthornway/slowdown"
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

// Load: 59 hosts choose among targets of different speed, and learn loads a second late. Guards
// against slow targets that get as much as fast ones, and against hosts that all choose the one
// target that was free a moment ago.
func TestUnevenTargetsShareRequestsBySpeed(t *testing.T) {
	const hosts, rounds, perRound, serviceRounds = 59, 60, 40, 3
	clock := clockwork.NewFakeClock()
	factors := map[target.ID]slowdown.Factor{"t0": 0.6, "t1": 1, "t2": 1, "t3": 1.6}
	all := targets(4)
	for i := range all {
		all[i].Slots = 64
	}
	balancers := make([]*balance.Balancer, hosts)
	for i := range balancers {
		balancers[i] = balance.New("d", clock)
	}
	counts, most := map[target.ID]int{}, 0
	var inProgress []map[target.ID]int
	for round := range rounds {
		running := map[target.ID]int{}
		for _, started := range inProgress[max(0, len(inProgress)-serviceRounds):] {
			for id, n := range started {
				running[id] += n
			}
		}
		started := map[target.ID]int{}
		for i, b := range balancers {
			for id, factor := range factors {
				b.ReportLoad(id, running[id])
				b.ReportLearned(id, factor)
			}
			for n := range perRound / 10 {
				if (i+n+round)%6 != 0 {
					continue
				}
				chosen, ok := b.Choose(all, fmt.Sprint("session ", round, i, n))
				must.True(t, ok)
				started[chosen.ID]++
				counts[chosen.ID]++
			}
		}
		for _, n := range started {
			most = max(most, n)
		}
		inProgress = append(inProgress, started)
		clock.Advance(time.Second)
	}
	must.Greater(t, counts["t1"], counts["t0"])
	must.Greater(t, counts["t3"], counts["t1"])
	total := counts["t0"] + counts["t1"] + counts["t2"] + counts["t3"]
	must.Less(t, 9*total/rounds/10, most, must.Sprint("nearly all of a second's requests at one target"))
}

// Guards against sessions that lose their cached prompts because their targets state how long work
// takes, and against a statement that outlasts the moment.
func TestSessionsReturnToEvenTargetsThatStateTheirSpeed(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := balance.New("d", clock)
	all := targets(4)
	for _, candidate := range all {
		b.ReportStated(candidate.ID, 1)
	}
	first, _ := b.Choose(all, "session")
	for range 20 {
		again, ok := b.Choose(all, "session")
		must.True(t, ok)
		must.Eq(t, first.ID, again.ID)
	}
	b.ReportStated(first.ID, 8)
	other, _ := b.Choose(all, "session")
	must.NotEq(t, first.ID, other.ID)
	clock.Advance(time.Second)
	again, _ := b.Choose(all, "session")
	must.Eq(t, first.ID, again.ID)
}

// Guards against cold targets that are used although warm ones have room, or left out although all
// of those are full.
func TestFull(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := balance.New("d", clock)
	two := []roster.Target{{ID: "a", Domain: "d", Slots: 2}, {ID: "b", Domain: "d", Slots: 64}}
	must.False(t, b.Full(nil))
	must.False(t, b.Full(two))
	b.ReportLoad("a", 2)
	must.False(t, b.Full(two))
	b.ReportLoad("b", 12)
	must.True(t, b.Full(two))
	clock.Advance(3 * time.Second)
	must.False(t, b.Full(two), must.Sprint("the loads are old"))
	b.RequestStarted("a")
	b.RequestEnded("a", balance.Unreachable)
	must.False(t, b.Full(two[:1]), must.Sprint("none can be chosen"))
}

// Load: more requests for a model than its engines read. Guards against an engine that gets more than
// its part, or any while others have a weight and it has none, and against sessions that move.
func TestRequestsFollowWeights(t *testing.T) {
	b, candidates := balance.New("z", clockwork.NewFakeClock()), []roster.Target{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	weights := map[target.ID]float64{"a": 3000, "b": 1000}
	counts, chosen := map[target.ID]int{}, map[string]target.ID{}
	for i := range 4000 {
		session := fmt.Sprint(i)
		got, ok := b.ChooseInProportion(candidates, session, weights)
		must.True(t, ok)
		counts[got.ID]++
		chosen[session] = got.ID
	}
	must.Between(t, 2850, counts["a"], 3150)
	must.Zero(t, counts["c"])
	weights["b"] = 1100
	moved := 0
	for session, id := range chosen {
		if got, _ := b.ChooseInProportion(candidates, session, weights); got.ID != id {
			moved++
		}
	}
	must.Less(t, 160, moved)
	_, ok := b.ChooseInProportion(candidates, "s", nil)
	must.False(t, ok)
}
