package limit

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"hawthornway/team"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// testCharge is a charge whose tokens are lent, spent, reported and settled at
// four moments.
type testCharge struct {
	tokens, used Micro
	spent        time.Time
	mark         Mark
}

// bucketRun draws a history of a bucket and returns what was used, by the time
// of spending.
func bucketRun(t *rapid.T, limit Limit, uncapped bool) []admission {
	b := NewBucket(testStart, WholeLimit.Of(limit))
	b.Fill()
	b.room.uncapped = uncapped
	now := testStart
	var lent, reported, done []testCharge
	steps := rapid.IntRange(1, 60).Draw(t, "steps")
	for range steps {
		now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
		switch rapid.IntRange(0, 3).Draw(t, "step") {
		case 0:
			n := microOf(team.Tokens(rapid.IntRange(1, int(limit.Burst)).Draw(t, "tokens")))
			n = min(n, b.Level(now))
			if n > 0 && b.Lend(now, n) {
				used := n * Micro(rapid.IntRange(0, 10).Draw(t, "tenths")) / 10
				lent = append(lent, testCharge{tokens: n, used: used, spent: now})
			}
		case 1:
			for i := range lent {
				lent[i].mark = b.Spend(now, lent[i].tokens)
			}
			reported = append(reported, lent...)
			lent = nil
		case 2:
			if len(reported) > 0 {
				i := rapid.IntRange(0, len(reported)-1).Draw(t, "settled")
				c := reported[i]
				reported = slices.Delete(reported, i, i+1)
				b.Refund(now, c.mark, c.tokens-c.used)
				done = append(done, c)
			}
		case 3:
			for i := range lent {
				lent[i].spent = now
			}
		}
	}
	return admissions(done, reported, lent)
}

// admissions returns the charges in the order in which they were spent. One
// that is not settled counts in full.
func admissions(done, reported, lent []testCharge) []admission {
	var log []admission
	for _, c := range done {
		log = append(log, admission{at: c.spent, team: "a", tokens: team.Tokens(c.used)})
	}
	for _, c := range append(reported, lent...) {
		log = append(log, admission{at: c.spent, team: "a", tokens: team.Tokens(c.tokens)})
	}
	slices.SortStableFunc(log, func(a, b admission) int { return a.at.Compare(b.at) })
	return log
}

// microLimit is a limit with millionths in place of tokens.
func microLimit(limit Limit) Limit {
	return Limit{Rate: limit.Rate * microsPerToken, Burst: limit.Burst * microsPerToken}
}

func TestBucketKeepsBound(t *testing.T) {
	limit := Limit{Rate: 1, Burst: 10}
	rapid.Check(t, func(t *rapid.T) {
		log := bucketRun(t, limit, false)
		must.LessEq(t, 10, overrun(log, "a", microLimit(limit)))
	})
}

// TestMutationRefundCap shows that the proof above sees a bucket that takes
// refunds as far as they fit now.
func TestMutationRefundCap(t *testing.T) {
	limit := Limit{Rate: 1, Burst: 10}
	broken := 0
	for seed := range 3000 {
		log := rapid.Custom(func(t *rapid.T) []admission { return bucketRun(t, limit, true) }).Example(seed)
		if overrun(log, "a", microLimit(limit)) > 10 {
			broken++
		}
	}
	t.Logf("%d of 3000 histories pass the bound", broken)
	must.Positive(t, broken)
}

// TestOverlappingRefunds is the case that a cap by the highest level alone gets
// wrong: the first refund takes room that the second one would count again.
func TestOverlappingRefunds(t *testing.T) {
	at := func(s int) time.Time { return testStart.Add(time.Duration(s) * time.Second) }
	b := NewBucket(testStart, WholeLimit.Of(Limit{Rate: 1, Burst: 10}))
	b.Fill()
	must.True(t, b.Lend(at(0), microOf(10)))
	first := b.Spend(at(0), microOf(5))
	second := b.Spend(at(0), microOf(5))
	must.True(t, b.Lend(at(6), microOf(4)))
	b.Spend(at(6), microOf(4))
	must.Eq(t, microOf(4), b.Refund(at(7), first, microOf(4)))
	must.Eq(t, 0, b.Refund(at(7), second, microOf(3)))
}
