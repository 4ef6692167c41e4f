package member

import (
	"slices"
	"strings"
	"time"

	"hawthornway/fleet"
)

// plan is a record that this host writes, with what it means for others while
// it is not known whether the write had effect.
type plan struct {
	record record
	// takesFrom lists the processes that the write removes or takes shards
	// from.
	takesFrom []process
	// adds lists the processes that the write makes full members.
	adds []process
	// gives lists the shards that this host hands over.
	gives   []Shard
	reasons []string
}

// decide writes the record when something about it has to change.
func (m *machine) decide() {
	if m.swap != nil || !m.known || m.isBehind() || m.now.mono < m.retryAt {
		return
	}
	p := &plan{record: m.record.clone()}
	m.makePlan(p)
	if len(p.reasons) == 0 {
		return
	}
	m.swap = p
	m.emit(swapRecord{
		expected: m.record.Revision,
		record:   p.record,
		reason:   strings.Join(p.reasons, ", "),
	})
}

func (m *machine) makePlan(p *plan) {
	if m.left {
		return
	}
	if !m.joined {
		m.planAddSelf(p)
		return
	}
	m.planRemovals(p)
	m.planJoins(p)
	m.planRelease(p)
	if m.leaving {
		m.planLeave(p)
		return
	}
	m.planSoftTakes(p)
	m.planUnowned(p)
	m.planGiving(p)
	m.planBump(p)
}

func (p *plan) because(reason string, subject string) {
	p.reasons = append(p.reasons, reason+" "+subject)
}

// endSwap takes in how a write ended.
func (m *machine) endSwap(in swapEnded) {
	p := m.swap
	m.swap = nil
	switch in.result {
	case swapDone:
		p.record.Revision = in.revision
		m.endDone(p)
		return
	case swapUnknown:
		if m.record.Revision == p.record.Revision {
			m.unresolved = append(m.unresolved, *p)
		}
	case swapConflict, swapUnavailable:
	}
	m.serviceDown = in.result != swapConflict
	m.retryAt = m.now.mono + m.retryDelay()
	m.ask(readRecord{})
	m.emit(changed{})
}

func (m *machine) endDone(p *plan) {
	if _, stays := p.record.member(m.me); m.leaving && !stays {
		m.left = true
	}
	m.learn(p.record, true)
	m.emit(spreadRecord{})
}

// retryDelay spaces the retries of the members by their place in the record, so
// that they don't run into each other again.
func (m *machine) retryDelay() time.Duration {
	place := slices.IndexFunc(m.record.Members, func(e entry) bool { return e.process() == m.me })
	return retryWait * time.Duration(place+2) / time.Duration(len(m.record.Members)+2)
}

// planBump writes the record unchanged, so that a write whose answer was lost
// can have no effect any more.
func (m *machine) planBump(p *plan) {
	if len(m.unresolved) > 0 && len(p.reasons) == 0 {
		p.because("settle", "a lost answer")
	}
}

// planRelease drops the former owners that are known to have stopped from this
// host's own shards.
func (m *machine) planRelease(p *plan) {
	for i := range p.record.Shards {
		s := &p.record.Shards[i]
		if s.Owner != m.me || m.owned[i].seen == 0 || len(s.Unreleased) == 0 {
			continue
		}
		before := len(s.Unreleased)
		s.Unreleased = slices.DeleteFunc(s.Unreleased, func(u process) bool { return m.hasLearned(u, Shard(i)) })
		if len(s.Unreleased) < before {
			p.because("release", "former owners")
		}
	}
}

// planUnowned gives shards without an owner to the members with the fewest.
func (m *machine) planUnowned(p *plan) {
	for i, s := range p.record.Shards {
		if !s.Owner.isZero() {
			continue
		}
		to, ok := m.leastLoaded(p.record, Shard(i))
		if !ok {
			return
		}
		p.record.assign(Shard(i), to, s.HandedOver)
		p.because("own", "a shard without owner")
	}
}

// leastLoaded returns the member that gets a shard: the one with the fewest
// among those that this host hears, by rendezvous among equals.
func (m *machine) leastLoaded(r record, shard Shard) (process, bool) {
	var best process
	for _, p := range rank(shardKey(m.self.Domain, shard), m.receivers(r)) {
		if best.isZero() || r.load(p) < r.load(best) {
			best = p
		}
	}
	return best, !best.isZero()
}

func shardKey(domain fleet.DomainID, shard Shard) string {
	return string(domain) + "/" + string(rune('a'+shard))
}

// receivers returns the members that may be given shards: those that stay and
// are heard. Provisional members get shards from provisional ones only.
func (m *machine) receivers(r record) []process {
	var receivers []process
	self, _ := r.member(m.me)
	for _, e := range r.Members {
		p := e.process()
		if e.Leaving || (e.Provisional && !self.Provisional) {
			continue
		}
		if p == m.me && !m.leaving || p != m.me && m.hears(p) {
			receivers = append(receivers, p)
		}
	}
	return receivers
}
