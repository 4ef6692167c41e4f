package member

import (
	"slices"

	"hawthornway/fleet"
	"hawthornway/target"
)

// planJoins adds the hosts that asked for it, and makes provisional members
// full.
func (m *machine) planJoins(p *plan) {
	for _, j := range sortedProcesses(m.joiners) {
		request := m.joiners[j]
		if m.now.atMost(request.at) > joinRequestTime || m.record.isFull(j) {
			delete(m.joiners, j)
			continue
		}
		if m.maySponsor(p.record, request) {
			m.planJoin(p, request.member)
		}
	}
}

func (m *machine) planJoin(p *plan, member fleet.Member) {
	for _, e := range m.record.Members {
		if boundAgain(e.Member, member) {
			m.planRemoval(p, e.process())
		}
	}
	self, _ := p.record.member(m.me)
	if _, isMember := p.record.member(processOf(member)); isMember && self.Provisional {
		return
	}
	p.record.put(entry{Member: member, Provisional: self.Provisional})
	if !self.Provisional {
		p.adds = append(p.adds, processOf(member))
	}
	p.because("add", processOf(member).String())
}

// boundAgain proves that an old member's process is dead: its listening address
// is bound by a new process.
func boundAgain(old, now fleet.Member) bool {
	return old.PeerAddress == now.PeerAddress && processOf(old) != processOf(now)
}

// maySponsor reports whether this host may add another: it hears the other, the
// other hears all members that this host hears, and no older process of the
// other's host is a member.
func (m *machine) maySponsor(r record, request joinRequest) bool {
	joiner := processOf(request.member)
	if !m.hears(joiner) {
		return false
	}
	for _, e := range r.Members {
		p := e.process()
		if e.Host == joiner.Host && p != joiner && !boundAgain(e.Member, request.member) {
			return false
		}
		if p != m.me && p != joiner && m.hears(p) && !slices.Contains(request.hears, p) {
			return false
		}
	}
	return true
}

// wantsSponsor reports whether this host needs a member to add it or to make it
// full.
func (m *machine) wantsSponsor() bool {
	return m.known && !m.leaving && !m.left && !m.full
}

// seekSponsor asks one member after the other.
func (m *machine) seekSponsor() {
	if !m.wantsSponsor() {
		return
	}
	sponsors := m.sponsors()
	if len(sponsors) == 0 {
		return
	}
	sponsor := sponsors[m.joinTry%len(sponsors)]
	m.joinTry++
	m.emit(askJoin{sponsor: sponsor.Host, hears: m.heardProcesses()})
}

// sponsors returns the members that this host hears, full ones first.
func (m *machine) sponsors() []process {
	var full, provisional []process
	for _, e := range m.record.Members {
		p := e.process()
		switch {
		case p == m.me || e.Leaving || !m.hears(p):
		case e.Provisional:
			provisional = append(provisional, p)
		default:
			full = append(full, p)
		}
	}
	if m.joined {
		return rank(string(m.me.Host), full)
	}
	return append(rank(string(m.me.Host), full), rank(string(m.me.Host), provisional)...)
}

func (m *machine) heardProcesses() []process {
	var heard []process
	for _, p := range sortedProcesses(m.peers) {
		if m.hears(p) {
			heard = append(heard, p)
		}
	}
	return heard
}

// hearsMember reports whether this host hears any member.
func (m *machine) hearsMember() bool {
	return slices.ContainsFunc(m.record.Members, func(e entry) bool { return m.hears(e.process()) })
}

// planAddSelf adds this host without a sponsor: at once to a domain without
// members, and as a provisional member where no member can be reached.
func (m *machine) planAddSelf(p *plan) {
	if m.leaving || !m.hasFreshRecord() {
		return
	}
	p.record.Fence = max(p.record.Fence, target.Fence(m.missingAt))
	if len(p.record.Members) == 0 {
		p.record.put(entry{Member: m.self})
		p.adds = append(p.adds, m.me)
		p.because("add", m.me.String())
		m.ownUnowned(p)
		return
	}
	if m.hearsMember() || !m.waitedAlone() {
		return
	}
	m.planAddAlone(p)
}

// hasFreshRecord reports whether the record was read a moment ago. Only a host
// that reaches the service adds itself.
func (m *machine) hasFreshRecord() bool {
	return m.wasRead && m.now.atMost(m.readAt) <= 2*readWait
}

func (m *machine) waitedAlone() bool {
	return m.now.atLeast(m.started) >= aloneWait && m.now.mono >= m.selfAddFrom
}

// planAddAlone adds this host while others are recorded. Those whose death is
// proved are removed; if none is left, this host is a full member.
func (m *machine) planAddAlone(p *plan) {
	p.record.put(entry{Member: m.self, Provisional: !m.checks.noProvisional})
	p.because("add alone", m.me.String())
	for _, e := range m.record.Members {
		if m.dead[e.process()] || boundAgain(e.Member, m.self) {
			m.planRemoval(p, e.process())
		}
	}
	if p.record.isFull(m.me) {
		m.ownUnowned(p)
	}
}

// ownUnowned gives this host all shards without an owner.
func (m *machine) ownUnowned(p *plan) {
	for i, s := range p.record.Shards {
		if s.Owner.isZero() {
			p.record.assign(Shard(i), m.me, s.HandedOver)
		}
	}
}
