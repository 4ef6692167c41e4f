package replica

import (
	"slices"
	"time"

	"hawthornway/fleet"
	"hawthornway/model"
	"hawthornway/target"
)

const (
	// drainAckTimeout is how long the owner waits for all hosts to acknowledge
	// that they send nothing more to a replica. After it, the replica counts as
	// drained if its engine has no requests at all.
	drainAckTimeout = 10 * time.Second
	// removedHostTTL is how long the requests of a removed host still count.
	removedHostTTL = time.Minute
	// maxDrainTime is how long a drain may take before it is cancelled.
	maxDrainTime = time.Minute
)

// replicaKey identifies a replica by its target and model.
type replicaKey struct {
	target target.ID
	name   model.Name
}

// hostUse is a host's last report of its requests.
type hostUse struct {
	seenDigest DigestSequence
	running    map[replicaKey]int
	// removedAt is the time at which the host was removed from its domain; zero
	// if it wasn't.
	removedAt time.Time
}

// modelUse tracks how often a model is used.
type modelUse struct {
	lastUse time.Time
	// meanGap is the mean time between uses.
	meanGap time.Duration
	// saturatedSince is the time since which all replicas are saturated; zero
	// if they aren't.
	saturatedSince time.Time
}

// defaultUseGap is the mean time assumed between the uses of a model that has
// no known mean.
const defaultUseGap = time.Minute

// meanUseGap returns the mean time between the uses of a model.
func (g *Group) meanUseGap(name model.Name) time.Duration {
	if m := g.modelUses[name]; m != nil && m.meanGap > 0 {
		return m.meanGap
	}
	return defaultUseGap
}

// handleUse handles a host's report of its use of the replicas.
func (g *Group) handleUse(in UseReported) {
	u := &hostUse{seenDigest: in.SeenDigest, running: make(map[replicaKey]int)}
	for _, use := range in.Uses {
		if use.Running > 0 {
			u.running[replicaKey{use.Target, use.Model}] = use.Running
		}
		if use.Started > 0 || use.Running > 0 {
			g.recordUse(use)
		}
	}
	if !slices.Contains(g.hosts, in.Host) {
		u.removedAt = g.now // late message of a removed host
	}
	g.hostUses[in.Host] = u
}

// handleHosts updates the list of hosts. The requests of a removed host count
// for removedHostTTL, since the host may only be partitioned.
func (g *Group) handleHosts(hosts []fleet.HostID) {
	g.hosts = slices.Clone(hosts)
	for host, u := range g.hostUses {
		present := slices.Contains(hosts, host)
		switch {
		case present:
			u.removedAt = time.Time{}
		case u.removedAt.IsZero():
			u.removedAt = g.now
		}
	}
}

// forgetRemovedHosts drops the hosts that were removed longer ago than
// removedHostTTL.
func (g *Group) forgetRemovedHosts() {
	for host, u := range g.hostUses {
		if !u.removedAt.IsZero() && g.now.Sub(u.removedAt) > removedHostTTL {
			delete(g.hostUses, host)
		}
	}
}

// recordUse records a use of a replica, and of the base model if it is an
// adapter.
func (g *Group) recordUse(use RequestCounts) {
	e := g.engine(use.Target)
	if e == nil {
		return
	}
	rep := e.find(use.Model)
	if rep == nil {
		return
	}
	rep.lastUse = g.now
	rep.usedSinceReady = true
	if base := e.find(rep.ref.Base); base != nil {
		base.lastUse = g.now
	}
	m := g.modelUses[use.Model]
	if m == nil {
		m = &modelUse{}
		g.modelUses[use.Model] = m
	}
	g.updateUseGap(m)
}

