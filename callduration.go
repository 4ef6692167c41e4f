package hawthornway

import (
	"sync"
	"time"

	"hawthornway/call"
	"hawthornway/gate"
	"hawthornway/outcome"
)

// meanDurationWeight is the weight of a new duration in the moving average.
const meanDurationWeight = 0.1

// callDuration is an exponential moving average of the durations of served calls.
type callDuration struct {
	mu   sync.Mutex
	mean time.Duration
}

// Observe records the duration of a served call. Listings are not counted, since
// they occupy no slot.
func (d *callDuration) Observe(c *call.Call, result outcome.Outcome) {
	if _, ok := result.(outcome.Served); !ok {
		return
	}
	if _, ok := c.Subject.(*call.Listing); ok {
		return
	}
	duration := c.Trace.Ended.Sub(c.Received)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.mean == 0 {
		d.mean = duration
		return
	}
	d.mean += time.Duration(meanDurationWeight * float64(duration-d.mean))
}

// timeToFreeSlot returns the expected time until a pool has a free slot, if each
// slot becomes free once per mean duration of a call.
func (d *callDuration) timeToFreeSlot(load gate.PoolLoad) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	waiting := max(load.Running+load.Queued-load.Slots+1, 1)
	return d.mean * time.Duration(waiting) / time.Duration(max(load.Slots, 1))
}
