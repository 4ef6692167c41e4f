package replica

import (
	"slices"
	"time"

	"hawthornway/engine"
)

// foreignPatience is how long another group is waited for to release an engine.
const foreignPatience = time.Minute

// held takes in whether this host may act for the shard.
func (g *Group) held(in Held) {
	i := 0
	if in.ChecksFence {
		i = 1
	}
	g.holds[i] = in
	if in.Elsewhere {
		g.giveUpWants()
	}
}

// takeOver moves an engine on towards being acted for, or gives it up.
func (g *Group) takeOver(e *engineState) {
	h := g.hold(e)
	switch {
	case e.gone:
		g.leave(e)
	case h.Elsewhere && !h.OK:
		g.stop(e)
	case !h.OK:
		// The hold may come back under the same fence.
	case e.phase == phaseOff || h.Hold.Fence != e.fence:
		g.startTakeover(e, h)
	case e.busy || g.now.Before(e.retryAt):
	case e.phase == phaseReading:
		g.readRecord(e)
	case e.phase == phaseFencing:
		g.giveFence(e)
	}
}

// startTakeover begins to act for an engine under a new fence. The record and a
// fresh report tell what stands there; what this host knew under an older fence
// may be out of date.
func (g *Group) startTakeover(e *engineState, h *Held) {
	e.phase = phaseReading
	e.fence = h.Hold.Fence
	e.since = h.Hold.Since
	e.claimed, e.outage, e.busy = false, false, false
	e.writing = ""
	e.nextID = 0
	e.reported = false
	g.forget(e)
	g.readRecord(e)
}

func (g *Group) readRecord(e *engineState) {
	e.busy = true
	g.emit(ReadRecord{Target: e.cfg.Name})
}

// recordRead takes in the record of an engine.
func (g *Group) recordRead(in RecordRead) {
	e := g.engine(in.Target)
	if e == nil {
		return
	}
	switch {
	case e.phase == phaseReading && e.busy:
		e.busy = false
		g.takeRecord(e, in)
	case e.reading:
		e.reading = false
		g.settleWrite(e, in)
	}
}

// takeRecord begins the claim of an engine whose record was read.
func (g *Group) takeRecord(e *engineState, in RecordRead) {
	e.retryAt = g.now.Add(retryEvery)
	if !in.OK {
		if e.cfg.ChecksFence {
			// The engine's own fence shuts earlier owners out.
			e.outage = true
			g.giveFence(e)
		}
		return
	}
	r := in.Record
	if r != nil && r.Group != g.key.String() && !r.Released && !g.abandoned(e) {
		return
	}
	if r != nil && r.Group == g.key.String() && r.Fence > e.fence {
		return
	}
	e.revision = in.Revision
	if r != nil {
		g.adoptDecisions(e, r.Decisions)
	}
	if !e.foreignSince.IsZero() {
		e.foreignSince = time.Time{}
		e.since = g.now
	}
	handedOver := g.hold(e).Hold.HandedOver && r != nil && r.Group == g.key.String()
	g.setProof(e, r == nil || r.Released || handedOver)
	e.phase = phaseClaiming
	e.changed()
}

// abandoned reports whether an engine's record has named another group, without
// a release, for so long that nobody acts for that group: hosts have the present
// configuration within seconds.
func (g *Group) abandoned(e *engineState) bool {
	if e.foreignSince.IsZero() {
		e.foreignSince = g.now
	}
	return g.now.Sub(e.foreignSince) >= foreignPatience
}

// setProof sets the time from which a report shows all that earlier owners did.
func (g *Group) setProof(e *engineState, clean bool) {
	e.proveFrom = g.now
	if clean || e.cfg.ChecksFence || g.off.noHorizon {
		return
	}
	if horizon := e.since.Add(OrderHorizon); horizon.After(e.proveFrom) {
		e.proveFrom = horizon
	}
}

