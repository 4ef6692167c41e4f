package hawthornway

import (
	"sync"
	"time"

	"hawthornway/call"
	"hawthornway/gate"
	"hawthornway/outcome"
)

// meanSmoothing is the part of a new duration in the running mean.
const meanSmoothing = 0.1

// callDurations is the running mean of how long served calls take.
type callDurations struct {
	mu   sync.Mutex
	mean time.Duration
}

// Observe takes the duration of a served call.
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

// untilFree returns the expected time until a pool has a free slot: each slot
// is freed once in the mean duration of a call.
func (d *callDurations) timeToFreeSlot(load gate.PoolLoad) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	ahead := max(load.Running+load.Queued-load.Slots+1, 1)
	return d.mean * time.Duration(ahead) / time.Duration(max(load.Slots, 1))
}
