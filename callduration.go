package hawthornway

import (
	"sync"
	"time"

	"hawthornway/call"
	"hawthornway/gate"
	"hawthornway/outcome"
)

// newDurationWeight is the part of a new duration in the running mean.
const newDurationWeight = 0.1

// durationMean is the running mean of how long served calls take.
type durationMean struct {
	mu   sync.Mutex
	mean time.Duration
}

// Observe takes the duration of a served call.
func (p *durationMean) Observe(c *call.Call, ended outcome.Outcome) {
	if _, ok := ended.(outcome.Served); !ok {
		return
	}
	if _, ok := c.Subject.(*call.Listing); ok {
		return
	}
	duration := c.Trace.Ended.Sub(c.Received)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mean == 0 {
		p.mean = duration
		return
	}
	p.mean += time.Duration(newDurationWeight * float64(duration-p.mean))
}

// untilFree returns the expected time until a pool has a free slot: each slot
// is freed once in the mean duration of a call.
func (p *durationMean) untilFree(load gate.PoolLoad) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	ahead := max(load.Running+load.Queued-load.Slots+1, 1)
	return p.mean * time.Duration(ahead) / time.Duration(max(load.Slots, 1))
}
