package hawthornway

import (
	"sync"
	"time"

	"hawthornway/call"
	"hawthornway/gate"
	"hawthornway/outcome"
)

// durationGain is the weight of a new duration in the moving average.
const durationGain = 0.1

// poolWaitEstimator estimates the wait for a free slot of a pool from an
// exponential moving average of the duration of served calls.
type poolWaitEstimator struct {
	mu   sync.Mutex
	mean time.Duration
}

// Observe adds the duration of a served call. Model listings and calls that were
// not served are ignored.
func (p *poolWaitEstimator) Observe(c *call.Call, ended outcome.Outcome) {
	if _, ok := ended.(outcome.Served); !ok {
		return
	}
	if _, ok := c.Subject.(*call.Listing); ok {
		return
	}
	took := c.Trace.Ended.Sub(c.Received)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mean == 0 {
		p.mean = took
		return
	}
	p.mean += time.Duration(durationGain * float64(took-p.mean))
}

// expectedSlotWait returns the expected time until a pool has a free slot,
// assuming that each slot is freed once per mean call duration.
func (p *poolWaitEstimator) expectedSlotWait(load gate.PoolLoad) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	ahead := max(load.Running+load.Queued-load.Slots+1, 1)
	return p.mean * time.Duration(ahead) / time.Duration(max(load.Slots, 1))
}
