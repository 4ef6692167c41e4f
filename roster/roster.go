// Package roster keeps the targets that have registered with the platform, and
// decides which of them may get requests.
package roster

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornway/boottime"
	"hawthornway/fleet"
	"hawthornway/model"
	"hawthornway/target"
)

// Start tells one start of a target from the next.
type Start int64

// Sequence numbers the orders that an engine has accepted since its start.
type Sequence uint64

// Target is what a target last said of itself.
type Target struct {
	ID       target.ID
	Start    Start
	Pool     target.Pool
	Address  string
	Domain   fleet.DomainID
	Slots    int
	Draining bool
	Sequence Sequence
	Holdings Holdings
	// Revision orders registrations at one address.
	Revision int64
}

// Digest returns a hash of what routing needs of a registration: all but its
// revision, its sequence and the weights that are near.
func (t Target) Digest() uint64 {
	text := fmt.Appendf(nil, "%q %d %q %q %q %d %t", t.ID, t.Start, t.Pool, t.Address, t.Domain, t.Slots, t.Draining)
	return xxhash.Sum64(t.Holdings.appendModels(text))
}

// Buckets is the number of parts by which hosts compare their targets.
const Buckets = 64

// Bucket is one of those parts, from zero.
type Bucket int

// BucketOf returns the part to which a target belongs.
func BucketOf(id target.ID) Bucket { return Bucket(xxhash.Sum64String(string(id)) % Buckets) }

// Digests hold a hash of the targets in each part. Rosters with the same digest of a
// part know the same targets there.
type Digests [Buckets]uint64

// Holdings are the weights that an engine has.
type Holdings struct {
	Models []Resident
	// InMemory and OnDisk name models whose weights are near the engine.
	InMemory []model.Name
	OnDisk   []model.Name
}

// Resident is a model that an engine can run.
type Resident struct {
	Model    model.Name
	Adapters []model.Name
}

// Same reports whether two hold the same models and adapters.
func (h Holdings) Same(other Holdings) bool {
	return string(h.appendModels(nil)) == string(other.appendModels(nil))
}

// appendModels appends the models and adapters in an order of their own.
func (h Holdings) appendModels(text []byte) []byte {
	models := slices.SortedFunc(slices.Values(h.Models), func(a, b Resident) int { return cmp.Compare(a.Model, b.Model) })
	for _, m := range models {
		text = fmt.Appendf(text, " %q %q", m.Model, slices.Sorted(slices.Values(m.Adapters)))
	}
	return text
}

// Has reports whether a model, and an adapter of it unless that is empty, can
// run.
func (h Holdings) Has(name, adapter model.Name) bool {
	for _, r := range h.Models {
		if r.Model == name {
			return adapter == "" || slices.Contains(r.Adapters, adapter)
		}
	}
	return false
}

// lapseGrace is the time after an outage of the platform's store in which
// registrations that lapsed during the outage come back. The platform's
// documentation gives it as two seconds.
const lapseGrace = 2 * time.Second

// outageTail is the time after an outage in which removals may still stem from
// leases that ran out in it. It is one heartbeat of the targets.
const outageTail = 1500 * time.Millisecond

// Roster is the set of registered targets. It may be used concurrently.
type Roster struct {
	clock boottime.Clock

	mu      sync.Mutex
	targets map[target.ID]entry
	// addresses are the ids that are registered at each address.
	addresses map[string][]target.ID
	changed   chan struct{}
	// all and ready are the lists that were last asked for, ordered by id. They are
	// made anew after each change, and end when the first lapsed registration does.
	all        []Target
	ready      map[target.Pool][]Target
	listsUntil boottime.Instant
	// digests are those of all, or nil before they are asked for.
	digests *Digests
	// regained is when the store was last reached again after an outage.
	regained boottime.Instant
	outage   bool
}

type entry struct {
	target Target
	// lapsed is set when the registration was removed around an outage.
	lapsed bool
	until  boottime.Instant
}

// New returns an empty Roster.
func New(clock boottime.Clock) *Roster {
	return &Roster{clock: clock, targets: map[target.ID]entry{}, addresses: map[string][]target.ID{}, changed: make(chan struct{})}
}

// Put adds or replaces a target. An older registration at the same address is
// that of a target that is gone.
func (r *Roster) Put(t Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(t.ID)
	for _, id := range slices.Clone(r.addresses[t.Address]) {
		if r.targets[id].target.Revision < t.Revision {
			r.forget(id)
		}
	}
	r.targets[t.ID] = entry{target: t}
	r.addresses[t.Address] = append(r.addresses[t.Address], t.ID)
	r.notify()
}

