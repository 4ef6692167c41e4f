package coordinator

import (
	"context"
	"maps"
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

// engineView is the coordinator's last view of one engine.
type engineView struct {
	version  uint64
	start    roster.StartID
	holdings roster.Holdings
	// loading is the model being loaded from the weight store, if any, and readyAt is
	// when the load is expected to end.
	loading model.Name
	readyAt time.Time
}

func (c *Client) handleView(_ context.Context, _ fleet.Member, body []byte) (any, error) {
	var view wireView
	if err := peer.Decode(body, &view); err != nil {
		return nil, trace.Wrap(err)
	}
	c.applyView(view, 0)
	return nil, nil
}

// applyView applies a view from the coordinator. Sent is when the report that it
// answers was sent, or zero. Views from former coordinators are ignored.
func (c *Client) applyView(view wireView, sent boottime.Instant) {
	c.apply(view, sent, c.isLeader())
}

// applyOwnView applies a broadcast of this host's own coordinator, which may lead before this
// host has found out that it follows itself.
func (c *Client) applyOwnView(view wireView) {
	c.mu.Lock()
	c.ownFence = view.Fence
	c.mu.Unlock()
	c.apply(view, 0, true)
}

// apply applies a view. If this host leads, it tells nothing about targets: they were read from
// this host's roster, and may be older than that.
func (c *Client) apply(view wireView, sent boottime.Instant, leads bool) {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	current, complete := c.applyEngines(view)
	if !current || view.Fence == target.Fence(0) {
		return
	}
	if view.Successor != "" {
		c.leaders.Prefer(view.Successor)
	}
	c.adoptQuarantined(view)
	c.adoptLimits(view)
	c.adoptLoads(view)
	c.adoptAdmission(view)
	read := view.ReadRevision
	switch {
	case leads:
	case view.Evacuated == nil:
		// A coordinator of an older build relays no evacuations, so that this host reads
		// what it has relayed itself once there is none.
		read = 0
		c.receiver.UpdateTargets(c.newerTargets(view))
	default:
		c.receiver.UpdateEvacuations(roster.NewEvacuations(view.Evacuated.Domains, view.Evacuated.At))
		c.receiver.UpdateTargets(c.newerTargets(view))
	}
	if !view.Answer || sent == 0 || !complete {
		if !leads {
			c.receiver.ConfirmCurrent(view.Config, 0, 0)
		}
		return
	}
	at := sent.Add(-time.Duration(view.ConfirmedAgo) * time.Millisecond)
	c.mu.Lock()
	c.confirmedAt = at
	c.mu.Unlock()
	if !leads {
		c.receiver.ConfirmCurrent(view.Config, read, at)
	}
}

// newerTargets returns a view's changes of targets, without those that a newer view
// superseded before this one arrived. They list every target of the view's complete
// buckets, and the targets in newer views, so that the receiver keeps those.
func (c *Client) newerTargets(view wireView) roster.Changes {
	changes := roster.Changes{Buckets: view.CompleteBuckets, At: view.ReadRevision}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(view.CompleteBuckets) > 0 {
		for id, version := range c.targetVersions {
			if version > view.Version {
				changes.All = append(changes.All, id)
			}
		}
	}
	for _, w := range view.Targets {
		if len(view.CompleteBuckets) > 0 {
			changes.All = append(changes.All, w.ID)
		}
		if w.Version >= c.targetVersions[w.ID] {
			c.targetVersions[w.ID] = w.Version
			if w.LapseLeft != 0 {
				left := time.Duration(w.LapseLeft) * time.Millisecond
				changes.Lapsed = append(changes.Lapsed, roster.Lapsed{Target: w.target(), Left: left, Held: w.LapseLeft == lapseHeld})
				continue
			}
			changes.Changed = append(changes.Changed, w.target())
		}
	}
	for _, w := range view.Removed {
		if w.Version >= c.targetVersions[w.ID] {
			c.targetVersions[w.ID] = w.Version
			changes.Removed = append(changes.Removed, roster.Removed{ID: w.ID, Revision: w.Revision})
		}
	}
	return changes
}

// RelayedStateAge returns the age of the store's state that the coordinator relays. It
// reports false if this host is the coordinator, or receives nothing from it.
func (c *Client) RelayedStateAge() (age time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ok = c.leader.Host != c.mesh.Self().Host && c.fence != c.ownFence && c.connected && c.confirmedAt != 0
	return c.boot.Now().Sub(c.confirmedAt), ok
}

// applyEngines applies a view's engines and coordinator state. It reports whether the view is
// of the newest coordinator, and whether this host has all changes up to its version. A view
// that leaves a gap to the known version doesn't advance it, so that the answer to the next
// report fills the gap. Nor does the first broadcast of a term: it lacks what the coordinator
// never knew and this host still has, which only an answer to digests shows.
func (c *Client) applyEngines(view wireView) (current, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if view.Fence < c.fence {
		return false, false
	}
	if view.Fence > c.fence {
		c.fence, c.version = view.Fence, 0
		c.saveModels()
		c.engines = map[target.ID]engineView{}
		c.forecasts = map[model.Name]time.Time{}
		c.targetVersions = map[target.ID]uint64{}
	}
	gap := view.Since > c.version || c.version == 0 && !view.Answer
	c.lastContact = c.clock.Now()
	c.hosts = view.Hosts
	c.hostCounts.Record(view.Hosts, c.lastContact)
	c.ordersAllowedAt = c.lastContact.Add(time.Duration(view.OrdersIn) * time.Millisecond)
	if !c.connected {
		c.log.Info("coordinator: connected to the coordinator", "host", c.leader.Host, "fence", view.Fence)
	}
	c.connected = true
	c.search.lostAt = time.Time{}
	if len(view.Neighbours) > 0 {
		c.search.neighbours = c.neighbourMembers(view.Neighbours)
	}
	if view.Answer {
		c.incomplete = view.More
	}
	if !gap {
		c.version = max(c.version, view.Version)
	}
	for _, e := range view.Engines {
		if e.Version < c.engines[e.Target].version {
			continue // a newer view arrived first
		}
		c.engines[e.Target] = engineView{
			version:  e.Version,
			start:    e.Start,
			holdings: roster.Holdings{Models: residents(e.Models)},
			loading:  e.Loading,
			readyAt:  c.lastContact.Add(time.Duration(e.ReadyIn) * time.Millisecond),
		}
		c.updateLoad(e.Target, e.Work)
	}
	c.applyForecasts(view.Forecasts)
	if len(view.Engines) > 0 || len(view.Forecasts) > 0 {
		close(c.changed)
		c.changed = make(chan struct{})
	}
	return true, c.version > 0
}

// applyForecasts records forecasts, and drops those that have passed.
func (c *Client) applyForecasts(forecasts []wireForecast) {
	for _, f := range forecasts {
		c.forecasts[f.Model] = c.lastContact.Add(time.Duration(f.ReadyIn) * time.Millisecond)
	}
	if len(forecasts) > 0 {
		maps.DeleteFunc(c.forecasts, func(_ model.Name, readyAt time.Time) bool { return !readyAt.After(c.lastContact) })
	}
}

// SaveModels passes the engines' models from the coordinator's views to the receiver,
// so that they outlast the coordinator's term.
func (c *Client) SaveModels() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.saveModels()
}

