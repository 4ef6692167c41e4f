// Package detour reaches targets through other hosts. A host may lose its links to some or
// all targets while callers, the store and other hosts still reach it.
package detour

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornway/fleet"
)

// The parameters of the choice between paths.
const (
	// headStart is how much earlier than a detour a direct connection is tried. It is many
	// times the round trip to a target, and short for a caller.
	headStart = 100 * time.Millisecond
	// cutAddresses is the number of addresses that other hosts have to reach, and this one
	// not, until this host takes itself to be cut off. One may be the target's own trouble.
	cutAddresses = 2
	// pathTTL is how long a path is remembered that hasn't been used since.
	pathTTL = 30 * time.Second
	// neighbourRest is how long a host isn't asked again that has refused or failed a
	// detour, unless all have.
	neighbourRest = time.Second
)

// Paths knows which targets this host reaches directly, and which other hosts can help. It is
// safe for concurrent use.
type Paths struct {
	clock clockwork.Clock

	mu sync.Mutex
	// detoured holds when each address was last reached by a detour only.
	detoured map[string]time.Time
	// directAt is when an address was last reached directly.
	directAt time.Time
	// cutSince is when this host was cut off, or zero.
	cutSince time.Time
	// restUntil is until when a host isn't asked for detours, and open counts the detours
	// through it.
	restUntil map[fleet.HostID]time.Time
	open      map[fleet.HostID]int
}

// NewPaths returns Paths of a host that reaches all targets.
func NewPaths(clock clockwork.Clock) *Paths {
	return &Paths{clock: clock, detoured: map[string]time.Time{}, restUntil: map[fleet.HostID]time.Time{}, open: map[fleet.HostID]int{}}
}

// HeadStart returns how much earlier than a detour a direct connection to an address is tried.
func (p *Paths) HeadStart(address string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isDetoured(address) || !p.cutSince.IsZero() {
		return 0
	}
	return headStart
}

func (p *Paths) isDetoured(address string) bool {
	at, detoured := p.detoured[address]
	return detoured && p.clock.Since(at) < pathTTL
}

// Detoured counts the addresses that were last reached by a detour only.
func (p *Paths) Detoured(addresses []string) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, address := range addresses {
		if p.isDetoured(address) {
			n++
		}
	}
	return n
}

// RecordDirect records that a direct connection to an address was opened. It reports whether
// that ended a cut.
func (p *Paths) RecordDirect(address string) (healed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.detoured, address)
	healed = !p.cutSince.IsZero()
	p.cutSince, p.directAt = time.Time{}, p.clock.Now()
	return healed
}

// RecordDetour records that an address was reached by a detour and not directly. It reports
// whether this host is cut off as of now, since it has reached no address directly meanwhile.
func (p *Paths) RecordDetour(address string) (cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.detoured[address] = now
	unreached := 0
	for other, at := range p.detoured {
		switch {
		case now.Sub(at) >= pathTTL:
			delete(p.detoured, other)
		case at.After(p.directAt):
			unreached++
		}
	}
	if !p.cutSince.IsZero() || unreached < cutAddresses {
		return false
	}
	p.cutSince = now
	return true
}

// CutOff reports whether this host reaches no target directly that others reach.
func (p *Paths) CutOff() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.cutSince.IsZero()
}

// Order returns the hosts in the order in which to ask them for a detour: those that have
// failed lately last, and then by the number of this host's detours through them.
func (p *Paths) Order(neighbours []fleet.Member) []fleet.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	rests := func(m fleet.Member) int {
		if now.Before(p.restUntil[m.Host]) {
			return 1
		}
		return 0
	}
	ordered := slices.Clone(neighbours)
	slices.SortStableFunc(ordered, func(a, b fleet.Member) int {
		return cmp.Or(cmp.Compare(rests(a), rests(b)), cmp.Compare(p.open[a.Host], p.open[b.Host]))
	})
	return ordered
}

// RecordRefusal records that a host has refused or failed a detour.
func (p *Paths) RecordRefusal(host fleet.HostID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.restUntil[host] = p.clock.Now().Add(neighbourRest)
}

// Opened records a detour through a host, until the returned function is called.
func (p *Paths) Opened(host fleet.HostID) (closed func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[host]++
	delete(p.restUntil, host)
	return sync.OnceFunc(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.open[host]--; p.open[host] == 0 {
			delete(p.open, host)
		}
	})
}
