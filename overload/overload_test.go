package overload_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"hawthornway/model"
	"hawthornway/overload"
	"hawthornway/target"
	"hawthornway/team"
)

const speed team.TokensPerSecond = 20_000

func engine(id target.ID, unread team.Tokens, models ...model.Name) overload.Engine {
	return overload.Engine{ID: id, Models: models, Speed: speed, Objective: time.Second, Unread: unread}
}

func flow(name model.Name, priority int, id team.ID, demand team.TokensPerSecond) overload.Flow {
	return overload.Flow{FlowID: overload.FlowID{Model: name, Priority: priority, Team: id}, Demand: demand, Weight: 1}
}

// sharesOf returns the shares by flow; flows that are admitted in full have none.
func sharesOf(a overload.Allocation) map[overload.FlowID]float64 {
	shares := map[overload.FlowID]float64{}
	for _, s := range a.Shares {
		shares[s.FlowID] = s.Admitted
	}
	return shares
}

// Load: one model gets five times what its engine reads, and shares it with a rarely used one. Guards
// against a burst that takes the part of other models, of small teams, or of more urgent requests,
// and against less urgent requests that get nothing.
func TestBurstOfOneModel(t *testing.T) {
	engines := []overload.Engine{engine("e", 0, "hot", "rare")}
	shares := sharesOf(overload.Allocate(engines, []overload.Flow{
		flow("hot", 1, "large", 80_000), flow("hot", 1, "small", 1_000),
		flow("hot", 0, "urgent", 4_000), flow("hot", 2, "patient", 15_000),
		flow("rare", 2, "other", 1_500), flow("unheld", 0, "other", 50_000),
	}))
	id := func(name model.Name, priority int, team team.ID) overload.FlowID {
		return overload.FlowID{Model: name, Priority: priority, Team: team}
	}
	test.MapNotContainsKeys(t, shares, []overload.FlowID{id("rare", 2, "other"), id("hot", 0, "urgent"), id("hot", 1, "small"), id("unheld", 0, "other")})
	test.Between(t, 0.03, shares[id("hot", 1, "large")], 0.12)
	test.Between(t, 0.05, shares[id("hot", 2, "patient")], 0.15)
}

// Load: the engines of a model differ in their backlogs. Guards against requests that are refused
// although the engines can read them, and against further ones for an engine that lags behind.
func TestIntakeFollowsBacklog(t *testing.T) {
	two := func(unread team.Tokens) []overload.Engine {
		return []overload.Engine{engine("busy", unread, "m"), engine("idle", 0, "m")}
	}
	test.SliceEmpty(t, overload.Allocate(two(0), []overload.Flow{flow("m", 1, "a", 20_000)}).Shares)
	var admitted []float64
	for _, unread := range []team.Tokens{0, 20_000, 60_000, 1_000_000} {
		a := overload.Allocate(two(unread), []overload.Flow{flow("m", 1, "a", 60_000)})
		must.SliceLen(t, 1, a.Shares)
		must.SliceLen(t, 2, a.Allotments)
		admitted = append(admitted, a.Shares[0].Admitted*60_000)
		test.LessEq(t, a.Allotments[1].Rate, a.Allotments[0].Rate)
		test.Positive(t, a.Allotments[0].Rate, test.Sprint("a wrong backlog must not shut an engine off"))
	}
	test.Between(t, 24_000, admitted[0], 32_000)
	for i := range admitted[1:] {
		test.LessEq(t, admitted[i], admitted[i+1])
	}
}

// Load: one of a model's engines holds others that get more than it reads. Guards against refusals of
// requests that the model's other engine has time for.
func TestModelWithAnIdleEngineIsAdmitted(t *testing.T) {
	engines := []overload.Engine{engine("idle", 0, "m"), engine("shared", 0, "m", "hot-1", "hot-2", "hot-3")}
	shares := sharesOf(overload.Allocate(engines, []overload.Flow{
		flow("m", 1, "a", 14_000), flow("hot-1", 1, "a", 50_000), flow("hot-2", 1, "a", 50_000), flow("hot-3", 1, "a", 50_000),
	}))
	test.MapLen(t, 3, shares)
	test.MapNotContainsKey(t, shares, overload.FlowID{Model: "m", Priority: 1, Team: "a"})
}

// Guards against refusals that follow from an assumed speed alone.
func TestAssumedSpeedNeedsBacklog(t *testing.T) {
	e := engine("e", 0, "m")
	e.Assumed = true
	test.SliceEmpty(t, overload.Allocate([]overload.Engine{e}, []overload.Flow{flow("m", 1, "a", 20_000)}).Shares)
	e.Unread = 40_000
	test.SliceLen(t, 1, overload.Allocate([]overload.Engine{e}, []overload.Flow{flow("m", 1, "a", 20_000)}).Shares)
}

