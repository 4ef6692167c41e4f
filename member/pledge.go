package member

import (
	"slices"
	"time"

	"hawthornway/fleet"
)

// peerState is what this host knows of another process of its domain.
type peerState struct {
	member fleet.Member
	// heard is the peer's last heartbeat, at heardAt.
	heard   uint64
	heardAt instant
	// acked is when this host sent the last heartbeat that the peer
	// acknowledged.
	acked   instant
	isAcked bool
	last    heartbeat
	// revisionAt is when the peer's revision changed last.
	revisionAt instant
	// pledgedUntil is the end of this host's own pledge to the peer, by the
	// monotonic clock.
	pledgedUntil time.Duration
	// pledge is the peer's last pledge to this host.
	pledge pledge
}

// pledge is a peer's word that it takes no shards from this host.
type pledge struct {
	given bool
	// sentAt is when this host sent the heartbeat that the pledge answers.
	sentAt instant
	// adding lists those who may have become members beyond the known record.
	adding []process
}

// peer returns the state of a peer, and makes it if it isn't known yet.
func (m *machine) peer(member fleet.Member) *peerState {
	p := processOf(member)
	if m.peers[p] == nil {
		m.peers[p] = &peerState{heardAt: m.now}
	}
	m.peers[p].member = member
	return m.peers[p]
}

// forgetSilentPeers drops peers that are neither members nor heard. A pledge is
// kept until it has run out long since.
func (m *machine) forgetSilentPeers() {
	for p, s := range m.peers {
		_, isMember := m.record.member(p)
		if !isMember && !m.linked[p] && m.now.atLeast(s.heardAt) > peerMemory {
			delete(m.peers, p)
		}
	}
}

// beat sends a heartbeat to each linked peer of the domain.
func (m *machine) beat() {
	m.beating, m.beatAt = true, m.now
	m.sequence++
	m.sentAt[m.sequence%sentKept] = m.now
	for _, p := range sortedProcesses(m.linked) {
		s := m.peers[p]
		m.emit(sendHeartbeat{to: p.Host, heartbeat: heartbeat{
			Sequence:         m.sequence,
			Revision:         m.record.Revision,
			Heard:            s.heard,
			HeardIncarnation: p.Incarnation,
			Pledge:           m.pledgeTo(p, s),
			Adding:           m.adding(),
			Watching:         m.watching,
			Newest:           m.newest,
		}})
	}
}

func sortedProcesses[V any](set map[process]V) []process {
	sorted := make([]process, 0, len(set))
	for p := range set {
		sorted = append(sorted, p)
	}
	slices.SortFunc(sorted, compareProcesses)
	return sorted
}

// pledgeTo reports whether this host pledges to a peer now, and keeps until
// when the pledge binds it.
func (m *machine) pledgeTo(p process, s *peerState) bool {
	if s.heard == 0 || !m.hears(p) || m.takesFrom(p) {
		return false
	}
	s.pledgedUntil = max(s.pledgedUntil, s.heardAt.mono+m.settings.PledgeTime)
	return true
}

// hears reports whether this host and a peer hear each other.
func (m *machine) hears(p process) bool {
	s := m.peers[p]
	if s == nil || s.heard == 0 || !s.isAcked {
		return false
	}
	return m.now.atLeast(s.heardAt) < m.settings.SilenceTime && m.now.atLeast(s.acked) < ackTime
}

// takesFrom reports whether a write that may still have effect takes shards
// from a peer or removes it.
func (m *machine) takesFrom(p process) bool {
	if m.swap != nil && slices.Contains(m.swap.takesFrom, p) {
		return true
	}
	if m.checks.noUnresolvedCheck {
		return false
	}
	return slices.ContainsFunc(m.unresolved, func(u plan) bool { return slices.Contains(u.takesFrom, p) })
}

