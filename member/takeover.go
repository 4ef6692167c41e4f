package member

import (
	"slices"
	"time"
)

// planRemovals removes members that are proven dead or have been silent for long
// enough. Their shards get new owners in planUnownedShards.
func (m *machine) planRemovals(p *plan) {
	for _, e := range m.record.Members {
		lost := e.process()
		if lost == m.selfProcess {
			continue
		}
		if m.isLive(lost) {
			delete(m.provenDead, lost)
			continue
		}
		if m.provenDead[lost] || m.mayRemove(lost) {
			m.planRemoval(p, lost)
		}
	}
}

func (m *machine) planRemoval(p *plan, lost process) {
	if _, isMember := p.record.member(lost); !isMember {
		return
	}
	p.record.remove(lost)
	p.takesFrom = append(p.takesFrom, lost)
	p.addReason("remove", lost.String())
	if p.record.hasFull() {
		return
	}
	self, _ := p.record.member(m.selfProcess)
	self.Provisional = false
	p.record.put(self)
	p.newFullMembers = append(p.newFullMembers, m.selfProcess)
	p.addReason("promote", m.selfProcess.String())
}

// mayRemove reports whether this host may remove a member that isn't live, and
// whether its turn to do so has come.
func (m *machine) mayRemove(lost process) bool {
	if !m.hasRemovalAuthority() || !m.promiseExpired(lost) {
		return false
	}
	silent := m.now.minSince(m.silentSince(lost))
	return silent >= m.settings.SilenceTimeout+m.removalDelay(lost)
}

// hasRemovalAuthority reports whether every owner needs this host's promise to
// act. That is so once this host is a full member and the promises that others
// made before they could know about its membership have expired.
func (m *machine) hasRemovalAuthority() bool {
	if m.disabled.provisionalState && m.joined {
		return true
	}
	if !m.full {
		return false
	}
	return m.disabled.joinWait || m.now.minSince(m.fullSince) >= m.settings.PromiseTTL
}

// promiseExpired reports whether this host's own promise to a member has expired.
func (m *machine) promiseExpired(lost process) bool {
	s := m.peers[lost]
	return s == nil || m.disabled.removalWait || m.now.mono > s.promisedUntil
}

// silentSince returns when this host and a member last received each other's
// heartbeats, but not before this host joined or saw the member in the record.
func (m *machine) silentSince(lost process) instant {
	s := m.peers[lost]
	if m.disabled.joinWait && s.lastSequence == 0 {
		return m.startedAt
	}
	if s.receivedAt.mono < m.joinedAt.mono {
		return m.joinedAt
	}
	if s.hasAck && s.ackedSentAt.mono < s.receivedAt.mono {
		return s.ackedSentAt
	}
	return s.receivedAt
}

// removalDelay makes one member act before the others: the one that ranks first by
// rendezvous hashing on the lost member, in the largest partition of the domain.
func (m *machine) removalDelay(lost process) time.Duration {
	live := m.liveFullMembers()
	ranked := rank(string(lost.Host), live)
	delay := removalRankDelay * time.Duration(slices.Index(ranked, m.selfProcess))
	if m.isMinority(len(live)) {
		delay += minorityRemovalDelay
	}
	return delay
}

// liveFullMembers returns this host and all live full members.
func (m *machine) liveFullMembers() []process {
	live := []process{m.selfProcess}
	for _, e := range m.record.Members {
		if p := e.process(); p != m.selfProcess && !e.Provisional && m.isLive(p) {
			live = append(live, p)
		}
	}
	return live
}

// isMinority reports whether fewer than half of the full members are live, or
// exactly half without the first one in the record.
func (m *machine) isMinority(live int) bool {
	full := m.record.full()
	if 2*live != len(full) {
		return 2*live < len(full)
	}
	return full[0] != m.selfProcess && !m.isLive(full[0])
}

// planFencedTakeovers lets a provisional member take over the shards of members
// that it can't reach. The previous owner is kept in PriorOwners, so that the new
// owner acts only for targets that check fences until the previous one is known
// to have stopped.
func (m *machine) planFencedTakeovers(p *plan) {
	self, _ := p.record.member(m.selfProcess)
	if !self.Provisional || m.now.minSince(m.joinedAt) < fencedTakeoverDelay {
		return
	}
	for i, s := range p.record.Shards {
		if s.Owner.isZero() || s.Owner == m.selfProcess || m.isLive(s.Owner) {
			continue
		}
		p.record.assign(Shard(i), m.selfProcess, false)
		if !slices.Contains(s.PriorOwners, s.Owner) {
			p.record.Shards[i].PriorOwners = append(p.record.Shards[i].PriorOwners, s.Owner)
		}
		p.addReason("fenced takeover from", s.Owner.String())
	}
}
