package member

import "slices"

// planGiving hands shards over to members that have fewer. A shard is given
// only after this host has stopped to act for it and its orders are answered.
func (m *machine) planGiving(p *plan) {
	var wanted map[Shard]process
	if !m.serviceDown {
		wanted = m.balance(p.record)
	}
	for i := range m.giving {
		shard := Shard(i)
		g := &m.giving[i]
		to, give := wanted[shard]
		switch {
		case !give:
			m.stopGiving(shard)
		case !g.active && m.now.mono < g.notBefore:
		case !g.active:
			*g = givingShard{active: true, since: m.now}
			m.emit(changed{})
		case g.released:
			m.give(p, shard, to)
		case m.now.atMost(g.since) > m.settings.ReleaseTime:
			m.stopGiving(shard)
			g.notBefore = m.now.mono + giveAgainWait
		}
	}
}

func (m *machine) stopGiving(shard Shard) {
	if m.giving[shard].active {
		m.giving[shard] = givingShard{}
		m.emit(changed{})
	}
}

func (m *machine) give(p *plan, shard Shard, to process) {
	p.record.assign(shard, to, m.giving[shard].released)
	p.gives = append(p.gives, shard)
	p.because("give", "a shard to "+to.String())
}

// balance returns the shards that this host should give, and to whom. Every
// member computes the moves of all, so that their moves fit together.
func (m *machine) balance(r record) map[Shard]process {
	moved := r.clone()
	mine := map[Shard]process{}
	receivers := m.receivers(r)
	for {
		least, most := extremes(moved, receivers)
		if least.isZero() || moved.load(most) < moved.load(least)+2 {
			return mine
		}
		shard := preferred(moved.owned(most), least)
		moved.Shards[shard].Owner = least
		if most == m.me {
			mine[shard] = least
		}
	}
}

// extremes returns the members with the fewest and the most shards.
func extremes(r record, members []process) (least, most process) {
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

// preferred returns the shard that rendezvous hashing gives to a member first.
func preferred(shards []Shard, p process) Shard {
	best := shards[0]
	for _, s := range shards[1:] {
		if score(shardKey("", s), p) > score(shardKey("", best), p) {
			best = s
		}
	}
	return best
}

// planLeave hands all shards over, and then removes this host.
func (m *machine) planLeave(p *plan) {
	self, _ := p.record.member(m.me)
	if !self.Leaving {
		self.Leaving = true
		p.record.put(self)
		p.because("leave", m.me.String())
	}
	if m.stopAll() {
		m.planSuccessors(p)
	}
}

// stopAll stops this host's shards. It reports whether all of them are
// released, or have been waited for.
func (m *machine) stopAll() bool {
	done := true
	for _, shard := range m.record.owned(m.me) {
		g := &m.giving[shard]
		if !g.active {
			*g = givingShard{active: true, since: m.now}
			m.emit(changed{})
		}
		done = done && (g.released || m.now.atMost(g.since) > m.settings.ReleaseTime)
	}
	return done
}

// planSuccessors gives this host's shards to the members with the fewest, and
// removes this host. If no full member stays, those that do become full.
func (m *machine) planSuccessors(p *plan) {
	for _, shard := range p.record.owned(m.me) {
		p.gives = append(p.gives, shard)
		released := m.giving[shard].released
		if to, ok := m.leastLoaded(p.record, shard); ok {
			p.record.assign(shard, to, released)
			continue
		}
		p.record.Shards[shard].Owner = process{}
		p.record.Shards[shard].HandedOver = released
	}
	p.record.remove(m.me)
	p.because("go", m.me.String())
	if p.record.hasFull() {
		return
	}
	for _, e := range slices.Clone(p.record.Members) {
		e.Provisional = false
		p.record.put(e)
		p.adds = append(p.adds, e.process())
	}
}
