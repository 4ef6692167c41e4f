package replica

import (
	"slices"
	"time"

	"hawthornway/engine"
	"hawthornway/target"
)

// reported takes in a report, unless a newer one is known.
func (g *Group) reported(in Reported) {
	e := g.engine(in.Report.Target)
	if e == nil || e.phase == phaseOff {
		return
	}
	e.unreached = 0
	if e.older(in.Report) {
		return
	}
	restarted := e.reported && in.Report.Boot != e.report.Boot
	e.reported = true
	e.report = in.Report
	if in.Fresh && in.AskedAt.After(e.askedAt) {
		e.askedAt = in.AskedAt
	}
	for _, r := range in.Report.Replicas {
		g.shown(e, r, in)
	}
	for _, en := range slices.Clone(e.entries) {
		en.missing = en.load.sent && !shows(in.Report, en)
		if en.missing && g.provedGone(en, in) {
			g.ended(en)
		}
	}
	if in.Fresh {
		g.proved(e, in.AskedAt)
	}
	if restarted && e.cfg.ChecksFence && (e.phase == phaseOpen || e.phase == phaseProving) {
		// The engine has forgotten the fence.
		g.giveFence(e)
	}
}

// older reports whether a report is older than the last one.
func (e *engineState) older(r engine.Report) bool {
	if !e.reported || r.Boot > e.report.Boot {
		return false
	}
	return r.Boot < e.report.Boot || r.Sequence < e.report.Sequence
}

// unreached takes in that a target did not answer.
func (g *Group) unreached(id target.ID) {
	if e := g.engine(id); e != nil {
		e.unreached++
	}
}

// shows reports whether a report shows an entry.
func shows(r engine.Report, en *entry) bool {
	return slices.ContainsFunc(r.Replicas, func(o engine.Replica) bool { return matches(o, en) })
}

// matches reports whether a replica of a report is an entry's. The order tells,
// or the weights if the engine doesn't name the order.
func matches(r engine.Replica, en *entry) bool {
	if r.Order != "" {
		return r.Order == en.load.id
	}
	return r.Ref == en.ref
}

// shown takes in one replica of a report.
func (g *Group) shown(e *engineState, r engine.Replica, in Reported) {
	i := slices.IndexFunc(e.entries, func(en *entry) bool { return matches(r, en) })
	if i < 0 {
		g.adoptReplica(e, r)
		i = len(e.entries) - 1
	}
	en := e.entries[i]
	en.seen = true
	en.seenBoot, en.seenSequence = in.Report.Boot, in.Report.Sequence
	en.bytes = max(en.bytes, r.Bytes)
	if !en.load.accepted {
		en.load.accepted, en.load.acceptedAt = true, g.now
		e.changed()
	}
	g.unloadAgain(en, r.State, in)
	switch r.State {
	case engine.ReplicaReady:
		g.shownReady(en)
	case engine.ReplicaFailed:
		g.shownFailed(en)
	case engine.ReplicaUnloading:
		g.shownUnloading(en)
	case engine.ReplicaLoading:
	}
}

// adoptReplica takes in a replica that no known decision names: an earlier
// owner decided it while the service was out.
func (g *Group) adoptReplica(e *engineState, r engine.Replica) {
	en := &entry{
		engine: e, ref: r.Ref, bytes: r.Bytes, state: entryLoading, source: SourceRemote,
		decidedAt: g.now, startedAt: g.now, readyAt: g.now, lastUse: g.now, decidedBoot: e.report.Boot,
	}
	en.load.id = r.Order
	if r.Order == "" {
		en.load.id = g.newID(e)
	}
	en.load.sent = true
	en.load.lastSent = g.now
	g.addEntry(en)
	if en.item != nil {
		en.expected = g.speed.expect(en.item, SourceRemote)
	}
}

func (g *Group) shownReady(en *entry) {
	if !en.coming() {
		return
	}
	en.state = entryReady
	en.engine.failures = 0
	en.readyAt, en.lastUse = g.now, g.now
	en.engine.changed()
	if en.item != nil && en.engine.phase == phaseOpen {
		g.speed.learn(en.item, en.source, g.now.Sub(en.startedAt))
	}
	g.answerReady(en)
}

// shownFailed ends a load that failed. Its memory stays reserved until it is
// unloaded.
func (g *Group) shownFailed(en *entry) {
	if en.state == entryUnloading {
		return
	}
	g.cancel(en)
}

func (g *Group) shownUnloading(en *entry) {
	if en.state == entryUnloading {
		return
	}
	en.endUse()
	en.unload.accepted, en.unload.acceptedAt = true, g.now
}

// ended drops an entry that is proved gone.
func (g *Group) ended(en *entry) {
	if en.coming() {
		en.engine.avoid[en.ref.Name] = g.now.Add(retryEvery)
	}
	g.dropEntry(en)
}

// cancel gives a load up: it is unloaded, and the model avoids the engine for a
// while.
func (g *Group) cancel(en *entry) {
	en.engine.failures++
	en.engine.avoid[en.ref.Name] = g.now.Add(avoidAfterFailure)
	en.endUse()
}

// unloadAgain gives a new unload order for a replica that is still there though
// its unload order was taken: a late copy of the load order came after it.
func (g *Group) unloadAgain(en *entry, state engine.ReplicaState, in Reported) {
	const patience = 2 * time.Second
	if en.state != entryUnloading || !en.unload.accepted || state == engine.ReplicaUnloading {
		return
	}
	if in.Fresh && in.AskedAt.Sub(en.unload.acceptedAt) > patience {
		en.unload = orderCopies{}
	}
}
