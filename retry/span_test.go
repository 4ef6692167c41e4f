package retry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"hawthornway/retry"
)

// mostWithin returns the largest number of times that lie within a span.
func mostWithin(times []time.Time, span time.Duration) int {
	most, first := 0, 0
	for last, at := range times {
		for at.Sub(times[first]) >= span {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Guards against repeats beyond the budget in a span that doesn't begin with one of the
// budget's buckets, when targets fail for longer than the window.
func TestBudgetHoldsInEverySpan(t *testing.T) {
	const slack = 7
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			clock := clockwork.NewFakeClock()
			b := retry.NewBudget(clock, retry.WithShare(0), retry.WithFloor(0), retry.WithSlack(func() float64 { return slack }))
			var sent []time.Time
			for range 300 {
				clock.Advance(time.Duration(random.Int64N(int64(400 * time.Millisecond))))
				if random.IntN(4) == 0 {
					clock.Advance(time.Duration(random.Int64N(int64(5 * time.Second))))
				}
				for range random.IntN(2 * slack) {
					if b.TakeRetry() {
						sent = append(sent, clock.Now())
					}
				}
			}
			must.Eq(t, slack, mostWithin(sent, retry.DefaultBudgetWindow))
		})
	}
}

// Guards against repeats that are granted over several windows, wait for a target, and are sent
// together as soon as there is one.
func TestRetryCountsFromItsSending(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := retry.NewBudget(clock, retry.WithShare(0), retry.WithFloor(0), retry.WithSlack(func() float64 { return 2 }))
	first, second := b.Reserve(), b.Reserve()
	must.NotNil(t, second)
	clock.Advance(5 * retry.DefaultBudgetWindow)
	must.Nil(t, b.Reserve())
	first.Sent()
	second.Sent()
	second.Return() // has been sent already
	clock.Advance(retry.DefaultBudgetWindow - time.Millisecond)
	must.Nil(t, b.Reserve())
	clock.Advance(time.Second)
	third := b.Reserve()
	must.NotNil(t, third)
	third.Return()
	third.Return()
	must.True(t, b.TakeRetry())
	must.True(t, b.TakeRetry())
	must.False(t, b.TakeRetry())
}

// The window follows the settings.
func TestBudgetWindow(t *testing.T) {
	for _, window := range []time.Duration{2 * time.Second, time.Minute} {
		clock := clockwork.NewFakeClock()
		b := retry.NewBudget(clock, retry.WithWindow(window), retry.WithShare(0), retry.WithFloor(1))
		must.True(t, b.TakeRetry())
		clock.Advance(window - time.Millisecond)
		must.False(t, b.TakeRetry())
		clock.Advance(window / 10)
		must.True(t, b.TakeRetry())
	}
}
