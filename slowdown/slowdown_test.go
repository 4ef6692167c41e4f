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

// gapsOf returns gaps of a stream with a mean length.
func gapsOf(id target.ID, mean time.Duration, count int) slowdown.Gaps {
	return slowdown.Gaps{Target: id, Start: 1, Sum: mean * time.Duration(count), Count: count}
}

// Guards against a statement that is believed for longer than it holds, or that no machine can mean.
func TestStatements(t *testing.T) {
	cases := []struct {
		stated slowdown.Factor
		age    time.Duration
		want   slowdown.Factor
	}{
		{2.5, 0, 2.5},
		{2.5, 500 * time.Millisecond, 2.5},
		{2.5, time.Second, slowdown.Usual},
		{0, 0, slowdown.Usual},
		{-1, 0, slowdown.Usual},
		{slowdown.Factor(math.NaN()), 0, slowdown.Usual},
		{1e9, 0, 8},
		{1e-9, 0, 0.25},
	}
	for _, c := range cases {
		s := slowdown.Statement{Factor: c.stated, At: start}
		test.Eq(t, c.want, s.Now(start.Add(c.age)), test.Sprintf("%v after %v", c.stated, c.age))
	}
	test.Eq(t, slowdown.Usual, slowdown.Statement{}.Now(start))
}

// Load: targets of one pool that differ in speed. Guards against factors that are learned from too
// little, that outlast what they were learned from, or that are taken over by another start.
func TestFactorsAreLearnedAndForgotten(t *testing.T) {
	e := slowdown.NewEstimator()
	must.Eq(t, slowdown.Usual, e.Factor("a", 1, start))
	for _, id := range []target.ID{"a", "b", "c", "d"} {
		e.Record(gapsOf(id, 40*time.Millisecond, 400), start)
	}
	e.Record(gapsOf("slow", 80*time.Millisecond, 400), start)
	e.Record(gapsOf("fast", 25*time.Millisecond, 400), start)
	e.Record(gapsOf("new", 400*time.Millisecond, 1), start)
	now := start.Add(2 * time.Second)
	test.InDelta(t, 1, float64(e.Factor("a", 1, now)), 0.01)
	test.Between(t, 1.7, float64(e.Factor("slow", 1, now)), 2)
	test.Between(t, 0.6, float64(e.Factor("fast", 1, now)), 0.7)
	test.Less(t, 1.1, float64(e.Factor("new", 1, now)), test.Sprint("one gap shows little"))
	test.Eq(t, slowdown.Usual, e.Factor("slow", 2, now), test.Sprint("another start"))
	test.Less(t, 1.2, float64(e.Factor("slow", 1, start.Add(40*time.Second))), test.Sprint("it may have changed since"))

	e.Record(slowdown.Gaps{Target: "slow", Start: 2, Sum: 4 * time.Second, Count: 100}, now)
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
			e.Record(slowdown.Gaps{
				Target: rapid.SampledFrom(ids).Draw(t, "target"), Start: roster.StartID(rapid.Int64Range(1, 2).Draw(t, "start")),
				Sum: time.Duration(rapid.Int64Range(-1, int64(time.Hour)).Draw(t, "sum")), Count: rapid.IntRange(-1, 1000).Draw(t, "count"),
			}, now)
			for _, id := range ids {
				if f := e.Factor(id, 1, now); f < 0.25 || f > 8 || math.IsNaN(float64(f)) {
					t.Fatalf("factor %v", f)
				}
			}
		}
	})
}

// Guards against gaps that are reported twice or not at all.
func TestCollectorGivesEachGapOnce(t *testing.T) {
	c := slowdown.NewCollector()
	c.Add(gapsOf("a", 10*time.Millisecond, 3))
	c.Add(gapsOf("a", 20*time.Millisecond, 1))
	c.Add(gapsOf("a", 20*time.Millisecond, 0))
	must.Eq(t, []slowdown.Gaps{{Target: "a", Start: 1, Sum: 50 * time.Millisecond, Count: 4}}, c.Take())
	must.SliceEmpty(t, c.Take())
}