func (c *Client) saveModels() {
	for id, view := range c.engines {
		c.receiver.SetModels(id, view.start, view.holdings.Models)
	}
}

// neighbourMembers returns neighbours as members that the mesh can connect to.
func (c *Client) neighbourMembers(wire []wireMember) []fleet.Member {
	var members []fleet.Member
	for _, w := range wire {
		members = append(members, c.peerMember(election.Leader{Host: w.Host, Incarnation: w.Incarnation, Address: w.Address}))
	}
	return members
}

// Holdings returns the models that an engine holds: according to the coordinator
// while its last view is recent, otherwise to the engine's registration.
func (c *Client) Holdings(t roster.Target) roster.Holdings {
	c.mu.Lock()
	defer c.mu.Unlock()
	view, ok := c.engines[t.ID]
	if !ok || view.start != t.Start || c.clock.Since(c.lastContact) > maxViewAge {
		return t.Holdings
	}
	return view.holdings
}

// MinLoadDelay returns the time until a model that no engine holds is loaded at the
// earliest. While one of the given engines loads it from the weight store, that is the rest of the load.
// While it waits for the weight store, it is what the coordinator expects. Otherwise it is
// the time until the coordinator may give orders plus diskLoadTime, the duration of a load
// from an engine's disk. It is zero if none of these applies.
func (c *Client) MinLoadDelay(name model.Name, engines []roster.Target, diskLoadTime time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	soonest := time.Duration(0)
	for _, t := range engines {
		view, ok := c.engines[t.ID]
		if rest := view.readyAt.Sub(now); ok && view.loading == name && (soonest == 0 || rest < soonest) {
			soonest = rest
		}
	}
	if expected := c.forecasts[name].Sub(now); soonest == 0 && expected > 0 {
		return expected
	}
	if wait := c.ordersAllowedAt.Sub(now); soonest == 0 && wait > 0 {
		return wait + diskLoadTime
	}
	return max(0, soonest)
}

// Changed returns a channel that is closed at the next change of holdings.
func (c *Client) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// LargestHosts returns the largest number of hosts that coordinators have announced within a
// span, or zero if none has announced any yet.
func (c *Client) LargestHosts(within time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hostCounts.Largest(c.clock.Now().Add(-within))
}

// ContactAge returns the time since the last message from a coordinator, or since the start if
// there was none.
func (c *Client) ContactAge() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.contactAge()
}

func (c *Client) contactAge() time.Duration {
	if c.lastContact.IsZero() {
		return c.clock.Since(c.startedAt)
	}
	return c.clock.Since(c.lastContact)
}

// Isolated reports whether this host has had no message from a coordinator for so long
// that a successor would have been found if this host could reach one.
func (c *Client) Isolated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.contactAge() >= reportInterval(c.hosts)+election.TakeoverTime
}
