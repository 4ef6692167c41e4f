package roster

import (
	"slices"
	"time"

	"hawthornway/boottime"
	"hawthornway/fleet"
	"hawthornway/keyvalue"
)

// Evacuations are the failure domains whose targets are to get no requests, as an operator asks
// for. The zero value has none.
type Evacuations struct {
	// Domains is in order of their names.
	Domains []fleet.DomainID
	// At is the newest store revision as of which the domains are known.
	At keyvalue.Revision
}

// Includes reports whether a domain is evacuated.
func (e Evacuations) Includes(domain fleet.DomainID) bool { return slices.Contains(e.Domains, domain) }

// NewEvacuations returns the evacuations of domains, in any order, as of a store revision.
func NewEvacuations(domains []fleet.DomainID, at keyvalue.Revision) Evacuations {
	sorted := slices.Clone(domains)
	slices.Sort(sorted)
	return Evacuations{Domains: slices.Compact(sorted), At: at}
}

// SetEvacuations sets which domains are evacuated, unless they are known as of a newer revision.
// Targets of domains that haven't been so far may get requests for some time yet. It returns the
// domains whose evacuation has begun and ended.
func (r *Roster) SetEvacuations(e Evacuations, grace time.Duration) (begun, ended []fleet.DomainID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.evacuations
	if e.At < previous.At {
		return nil, nil
	}
	r.evacuations = e
	for _, domain := range e.Domains {
		if !previous.Includes(domain) {
			begun = append(begun, domain)
			r.emptyAt[domain] = r.clock.Now().Add(grace)
		}
	}
	for _, domain := range previous.Domains {
		if !e.Includes(domain) {
			ended = append(ended, domain)
			delete(r.emptyAt, domain)
		}
	}
	if len(begun)+len(ended) > 0 {
		r.notify()
	}
	return begun, ended
}

// Evacuations returns the domains that are evacuated.
func (r *Roster) Evacuations() Evacuations {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.evacuations
}

// emptied reports whether the targets of a domain get no requests any more. Until then, the cached
// lists are only valid up to that moment.
func (r *Roster) emptied(domain fleet.DomainID, now boottime.Instant) bool {
	at, evacuated := r.emptyAt[domain]
	if evacuated && now.Before(at) && (r.listsValidUntil == 0 || at.Before(r.listsValidUntil)) {
		r.listsValidUntil = at
	}
	return evacuated && !now.Before(at)
}
