package hawthornway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/call"
	"hawthornway/gate"
	"hawthornway/outcome"
)

func TestTimeToFreeSlotFollowsLoad(t *testing.T) {
	durations := &callDurations{}
	start := time.Unix(0, 0)
	served := &call.Call{Received: start, Trace: call.Trace{Ended: start.Add(8 * time.Second)}}
	durations.Observe(served, outcome.Served{})
	durations.Observe(served, outcome.NotRun{}) // says nothing of how long calls take
	cases := []struct {
		name string
		work gate.PoolLoad
		want time.Duration
	}{
		{"full", gate.PoolLoad{Slots: 16, Running: 16}, 500 * time.Millisecond},
		{"full with queue", gate.PoolLoad{Slots: 16, Running: 16, Queued: 7}, 4 * time.Second},
		{"idle", gate.PoolLoad{Slots: 16}, 500 * time.Millisecond},
	}
	for _, tc := range cases {
		must.EqOp(t, tc.want, durations.timeToFreeSlot(tc.work), must.Sprint(tc.name))
	}
}
