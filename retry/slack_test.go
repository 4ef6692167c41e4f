package retry_test

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"hawthornway/retry"
)

// The slack is added to the share and follows the size of the fleet.
func TestSlackFollowsFleetSize(t *testing.T) {
	slack := 0.0
	b := retry.NewBudget(clockwork.NewFakeClock(), retry.WithShare(0.1), retry.WithFloor(1), retry.WithSlack(func() float64 { return slack }))
	for range 20 {
		b.CountRequest()
	}
	must.True(t, b.TakeRetry())
	must.True(t, b.TakeRetry())
	must.False(t, b.TakeRetry())
	slack = 1
	must.True(t, b.TakeRetry())
	must.False(t, b.TakeRetry())
}

// In a large fleet, a host's part of the slack is less than one retry. Rounded to zero
// by itself, it would be lost at every host.
func TestFractionOfSlackAddsToShare(t *testing.T) {
	b := retry.NewBudget(clockwork.NewFakeClock(), retry.WithShare(0.1), retry.WithFloor(0), retry.WithSlack(func() float64 { return 0.5 }))
	for range 15 {
		b.CountRequest()
	}
	must.True(t, b.TakeRetry())
	must.True(t, b.TakeRetry())
	must.False(t, b.TakeRetry())
}
