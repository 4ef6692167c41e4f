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
	keyValue time.Time
	domains  map[fleet.DomainID]time.Time
}

// keyValueSynced records that the host holds everything that the key-value
// service held at a time.
func (t *syncTimes) keyValueSynced(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.keyValue = later(t.keyValue, at)
}

// domainSynced records that the host holds everything that a domain held at a
// time.
func (t *syncTimes) domainSynced(domain fleet.DomainID, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.domains[domain] = later(t.domains[domain], at)
}

// asOf returns the times of the key-value service and of each domain.
func (t *syncTimes) asOf() (keyValue time.Time, domains map[fleet.DomainID]time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.keyValue, maps.Clone(t.domains)
}

// hostAsOf returns the time up to which a host of domain self can't have missed
// a withdrawal: the later of the key-value service's time and the earliest time
// of all other domains.
func (t *syncTimes) hostAsOf(self fleet.DomainID, all []fleet.DomainID, now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	asOf := now
	for _, domain := range all {
		if domain != self && t.domains[domain].Before(asOf) {
			asOf = t.domains[domain]
		}
	}
	return later(asOf, t.keyValue)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
