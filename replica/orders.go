package replica

import (
	"slices"
	"time"

	"hawthornway/engine"
)

// maxRefusals is the number of refusals after which an order is given up.
const maxRefusals = 3

// giveOrders gives the orders that are due at an engine.
func (g *Group) giveOrders(e *engineState) {
	if !g.acting(e) {
		return
	}
	for _, en := range e.entries {
		switch {
		case en.coming() && g.loadDue(en):
			g.giveLoad(en)
		case en.state == entryUnloading && g.unloadDue(en):
			g.giveUnload(en)
		}
	}
}

// loadDue reports whether the load order of an entry is to be sent now: its
// decision is recorded, or the service is out, and no copy was taken.
func (g *Group) loadDue(en *entry) bool {
	e := en.engine
	if en.seen || en.load.accepted || en.load.inFlight || g.now.Before(en.load.retryAt) {
		return false
	}
	if en.version > e.recorded && !e.outage && !g.off.noRecordFirst {
		return false
	}
	return e.reserved() <= e.memory() || g.off.noReservation
}

func (g *Group) giveLoad(en *entry) {
	if en.state == entryDecided {
		en.state = entryLoading
		en.startedAt = g.now
	}
	kind := engine.OrderLoad
	if en.ref.IsAdapter() {
		kind = engine.OrderLoadAdapter
	}
	g.give(en, &en.load, kind)
}

// unloadDue reports whether the unload order of an entry is to be sent now. A
// model goes after its adapters. A load whose call is running is waited for.
func (g *Group) unloadDue(en *entry) bool {
	if en.unload.accepted || en.unload.inFlight || en.load.inFlight || g.now.Before(en.unload.retryAt) {
		return false
	}
	if en.unloadVersion > en.engine.recorded && !en.engine.outage {
		return false
	}
	// The order names the model, so it waits for all its entries.
	twinStays := slices.ContainsFunc(twins(en), func(o *entry) bool { return o.state != entryUnloading })
	return !twinStays && !g.hasAdapters(en)
}

func (g *Group) giveUnload(en *entry) {
	kind := engine.OrderUnload
	if en.ref.IsAdapter() {
		kind = engine.OrderUnloadAdapter
	}
	if en.unload.id == "" {
		en.unload.id = g.newID(en.engine)
	}
	g.give(en, &en.unload, kind)
}

// give sends a copy of an order.
func (g *Group) give(en *entry, o *orderCopies, kind engine.OrderKind) {
	en.fence = en.engine.fence
	o.sent = true
	o.inFlight = true
	o.retryAt = g.now.Add(retryEvery)
	order := engine.Order{ID: o.id, Kind: kind, Fence: en.engine.fence, Ref: en.ref, Bytes: en.bytes}
	g.emit(GiveOrder{Target: en.engine.cfg.Name, Order: order})
}

// ordered takes in the result of an order.
func (g *Group) ordered(in Ordered) {
	e := g.engine(in.Target)
	if e == nil {
		return
	}
	if e.phase == phaseFencing && in.Order == e.fenceID {
		g.fenceGiven(e, in.Result)
		return
	}
	for _, en := range slices.Clone(e.entries) {
		switch in.Order {
		case en.load.id:
			g.copyAnswered(en, &en.load, in.Result)
		case en.unload.id:
			g.copyAnswered(en, &en.unload, in.Result)
		}
	}
}

// copyAnswered takes in what came of one copy of an order.
func (g *Group) copyAnswered(en *entry, o *orderCopies, result OrderResult) {
	o.inFlight = false
	switch r := result.(type) {
	case OrderAccepted:
		o.accepted = true
		o.acceptedAt = g.now
		o.sequence = r.Sequence
		en.engine.askFrom = g.now
		en.engine.changed()
	case OrderUnknown:
		o.unknown = true
		o.lastSent = g.now
	case OrderNotHeld:
		// The order is due again once the hold is back.
	case OrderFenced:
		g.lose(en.engine)
	case OrderNoMemory, OrderRefused:
		o.refusals++
		g.refusedOrder(en, o)
	}
}

