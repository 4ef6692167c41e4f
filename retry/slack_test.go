package retry_test

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"hawthornway/retry"
)

// The slack is added to the share and follows the size of the fleet.
func TestSlackFollowsFleetSize(t *testing.T) {
	slack := 0
	b := retry.NewBudget(clockwork.NewFakeClock(), retry.WithShare(0.1), retry.WithFloor(1), retry.WithSlack(func() int { return slack }))
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
