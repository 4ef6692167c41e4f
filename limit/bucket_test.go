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

// testCharge is a charge whose tokens are lent, spent, reported and settled at different
// times.
type testCharge struct {
	tokens, used MicroTokens
	spentAt      time.Time
	sequence     Sequence
}

// bucketRun draws a history of a bucket, and returns what was used, in order of the time
// of spending.
func bucketRun(t *rapid.T, limit Limit, ignoreHistory bool) []admission {
	b := NewBucket(testStart, WholeLimit.Of(limit))
	b.Fill()
	b.headroom.ignoreHistory = ignoreHistory
	now := testStart
	var lent, reported, done []testCharge
	steps := rapid.IntRange(1, 60).Draw(t, "steps")
	for range steps {
		now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
		switch rapid.IntRange(0, 3).Draw(t, "step") {
		case 0:
			n := toMicroTokens(team.Tokens(rapid.IntRange(1, int(limit.Burst)).Draw(t, "tokens")))
			n = min(n, b.Level(now))
			if n > 0 && b.Lend(now, n) {
				used := n * MicroTokens(rapid.IntRange(0, 10).Draw(t, "tenths")) / 10
				lent = append(lent, testCharge{tokens: n, used: used, spentAt: now})
			}
		case 1:
			for i := range lent {
				lent[i].sequence = b.Spend(now, lent[i].tokens)
			}
			reported = append(reported, lent...)
			lent = nil
		case 2:
			if len(reported) > 0 {
				i := rapid.IntRange(0, len(reported)-1).Draw(t, "settled")
				c := reported[i]
				reported = slices.Delete(reported, i, i+1)
				b.Refund(now, c.sequence, c.tokens-c.used)
				done = append(done, c)
			}
		case 3:
			for i := range lent {
				lent[i].spentAt = now
			}
		}
	}
	return admissions(done, reported, lent)
}

// admissions returns the charges in the order in which they were spent. A charge that
// is not settled counts in full.
func admissions(done, reported, lent []testCharge) []admission {
	var log []admission
	for _, c := range done {
		log = append(log, admission{at: c.spentAt, team: "a", tokens: team.Tokens(c.used)})
	}
	for _, c := range append(reported, lent...) {
		log = append(log, admission{at: c.spentAt, team: "a", tokens: team.Tokens(c.tokens)})
	}
	slices.SortStableFunc(log, func(a, b admission) int { return a.at.Compare(b.at) })
	return log
}

// toMicroLimit converts a limit from tokens to millionths of a token.
func toMicroLimit(limit Limit) Limit {
	return Limit{Rate: limit.Rate * microsPerToken, Burst: limit.Burst * microsPerToken}
}

func TestBucketKeepsBound(t *testing.T) {
	limit := Limit{Rate: 1, Burst: 10}
	rapid.Check(t, func(t *rapid.T) {
		log := bucketRun(t, limit, false)
		must.LessEq(t, 10, overrun(log, "a", toMicroLimit(limit)))
	})
}

// TestMutationRefundCap shows that TestBucketKeepsBound would detect a bucket that accepts
// every refund that fits at the moment.
func TestMutationRefundCap(t *testing.T) {
	limit := Limit{Rate: 1, Burst: 10}
	broken := 0
	for seed := range 3000 {
		log := rapid.Custom(func(t *rapid.T) []admission { return bucketRun(t, limit, true) }).Example(seed)
		if overrun(log, "a", toMicroLimit(limit)) > 10 {
			broken++
		}
	}
	t.Logf("%d of 3000 histories exceed the bound", broken)
	must.Positive(t, broken)
}

// TestOverlappingRefunds guards against a cap by the highest level alone: the first
// refund uses up headroom that the second one would count again.
func TestOverlappingRefunds(t *testing.T) {
	at := func(s int) time.Time { return testStart.Add(time.Duration(s) * time.Second) }
	b := NewBucket(testStart, WholeLimit.Of(Limit{Rate: 1, Burst: 10}))
	b.Fill()
	must.True(t, b.Lend(at(0), toMicroTokens(10)))
	first := b.Spend(at(0), toMicroTokens(5))
	second := b.Spend(at(0), toMicroTokens(5))
	must.True(t, b.Lend(at(6), toMicroTokens(4)))
	b.Spend(at(6), toMicroTokens(4))
	must.Eq(t, toMicroTokens(4), b.Refund(at(7), first, toMicroTokens(4)))
	must.Eq(t, 0, b.Refund(at(7), second, toMicroTokens(3)))
}
