package member

import (
	"slices"
	"time"
)

// holding reports whether this host may act for a shard, and how long its
// pledges last. Fenced holds have no such bound; left is zero for them.
func (m *machine) holding(now instant, shard Shard, checksFence bool) (left time.Duration, ok bool) {
	if !m.owns(shard) {
		return 0, false
	}
	if checksFence {
		return 0, true
	}
	if !m.isReleased(shard) {
		return 0, false
	}
	if m.checks.noPledgeCheck {
		return m.settings.PledgeTime, true
	}
	left, _ = m.pledgesLeft(now)
	return left, left > 0
}

// owns reports whether the newest record that this host knows of gives it a
// shard, and it isn't handing it over.
func (m *machine) owns(shard Shard) bool {
	if m.left || !m.joined || m.isBehind() {
		return false
	}
	if m.owned[shard].seen == 0 || m.giving[shard].active {
		return false
	}
	gives := func(p plan) bool { return slices.Contains(p.gives, shard) }
	return (m.swap == nil || !gives(*m.swap)) && !slices.ContainsFunc(m.unresolved, gives)
}

// isReleased reports whether each owner before this one is known to have
// learned of its loss.
func (m *machine) isReleased(shard Shard) bool {
	if m.checks.noUnreleasedCheck {
		return true
	}
	for _, p := range m.owned[shard].entry.Unreleased {
		if !m.hasLearned(p, shard) {
			return false
		}
	}
	return true
}

// hasLearned reports whether a process told that it knows a record in which
// this host owns the shard, so long ago that its last orders have arrived.
func (m *machine) hasLearned(p process, shard Shard) bool {
	if p == m.me {
		return true
	}
	s := m.peers[p]
	if s == nil || s.last.Revision < m.owned[shard].seen {
		return false
	}
	return m.now.atLeast(s.revisionAt) >= m.settings.OrderMargin
}
