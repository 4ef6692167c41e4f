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
	average := &callDuration{}
	start := time.Unix(0, 0)
	served := &call.Call{Received: start, Trace: call.Trace{Ended: start.Add(8 * time.Second)}}
	average.Observe(served, outcome.Served{})
	average.Observe(served, outcome.NotRun{}) // not counted, since no target ran it
	cases := []struct {
		name string
		work gate.PoolLoad
		want time.Duration
	}{
		{"full", gate.PoolLoad{Slots: 16, Running: 16}, 500 * time.Millisecond},
		{"seven queued", gate.PoolLoad{Slots: 16, Running: 16, Queued: 7}, 4 * time.Second},
		{"idle", gate.PoolLoad{Slots: 16}, 500 * time.Millisecond},
	}
	for _, tc := range cases {
		must.EqOp(t, tc.want, average.timeToFreeSlot(tc.work), must.Sprint(tc.name))
	}
}
