package member

import (
	"slices"

	"hawthornway/fleet"
	"hawthornway/target"
)

// planJoins adds the hosts that have requested to join, and makes provisional
// members full.
func (m *machine) planJoins(p *plan) {
	for _, joiner := range sortedProcesses(m.joinRequests) {
		request := m.joinRequests[joiner]
		if m.now.maxSince(request.receivedAt) > joinRequestTTL || m.record.isFull(joiner) {
			delete(m.joinRequests, joiner)
			continue
		}
		if m.maySponsor(p.record, request) {
			m.planJoin(p, request.member)
		}
	}
}

func (m *machine) planJoin(p *plan, member fleet.Member) {
	for _, e := range m.record.Members {
		if addressReused(e.Member, member) {
			m.planRemoval(p, e.process())
		}
	}
	self, _ := p.record.member(m.selfProcess)
	if _, isMember := p.record.member(processOf(member)); isMember && self.Provisional {
		return
	}
	p.record.put(memberEntry{Member: member, Provisional: self.Provisional})
	if !self.Provisional {
		p.newFullMembers = append(p.newFullMembers, processOf(member))
	}
	p.addReason("add", processOf(member).String())
}

// addressReused reports whether a new process has bound the listening address of
// an old member, which proves that the old member's process is dead.
func addressReused(old, newer fleet.Member) bool {
	return old.PeerAddress == newer.PeerAddress && processOf(old) != processOf(newer)
}

// maySponsor reports whether this host may add a joiner: the joiner is live, all
// members that are live for this host are live for the joiner too, and no older
// process of the joiner's host is a member.
func (m *machine) maySponsor(r record, request joinRequest) bool {
	joiner := processOf(request.member)
	if !m.isLive(joiner) {
		return false
	}
	for _, e := range r.Members {
		p := e.process()
		if e.Host == joiner.Host && p != joiner && !addressReused(e.Member, request.member) {
			return false
		}
		if p != m.selfProcess && p != joiner && m.isLive(p) && !slices.Contains(request.livePeers, p) {
			return false
		}
	}
	return true
}

// needsSponsor reports whether this host needs another member to add it or to
// make it a full member.
func (m *machine) needsSponsor() bool {
	return m.recordKnown && !m.leaving && !m.left && !m.full
}

// contactSponsor sends a join request to the next candidate in turn.
func (m *machine) contactSponsor() {
	if !m.needsSponsor() {
		return
	}
	sponsors := m.sponsorCandidates()
	if len(sponsors) == 0 {
		return
	}
	sponsor := sponsors[m.joinAttempts%len(sponsors)]
	m.joinAttempts++
	m.emit(requestJoin{sponsor: sponsor.Host, livePeers: m.liveProcesses()})
}

// sponsorCandidates returns the live members that can add this host, full ones
// first.
func (m *machine) sponsorCandidates() []process {
	var full, provisional []process
	for _, e := range m.record.Members {
		p := e.process()
		switch {
		case p == m.selfProcess || e.Leaving || !m.isLive(p):
		case e.Provisional:
			provisional = append(provisional, p)
		default:
			full = append(full, p)
		}
	}
	if m.joined {
		return rank(string(m.selfProcess.Host), full)
	}
	return append(rank(string(m.selfProcess.Host), full), rank(string(m.selfProcess.Host), provisional)...)
}

func (m *machine) liveProcesses() []process {
	var live []process
	for _, p := range sortedProcesses(m.peers) {
		if m.isLive(p) {
			live = append(live, p)
		}
	}
	return live
}

// hasLiveMember reports whether any other member is live.
func (m *machine) hasLiveMember() bool {
	return slices.ContainsFunc(m.record.Members, func(e memberEntry) bool { return m.isLive(e.process()) })
}

// planSelfJoin adds this host without a sponsor: immediately if the domain has no
// members, and as a provisional member if no member is live.
func (m *machine) planSelfJoin(p *plan) {
	if m.leaving || !m.hasFreshRecord() {
		return
	}
	p.record.Fence = max(p.record.Fence, target.Fence(m.missingRevision))
	if len(p.record.Members) == 0 {
		p.record.put(memberEntry{Member: m.self})
		p.newFullMembers = append(p.newFullMembers, m.selfProcess)
		p.addReason("add", m.selfProcess.String())
		m.takeUnownedShards(p)
		return
	}
	if m.hasLiveMember() || !m.isSelfJoinDue() {
		return
	}
	m.planIsolatedJoin(p)
}

// hasFreshRecord reports whether the record was read recently. Only a host that
// reaches the key-value service adds itself.
func (m *machine) hasFreshRecord() bool {
	return m.hasRead && m.now.maxSince(m.lastReadAt) <= 2*minReadInterval
}

func (m *machine) isSelfJoinDue() bool {
	return m.now.minSince(m.startedAt) >= sponsorSearchTimeout && m.now.mono >= m.selfJoinAt
}

// planIsolatedJoin adds this host while the record has members that it can't
// reach. Members that are proven dead are removed; if no full member remains,
// this host becomes a full one.
func (m *machine) planIsolatedJoin(p *plan) {
	p.record.put(memberEntry{Member: m.self, Provisional: !m.disabled.provisionalState})
	p.addReason("add isolated", m.selfProcess.String())
	for _, e := range m.record.Members {
		if m.provenDead[e.process()] || addressReused(e.Member, m.self) {
			m.planRemoval(p, e.process())
		}
	}
	if p.record.isFull(m.selfProcess) {
		m.takeUnownedShards(p)
	}
}

// takeUnownedShards assigns all shards without an owner to this host.
func (m *machine) takeUnownedShards(p *plan) {
	for i, s := range p.record.Shards {
		if s.Owner.isZero() {
			p.record.assign(Shard(i), m.selfProcess, s.HandedOver)
		}
	}
}
