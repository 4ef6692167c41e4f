package hawthornway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/call"
	"hawthornway/gate"
	"hawthornway/outcome"
)

func TestUntilFreeFollowsLoad(t *testing.T) {
	p := &durationMean{}
	start := time.Unix(0, 0)
	served := &call.Call{Received: start, Trace: call.Trace{Ended: start.Add(8 * time.Second)}}
	p.Observe(served, outcome.Served{})
	p.Observe(served, outcome.NotRun{}) // refused calls don't count
	cases := []struct {
		name string
		work gate.PoolLoad
		want time.Duration
	}{
		{"full", gate.PoolLoad{Slots: 16, Running: 16}, 500 * time.Millisecond},
		{"half as much again waits", gate.PoolLoad{Slots: 16, Running: 16, Queued: 7}, 4 * time.Second},
		{"idle", gate.PoolLoad{Slots: 16}, 500 * time.Millisecond},
	}
	for _, tc := range cases {
		must.EqOp(t, tc.want, p.untilFree(tc.work), must.Sprint(tc.name))
	}
}
