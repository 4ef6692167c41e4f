package member

import (
	"time"

	"hawthornway/fleet"
	"hawthornway/keyvalue"
)

// machine is the state machine of this host's membership of its domain. It is
// deterministic: the time and all events are inputs, and all actions are returned
// as effects.
type machine struct {
	self        fleet.Member
	selfProcess process
	settings    Settings
	disabled    disabledMechanisms

	now       instant
	startedAt instant
	effects   []effect

	// record is the newest record that this host knows. recordKnown is set once
	// the host has received a record or learned that there is none.
	record      record
	recordKnown bool
	// missingRevision is the revision of the key-value service at which it had no
	// record.
	missingRevision keyvalue.Revision
	// lastReadAt is the time of the last successful read from the key-value service.
	lastReadAt instant
	hasRead    bool
	// storeUnavailable is set if the last call to the key-value service failed.
	storeUnavailable bool
	// reportedRevision is the highest revision received in a heartbeat, and
	// reportedBy the peer that sent it.
	reportedRevision keyvalue.Revision
	reportedBy       fleet.HostID
	// recordRequestedAt is when this host last read or fetched the record.
	recordRequestedAt instant
	recordRequested   bool

	// fullSince is when this host learned that it is a full member, which may take
	// shards from others.
	fullSince instant
	full      bool
	joinedAt  instant
	joined    bool
	// removals is how often this host was removed from the record without having
	// left. selfJoinAt is the monotonic time from which on it may add itself again.
	removals   int
	selfJoinAt time.Duration

	sequence         uint64
	heartbeatSentAt  [sentTimesKept]instant
	lastHeartbeatAt  instant
	hasSentHeartbeat bool
	peers            map[process]*peerState
	linked           map[process]bool

	// requiredPeers lists the processes whose promises this host needs to act.
	// Heartbeats don't change it.
	requiredPeers []process

	owned         [Shards]ownedShard
	handovers     [Shards]handover
	joinRequests  map[process]joinRequest
	provenDead    map[process]bool
	unlistedSince map[process]instant
	joinAttempts  int

	// pendingWrite is the write in flight. unresolvedWrites have an unknown result
	// and may still take effect.
	pendingWrite     *plan
	unresolvedWrites []plan
	retryWriteAt     time.Duration

	leaving bool
	left    bool
	// watching and newestRevision are sent in heartbeats.
	watching       bool
	newestRevision keyvalue.Revision
}

// sentTimesKept is the number of sent heartbeats whose times are kept.
const sentTimesKept = 16

// ownedShard is a shard that this host owns according to the record.
type ownedShard struct {
	entry shardEntry
	since instant
	// firstRevision is the revision of the first record in which this host saw
	// itself as the owner.
	firstRevision keyvalue.Revision
}

// handover is the state of handing over a shard that this host has stopped acting
// for.
type handover struct {
	active   bool
	since    instant
	released bool
	// notBefore is the monotonic time of the earliest next attempt.
	notBefore time.Duration
}

type joinRequest struct {
	member     fleet.Member
	livePeers  []process
	receivedAt instant
}

// newMachine returns a new state machine for a host.
func newMachine(self fleet.Member, settings Settings, disabled disabledMechanisms, now instant) *machine {
	return &machine{
		self:          self,
		selfProcess:   processOf(self),
		settings:      settings.withDefaults(),
		disabled:      disabled,
		now:           now,
		startedAt:     now,
		peers:         map[process]*peerState{},
		linked:        map[process]bool{},
		joinRequests:  map[process]joinRequest{},
		provenDead:    map[process]bool{},
		unlistedSince: map[process]instant{},
	}
}

// step handles one input and returns the effects to perform.
func (m *machine) step(now instant, in input) []effect {
	m.now = now
	m.effects = nil
	switch in := in.(type) {
	case tick:
		m.tick(in)
	case heartbeatReceived:
		m.receiveHeartbeat(in.from, in.heartbeat)
	case recordLearned:
		m.learn(in.record, in.fromStore)
	case recordMissing:
		m.learnMissing(in.revision)
	case readFailed:
		m.storeUnavailable = true
	case swapEnded:
		m.finishWrite(in)
	case joinRequested:
		m.joinRequests[processOf(in.member)] = joinRequest{member: in.member, livePeers: in.livePeers, receivedAt: now}
		m.decide()
	case hostsListed:
		m.handleHostList(in.listed)
	case hostDeclaredDead:
		m.markHostDead(in.host)
	case shardReleased:
		m.handovers[in.shard].released = true
		m.decide()
	case leaveRequested:
		m.leaving = true
		m.left = m.left || !m.joined && m.pendingWrite == nil
		m.decide()
	}
	if _, isHeartbeat := in.(heartbeatReceived); !isHeartbeat {
		m.requiredPeers = m.findRequiredPeers()
	}
	return m.effects
}

func (m *machine) emit(e effect) { m.effects = append(m.effects, e) }

