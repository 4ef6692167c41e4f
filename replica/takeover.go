package replica

import (
	"slices"
	"time"

	"hawthornway/engine"
)

// abandonedGroupTimeout is how long the owner waits for another group to
// release an engine.
const abandonedGroupTimeout = time.Minute

// handleLease applies a change of this host's lease of the shard.
func (g *Group) handleLease(in LeaseChanged) {
	i := 0
	if in.ChecksFence {
		i = 1
	}
	g.leases[i] = in
	if in.OwnedElsewhere {
		g.refuseAll()
	}
}

// advanceTakeover takes the next step of an engine's takeover, or of giving it
// up.
func (g *Group) advanceTakeover(e *engineState) {
	lease := g.leaseFor(e)
	switch {
	case e.removed:
		g.releaseEngine(e)
	case lease.OwnedElsewhere && !lease.OK:
		g.stopActing(e)
	case !lease.OK:
		// The lease may come back under the same fence.
	case e.phase == phaseInactive || lease.Lease.Fence != e.fence:
		g.startTakeover(e, lease)
	case e.takeoverCallRunning || g.now.Before(e.takeoverRetryAt):
	case e.phase == phaseReading:
		g.readRecord(e)
	case e.phase == phaseFencing:
		g.sendFence(e)
	}
}

// startTakeover begins to act for an engine under a new fence. The engine's
// state is read from the record and a fresh report, since what this host knew
// under an older fence may be out of date.
func (g *Group) startTakeover(e *engineState, lease *LeaseChanged) {
	e.phase = phaseReading
	e.fence = lease.Lease.Fence
	e.leasedSince = lease.Lease.Since
	e.claimed, e.storeOutage, e.takeoverCallRunning = false, false, false
	e.pendingWrite = ""
	e.lastOrderNumber = 0
	e.hasReport = false
	g.forgetReplicas(e)
	g.readRecord(e)
}

func (g *Group) readRecord(e *engineState) {
	e.takeoverCallRunning = true
	g.emit(ReadRecord{Target: e.cfg.Name})
}

// handleRecordRead handles the record of an engine.
func (g *Group) handleRecordRead(in RecordRead) {
	e := g.engine(in.Target)
	if e == nil {
		return
	}
	switch {
	case e.phase == phaseReading && e.takeoverCallRunning:
		e.takeoverCallRunning = false
		g.startClaim(e, in)
	case e.rereadingRecord:
		e.rereadingRecord = false
		g.resolveWrite(e, in)
	}
}

