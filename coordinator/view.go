package coordinator

import (
	"log/slog"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hawthornway/catalog"
	"hawthornway/peer"
	"hawthornway/target"
)

// announce tells hosts of all that has changed since the last time: the
// configuration, the targets, and what engines hold.
func (c *Coordinator) announce(current *catalog.Catalog) {
	read := c.read() // what is known after it is at least as new
	changed, gone := c.registered.follow(read, c.roster.All(), c.version+1, c.published)
	if len(changed) == 0 && len(gone) == 0 && len(c.dirty) == 0 && current.Version == c.config {
		return
	}
	since := c.version
	c.version++
	c.config = current.Version
	view := c.newView()
	view.Since = since
	view.Targets, view.Gone = changed, gone
	for e := range c.dirty {
		e.version = c.version
		view.Engines = append(view.Engines, e.wire(c.clock.Now()))
	}
	clear(c.dirty)
	c.broadcast(view)
}

// published reports whether hosts have been told what an engine holds.
func (c *Coordinator) published(id target.ID) bool {
	e, ok := c.engines[id]
	return ok && e.version > 0
}

// logLate logs wants that are not met for long, with the engines that hold the
// model by what is known here.
func (c *Coordinator) logLate(pool catalog.Pool) {
	now := c.clock.Now()
	for key, w := range c.wants {
		if key.pool != pool.Name || now.Sub(w.since) < lateWant || now.Sub(w.told) < lateWant {
			continue
		}
		w.told = now
		holders := []any{}
		for id, e := range c.engines {
			r, holds := e.resident[key.model]
			loads := e.job != nil && e.job.Load == key.model
			if !holds && !loads {
				continue
			}
			holders = append(holders, slog.Group(string(id), "usable", e.usable(), "loads", loads, "leaving", holds && r.leaving,
				"start", e.start, "registered", e.target.Start, "failed", e.failed, "busy", e.busy))
		}
		c.log.Warn("coordinator: want not met", "model", key.model, "adapter", key.adapter, "since", now.Sub(w.since).Round(time.Millisecond),
			"hosts", len(w.heard), slog.Group("holders", holders...))
	}
}

// newView returns a view that tells of nothing but the coordinator's state.
func (c *Coordinator) newView() wireView {
	// The age comes first: what is read after it is at least as new.
	view := wireView{ConfirmedAgo: c.confirmed().Milliseconds()}
	view.Fence, view.Version, view.Hosts = c.fence, c.version, c.ledgerHosts()
	view.Read = c.registered.read
	view.OrdersIn = c.terms.OrderDelay().Milliseconds()
	if current := c.catalogs(); current != nil {
		view.Config = current.Version
	}
	return view
}

// broadcast sends a view to all hosts. One that misses it gets it with the
// answer to its next report.
func (c *Coordinator) broadcast(view wireView) {
	c.deliver(view)
	peers := c.mesh.Peers()
	if len(peers) == 0 {
		return
	}
	encoded, err := peer.Encode(view)
	if err != nil {
		c.log.Error("coordinator: view not encoded", "error", err)
		return
	}
	for _, p := range peers {
		if err := c.mesh.Notify(p.Host, kindView, cbor.RawMessage(encoded)); err != nil {
			c.log.Debug("coordinator: view not sent; the host's next report brings it", "host", p.Host, "error", err)
		}
	}
}
