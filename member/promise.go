package member

import (
	"slices"
	"time"

	"hawthornway/fleet"
)

// peerState is what this host knows about another process of its domain.
type peerState struct {
	member fleet.Member
	// lastSequence is the sequence of the peer's last heartbeat, and receivedAt
	// when it was received.
	lastSequence uint64
	receivedAt   instant
	// ackedSentAt is when this host sent the last heartbeat that the peer
	// acknowledged.
	ackedSentAt   instant
	hasAck        bool
	lastHeartbeat heartbeat
	// revisionChangedAt is when the revision in the peer's heartbeats last changed.
	revisionChangedAt instant
	// promisedUntil is the monotonic time at which this host's own promise to the
	// peer ends.
	promisedUntil time.Duration
	// promise is the peer's last promise to this host.
	promise promise
}

// promise is a lease promise: a peer's assurance that it takes no shards from this
// host for Settings.PromiseTTL.
type promise struct {
	given bool
	// sentAt is when this host sent the heartbeat that the promise acknowledges.
	sentAt instant
	// possibleMembers lists the processes that may have become members in a record
	// later than the known one.
	possibleMembers []process
}

// ensurePeer returns the state of a peer, and creates it if necessary.
func (m *machine) ensurePeer(member fleet.Member) *peerState {
	p := processOf(member)
	if m.peers[p] == nil {
		m.peers[p] = &peerState{receivedAt: m.now}
	}
	m.peers[p].member = member
	return m.peers[p]
}

// dropSilentPeers drops peers that are neither members nor linked and have been
// silent for long. By then all promises to them have expired.
func (m *machine) dropSilentPeers() {
	for p, s := range m.peers {
		_, isMember := m.record.member(p)
		if !isMember && !m.linked[p] && m.now.minSince(s.receivedAt) > silentPeerTTL {
			delete(m.peers, p)
		}
	}
}