// startClaim begins the claim of an engine whose record was read.
func (g *Group) startClaim(e *engineState, in RecordRead) {
	e.takeoverRetryAt = g.now.Add(retryInterval)
	if !in.OK {
		if e.cfg.ChecksFence {
			// The engine's own fence check rejects earlier owners.
			e.storeOutage = true
			g.sendFence(e)
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
	e.recordRevision = in.Revision
	if r != nil {
		g.adoptDecisions(e, r.Decisions)
	}
	if !e.otherGroupSince.IsZero() {
		e.otherGroupSince = time.Time{}
		e.leasedSince = g.now
	}
	handedOver := g.leaseFor(e).Lease.HandedOver && r != nil && r.Group == g.key.String()
	g.setConfirmFrom(e, r == nil || r.Released || handedOver)
	e.phase = phaseClaiming
	e.decisionsChanged()
}

// abandoned reports whether an engine's record has named another group that has
// not released it for so long that nobody acts for that group. Hosts get a new
// configuration within seconds.
func (g *Group) abandoned(e *engineState) bool {
	if e.otherGroupSince.IsZero() {
		e.otherGroupSince = g.now
	}
	return g.now.Sub(e.otherGroupSince) >= abandonedGroupTimeout
}

// setConfirmFrom sets the time from which a report shows the effect of every
// order of earlier owners. ordersSettled is set if no such order can still
// arrive.
func (g *Group) setConfirmFrom(e *engineState, ordersSettled bool) {
	e.confirmFrom = g.now
	if ordersSettled || e.cfg.ChecksFence || g.disabled.noOrderDelayWait {
		return
	}
	if latestArrival := e.leasedSince.Add(MaxOrderDelay); latestArrival.After(e.confirmFrom) {
		e.confirmFrom = latestArrival
	}
}

// adoptDecisions adds the decisions of a record. Their memory is reserved; an
// order that is not known to have arrived may still arrive.
func (g *Group) adoptDecisions(e *engineState, decisions []Decision) {
	for _, d := range decisions {
		known := slices.ContainsFunc(e.replicas, func(rep *placedReplica) bool { return rep.load.id == d.ID })
		if known {
			continue
		}
		rep := &placedReplica{
			engine: e, ref: d.Ref, bytes: d.Bytes, team: d.Team, state: replicaLoading,
			source: SourceRemote, decidedAt: g.now, loadStartedAt: g.now, lastUse: g.now, readyAt: g.now,
		}
		rep.load.id = d.ID
		rep.load.maybeSent = true
		rep.load.lastSentAt = g.now
		switch d.State {
		case DecisionReady:
			rep.state = replicaReady
			rep.load.accepted, rep.load.acceptedAt = true, g.now
		case DecisionAccepted:
			rep.load.accepted, rep.load.acceptedAt = true, g.now
		case DecisionUnloading:
			rep.state = replicaUnloading
			rep.load.mayArrive = true
			rep.unloadsArriveUntil = g.now.Add(MaxOrderDelay)
		default:
			rep.load.mayArrive = true
		}
		g.addReplica(rep)
		if rep.item != nil {
			rep.expectedLoadTime = g.loadTimes.expect(rep.item, SourceRemote)
		}
	}
}

// finishClaim completes the claim of an engine once its record is written.
func (g *Group) finishClaim(e *engineState) {
	e.claimed = true
	if e.cfg.ChecksFence {
		g.sendFence(e)
		return
	}
	e.phase = phaseConfirming
}

// sendFence raises the fence of an engine that checks fences.
func (g *Group) sendFence(e *engineState) {
	e.phase = phaseFencing
	e.takeoverCallRunning = true
	e.fenceOrderID = g.newOrderID(e)
	order := engine.Order{ID: e.fenceOrderID, Kind: engine.OrderFence, Fence: e.fence}
	g.emit(SendOrder{Target: e.cfg.Name, Order: order})
}

// handleFenceResult handles the result of the order that raises the fence.
func (g *Group) handleFenceResult(e *engineState, result OrderResult) {
	e.takeoverCallRunning = false
	e.takeoverRetryAt = g.now.Add(retryInterval)
	if _, ok := result.(OrderAccepted); !ok {
		return
	}
	e.fencedAt = g.now
	e.confirmFrom = g.now
	e.phase = phaseConfirming
}

// finishTakeover makes an engine active once a report shows the effect of every
// order of earlier owners.
func (g *Group) finishTakeover(e *engineState, requestedAt time.Time) {
	if e.phase != phaseConfirming || requestedAt.Before(e.confirmFrom) {
		return
	}
	e.phase = phaseActive
	if !e.cfg.ChecksFence {
		return
	}
	// An unload of an earlier owner can no longer arrive, and an owner in
	// between may have kept the replica.
	for _, rep := range e.replicas {
		if rep.state == replicaUnloading && rep.seen && !rep.unload.maybeSent && !rep.unload.accepted {
			rep.state = replicaLoading
			rep.loadStartedAt = g.now
			e.decisionsChanged()
		}
	}
}

// stopActing stops acting for an engine that another member owns.
func (g *Group) stopActing(e *engineState) {
	if e.phase == phaseInactive || e.orderInFlight() {
		return
	}
	e.phase = phaseInactive
	e.fence = 0
	e.hasReport = false
	g.forgetReplicas(e)
}

// releaseEngine gives up an engine that the configuration has moved to another
// group. The record shows that group when it may take over.
func (g *Group) releaseEngine(e *engineState) {
	if e.phase == phaseInactive {
		g.removeEngine(e)
		return
	}
	if e.orderInFlight() || e.pendingWrite != "" {
		return
	}
	if !e.claimed {
		g.removeEngine(e)
		return
	}
	if e.releaseRecorded() {
		g.removeEngine(e)
		return
	}
	if e.releaseVersion == 0 {
		e.decisionsChanged()
		e.releaseVersion = e.version
	}
}

// releaseRecorded reports whether the record marks the engine released.
func (e *engineState) releaseRecorded() bool {
	return e.releaseVersion > 0 && e.recordedVersion >= e.releaseVersion
}

// orderInFlight reports whether a call with an order to the engine is running.
func (e *engineState) orderInFlight() bool {
	if e.phase == phaseFencing && e.takeoverCallRunning {
		return true
	}
	return slices.ContainsFunc(e.replicas, func(rep *placedReplica) bool { return rep.load.inFlight || rep.unload.inFlight })
}

// removeEngine drops an engine with its replicas.
func (g *Group) removeEngine(e *engineState) {
	e.phase = phaseInactive
	g.forgetReplicas(e)
	g.engines = slices.DeleteFunc(slices.Clone(g.engines), func(o *engineState) bool { return o == e })
}

// forgetReplicas drops the replicas of an engine from the group's state; the
// record keeps them.
func (g *Group) forgetReplicas(e *engineState) {
	for _, rep := range slices.Clone(e.replicas) {
		g.dropReplica(rep)
	}
}

// Released reports whether every order of this host has been answered and every
// decision is recorded, so that the next owner need not wait for late orders.
func (g *Group) Released() bool {
	for _, e := range g.engines {
		if e.phase == phaseInactive || e.cfg.ChecksFence {
			continue
		}
		settled := e.phase == phaseActive && e.claimed && !e.orderInFlight() && e.recordedVersion >= e.version
		if !settled {
			return false
		}
	}
	return true
}
