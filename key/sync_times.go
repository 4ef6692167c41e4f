package key

import (
	"maps"
	"sync"
	"time"

	"hawthornway/fleet"
)

// maxStateAge is the age of a host's state above which it counts as cut off,
// since it may have missed a withdrawal.
const maxStateAge = 4 * time.Second

// syncTimes tracks how recent this host's state is: the times as of which it
// holds everything that the key-value service and each domain held.
type syncTimes struct {
	mu       sync.Mutex
	platform time.Time
	domains  map[fleet.DomainID]time.Time
}

// platformSynced records that the host holds everything that the service held
// at a time.
func (t *syncTimes) platformSynced(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.platform = later(t.platform, at)
}

// domainSynced records that the host holds everything that a domain held at a
// time.
func (t *syncTimes) domainSynced(domain fleet.DomainID, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.domains[domain] = later(t.domains[domain], at)
}

// asOf returns the times of the service and of each domain.
func (t *syncTimes) asOf() (platform time.Time, domains map[fleet.DomainID]time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.platform, maps.Clone(t.domains)
}

// hostAsOf returns the time up to which a host of domain self can't have missed
// a withdrawal. That is the later of the time of the service and the earliest
// of the times of all other domains.
func (t *syncTimes) hostAsOf(self fleet.DomainID, all []fleet.DomainID, now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	asOf := now
	for _, domain := range all {
		if domain != self && t.domains[domain].Before(asOf) {
			asOf = t.domains[domain]
		}
	}
	return later(asOf, t.platform)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
