package member

import "slices"

// planHandovers hands shards over to members that own fewer. A shard is handed
// over only after this host has stopped acting for it and all its orders are
// answered.
func (m *machine) planHandovers(p *plan) {
	var moves map[Shard]process
	if !m.storeUnavailable {
		moves = m.balance(p.record)
	}
	for i := range m.handovers {
		shard := Shard(i)
		h := &m.handovers[i]
		to, isMove := moves[shard]
		switch {
		case !isMove:
			m.cancelHandover(shard)
		case !h.active && m.now.mono < h.notBefore:
		case !h.active:
			*h = handover{active: true, since: m.now}
			m.emit(membershipChanged{})
		case h.released:
			m.handOver(p, shard, to)
		case m.now.maxSince(h.since) > m.settings.ReleaseTimeout:
			m.cancelHandover(shard)
			h.notBefore = m.now.mono + handoverRetryDelay
		}
	}
}

func (m *machine) cancelHandover(shard Shard) {
	if m.handovers[shard].active {
		m.handovers[shard] = handover{}
		m.emit(membershipChanged{})
	}
}

func (m *machine) handOver(p *plan, shard Shard, to process) {
	p.record.assign(shard, to, m.handovers[shard].released)
	p.handsOver = append(p.handsOver, shard)
	p.addReason("hand over", "a shard to "+to.String())
}

// balance returns the shards that this host should hand over and their new
// owners. Every member computes the moves of all members, so that the moves are
// consistent.
func (m *machine) balance(r record) map[Shard]process {
	moved := r.clone()
	ownMoves := map[Shard]process{}
	receivers := m.receivers(r)
	for {
		least, most := leastAndMostLoaded(moved, receivers)
		if least.isZero() || moved.load(most) < moved.load(least)+2 {
			return ownMoves
		}
		shard := preferredShard(moved.owned(most), least)
		moved.Shards[shard].Owner = least
		if most == m.selfProcess {
			ownMoves[shard] = least
		}
	}
}

// leastAndMostLoaded returns the members with the fewest and the most shards.
func leastAndMostLoaded(r record, members []process) (least, most process) {
	for _, p := range members {
		if least.isZero() || r.load(p) < r.load(least) {
			least = p
		}
		if most.isZero() || r.load(p) > r.load(most) {
			most = p
		}
	}
	return least, most
}

// preferredShard returns the shard with the highest rendezvous score for a member.
func preferredShard(shards []Shard, p process) Shard {
	best := shards[0]
	for _, s := range shards[1:] {
		if score(shardKey("", s), p) > score(shardKey("", best), p) {
			best = s
		}
	}
	return best
}

// planLeave marks this host as leaving, hands all its shards over, and then
// removes it from the record.
func (m *machine) planLeave(p *plan) {
	self, _ := p.record.member(m.selfProcess)
	if !self.Leaving {
		self.Leaving = true
		p.record.put(self)
		p.addReason("leave", m.selfProcess.String())
	}
	if m.stopAllShards() {
		m.planSuccessors(p)
	}
}

// stopAllShards stops this host from acting for its shards. It reports whether
// each of them is released or has reached the release timeout.
func (m *machine) stopAllShards() bool {
	done := true
	for _, shard := range m.record.owned(m.selfProcess) {
		h := &m.handovers[shard]
		if !h.active {
			*h = handover{active: true, since: m.now}
			m.emit(membershipChanged{})
		}
		done = done && (h.released || m.now.maxSince(h.since) > m.settings.ReleaseTimeout)
	}
	return done
}

// planSuccessors assigns this host's shards to the members with the fewest, and
// removes this host. If no full member remains, the remaining members become
// full.
func (m *machine) planSuccessors(p *plan) {
	for _, shard := range p.record.owned(m.selfProcess) {
		p.handsOver = append(p.handsOver, shard)
		released := m.handovers[shard].released
		if to, ok := m.leastLoaded(p.record, shard); ok {
			p.record.assign(shard, to, released)
			continue
		}
		p.record.Shards[shard].Owner = process{}
		p.record.Shards[shard].HandedOver = released
	}
	p.record.remove(m.selfProcess)
	p.addReason("finish leaving", m.selfProcess.String())
	if p.record.hasFull() {
		return
	}
	for _, e := range slices.Clone(p.record.Members) {
		e.Provisional = false
		p.record.put(e)
		p.newFullMembers = append(p.newFullMembers, e.process())
	}
}
