package member

import (
	"slices"
	"time"
)

// planRemovals removes the members that are dead or silent for long enough, and
// gives their shards to others.
func (m *machine) planRemovals(p *plan) {
	for _, e := range m.record.Members {
		lost := e.process()
		if lost == m.me {
			continue
		}
		if m.hears(lost) {
			delete(m.dead, lost)
			continue
		}
		if m.dead[lost] || m.mayRemove(lost) {
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
	p.because("remove", lost.String())
	if p.record.hasFull() {
		return
	}
	self, _ := p.record.member(m.me)
	self.Provisional = false
	p.record.put(self)
	p.adds = append(p.adds, m.me)
	p.because("promote", m.me.String())
}

// mayRemove reports whether this host may and should remove a member that it
// doesn't hear.
func (m *machine) mayRemove(lost process) bool {
	if !m.hasAuthority() || !m.pledgeRanOut(lost) {
		return false
	}
	silent := m.now.atLeast(m.lostSince(lost))
	return silent >= m.settings.SilenceTime+m.removalDelay(lost)
}

// hasAuthority reports whether each owner that acts needs this host's pledge.
// That is so when this host is a full member, and the pledges that others gave
// before they could know of it have run out.
func (m *machine) hasAuthority() bool {
	if m.checks.noProvisional && m.joined {
		return true
	}
	if !m.full {
		return false
	}
	return m.checks.noJoinWait || m.now.atLeast(m.fullSince) >= m.settings.PledgeTime
}

// pledgeRanOut reports whether this host's own pledge to a member has run out.
func (m *machine) pledgeRanOut(lost process) bool {
	s := m.peers[lost]
	return s == nil || m.checks.noRemovalWait || m.now.mono > s.pledgedUntil
}

// lostSince returns when this host and a member last heard each other; not
// before this host joined or saw the member in the record.
func (m *machine) lostSince(lost process) instant {
	s := m.peers[lost]
	if m.checks.noJoinWait && s.heard == 0 {
		return m.started
	}
	if s.heardAt.mono < m.joinedAt.mono {
		return m.joinedAt
	}
	if s.isAcked && s.acked.mono < s.heardAt.mono {
		return s.acked
	}
	return s.heardAt
}

// removalDelay makes one member act before the others: the one that rendezvous
// hashing on the lost member chooses, in the part of the domain that hears
// most.
func (m *machine) removalDelay(lost process) time.Duration {
	hearing := m.hearing()
	ranked := rank(string(lost.Host), hearing)
	delay := rankWait * time.Duration(slices.Index(ranked, m.me))
	if m.isMinority(len(hearing)) {
		delay += minorityWait
	}
	return delay
}

// hearing returns this host and the full members that it hears.
func (m *machine) hearing() []process {
	hearing := []process{m.me}
	for _, e := range m.record.Members {
		if p := e.process(); p != m.me && !e.Provisional && m.hears(p) {
			hearing = append(hearing, p)
		}
	}
	return hearing
}

// isMinority reports whether this host hears fewer than half of the full
// members, or just half without the first of them.
func (m *machine) isMinority(hearing int) bool {
	full := m.record.full()
	if 2*hearing != len(full) {
		return 2*hearing < len(full)
	}
	return full[0] != m.me && !m.hears(full[0])
}

// planSoftTakes lets a provisional member take the shards of members that it
// can't reach. The owner before stays noted with the shard, so that only
// targets that check fences are acted for until it has learned of its loss.
func (m *machine) planSoftTakes(p *plan) {
	self, _ := p.record.member(m.me)
	if !self.Provisional || m.now.atLeast(m.joinedAt) < softTakeWait {
		return
	}
	for i, s := range p.record.Shards {
		if s.Owner.isZero() || s.Owner == m.me || m.hears(s.Owner) {
			continue
		}
		p.record.assign(Shard(i), m.me, false)
		if !slices.Contains(s.Unreleased, s.Owner) {
			p.record.Shards[i].Unreleased = append(p.record.Shards[i].Unreleased, s.Owner)
		}
		p.because("take for fences", s.Owner.String())
	}
}
