package member

import (
	"slices"
	"time"
)

// leaseRemaining reports whether this host may act for a shard, and for how long
// the promises of its peers allow it. A lease for targets that check fences needs
// no promises; remaining is zero for it.
func (m *machine) leaseRemaining(now instant, shard Shard, checksFence bool) (remaining time.Duration, ok bool) {
	if !m.owns(shard) {
		return 0, false
	}
	if checksFence {
		return 0, true
	}
	if !m.priorOwnersStopped(shard) {
		return 0, false
	}
	if m.disabled.promiseCheck {
		return m.settings.PromiseTTL, true
	}
	remaining, _ = m.promisesRemaining(now)
	return remaining, remaining > 0
}

// owns reports whether this host is the owner of a shard in the newest record
// that it knows to exist, and isn't handing the shard over.
func (m *machine) owns(shard Shard) bool {
	if m.left || !m.joined || m.isBehind() {
		return false
	}
	if m.owned[shard].firstRevision == 0 || m.handovers[shard].active {
		return false
	}
	handsOver := func(p plan) bool { return slices.Contains(p.handsOver, shard) }
	return (m.pendingWrite == nil || !handsOver(*m.pendingWrite)) && !slices.ContainsFunc(m.unresolvedWrites, handsOver)
}

// priorOwnersStopped reports whether all prior owners of a shard are known to
// have stopped acting for it.
func (m *machine) priorOwnersStopped(shard Shard) bool {
	if m.disabled.priorOwnerCheck {
		return true
	}
	for _, p := range m.owned[shard].entry.PriorOwners {
		if !m.hasStopped(p, shard) {
			return false
		}
	}
	return true
}

// hasStopped reports whether a process has announced that it knows a record in
// which this host owns the shard, and enough time has passed since for the
// process's last orders to arrive.
func (m *machine) hasStopped(p process, shard Shard) bool {
	if p == m.selfProcess {
		return true
	}
	s := m.peers[p]
	if s == nil || s.lastHeartbeat.Revision < m.owned[shard].firstRevision {
		return false
	}
	return m.now.minSince(s.revisionChangedAt) >= m.settings.OrderMargin
}
