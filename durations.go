package hawthornway

import (
	"sync"
	"time"

	"hawthornway/call"
	"hawthornway/gate"
	"hawthornway/outcome"
)

// meanSmoothing is the weight of a new duration in the moving average.
const meanSmoothing = 0.1

// callDurations is the exponential moving average of the durations of served
// calls.
type callDurations struct {
	mu   sync.Mutex
	mean time.Duration
}

// Observe adds the duration of a served call. It ignores calls that list models
// and calls that were not served.
func (d *callDurations) Observe(c *call.Call, result outcome.Outcome) {
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
	d.mean += time.Duration(meanSmoothing * float64(duration-d.mean))
}

// timeToFreeSlot returns the expected time until a pool has a free slot, assuming
// that each slot becomes free once per mean call duration.
func (d *callDurations) timeToFreeSlot(load gate.PoolLoad) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	ahead := max(load.Running+load.Queued-load.Slots+1, 1)
	return d.mean * time.Duration(ahead) / time.Duration(max(load.Slots, 1))
}