// updateUseGap adds the time since the last use to the running mean. Uses
// within recentUsePeriod of each other count as one.
func (g *Group) updateUseGap(m *modelUse) {
	gap := g.now.Sub(m.lastUse)
	if !m.lastUse.IsZero() && gap > recentUsePeriod {
		if m.meanGap == 0 {
			m.meanGap = gap
		}
		m.meanGap += time.Duration(smoothingFactor * float64(gap-m.meanGap))
	}
	m.lastUse = g.now
}

// runningRequests counts the requests that hosts have at a replica.
func (g *Group) runningRequests(rep *placedReplica) int {
	key := replicaKey{rep.engine.cfg.Name, rep.ref.Name}
	n := 0
	for _, u := range g.hostUses {
		n += u.running[key]
	}
	return n
}

// idle reports whether a replica has no requests and has been unused for at
// least the given period.
func (g *Group) idle(rep *placedReplica, period time.Duration) bool {
	return g.now.Sub(rep.lastUse) >= period && g.runningRequests(rep) == 0
}

// drain stops new requests to a replica, so that it can be unloaded once none
// is left.
func (g *Group) drain(rep *placedReplica) {
	if !rep.serving() {
		return
	}
	g.listingsStale = true
	for _, other := range sameModelReplicas(rep) {
		if !other.serving() {
			continue
		}
		other.state = replicaDraining
		other.drainStartedAt = g.now
		other.drainDigest = 0
	}
}

// sameModelReplicas returns the replicas of one model on one engine. There are
// several if an order of an earlier owner arrived late. An unload order affects
// all of them.
func sameModelReplicas(rep *placedReplica) []*placedReplica {
	var all []*placedReplica
	for _, o := range rep.engine.replicas {
		if o.ref.Name == rep.ref.Name {
			all = append(all, o)
		}
	}
	return all
}

// cancelDrain returns a draining replica to service, unless an unload order may
// already be sent.
func (g *Group) cancelDrain(rep *placedReplica) {
	all := sameModelReplicas(rep)
	if slices.ContainsFunc(all, func(o *placedReplica) bool { return o.state == replicaUnloading }) {
		return
	}
	g.listingsStale = true
	for _, other := range all {
		if other.state == replicaDraining {
			other.state = replicaReady
			other.lastUse = g.now
		}
	}
	for _, load := range g.queue.byName {
		if load.plannedEngine == rep.engine.cfg.Name {
			load.plannedEngine = ""
		}
	}
}

// finishDrains unloads the drained replicas and cancels drains that take too
// long.
func (g *Group) finishDrains() {
	for _, e := range g.engines {
		for _, rep := range e.replicas {
			if rep.state != replicaDraining {
				continue
			}
			switch {
			case !g.mayOrder(e):
			case g.drained(rep):
				rep.startUnload()
			case g.now.Sub(rep.drainStartedAt) > maxDrainTime:
				g.cancelDrain(rep)
			}
		}
	}
}

// drained reports whether all hosts have acknowledged the drain of a replica
// and have no requests there. If a host has not acknowledged it in time, it is
// enough that the engine has no requests at all.
func (g *Group) drained(rep *placedReplica) bool {
	if rep.drainDigest == 0 || g.runningRequests(rep) > 0 {
		return false
	}
	for _, host := range g.hosts {
		if !g.acknowledged(host, rep) {
			return g.idleAfterAckTimeout(rep)
		}
	}
	return true
}

// acknowledged reports whether a host has applied a digest that no longer lists
// the replica.
func (g *Group) acknowledged(host fleet.HostID, rep *placedReplica) bool {
	u := g.hostUses[host]
	return u != nil && u.seenDigest.Fence == rep.engine.fence && u.seenDigest.Number >= rep.drainDigest
}

// idleAfterAckTimeout reports whether a report requested after the
// acknowledgement timeout shows no requests at the engine.
func (g *Group) idleAfterAckTimeout(rep *placedReplica) bool {
	e := rep.engine
	if e.reportRequestedAt.Before(rep.drainStartedAt.Add(drainAckTimeout)) {
		return false
	}
	return e.report.Running == 0 && e.report.Queued == 0
}
