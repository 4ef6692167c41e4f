package burn

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornway/call"
	"hawthornway/config"
	"hawthornway/fleet"
	"hawthornway/outcome"
)

// Keeper counts the calls of one host against the objectives in force.
type Keeper struct {
	host       fleet.HostID
	objectives func() []config.Objective
	clock      clockwork.Clock

	mu     sync.Mutex
	counts map[string][]*ring
}

// NewKeeper returns a new Keeper without counts.
func NewKeeper(host fleet.HostID, objectives func() []config.Objective, clock clockwork.Clock) *Keeper {
	return &Keeper{host: host, objectives: objectives, clock: clock, counts: make(map[string][]*ring)}
}

// Observe counts an ended call. It implements caller.Observer.
func (k *Keeper) Observe(c *call.Call, ended outcome.Outcome) {
	seen := Call{
		Team:       c.Team,
		SlowestGap: c.Trace.SlowestGap,
		Cold:       c.Trace.Cold,
		Outcome:    ended,
	}
	if gen, ok := c.Subject.(*call.Generation); ok {
		seen.Model = gen.Model
	}
	if !c.Trace.FirstToken.IsZero() {
		seen.FirstToken = c.Trace.FirstToken.Sub(c.Received)
	}
	k.Count(seen)
}

// Count counts a call for each objective that covers it.
func (k *Keeper) Count(c Call) {
	now := k.clock.Now()
	for _, o := range k.objectives() {
		if !applies(o, c) {
			continue
		}
		cause, counts := missed(o, c)
		if !counts {
			continue
		}
		one := Count{Calls: 1}
		if cause != causeNone {
			one.Missed = map[Cause]int64{cause: 1}
		}
		k.add(o.Name, now, one)
	}
}

func (k *Keeper) add(name string, now time.Time, one Count) {
	k.mu.Lock()
	defer k.mu.Unlock()
	rings, ok := k.counts[name]
	if !ok {
		for _, window := range Windows {
			rings = append(rings, newRing(window))
		}
		k.counts[name] = rings
	}
	for _, r := range rings {
		r.add(now, one)
	}
}

// Part returns this host's part of the report.
func (k *Keeper) Part() Part {
	now := k.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	part := Part{Host: k.host, Counts: make(map[string][]Count)}
	for name, rings := range k.counts {
		for _, r := range rings {
			part.Counts[name] = append(part.Counts[name], r.sum(now))
		}
	}
	return part
}
