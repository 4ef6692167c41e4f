package hawthornway

import (
	"sync"
	"time"

	"hawthornway/call"
	"hawthornway/gate"
	"hawthornway/outcome"
)

// newDurationWeight is the smoothing factor of the moving average.
const newDurationWeight = 0.1

// durationMean is the exponential moving average of the durations of served
// calls.
type durationMean struct {
	mu   sync.Mutex
	mean time.Duration
}

// Observe adds the duration of a call, if it was served and isn't a listing.
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

// untilFree returns the expected time until a pool has a free slot. It assumes
// that each slot becomes free once per mean call duration.
func (p *durationMean) untilFree(load gate.PoolLoad) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	ahead := max(load.Running+load.Queued-load.Slots+1, 1)
	return p.mean * time.Duration(ahead) / time.Duration(max(load.Slots, 1))
}