// adding returns those that a write which may still have effect makes members.
func (m *machine) adding() []process {
	var adding []process
	if m.swap != nil {
		adding = append(adding, m.swap.adds...)
	}
	if m.checks.noUnresolvedCheck {
		return adding
	}
	for _, u := range m.unresolved {
		adding = append(adding, u.adds...)
	}
	return adding
}

// hear takes in a heartbeat.
func (m *machine) hear(from fleet.Member, hb heartbeat) {
	if from.Domain != m.self.Domain || processOf(from) == m.me {
		return
	}
	s := m.peer(from)
	if hb.Sequence <= s.heard {
		return
	}
	if hb.Revision != s.last.Revision {
		s.revisionAt = m.now
	}
	s.heard, s.heardAt, s.last = hb.Sequence, m.now, hb
	m.noteRevision(from.Host, hb)
	m.noteAck(s, hb)
}

// noteRevision stops this host when a peer knows a later record.
func (m *machine) noteRevision(from fleet.HostID, hb heartbeat) {
	if hb.Revision <= m.heardRevision || m.checks.noRevisionCheck {
		return
	}
	m.heardRevision, m.heardFrom = hb.Revision, from
	if m.isBehind() {
		m.ask(fetchRecord{from: from})
		m.emit(changed{})
	}
}

// noteAck takes in what a peer says of this host's own heartbeats.
func (m *machine) noteAck(s *peerState, hb heartbeat) {
	if hb.HeardIncarnation != m.self.Incarnation || !m.keepsSent(hb.Heard) {
		return
	}
	sent := m.sentAt[hb.Heard%sentKept]
	s.acked, s.isAcked = sent, true
	if hb.Pledge {
		s.pledge = pledge{given: true, sentAt: sent, adding: hb.Adding}
	}
}

// keepsSent reports whether the time of a heartbeat of this host is still kept.
func (m *machine) keepsSent(sequence uint64) bool {
	return sequence > 0 && sequence <= m.sequence && m.sequence-sequence < sentKept
}

// pledgeLeft returns how long a peer's pledge to this host can still be relied
// on. It is zero or less for none.
func (m *machine) pledgeLeft(now instant, p process) time.Duration {
	s := m.peers[p]
	if s == nil || !s.pledge.given {
		return 0
	}
	passed := now.atMost(s.pledge.sentAt)
	if m.checks.noWallClock {
		passed = now.mono - s.pledge.sentAt.mono
	}
	return m.settings.PledgeTime - m.settings.OrderMargin - passed
}

// pledgesLeft returns how long all pledges that this host needs can still be
// relied on. Alone is true when it needs none.
func (m *machine) pledgesLeft(now instant) (left time.Duration, alone bool) {
	needed := m.neededNow
	left = m.settings.PledgeTime
	for i := 0; i < len(needed); i++ {
		p := needed[i]
		left = min(left, m.pledgeLeft(now, p))
		if left <= 0 {
			return left, false
		}
		if adding := m.peers[p].pledge.adding; len(adding) > 0 {
			needed = m.appendMissing(slices.Clone(needed), adding)
		}
	}
	return left, len(needed) == 0
}

// needed returns the members whose pledges this host needs. A full member needs
// those of full members; a provisional one needs all. Both need those of whom
// they may just have added themselves.
func (m *machine) needed() []process {
	var needed []process
	for _, e := range m.record.Members {
		if e.process() == m.me || (m.full && e.Provisional) {
			continue
		}
		needed = append(needed, e.process())
	}
	return m.appendMissing(needed, m.adding())
}

func (m *machine) appendMissing(needed, more []process) []process {
	for _, p := range more {
		if p != m.me && !slices.Contains(needed, p) {
			needed = append(needed, p)
		}
	}
	return needed
}

// isWatcher reports whether rendezvous hashing chooses this host to watch the
// records, among the members that it hears.
func (m *machine) isWatcher() bool {
	if !m.joined {
		return false
	}
	ranked := rank("watch/"+string(m.self.Domain), m.hearing())
	place := slices.Index(ranked, m.me)
	return place < watchersPerDomain
}
