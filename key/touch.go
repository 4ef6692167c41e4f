package key

import (
	"maps"
	"sync"
	"time"

	"hawthornway/fleet"
)

// touchBound is how long a host may go without word before a withdrawal could
// have been missed.
const touchBound = 4 * time.Second

// touch knows how recent this host's knowledge of withdrawals is: as of when it
// holds all that the platform's service and each domain held.
type touch struct {
	mu       sync.Mutex
	platform time.Time
	domains  map[fleet.DomainID]time.Time
}

// reached notes that the host holds all that the service held at a time.
func (t *touch) reached(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.platform = later(t.platform, at)
}

// heard notes that the host holds all that a domain held at a time.
func (t *touch) heard(domain fleet.DomainID, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.domains[domain] = later(t.domains[domain], at)
}

// known returns all that is known.
func (t *touch) known() (platform time.Time, domains map[fleet.DomainID]time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.platform, maps.Clone(t.domains)
}

// last returns the time as of which a host of domain self can't have missed a
// withdrawal: when it reached the service or heard every other domain.
func (t *touch) last(self fleet.DomainID, all []fleet.DomainID, now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	heard := now
	for _, domain := range all {
		if domain != self && t.domains[domain].Before(heard) {
			heard = t.domains[domain]
		}
	}
	return later(heard, t.platform)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
