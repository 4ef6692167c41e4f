package coordinator

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"hawthornway/boottime"
	"hawthornway/election"
	"hawthornway/fleet"
	"hawthornway/model"
	"hawthornway/peer"
	"hawthornway/roster"
	"hawthornway/target"
)

// held is what the coordinator said of one engine.
type held struct {
	version  uint64
	start    roster.Start
	holdings roster.Holdings
	// loading is a model on its way from the weight store, and ready when it is
	// expected.
	loading model.Name
	ready   time.Time
}

func (c *Client) handleView(_ context.Context, _ fleet.Member, body []byte) (any, error) {
	var view wireView
	if err := peer.Decode(body, &view); err != nil {
		return nil, trace.Wrap(err)
	}
	c.take(view, 0)
	return nil, nil
}

// take takes what the coordinator says. Sent is when the report was sent that it
// answers. Words of former coordinators come too late.
func (c *Client) take(view wireView, sent boottime.Instant) {
	c.taking.Lock()
	defer c.taking.Unlock()
	if !c.takeEngines(view) || view.Fence == target.Fence(0) {
		return
	}
	leads := c.leads()
	if !leads {
		changed, gone, all := c.newer(view)
		c.host.UpdateTargets(changed, gone, all, view.Whole)
	}
	if !view.Answer || sent == 0 {
		if !leads {
			c.host.ConfirmCurrent(view.Config, 0, 0)
		}
		return
	}
	at := sent.Add(-time.Duration(view.ConfirmedAgo) * time.Millisecond)
	c.mu.Lock()
	c.covered = at
	c.mu.Unlock()
	if !leads {
		c.host.ConfirmCurrent(view.Config, view.Read, at)
	}
}

// newer returns what a view tells of targets, without what a newer view that has
// overtaken it told already. All names every target of the view's whole parts.
func (c *Client) newer(view wireView) (changed []roster.Target, gone, all []target.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(view.Whole) > 0 {
		for id, version := range c.registered {
			if version > view.Version {
				all = append(all, id)
			}
		}
	}
	for _, w := range view.Targets {
		if len(view.Whole) > 0 {
			all = append(all, w.ID)
		}
		if w.Version >= c.registered[w.ID] {
			c.registered[w.ID] = w.Version
			changed = append(changed, w.target())
		}
	}
	for _, w := range view.Gone {
		if w.Version >= c.registered[w.ID] {
			c.registered[w.ID] = w.Version
			gone = append(gone, w.ID)
		}
	}
	return changed, gone, all
}

// RelayedStateAge reports whether the coordinator, which is another host, tells this one
// what the store says, and how old that is.
func (c *Client) RelayedStateAge() (age time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ok = c.leader.Host != c.mesh.Self().Host && c.reaching && c.covered != 0
	return c.boot.Now().Sub(c.covered), ok
}

// takeEngines takes what a view says of engines. It reports false for a view
// that comes too late, or that leaves a gap to what is known.
func (c *Client) takeEngines(view wireView) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if view.Fence < c.fence {
		return false
	}
	if view.Fence > c.fence {
		c.fence, c.version = view.Fence, 0
		c.keep()
		c.engines = map[target.ID]held{}
		c.registered = map[target.ID]uint64{}
	}
	gap := view.Since > c.version
	c.heard = c.clock.Now()
	c.hosts = view.Hosts
	c.orders = c.heard.Add(time.Duration(view.OrdersIn) * time.Millisecond)
	if !c.reaching {
		c.log.Info("coordinator: host reached", "host", c.leader.Host, "fence", view.Fence)
	}
	c.reaching = true
	c.search.since = time.Time{}
	if len(view.Neighbours) > 0 {
		c.search.neighbours = c.members(view.Neighbours)
	}
	if view.Answer {
		c.more = view.More
	}
	if !gap {
		c.version = max(c.version, view.Version)
	}
	for _, e := range view.Engines {
		if e.Version < c.engines[e.Target].version {
			continue // a newer view has overtaken this one
		}
		c.engines[e.Target] = held{
			version:  e.Version,
			start:    e.Start,
			holdings: roster.Holdings{Models: residents(e.Models)},
			loading:  e.Loading,
			ready:    c.heard.Add(time.Duration(e.ReadyIn) * time.Millisecond),
		}
		c.told(e.Target, e.Work)
	}
	if len(view.Engines) > 0 {
		close(c.changed)
		c.changed = make(chan struct{})
	}
	return true
}

// SaveModels has this host remember what the coordinator said of engines, beyond its term.
func (c *Client) SaveModels() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keep()
}

func (c *Client) keep() {
	for id, h := range c.engines {
		c.host.SetModels(id, h.start, h.holdings.Models)
	}
}

// members returns neighbours as members to which links are kept.
func (c *Client) members(wire []wireMember) []fleet.Member {
	var members []fleet.Member
	for _, w := range wire {
		members = append(members, c.linked(election.Leader{Host: w.Host, Incarnation: w.Incarnation, Address: w.Address}))
	}
	return members
}

// Holdings returns what an engine holds: by the coordinator's word while it is
// heard, otherwise by the engine's own registration.
func (c *Client) Holdings(t roster.Target) roster.Holdings {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.engines[t.ID]
	if !ok || h.start != t.Start || c.clock.Since(c.heard) > viewMemory {
		return t.Holdings
	}
	return h.holdings
}

// MinLoadDelay returns the least time until a model can be there that no engine holds,
// as far as it is known: while it comes from the weight store, or while the
// coordinator may not give orders yet. Near is the time of a load from an engine's
// disk.
func (c *Client) MinLoadDelay(name model.Name, near time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	soonest := time.Duration(0)
	for _, h := range c.engines {
		if in := h.ready.Sub(now); h.loading == name && (soonest == 0 || in < soonest) {
			soonest = in
		}
	}
	if orders := c.orders.Sub(now); soonest == 0 && orders > 0 {
		return orders + near
	}
	return max(0, soonest)
}

// Changed returns a channel that is closed when holdings change.
func (c *Client) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Reached reports whether the coordinator was heard of late.
func (c *Client) Reached() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.heard.IsZero() && c.clock.Since(c.heard) < contactMemory
}
