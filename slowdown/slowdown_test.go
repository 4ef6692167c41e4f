package slowdown_test

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"hawthornway/roster"
	"hawthornway/slowdown"
	"hawthornway/target"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against a statement that is believed for longer than it holds, or that no machine can mean.
func TestStatements(t *testing.T) {
	cases := []struct {
		stated  slowdown.Factor
		age     time.Duration
		want    slowdown.Factor
		current bool
	}{
		{2.5, 0, 2.5, true},
		{2.5, 500 * time.Millisecond, 2.5, true},
		{2.5, time.Second, 0, false},
		{0, 0, slowdown.Usual, true},
		{-1, 0, slowdown.Usual, true},
		{slowdown.Factor(math.NaN()), 0, slowdown.Usual, true},
		{1e9, 0, 8, true},
		{1e-9, 0, 0.25, true},
	}
	for _, c := range cases {
		got, current := slowdown.Statement{Factor: c.stated, At: start}.Now(start.Add(c.age))
		test.Eq(t, c.current, current)
		test.Eq(t, c.want, got, test.Sprintf("%v after %v", c.stated, c.age))
	}
	_, current := slowdown.Statement{}.Now(start)
	test.False(t, current)
}

// Load: targets of one pool on machines that differ in speed, each of which is busy for moments.
// Guards against factors that are learned from too little, that outlast what they were learned from,
// or that are taken over by another start.
func TestFactorsAreLearnedAndForgotten(t *testing.T) {
	e := slowdown.NewEstimator()
	must.Eq(t, slowdown.Usual, e.Factor("a", 1, start))
	for i := range 40 {
		busy := slowdown.Factor(1)
		if i%8 == 0 {
			busy = 2.5
		}
		at := start.Add(time.Duration(i) * 100 * time.Millisecond)
		e.Record(slowdown.Statements{Target: "slow", Start: 1, Sum: 1.6 * busy, Count: 1}, at)
		e.Record(slowdown.Statements{Target: "fast", Start: 1, Sum: 0.6 * busy, Count: 1}, at)
	}
	e.Record(slowdown.Statements{Target: "new", Start: 1, Sum: 4, Count: 1}, start)
	now := start.Add(4 * time.Second)
	test.Between(t, 1.6, float64(e.Factor("slow", 1, now)), 2.1)
	test.Between(t, 0.6, float64(e.Factor("fast", 1, now)), 0.8)
	test.Less(t, 2.5, float64(e.Factor("new", 1, now)), test.Sprint("one statement shows little"))
	test.Eq(t, slowdown.Usual, e.Factor("slow", 2, now), test.Sprint("another start"))
	test.Less(t, 1.1, float64(e.Factor("slow", 1, start.Add(time.Minute))), test.Sprint("it is tried again"))

	e.Record(slowdown.Statements{Target: "slow", Start: 2, Sum: 100, Count: 100}, now)
	test.Less(t, 1.05, float64(e.Factor("slow", 2, now)))
	test.Eq(t, slowdown.Usual, e.Factor("slow", 1, now))
}

// Guards against factors that would send one target nearly all requests or none, whatever hosts
// report.
func TestFactorsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := slowdown.NewEstimator()
		now := start
		ids := []target.ID{"a", "b", "c"}
		for range rapid.IntRange(1, 40).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "pause")))
			e.Record(slowdown.Statements{
				Target: rapid.SampledFrom(ids).Draw(t, "target"), Start: roster.StartID(rapid.Int64Range(1, 2).Draw(t, "start")),
				Sum: slowdown.Factor(rapid.Float64().Draw(t, "sum")), Count: rapid.IntRange(-1, 1000).Draw(t, "count"),
			}, now)
			for _, id := range ids {
				if f := e.Factor(id, 1, now); f < 0.25 || f > 8 || math.IsNaN(float64(f)) {
					t.Fatalf("factor %v", f)
				}
			}
		}
	})
}

// Guards against statements that are reported twice or not at all.
func TestCollectorGivesEachStatementOnce(t *testing.T) {
	c := slowdown.NewCollector()
	c.Add("a", 1, 1)
	c.Add("a", 1, 2.5)
	must.Eq(t, []slowdown.Statements{{Target: "a", Start: 1, Sum: 3.5, Count: 2}}, c.Take())
	must.SliceEmpty(t, c.Take())
}
