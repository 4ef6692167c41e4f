package member

import (
	"slices"
	"strings"
	"time"

	"hawthornway/fleet"
)

// plan is a record to write, with the consequences that have to be assumed while
// the result of the write is unknown.
type plan struct {
	record record
	// takesFrom lists the processes that the write removes or takes shards from.
	takesFrom []process
	// newFullMembers lists the processes that the write makes full members.
	newFullMembers []process
	// handsOver lists the shards that this host hands over.
	handsOver []Shard
	reasons   []string
}

// decide starts a write of the record if anything in it has to change.
func (m *machine) decide() {
	if m.pendingWrite != nil || !m.recordKnown || m.isBehind() || m.now.mono < m.retryWriteAt {
		return
	}
	p := &plan{record: m.record.clone()}
	m.makePlan(p)
	if len(p.reasons) == 0 {
		return
	}
	m.pendingWrite = p
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
		m.planSelfJoin(p)
		return
	}
	m.planRemovals(p)
	m.planJoins(p)
	m.planPriorOwnerRemovals(p)
	if m.leaving {
		m.planLeave(p)
		return
	}
	m.planFencedTakeovers(p)
	m.planUnownedShards(p)
	m.planHandovers(p)
	m.planNoopWrite(p)
}

func (p *plan) addReason(reason string, subject string) {
	p.reasons = append(p.reasons, reason+" "+subject)
}

// finishWrite handles the result of a write.
func (m *machine) finishWrite(in swapEnded) {
	p := m.pendingWrite
	m.pendingWrite = nil
	switch in.result {
	case swapSucceeded:
		p.record.Revision = in.revision
		m.finishSucceededWrite(p)
		return
	case swapUnknown:
		if m.record.Revision == p.record.Revision {
			m.unresolvedWrites = append(m.unresolvedWrites, *p)
		}
	case swapConflict, swapUnavailable:
	}
	m.storeUnavailable = in.result != swapConflict
	m.retryWriteAt = m.now.mono + m.retryDelay()
	m.requestRecord(readRecord{})
	m.emit(membershipChanged{})
}

func (m *machine) finishSucceededWrite(p *plan) {
	if _, stays := p.record.member(m.selfProcess); m.leaving && !stays {
		m.left = true
	}
	m.learn(p.record, true)
	m.emit(broadcastRecord{})
}

// retryDelay depends on this host's position in the record, so that retries of
// several members don't conflict again.
func (m *machine) retryDelay() time.Duration {
	index := slices.IndexFunc(m.record.Members, func(e memberEntry) bool { return e.process() == m.selfProcess })
	return maxWriteRetryDelay * time.Duration(index+2) / time.Duration(len(m.record.Members)+2)
}

// planNoopWrite writes the record unchanged if a write has an unknown result. The
// new revision keeps that write from taking effect later.
func (m *machine) planNoopWrite(p *plan) {
	if len(m.unresolvedWrites) > 0 && len(p.reasons) == 0 {
		p.addReason("settle", "a write without an answer")
	}
}

// planPriorOwnerRemovals drops the prior owners of this host's shards that are known
// to have stopped.
func (m *machine) planPriorOwnerRemovals(p *plan) {
	for i := range p.record.Shards {
		s := &p.record.Shards[i]
		if s.Owner != m.selfProcess || m.owned[i].firstRevision == 0 || len(s.PriorOwners) == 0 {
			continue
		}
		before := len(s.PriorOwners)
		s.PriorOwners = slices.DeleteFunc(s.PriorOwners, func(prior process) bool { return m.hasStopped(prior, Shard(i)) })
		if len(s.PriorOwners) < before {
			p.addReason("release", "prior owners")
		}
	}
}

// planUnownedShards assigns shards without an owner to the members with the
// fewest shards.
func (m *machine) planUnownedShards(p *plan) {
	for i, s := range p.record.Shards {
		if !s.Owner.isZero() {
			continue
		}
		to, ok := m.leastLoaded(p.record, Shard(i))
		if !ok {
			return
		}
		p.record.assign(Shard(i), to, s.HandedOver)
		p.addReason("own", "a shard without owner")
	}
}

// leastLoaded returns the live member with the fewest shards. Ties are broken by
// rendezvous hashing.
func (m *machine) leastLoaded(r record, shard Shard) (process, bool) {
	var best process
	for _, p := range rank(shardKey(m.self.Domain, shard), m.receivers(r)) {
		if best.isZero() || r.load(p) < r.load(best) {
			best = p
		}
	}
	return best, !best.isZero()
}

// shardKey returns the key by which rendezvous hashing ranks the members for a shard.
func shardKey(domain fleet.DomainID, shard Shard) string {
	return string(domain) + "/" + string(rune('a'+shard))
}

// receivers returns the members that this host may assign shards to: live ones
// that aren't leaving. A provisional member receives shards only from provisional
// members.
func (m *machine) receivers(r record) []process {
	var receivers []process
	self, _ := r.member(m.selfProcess)
	for _, e := range r.Members {
		p := e.process()
		if e.Leaving || (e.Provisional && !self.Provisional) {
			continue
		}
		if p == m.selfProcess && !m.leaving || p != m.selfProcess && m.isLive(p) {
			receivers = append(receivers, p)
		}
	}
	return receivers
}