// refusedOrder gives a load up that was refused often. Its entry goes if no copy
// of the order can have effect.
func (g *Group) refusedOrder(en *entry, o *orderCopies) {
	if o.refusals < maxRefusals {
		return
	}
	if o != &en.load || o.unknown || en.seen {
		// A copy may have been taken: its end is awaited in reports.
		o.refusals = 0
		o.retryAt = g.now.Add(2 * OrderHorizon)
		return
	}
	en.engine.avoid[en.ref.Name] = g.now.Add(avoidAfterFailure)
	g.dropEntry(en)
}

// provedGone reports whether a report that does not show an entry proves that
// the engine does not hold it and will not come to.
func (g *Group) provedGone(en *entry, in Reported) bool {
	if g.off.noReservation {
		return en.load.sent && !en.load.inFlight
	}
	switch {
	case !en.load.sent, en.load.inFlight, en.unload.inFlight:
		return false
	case g.fencedOff(en) && in.Fresh && !in.AskedAt.Before(en.engine.fencedAt):
		return true
	case in.AskedAt.Before(en.lateUnload):
		return false
	case en.unload.unknown && (!en.unload.accepted || in.Report.Boot != en.seenBoot):
		// A late unload would end a later load of the same model; an engine that
		// restarted takes a copy again.
		return in.Fresh && !in.AskedAt.Before(en.unload.lastSent.Add(OrderHorizon))
	case en.seen:
		return g.goneAfterSeen(en, in)
	case en.load.accepted && !en.load.unknown:
		return in.Fresh && !in.AskedAt.Before(en.load.acceptedAt)
	case en.load.accepted:
		// Another copy may be taken by an engine that restarts.
		return g.pastHorizon(en, in) || g.sameBoot(en, in) && in.Fresh && !in.AskedAt.Before(en.load.acceptedAt)
	default:
		return g.pastHorizon(en, in)
	}
}

// fencedOff reports whether the engine refuses all copies of an entry's load
// order, since they were sent under an older fence.
func (g *Group) fencedOff(en *entry) bool {
	return en.engine.cfg.ChecksFence && en.fence < en.engine.fence
}

// goneAfterSeen decides for an entry that an earlier report showed.
func (g *Group) goneAfterSeen(en *entry, in Reported) bool {
	newer := in.Report.Boot == en.seenBoot && in.Report.Sequence > en.seenSequence
	restarted := in.Report.Boot > en.seenBoot
	if restarted && en.load.unknown {
		return g.pastHorizon(en, in)
	}
	return newer || restarted
}

// sameBoot reports whether the engine has not restarted since the entry was
// decided, as far as reports tell.
func (g *Group) sameBoot(en *entry, in Reported) bool {
	return en.decidedBoot != 0 && en.decidedBoot == in.Report.Boot
}

// pastHorizon reports whether the report was made after the last copy of the
// load order could arrive.
func (g *Group) pastHorizon(en *entry, in Reported) bool {
	return in.Fresh && !in.AskedAt.Before(en.load.lastSent.Add(OrderHorizon))
}

// hasAdapters reports whether adapters of a model are on its engine.
func (g *Group) hasAdapters(en *entry) bool {
	if en.ref.IsAdapter() {
		return false
	}
	return slices.ContainsFunc(en.engine.entries, func(o *entry) bool { return o.ref.Base == en.ref.Name })
}

// askReport asks an engine for a fresh report while something is awaited of it.
func (g *Group) askReport(e *engineState) {
	if e.phase != phaseProving && e.phase != phaseOpen {
		return
	}
	if g.now.Before(e.askFrom) || !g.awaits(e) {
		return
	}
	e.askFrom = g.now.Add(freshEvery)
	g.emit(AskReport{Target: e.cfg.Name})
}

// awaits reports whether a fresh report would tell something.
func (g *Group) awaits(e *engineState) bool {
	if e.phase == phaseProving {
		return !e.reported || !g.now.Before(e.proveFrom)
	}
	return slices.ContainsFunc(e.entries, func(en *entry) bool {
		if en.missing {
			return true
		}
		switch en.state {
		case entryLoading:
			return en.load.sent
		case entryUnloading:
			return true
		case entryDraining:
			return g.now.Sub(en.drainAt) >= drainPatience
		case entryReady:
			return !en.seen
		default:
			return false
		}
	})
}

const avoidAfterFailure = 30 * time.Second