// Load: any demand of teams before any engines. Guards against a team that gets less than 95% of its
// weighted max-min share of its model, against more than the engines' intake, and against
// refusals while some of it is left.
func TestSharesAreMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var engines []overload.Engine
		for i := range rapid.IntRange(1, 5).Draw(t, "engines") {
			engines = append(engines, engine(target.ID(fmt.Sprint("e", i)), team.Tokens(rapid.IntRange(0, 50_000).Draw(t, "unread")), "m"))
		}
		var flows []overload.Flow
		for i := range rapid.IntRange(1, 8).Draw(t, "teams") {
			f := flow("m", 0, team.ID(fmt.Sprint("t", i)), team.TokensPerSecond(rapid.IntRange(1, 60_000).Draw(t, "demand")))
			f.Weight = float64(rapid.IntRange(1, 9).Draw(t, "weight"))
			flows = append(flows, f)
		}
		a := overload.Allocate(engines, flows)
		intake, shares := 0.0, sharesOf(a)
		for _, part := range a.Allotments {
			intake += float64(part.Rate)
		}
		admitted, refused := 0.0, false
		level := math.Inf(1) // the least that a refused team gets for its weight
		got := make([]float64, len(flows))
		for i, f := range flows {
			got[i] = float64(f.Demand)
			if share, ok := shares[f.FlowID]; ok {
				got[i] *= share
				refused = true
				level = min(level, got[i]/f.Weight)
			}
			admitted += got[i]
		}
		if !refused {
			return
		}
		if admitted > 1.05*intake+1 || admitted < 0.95*intake {
			t.Fatalf("admitted %v of an intake of %v", admitted, intake)
		}
		for i, f := range flows {
			if got[i]/f.Weight > 1.06*level+1 {
				t.Fatalf("%v gets %v for its weight, and a refused team %v", f.FlowID, got[i]/f.Weight, level)
			}
		}
	})
}

// Guards against a speed that follows from short prompts, or from engines that had other work.
func TestSpeedIsLearnedFromQuietEngines(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var s overload.Speedometer
	assumed, learned := s.Speed()
	must.False(t, learned)
	must.Positive(t, assumed)
	for range 40 {
		for _, busy := range []struct {
			running, waiting int
			prompt           team.Tokens
		}{{1, 0, 2_000}, {30, 0, 2_000}, {1, 3, 2_000}, {1, 0, 50}} {
			took := 200 * time.Millisecond // at a machine where work takes twice as long
			if busy.running > 1 || busy.waiting > 0 {
				took = 5 * time.Second
			}
			if r, ok := overload.NewReading(busy.prompt, took, busy.running, busy.waiting, 2); ok {
				s.Record(r, now)
			}
		}
	}
	got, learned := s.Speed()
	must.True(t, learned)
	must.InDelta(t, 20_000, float64(got), 200)
}

// Guards against answers to one request that differ while the shares are the same, against shares
// that outlast the coordinator for long, and against those of a new coordinator, which hasn't heard
// from all hosts, in place of settled ones.
func TestTable(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := overload.NewTable(clock, 8*time.Second)
	id := overload.FlowID{Model: "m", Priority: 1, Team: "a"}
	admitted := func() (n int) {
		for i := range 1000 {
			ok, retryAfter := table.Admit("p", id, fmt.Sprint(i))
			again, _ := table.Admit("p", id, fmt.Sprint(i))
			must.Eq(t, ok, again)
			if ok {
				n++
			} else {
				must.Between(t, time.Second, retryAfter, 8*time.Second)
			}
		}
		return n
	}
	allocation := func(share float64) map[target.Pool]overload.Allocation {
		return map[target.Pool]overload.Allocation{"p": {
			Shares: []overload.Share{{FlowID: id, Admitted: share}}, Allotments: []overload.Allotment{{Model: "m", Target: "e", Rate: 5}},
		}}
	}
	must.Eq(t, 1000, admitted())
	table.Set(allocation(0.6), true)
	must.Between(t, 550, admitted(), 650)
	table.Set(allocation(0.2), false)
	must.Between(t, 160, admitted(), 240)
	table.Set(allocation(0.9), true)
	must.Between(t, 160, admitted(), 240)
	must.MapLen(t, 1, table.Weights("p", "m"))
	table.Set(allocation(0), false)
	must.Zero(t, admitted())
	clock.Advance(9 * time.Second)
	must.Eq(t, 1000, admitted())
	must.MapEmpty(t, table.Weights("p", "m"))
	table.Set(nil, false)
	must.Eq(t, 1000, admitted())
}