// forget removes what is known of an id.
func (r *Roster) forget(id target.ID) {
	e, ok := r.targets[id]
	if !ok {
		return
	}
	delete(r.targets, id)
	address := e.target.Address
	r.addresses[address] = slices.DeleteFunc(r.addresses[address], func(other target.ID) bool { return other == id })
	if len(r.addresses[address]) == 0 {
		delete(r.addresses, address)
	}
}

// Remove takes note that a registration is gone. Around an outage of the store
// the target stays for a while, since its registration may have lapsed only
// because it could not be renewed.
func (r *Roster) Remove(id target.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.targets[id]
	if !ok {
		return
	}
	now := r.clock.Now()
	lapse := r.regained != 0 && now.Sub(r.regained) < outageTail
	if !lapse || e.target.Draining {
		r.forget(id)
		r.notify()
		return
	}
	e.lapsed, e.until = true, r.regained.Add(lapseGrace)
	r.targets[id] = e
	r.dropLists()
}

// Drop removes a target at once.
func (r *Roster) Drop(id target.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.targets[id]; ok {
		r.forget(id)
		r.notify()
	}
}

// Replace takes the whole list of registrations, as read from the store.
func (r *Roster) Replace(targets []Target) {
	seen := map[target.ID]bool{}
	for _, t := range targets {
		seen[t.ID] = true
		r.Put(t)
	}
	for _, id := range r.ids() {
		if !seen[id] {
			r.Remove(id)
		}
	}
}

func (r *Roster) ids() []target.ID {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := make([]target.ID, 0, len(r.targets))
	for id := range r.targets {
		ids = append(ids, id)
	}
	return ids
}

// StoreLost takes note that the store can't be reached.
func (r *Roster) StoreLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outage = true
}

// StoreRegained takes note that the store is reached.
func (r *Roster) StoreRegained() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outage {
		r.outage, r.regained = false, r.clock.Now()
	}
}

// Ready returns the targets of a pool that may get requests, ordered by id. The
// slice is not to be changed.
func (r *Roster) Ready(pool target.Pool) []Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.makeLists()
	return r.ready[pool]
}

// All returns all targets that are known, ordered by id. The slice is not to be
// changed; it is another one after each change.
func (r *Roster) All() []Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.makeLists()
	return r.all
}

// Digests returns those of all targets that are known.
func (r *Roster) Digests() Digests {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.makeLists()
	if r.digests == nil {
		r.digests = &Digests{}
		for _, t := range r.all {
			r.digests[BucketOf(t.ID)] ^= t.Digest()
		}
	}
	return *r.digests
}

// SetModels takes note of the models that a start of a target holds, by a word that is
// newer than its registration.
func (r *Roster) SetModels(id target.ID, start Start, models []Resident) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.targets[id]
	if !ok || e.target.Start != start {
		return
	}
	e.target.Holdings.Models = models
	r.targets[id] = e
	r.notify()
}

// makeLists makes the lists anew if they don't hold any more.
func (r *Roster) makeLists() {
	now := r.clock.Now()
	if r.ready != nil && (r.listsUntil == 0 || now.Before(r.listsUntil)) {
		return
	}
	r.dropLists()
	r.all, r.ready, r.listsUntil = make([]Target, 0, len(r.targets)), map[target.Pool][]Target{}, 0
	for id, e := range r.targets {
		switch {
		case e.lapsed && !now.Before(e.until):
			r.forget(id)
			continue
		case e.lapsed && (r.listsUntil == 0 || e.until.Before(r.listsUntil)):
			r.listsUntil = e.until
		}
		r.all = append(r.all, e.target)
	}
	slices.SortFunc(r.all, func(a, b Target) int { return strings.Compare(string(a.ID), string(b.ID)) })
	for _, t := range r.all {
		if !t.Draining {
			r.ready[t.Pool] = append(r.ready[t.Pool], t)
		}
	}
}

// dropLists has the lists made anew.
func (r *Roster) dropLists() { r.all, r.ready, r.digests = nil, nil, nil }

// Get returns the target of an id.
func (r *Roster) Get(id target.ID) (Target, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.targets[id]
	if ok && e.lapsed && !r.clock.Now().Before(e.until) {
		return Target{}, false
	}
	return e.target, ok
}

// Changed returns a channel that is closed at the next change.
func (r *Roster) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

func (r *Roster) notify() {
	r.dropLists()
	close(r.changed)
	r.changed = make(chan struct{})
}
