package hawthornway

import (
	"sync"
	"time"

	"hawthornway/call"
	"hawthornway/gate"
	"hawthornway/outcome"
)

// paceGain is the part of a new duration in the running mean.
const paceGain = 0.1

// pace is the running mean of how long served calls take.
type pace struct {
	mu   sync.Mutex
	mean time.Duration
}

// Observe takes the duration of a served call.
func (p *pace) Observe(c *call.Call, ended outcome.Outcome) {
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
	p.mean += time.Duration(paceGain * float64(took-p.mean))
}

// untilFree returns the expected time until a pool has a free slot: each slot
// is freed once in the mean duration of a call.
func (p *pace) untilFree(work gate.PoolLoad) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	ahead := max(work.Running+work.Queued-work.Slots+1, 1)
	return p.mean * time.Duration(ahead) / time.Duration(max(work.Slots, 1))
}