// sendHeartbeats sends a heartbeat to each linked peer of the domain.
func (m *machine) sendHeartbeats() {
	m.hasSentHeartbeat, m.lastHeartbeatAt = true, m.now
	m.sequence++
	m.heartbeatSentAt[m.sequence%sentTimesKept] = m.now
	for _, p := range sortedProcesses(m.linked) {
		s := m.peers[p]
		m.emit(sendHeartbeat{to: p.Host, heartbeat: heartbeat{
			Sequence:        m.sequence,
			Revision:        m.record.Revision,
			Ack:             s.lastSequence,
			AckIncarnation:  p.Incarnation,
			Promise:         m.makePromise(p, s),
			PossibleMembers: m.possibleMembers(),
			Watching:        m.watching,
			NewestRevision:  m.newestRevision,
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

// makePromise reports whether this host makes a promise to a peer now, and stores
// how long the promise binds it.
func (m *machine) makePromise(p process, s *peerState) bool {
	if s.lastSequence == 0 || !m.isLive(p) || m.takesFrom(p) {
		return false
	}
	s.promisedUntil = max(s.promisedUntil, s.receivedAt.mono+m.settings.PromiseTTL)
	return true
}

// isLive reports whether this host and a peer have recently received heartbeats
// from each other.
func (m *machine) isLive(p process) bool {
	s := m.peers[p]
	if s == nil || s.lastSequence == 0 || !s.hasAck {
		return false
	}
	return m.now.minSince(s.receivedAt) < m.settings.SilenceTimeout && m.now.minSince(s.ackedSentAt) < maxAckAge
}

// takesFrom reports whether a write that may still take effect removes a peer or
// takes shards from it.
func (m *machine) takesFrom(p process) bool {
	if m.pendingWrite != nil && slices.Contains(m.pendingWrite.takesFrom, p) {
		return true
	}
	if m.disabled.unresolvedCheck {
		return false
	}
	return slices.ContainsFunc(m.unresolvedWrites, func(u plan) bool { return slices.Contains(u.takesFrom, p) })
}

// possibleMembers returns the processes that a write which may still take effect
// makes full members.
func (m *machine) possibleMembers() []process {
	var members []process
	if m.pendingWrite != nil {
		members = append(members, m.pendingWrite.newFullMembers...)
	}
	if m.disabled.unresolvedCheck {
		return members
	}
	for _, u := range m.unresolvedWrites {
		members = append(members, u.newFullMembers...)
	}
	return members
}

// receiveHeartbeat handles a heartbeat from a peer.
func (m *machine) receiveHeartbeat(from fleet.Member, hb heartbeat) {
	if from.Domain != m.self.Domain || processOf(from) == m.selfProcess {
		return
	}
	s := m.ensurePeer(from)
	if hb.Sequence <= s.lastSequence {
		return
	}
	if hb.Revision != s.lastHeartbeat.Revision {
		s.revisionChangedAt = m.now
	}
	s.lastSequence, s.receivedAt, s.lastHeartbeat = hb.Sequence, m.now, hb
	m.handlePeerRevision(from.Host, hb)
	m.handleAck(s, hb)
}

// handlePeerRevision makes this host stop acting for its shards if a peer knows a
// newer record.
func (m *machine) handlePeerRevision(from fleet.HostID, hb heartbeat) {
	if hb.Revision <= m.reportedRevision || m.disabled.revisionCheck {
		return
	}
	m.reportedRevision, m.reportedBy = hb.Revision, from
	if m.isBehind() {
		m.requestRecord(fetchRecord{from: from})
		m.emit(membershipChanged{})
	}
}

// handleAck handles a peer's acknowledgement of this host's heartbeats.
func (m *machine) handleAck(s *peerState, hb heartbeat) {
	if hb.AckIncarnation != m.self.Incarnation || !m.isSentTimeKept(hb.Ack) {
		return
	}
	sent := m.heartbeatSentAt[hb.Ack%sentTimesKept]
	s.ackedSentAt, s.hasAck = sent, true
	if hb.Promise {
		s.promise = promise{given: true, sentAt: sent, possibleMembers: hb.PossibleMembers}
	}
}

// isSentTimeKept reports whether it is still known when this host sent a
// heartbeat.
func (m *machine) isSentTimeKept(sequence uint64) bool {
	return sequence > 0 && sequence <= m.sequence && m.sequence-sequence < sentTimesKept
}

// promiseRemaining returns how long a peer's promise to this host can still be
// relied on. It is zero or less if there is no valid promise.
func (m *machine) promiseRemaining(now instant, p process) time.Duration {
	s := m.peers[p]
	if s == nil || !s.promise.given {
		return 0
	}
	elapsed := now.maxSince(s.promise.sentAt)
	if m.disabled.wallClock {
		elapsed = now.mono - s.promise.sentAt.mono
	}
	return m.settings.PromiseTTL - m.settings.OrderMargin - elapsed
}

// promisesRemaining returns how long all promises that this host needs can still
// be relied on. alone is true if it needs none.
func (m *machine) promisesRemaining(now instant) (remaining time.Duration, alone bool) {
	required := m.requiredPeers
	remaining = m.settings.PromiseTTL
	for i := 0; i < len(required); i++ {
		p := required[i]
		remaining = min(remaining, m.promiseRemaining(now, p))
		if remaining <= 0 {
			return remaining, false
		}
		if members := m.peers[p].promise.possibleMembers; len(members) > 0 {
			required = m.appendMissing(slices.Clone(required), members)
		}
	}
	return remaining, len(required) == 0
}

// findRequiredPeers returns the members whose promises this host needs. A full
// member needs those of the other full members; a provisional one needs those of
// all members. Both also need those of processes that they may have just added.
func (m *machine) findRequiredPeers() []process {
	var required []process
	for _, e := range m.record.Members {
		if e.process() == m.selfProcess || (m.full && e.Provisional) {
			continue
		}
		required = append(required, e.process())
	}
	return m.appendMissing(required, m.possibleMembers())
}

func (m *machine) appendMissing(required, more []process) []process {
	for _, p := range more {
		if p != m.selfProcess && !slices.Contains(required, p) {
			required = append(required, p)
		}
	}
	return required
}

// shouldWatch reports whether rendezvous hashing selects this host among the live
// full members to watch the records.
func (m *machine) shouldWatch() bool {
	if !m.joined {
		return false
	}
	ranked := rank("watch/"+string(m.self.Domain), m.liveFullMembers())
	index := slices.Index(ranked, m.selfProcess)
	return index < watchersPerDomain
}