func (m *machine) tick(in tick) {
	clear(m.linked)
	for _, peer := range in.linked {
		m.linked[processOf(peer)] = true
		m.ensurePeer(peer)
	}
	m.dropSilentPeers()
	if !m.hasSentHeartbeat || m.now.maxSince(m.lastHeartbeatAt) >= heartbeatInterval {
		m.sendHeartbeats()
		m.contactSponsor()
	}
	m.requestRecordIfNeeded()
	m.decide()
}

// learn replaces the known record if the given one is newer.
func (m *machine) learn(r record, fromStore bool) {
	if fromStore {
		m.markRead()
	}
	if m.recordKnown && r.Revision <= m.record.Revision {
		m.decide()
		return
	}
	m.recordKnown = true
	m.record = r
	m.unresolvedWrites = nil
	m.updateMembership()
	m.updateOwnedShards()
	m.emit(membershipChanged{})
	m.decide()
}

// learnMissing handles the report that the key-value service has no record of the
// domain. A record that existed before has been deleted, and this host's membership
// with it.
func (m *machine) learnMissing(revision keyvalue.Revision) {
	m.markRead()
	m.missingRevision = revision
	if m.record.Revision > revision {
		return
	}
	m.recordKnown = true
	m.record = record{}
	if m.reportedRevision <= revision {
		m.reportedRevision = 0
	}
	m.unresolvedWrites = nil
	m.updateMembership()
	m.updateOwnedShards()
	m.emit(membershipChanged{})
	m.decide()
}

func (m *machine) markRead() {
	m.lastReadAt, m.hasRead = m.now, true
	m.storeUnavailable = false
}

// updateMembership updates whether and since when this host is a member and a
// full member.
func (m *machine) updateMembership() {
	for _, e := range m.record.Members {
		m.ensurePeer(e.Member)
	}
	self, joined := m.record.member(m.selfProcess)
	if m.leaving && m.joined && !joined {
		m.left = true
	}
	if joined && !m.joined {
		m.joinedAt = m.now
	}
	if !joined && m.joined && !m.left {
		m.removals++
		m.selfJoinAt = m.now.mono + selfJoinDelay(m.removals)
	}
	full := joined && !self.Provisional
	if full && !m.full {
		m.fullSince = m.now
	}
	m.joined, m.full = joined, full
}

// selfJoinDelay doubles with each removal, since a removal shows that another
// host of the domain is alive.
func selfJoinDelay(removals int) time.Duration {
	delay := minSelfJoinDelay << min(removals-1, 10)
	return min(delay, maxSelfJoinDelay)
}

// updateOwnedShards updates which shards this host owns and since when.
func (m *machine) updateOwnedShards() {
	for i, s := range m.record.Shards {
		if s.Owner != m.selfProcess {
			m.owned[i] = ownedShard{}
			m.handovers[i] = handover{}
			continue
		}
		if m.owned[i].entry.Fence != s.Fence {
			m.owned[i] = ownedShard{since: m.now, firstRevision: m.record.Revision}
			m.handovers[i] = handover{}
		}
		m.owned[i].entry = s
	}
}

// requestRecordIfNeeded reads or fetches the record while this host may not know
// the newest one.
func (m *machine) requestRecordIfNeeded() {
	if m.recordRequested && m.now.mono-m.recordRequestedAt.mono < m.readInterval() {
		return
	}
	switch {
	case m.isBehind():
		m.requestRecord(fetchRecord{from: m.reportedBy})
		m.emit(readRecord{})
	case !m.recordKnown, !m.joined && !m.left && !m.hasLiveMember(), len(m.unresolvedWrites) > 0, m.storeUnavailable:
		m.requestRecord(readRecord{})
	}
}

// readInterval returns the shortest time between reads. It is longer while the
// key-value service fails and for a host that waits to add itself.
func (m *machine) readInterval() time.Duration {
	alone := !m.joined && m.now.mono < m.selfJoinAt
	if m.recordKnown && !m.isBehind() && (m.storeUnavailable || alone) {
		return slowReadInterval
	}
	return minReadInterval
}

func (m *machine) requestRecord(e effect) {
	m.recordRequested, m.recordRequestedAt = true, m.now
	m.emit(e)
}

// isBehind reports whether a peer has announced a newer record than the known one.
func (m *machine) isBehind() bool { return m.reportedRevision > m.record.Revision }

// handleHostList marks members as proven dead that have been missing from the
// platform's host list for longer than its lag. A list without this host proves
// nothing.
func (m *machine) handleHostList(listed map[fleet.HostID]bool) {
	if !listed[m.self.Host] {
		return
	}
	for _, e := range m.record.Members {
		p := e.process()
		if listed[e.Host] {
			delete(m.unlistedSince, p)
			continue
		}
		since, known := m.unlistedSince[p]
		if !known {
			m.unlistedSince[p] = m.now
			continue
		}
		lag := m.settings.HostListLag
		if lag >= 0 && m.now.minSince(since) > lag && !m.isLive(p) {
			m.provenDead[p] = true
		}
	}
	m.decide()
}

func (m *machine) markHostDead(host fleet.HostID) {
	for _, e := range m.record.Members {
		if e.Host == host && e.process() != m.selfProcess {
			m.provenDead[e.process()] = true
		}
	}
	m.decide()
}
