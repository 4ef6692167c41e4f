package hawthornway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/call"
	"hawthornway/gate"
	"hawthornway/outcome"
)

func TestExpectedSlotWaitFollowsLoad(t *testing.T) {
	estimator := &poolWaitEstimator{}
	start := time.Unix(0, 0)
	served := &call.Call{Received: start, Trace: call.Trace{Ended: start.Add(8 * time.Second)}}
	estimator.Observe(served, outcome.Served{})
	estimator.Observe(served, outcome.NotRun{}) // must not affect the mean
	cases := []struct {
		name string
		load gate.PoolLoad
		want time.Duration
	}{
		{"full", gate.PoolLoad{Slots: 16, Running: 16}, 500 * time.Millisecond},
		{"seven queued", gate.PoolLoad{Slots: 16, Running: 16, Queued: 7}, 4 * time.Second},
		{"idle", gate.PoolLoad{Slots: 16}, 500 * time.Millisecond},
	}
	for _, tc := range cases {
		must.EqOp(t, tc.want, estimator.expectedSlotWait(tc.load), must.Sprint(tc.name))
	}
}