// adoptDecisions takes in the decisions of a record. Their memory is reserved;
// an order that is not known to have arrived may arrive yet.
func (g *Group) adoptDecisions(e *engineState, decisions []Decision) {
	for _, d := range decisions {
		known := slices.ContainsFunc(e.entries, func(en *entry) bool { return en.load.id == d.ID })
		if known {
			continue
		}
		en := &entry{
			engine: e, ref: d.Ref, bytes: d.Bytes, team: d.Team, state: entryLoading,
			source: SourceRemote, decidedAt: g.now, startedAt: g.now, lastUse: g.now, readyAt: g.now,
		}
		en.load.id = d.ID
		en.load.sent = true
		en.load.lastSent = g.now
		switch d.State {
		case DecisionReady:
			en.state = entryReady
			en.load.accepted, en.load.acceptedAt = true, g.now
		case DecisionAccepted:
			en.load.accepted, en.load.acceptedAt = true, g.now
		case DecisionUnloading:
			en.state = entryUnloading
			en.load.unknown = true
			en.lateUnload = g.now.Add(OrderHorizon)
		default:
			en.load.unknown = true
		}
		g.addEntry(en)
		if en.item != nil {
			en.expected = g.speed.expect(en.item, SourceRemote)
		}
	}
}

// claimDone ends the claim of an engine.
func (g *Group) claimDone(e *engineState) {
	e.claimed = true
	if e.cfg.ChecksFence {
		g.giveFence(e)
		return
	}
	e.phase = phaseProving
}

// giveFence raises the fence of an engine that checks fences.
func (g *Group) giveFence(e *engineState) {
	e.phase = phaseFencing
	e.busy = true
	e.fenceID = g.newID(e)
	order := engine.Order{ID: e.fenceID, Kind: engine.OrderFence, Fence: e.fence}
	g.emit(GiveOrder{Target: e.cfg.Name, Order: order})
}

// fenceGiven takes in the result of the order that raises the fence.
func (g *Group) fenceGiven(e *engineState, result OrderResult) {
	e.busy = false
	e.retryAt = g.now.Add(retryEvery)
	if _, ok := result.(OrderAccepted); !ok {
		return
	}
	e.fencedAt = g.now
	e.proveFrom = g.now
	e.phase = phaseProving
}

// proved opens an engine once a report shows all that earlier owners did.
func (g *Group) proved(e *engineState, askedAt time.Time) {
	if e.phase != phaseProving || askedAt.Before(e.proveFrom) {
		return
	}
	e.phase = phaseOpen
	if !e.cfg.ChecksFence {
		return
	}
	// An unload of an earlier owner can't arrive any more; an owner since may
	// have kept the replica.
	for _, en := range e.entries {
		if en.state == entryUnloading && en.seen && !en.unload.sent && !en.unload.accepted {
			en.state = entryLoading
			en.startedAt = g.now
			e.changed()
		}
	}
}

// stop ends acting for an engine that another member owns.
func (g *Group) stop(e *engineState) {
	if e.phase == phaseOff || e.calling() {
		return
	}
	e.phase = phaseOff
	e.fence = 0
	e.reported = false
	g.forget(e)
}

// leave gives an engine up that the configuration has moved to another group.
// The record tells that group when it may begin.
func (g *Group) leave(e *engineState) {
	if e.phase == phaseOff {
		g.remove(e)
		return
	}
	if e.calling() || e.writing != "" {
		return
	}
	if !e.claimed {
		g.remove(e)
		return
	}
	if e.releasing() {
		g.remove(e)
		return
	}
	if e.releaseVersion == 0 {
		e.changed()
		e.releaseVersion = e.version
	}
}

// releasing reports whether the record says that the engine was released.
func (e *engineState) releasing() bool {
	return e.releaseVersion > 0 && e.recorded >= e.releaseVersion
}

// calling reports whether an order is on its way.
func (e *engineState) calling() bool {
	if e.phase == phaseFencing && e.busy {
		return true
	}
	return slices.ContainsFunc(e.entries, func(en *entry) bool { return en.load.inFlight || en.unload.inFlight })
}

// remove drops an engine with its entries.
func (g *Group) remove(e *engineState) {
	e.phase = phaseOff
	g.forget(e)
	g.engines = slices.DeleteFunc(slices.Clone(g.engines), func(o *engineState) bool { return o == e })
}

// forget drops the entries of an engine from this host's memory; the record
// keeps them.
func (g *Group) forget(e *engineState) {
	for _, en := range slices.Clone(e.entries) {
		g.dropEntry(en)
	}
}

// Released reports whether every order of this host has been answered and every
// decision is in the records, so that the next owner need not wait for late
// orders.
func (g *Group) Released() bool {
	for _, e := range g.engines {
		if e.phase == phaseOff || e.cfg.ChecksFence {
			continue
		}
		settled := e.phase == phaseOpen && e.claimed && !e.calling() && e.recorded >= e.version
		if !settled {
			return false
		}
	}
	return true
}
