package replica

import (
	"slices"
	"time"

	"hawthornway/engine"
)

// maxRefusals is the number of refusals after which an order is abandoned.
const maxRefusals = 3

// sendDueOrders sends the orders that are due at an engine.
func (g *Group) sendDueOrders(e *engineState) {
	if !g.mayOrder(e) {
		return
	}
	for _, rep := range e.replicas {
		switch {
		case rep.pending() && g.loadDue(rep):
			g.sendLoad(rep)
		case rep.state == replicaUnloading && g.unloadDue(rep):
			g.sendUnload(rep)
		}
	}
}

// loadDue reports whether the load order of a replica is to be sent now: its
// decision is recorded or the key-value service is unavailable, and no copy was
// accepted.
func (g *Group) loadDue(rep *placedReplica) bool {
	e := rep.engine
	if rep.seen || rep.load.accepted || rep.load.inFlight || g.now.Before(rep.load.retryAt) {
		return false
	}
	if rep.loadVersion > e.recordedVersion && !e.storeOutage && !g.disabled.noRecordFirst {
		return false
	}
	return e.reserved() <= e.memory() || g.disabled.noReservation
}

func (g *Group) sendLoad(rep *placedReplica) {
	if rep.state == replicaDecided {
		rep.state = replicaLoading
		rep.loadStartedAt = g.now
	}
	kind := engine.OrderLoad
	if rep.ref.IsAdapter() {
		kind = engine.OrderLoadAdapter
	}
	g.sendOrder(rep, &rep.load, kind)
}

// unloadDue reports whether the unload order of a replica is to be sent now. A
// model is unloaded after its adapters, and never while its load call is
// running.
func (g *Group) unloadDue(rep *placedReplica) bool {
	if rep.unload.accepted || rep.unload.inFlight || rep.load.inFlight || g.now.Before(rep.unload.retryAt) {
		return false
	}
	if rep.unloadVersion > rep.engine.recordedVersion && !rep.engine.storeOutage {
		return false
	}
	// The order names the model, so it waits for all replicas of the model.
	sameModelKept := slices.ContainsFunc(sameModelReplicas(rep), func(o *placedReplica) bool { return o.state != replicaUnloading })
	return !sameModelKept && !g.hasAdapters(rep)
}

func (g *Group) sendUnload(rep *placedReplica) {
	kind := engine.OrderUnload
	if rep.ref.IsAdapter() {
		kind = engine.OrderUnloadAdapter
	}
	if rep.unload.id == "" {
		rep.unload.id = g.newOrderID(rep.engine)
	}
	g.sendOrder(rep, &rep.unload, kind)
}

// sendOrder sends a copy of an order.
func (g *Group) sendOrder(rep *placedReplica, o *orderStatus, kind engine.OrderKind) {
	rep.orderFence = rep.engine.fence
	o.maybeSent = true
	o.inFlight = true
	o.retryAt = g.now.Add(retryInterval)
	order := engine.Order{ID: o.id, Kind: kind, Fence: rep.engine.fence, Ref: rep.ref, Bytes: rep.bytes}
	g.emit(SendOrder{Target: rep.engine.cfg.Name, Order: order})
}

// handleOrderAnswer handles the result of an order.
func (g *Group) handleOrderAnswer(in OrderAnswered) {
	e := g.engine(in.Target)
	if e == nil {
		return
	}
	if e.phase == phaseFencing && in.Order == e.fenceOrderID {
		g.handleFenceResult(e, in.Result)
		return
	}
	for _, rep := range slices.Clone(e.replicas) {
		switch in.Order {
		case rep.load.id:
			g.handleOrderResult(rep, &rep.load, in.Result)
		case rep.unload.id:
			g.handleOrderResult(rep, &rep.unload, in.Result)
		}
	}
}

// handleOrderResult handles the result of one copy of an order.
func (g *Group) handleOrderResult(rep *placedReplica, o *orderStatus, result OrderResult) {
	o.inFlight = false
	switch r := result.(type) {
	case OrderAccepted:
		o.accepted = true
		o.acceptedAt = g.now
		o.sequence = r.Sequence
		rep.engine.nextReportAt = g.now
		rep.engine.decisionsChanged()
	case OrderUnknown:
		o.mayArrive = true
		o.lastSentAt = g.now
	case OrderNotLeased:
		// The order is due again once the lease is back.
	case OrderFenced:
		g.loseClaim(rep.engine)
	case OrderNoMemory, OrderRefused:
		o.refusals++
		g.handleOrderRefusal(rep, o)
	}
}

