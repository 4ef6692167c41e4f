package coordinator

import (
	"log/slog"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hawthornway/catalog"
	"hawthornway/peer"
	"hawthornway/target"
)

// announce broadcasts what has changed since the last view: the configuration, the
// targets, and the engines' models.
func (c *Coordinator) announce(current *catalog.Catalog) {
	read := c.readRevision() // before reading the roster, which is then at least as new
	changed, removed := c.registered.update(read, c.roster.All(), c.version+1, c.published, c.roster.RemovedAt)
	if len(changed) == 0 && len(removed) == 0 && len(c.dirty) == 0 && len(c.changedForecasts) == 0 && current.Version == c.config && !c.quarantineChanged && c.limits.Digest() == c.sentLimits && c.roster.Evacuations().At == c.sentEvacuations {
		return
	}
	since := c.version
	c.version++
	c.config, c.quarantineChanged = current.Version, false
	view := c.newView()
	view.Since = since
	view.Targets, view.Removed = changed, removed
	c.sentEvacuations = c.roster.Evacuations().At
	if view.LimitDigest != c.sentLimits {
		c.sentLimits = view.LimitDigest
		view.Limits = wireLimitsOf(c.limits, c.boot.Now())
	}
	for e := range c.dirty {
		e.version = c.version
		view.Engines = append(view.Engines, e.wire(c.clock.Now()))
	}
	clear(c.dirty)
	view.Forecasts = c.takeChangedForecasts(c.clock.Now())
	c.broadcast(view)
}

// published reports whether hosts were sent an engine's models.
func (c *Coordinator) published(id target.ID) bool {
	e, ok := c.engines[id]
	return ok && e.version > 0
}

// logPendingRequests logs load requests that have been pending for long, with the
// engines that hold or load the model according to this coordinator.
func (c *Coordinator) logPendingRequests(pool catalog.Pool) {
	now := c.clock.Now()
	for key, request := range c.loadRequests {
		if key.Pool != pool.Name || now.Sub(request.since) < pendingLogInterval || now.Sub(request.loggedAt) < pendingLogInterval {
			continue
		}
		request.loggedAt = now
		holders := []any{}
		for id, e := range c.engines {
			r, holds := e.resident[key.Model]
			loads := e.job != nil && e.job.Load == key.Model
			if !holds && !loads {
				continue
			}
			holders = append(holders, slog.Group(string(id), "usable", e.usable(), "loads", loads, "leaving", holds && r.unloading,
				"start", e.start, "registered", e.target.Start, "failed", e.failedReports, "busy", e.busy))
		}
		c.log.Warn("coordinator: load request still pending", "model", key.Model, "adapter", key.Adapter, "since", now.Sub(request.since).Round(time.Millisecond),
			"hosts", len(request.byHost), slog.Group("holders", holders...))
	}
}

// newView returns a view without changes of targets or engines.
func (c *Coordinator) newView() wireView {
	// The age is read first, so that the state read after it is at least as new.
	view := wireView{ConfirmedAgo: c.confirmedAge().Milliseconds()}
	view.Fence, view.Version, view.Hosts = c.fence, c.version, c.ledgerHosts()
	view.ReadRevision = c.registered.readRevision
	view.Quarantined = c.wireQuarantined(c.clock.Now())
	view.LimitDigest = c.limits.Digest()
	evacuations := c.roster.Evacuations()
	view.Evacuated = &wireEvacuations{Domains: evacuations.Domains, At: max(evacuations.At, view.ReadRevision)}
	view.OrdersIn = c.terms.OrderDelay().Milliseconds()
	if current := c.catalogs(); current != nil {
		view.Config = current.Version
	}
	return view
}

// broadcast sends a view to all hosts. A host that misses it gets the changes with
// the answer to its next report.
func (c *Coordinator) broadcast(view wireView) {
	c.deliverLocal(view)
	peers := c.mesh.Peers()
	if len(peers) == 0 {
		return
	}
	encoded, err := peer.Encode(view)
	if err != nil {
		c.log.Error("coordinator: view can't be encoded and is not sent to other hosts", "error", err)
		return
	}
	for _, p := range peers {
		if err := c.mesh.Notify(p.Host, kindView, cbor.RawMessage(encoded)); err != nil {
			c.log.Debug("coordinator: view not sent; the answer to the host's next report includes it", "host", p.Host, "error", err)
		}
	}
}
