package replica

import (
	"slices"
	"time"

	"hawthornway/engine"
	"hawthornway/target"
)

// handleReport handles a report, unless a newer one is known.
func (g *Group) handleReport(in ReportReceived) {
	e := g.engine(in.Report.Target)
	if e == nil || e.phase == phaseInactive {
		return
	}
	e.failedReports = 0
	if e.hasNewerThan(in.Report) {
		return
	}
	restarted := e.hasReport && in.Report.BootID != e.report.BootID
	e.hasReport = true
	e.report = in.Report
	if in.Fresh && in.RequestedAt.After(e.reportRequestedAt) {
		e.reportRequestedAt = in.RequestedAt
	}
	for _, r := range in.Report.Replicas {
		g.handleReportedReplica(e, r, in)
	}
	for _, rep := range slices.Clone(e.replicas) {
		rep.missing = rep.load.maybeSent && !reportContains(in.Report, rep)
		if rep.missing && g.confirmedGone(rep, in) {
			g.dropGoneReplica(rep)
		}
	}
	if in.Fresh {
		g.finishTakeover(e, in.RequestedAt)
	}
	if restarted && e.cfg.ChecksFence && (e.phase == phaseActive || e.phase == phaseConfirming) {
		// The engine has lost the fence by its restart.
		g.sendFence(e)
	}
}

// hasNewerThan reports whether the last report is newer than r.
func (e *engineState) hasNewerThan(r engine.Report) bool {
	if !e.hasReport || r.BootID > e.report.BootID {
		return false
	}
	return r.BootID < e.report.BootID || r.Sequence < e.report.Sequence
}

// handleReportFailed counts a failed report.
func (g *Group) handleReportFailed(id target.ID) {
	if e := g.engine(id); e != nil {
		e.failedReports++
	}
}

// reportContains reports whether a report lists a replica.
func reportContains(r engine.Report, rep *placedReplica) bool {
	return slices.ContainsFunc(r.Replicas, func(o engine.Replica) bool { return matches(o, rep) })
}

// matches reports whether a reported replica is rep. It compares the load
// order, or the model and version if the engine doesn't name the order.
func matches(r engine.Replica, rep *placedReplica) bool {
	if r.Order != "" {
		return r.Order == rep.load.id
	}
	return r.Ref == rep.ref
}

// handleReportedReplica handles one replica of a report.
func (g *Group) handleReportedReplica(e *engineState, r engine.Replica, in ReportReceived) {
	i := slices.IndexFunc(e.replicas, func(rep *placedReplica) bool { return matches(r, rep) })
	if i < 0 {
		g.adoptUnknownReplica(e, r)
		i = len(e.replicas) - 1
	}
	rep := e.replicas[i]
	rep.seen = true
	rep.seenBoot, rep.seenSequence = in.Report.BootID, in.Report.Sequence
	rep.bytes = max(rep.bytes, r.Bytes)
	if !rep.load.accepted {
		rep.load.accepted, rep.load.acceptedAt = true, g.now
		e.decisionsChanged()
	}
	g.repeatUnload(rep, r.State, in)
	switch r.State {
	case engine.ReplicaReady:
		g.reportedReady(rep)
	case engine.ReplicaFailed:
		g.reportedFailed(rep)
	case engine.ReplicaUnloading:
		g.reportedUnloading(rep)
	case engine.ReplicaLoading:
	}
}

// adoptUnknownReplica adds a reported replica that no known decision names: an
// earlier owner decided it during an outage of the key-value service.
func (g *Group) adoptUnknownReplica(e *engineState, r engine.Replica) {
	rep := &placedReplica{
		engine: e, ref: r.Ref, bytes: r.Bytes, state: replicaLoading, source: SourceRemote,
		decidedAt: g.now, loadStartedAt: g.now, readyAt: g.now, lastUse: g.now, decidedBoot: e.report.BootID,
	}
	rep.load.id = r.Order
	if r.Order == "" {
		rep.load.id = g.newOrderID(e)
	}
	rep.load.maybeSent = true
	rep.load.lastSentAt = g.now
	g.addReplica(rep)
	if rep.item != nil {
		rep.expectedLoadTime = g.loadTimes.expect(rep.item, SourceRemote)
	}
}

func (g *Group) reportedReady(rep *placedReplica) {
	if !rep.pending() {
		return
	}
	rep.state = replicaReady
	rep.engine.failedLoads = 0
	rep.readyAt, rep.lastUse = g.now, g.now
	rep.engine.decisionsChanged()
	if rep.item != nil && rep.engine.phase == phaseActive {
		g.loadTimes.observe(rep.item, rep.source, g.now.Sub(rep.loadStartedAt))
	}
	g.answerPending(rep)
}

// reportedFailed ends a failed load. Its memory stays reserved until it is
// unloaded.
func (g *Group) reportedFailed(rep *placedReplica) {
	if rep.state == replicaUnloading {
		return
	}
	g.cancelLoad(rep)
}

func (g *Group) reportedUnloading(rep *placedReplica) {
	if rep.state == replicaUnloading {
		return
	}
	rep.startUnload()
	rep.unload.accepted, rep.unload.acceptedAt = true, g.now
}

// dropGoneReplica drops a replica that is confirmed gone.
func (g *Group) dropGoneReplica(rep *placedReplica) {
	if rep.pending() {
		rep.engine.avoidUntil[rep.ref.Name] = g.now.Add(retryInterval)
	}
	g.dropReplica(rep)
}

// cancelLoad cancels a load: the replica is unloaded, and the model is not
// placed on the engine for failedLoadAvoidTime.
func (g *Group) cancelLoad(rep *placedReplica) {
	rep.engine.failedLoads++
	rep.engine.avoidUntil[rep.ref.Name] = g.now.Add(failedLoadAvoidTime)
	rep.startUnload()
}

// repeatUnload makes a new unload order due for a replica that remains although
// its unload order was accepted: a late copy of the load order arrived after
// it.
func (g *Group) repeatUnload(rep *placedReplica, state engine.ReplicaState, in ReportReceived) {
	const repeatDelay = 2 * time.Second
	if rep.state != replicaUnloading || !rep.unload.accepted || state == engine.ReplicaUnloading {
		return
	}
	if in.Fresh && in.RequestedAt.Sub(rep.unload.acceptedAt) > repeatDelay {
		rep.unload = orderStatus{}
	}
}