// handleOrderRefusal abandons a load order that was refused too often. The
// replica is dropped if no copy of the order can take effect.
func (g *Group) handleOrderRefusal(rep *placedReplica, o *orderStatus) {
	if o.refusals < maxRefusals {
		return
	}
	if o != &rep.load || o.mayArrive || rep.seen {
		// A copy may have been accepted: reports will show its outcome.
		o.refusals = 0
		o.retryAt = g.now.Add(2 * MaxOrderDelay)
		return
	}
	rep.engine.avoidUntil[rep.ref.Name] = g.now.Add(failedLoadAvoidTime)
	g.dropReplica(rep)
}

// confirmedGone reports whether a report that does not list a replica confirms
// that the engine does not hold it and will not load it.
func (g *Group) confirmedGone(rep *placedReplica, in ReportReceived) bool {
	if g.disabled.noReservation {
		return rep.load.maybeSent && !rep.load.inFlight
	}
	switch {
	case !rep.load.maybeSent, rep.load.inFlight, rep.unload.inFlight:
		return false
	case g.fencedOff(rep) && in.Fresh && !in.RequestedAt.Before(rep.engine.fencedAt):
		return true
	case in.RequestedAt.Before(rep.unloadsArriveUntil):
		return false
	case rep.unload.mayArrive && (!rep.unload.accepted || in.Report.BootID != rep.seenBoot):
		// A late unload would end a later load of the same model; an engine
		// that restarted accepts a copy again.
		return in.Fresh && !in.RequestedAt.Before(rep.unload.lastSentAt.Add(MaxOrderDelay))
	case rep.seen:
		return g.goneAfterSeen(rep, in)
	case rep.load.accepted && !rep.load.mayArrive:
		return in.Fresh && !in.RequestedAt.Before(rep.load.acceptedAt)
	case rep.load.accepted:
		// An engine that restarts may accept another copy.
		return g.afterMaxOrderDelay(rep, in) || g.sameBoot(rep, in) && in.Fresh && !in.RequestedAt.Before(rep.load.acceptedAt)
	default:
		return g.afterMaxOrderDelay(rep, in)
	}
}

// fencedOff reports whether the engine refuses all copies of a replica's orders
// because they were sent under an older fence.
func (g *Group) fencedOff(rep *placedReplica) bool {
	return rep.engine.cfg.ChecksFence && rep.orderFence < rep.engine.fence
}

// goneAfterSeen is confirmedGone for a replica that an earlier report listed.
func (g *Group) goneAfterSeen(rep *placedReplica, in ReportReceived) bool {
	newer := in.Report.BootID == rep.seenBoot && in.Report.Sequence > rep.seenSequence
	restarted := in.Report.BootID > rep.seenBoot
	if restarted && rep.load.mayArrive {
		return g.afterMaxOrderDelay(rep, in)
	}
	return newer || restarted
}

// sameBoot reports whether, as far as reports show, the engine has not
// restarted since the replica was decided.
func (g *Group) sameBoot(rep *placedReplica, in ReportReceived) bool {
	return rep.decidedBoot != 0 && rep.decidedBoot == in.Report.BootID
}

// afterMaxOrderDelay reports whether the report was made after the last copy of
// the load order could have arrived.
func (g *Group) afterMaxOrderDelay(rep *placedReplica, in ReportReceived) bool {
	return in.Fresh && !in.RequestedAt.Before(rep.load.lastSentAt.Add(MaxOrderDelay))
}

// hasAdapters reports whether the engine has adapters of a replica's model.
func (g *Group) hasAdapters(rep *placedReplica) bool {
	if rep.ref.IsAdapter() {
		return false
	}
	return slices.ContainsFunc(rep.engine.replicas, func(o *placedReplica) bool { return o.ref.Base == rep.ref.Name })
}

// requestReport requests a fresh report from an engine while the group waits
// for a change there.
func (g *Group) requestReport(e *engineState) {
	if e.phase != phaseConfirming && e.phase != phaseActive {
		return
	}
	if g.now.Before(e.nextReportAt) || !g.awaitsReport(e) {
		return
	}
	e.nextReportAt = g.now.Add(freshReportInterval)
	g.emit(RequestReport{Target: e.cfg.Name})
}

// awaitsReport reports whether the group waits for a change that a fresh report
// would show.
func (g *Group) awaitsReport(e *engineState) bool {
	if e.phase == phaseConfirming {
		return !e.hasReport || !g.now.Before(e.confirmFrom)
	}
	return slices.ContainsFunc(e.replicas, func(rep *placedReplica) bool {
		if rep.missing {
			return true
		}
		switch rep.state {
		case replicaLoading:
			return rep.load.maybeSent
		case replicaUnloading:
			return true
		case replicaDraining:
			return g.now.Sub(rep.drainStartedAt) >= drainAckTimeout
		case replicaReady:
			return !rep.seen
		default:
			return false
		}
	})
}

// failedLoadAvoidTime is how long a model is not placed on an engine after a
// load of it failed there.
const failedLoadAvoidTime = 30 * time.Second
