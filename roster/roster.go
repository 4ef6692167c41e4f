// Package roster tracks the targets that are registered with the platform, and which
// of them may get requests.
package roster

import (
	"cmp"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornway/boottime"
	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/model"
	"hawthornway/target"
)

// StartID identifies one start of a target.
type StartID int64

// Sequence counts the orders that an engine has accepted since its start.
type Sequence uint64

// Target is the registration of a target.
type Target struct {
	ID      target.ID
	Start   StartID
	Pool    target.Pool
	Address string
	Domain  fleet.DomainID
	Version target.Version
	// Slots is the number of requests that the target can run at the same time.
	Slots    int
	Draining bool
	Sequence Sequence
	Holdings Holdings
	// Revision orders the registrations at one address.
	Revision int64
	// ExpiresAt is set if the registration has ended shortly after an outage of the store, and
	// is when the target is gone unless it has been renewed. It is NotBeforeReturn while the
	// store is away again.
	ExpiresAt boottime.Instant
	// ColdLeft is how long the target stays cold, as of the registration. It isn't relayed.
	ColdLeft time.Duration
}

// NotBeforeReturn is later than any instant. A target can't renew its registration before the
// store returns.
const NotBeforeReturn boottime.Instant = math.MaxInt64

// lapsed reports whether the registration has ended and may still be renewed.
func (t Target) lapsed() bool { return t.ExpiresAt != 0 }

// Digest returns a hash of the parts of a registration that matter for routing: all but
// its revision, its sequence, and the weights in memory or on disk. It is zero for one that has
// ended: a roster that has its renewal differs.
func (t Target) Digest() uint64 {
	if t.lapsed() {
		return 0
	}
	text := fmt.Appendf(nil, "%q %d %q %q %q %q %d %t", t.ID, t.Start, t.Pool, t.Address, t.Domain, t.Version, t.Slots, t.Draining)
	return xxhash.Sum64(t.Holdings.appendModels(text))
}

// SameRegistration reports whether two registrations are equal apart from their revisions,
// sequences and holdings.
func (t Target) SameRegistration(other Target) bool {
	return t.ExpiresAt == other.ExpiresAt && t.ID == other.ID && t.Start == other.Start && t.Pool == other.Pool && t.Address == other.Address &&
		t.Domain == other.Domain && t.Version == other.Version && t.Slots == other.Slots && t.Draining == other.Draining
}

// Buckets is the number of buckets into which targets are divided, so that hosts can
// compare their targets by digests.
const Buckets = 64

// Bucket is the number of a bucket, from zero.
type Bucket int

// BucketOf returns the bucket of a target.
func BucketOf(id target.ID) Bucket { return Bucket(xxhash.Sum64String(string(id)) % Buckets) }

// Digests holds a digest of the targets in each bucket. Rosters with equal digests of a
// bucket hold the same targets in it.
type Digests [Buckets]uint64

// Holdings lists the models whose weights an engine has.
type Holdings struct {
	Models []Resident
	// InMemory and OnDisk name the models whose weights are cached in the engine's host
	// memory or on its disk.
	InMemory []model.Name
	OnDisk   []model.Name
}

// Resident is a loaded model with its loaded adapters.
type Resident struct {
	Model    model.Name
	Adapters []model.Name
}

// SameModels reports whether both hold the same models and adapters, in any order.
func (h Holdings) SameModels(other Holdings) bool {
	return string(h.appendModels(nil)) == string(other.appendModels(nil))
}

// appendModels appends the models and adapters as text, sorted by name.
func (h Holdings) appendModels(text []byte) []byte {
	models := slices.SortedFunc(slices.Values(h.Models), func(a, b Resident) int { return cmp.Compare(a.Model, b.Model) })
	for _, m := range models {
		text = fmt.Appendf(text, " %q %q", m.Model, slices.Sorted(slices.Values(m.Adapters)))
	}
	return text
}

// Has reports whether a model is loaded and, if an adapter is named, the adapter as well.
func (h Holdings) Has(name, adapter model.Name) bool {
	for _, r := range h.Models {
		if r.Model == name {
			return adapter == "" || slices.Contains(r.Adapters, adapter)
		}
	}
	return false
}

// lapseGrace is the time after an outage of the platform's store in which targets renew
// registrations that lapsed during the outage. The platform's documentation states two
// seconds.
const lapseGrace = 2 * time.Second

// lapseWindow is the time after an outage in which removals may still be caused by
// leases that expired during the outage. It is one heartbeat interval of the targets.
const lapseWindow = 1500 * time.Millisecond

// Roster is the set of registered targets. It is safe for concurrent use.
type Roster struct {
	clock boottime.Clock
	log   *slog.Logger

	mu      sync.Mutex
	targets map[target.ID]entry
	// addresses holds the IDs that are registered at each address.
	addresses map[string][]target.ID
	changed   chan struct{}
	// versions counts the targets of each pool by version, and versionsChanged is closed at
	// the next change of the versions that have any.
	versions        map[target.Pool]map[target.Version]int
	versionsChanged chan struct{}
	// all and ready are cached lists, ordered by ID. They are rebuilt after each change
	// and when the first lapsed registration expires, at listsValidUntil.
	all             []Target
	ready           map[target.Pool][]Target
	listsValidUntil boottime.Instant
	// digests caches the digests of all, or is nil.
	digests *Digests
	// storeRegainedAt is when the last outage of the store ended, or zero. StoreLostAt is when
	// the present one began while storeLost is set.
	storeRegainedAt, storeLostAt boottime.Instant
	storeLost                    bool
	lapses                       int
	// storeChanges counts the changes that were read from the store, up to newestChange.
	storeChanges int
	newestChange keyvalue.Revision
	// leaving holds when targets have said that they leave, and pausedUntil until when
	// targets want no requests from this host.
	leaving     map[startKey]boottime.Instant
	pausedUntil map[startKey]boottime.Instant
	// removals holds the removals of targets that aren't registered any more. Old ones are
	// pruned when there are pruneAt.
	removals map[target.ID]removal
	pruneAt  int
	// evacuations are the failure domains whose targets are to get no requests.
	evacuations Evacuations
	// emptyAt holds, for each evacuated domain, when its targets get no requests any more.
	emptyAt map[fleet.DomainID]boottime.Instant
}

// removal is the end of a registration.
type removal struct {
	revision keyvalue.Revision
	at       boottime.Instant
}

// removalTTL is how long a removal is remembered at least. No read of the store takes so long.
const removalTTL = 10 * time.Minute

// minPrune is the number of removals from which old ones are pruned.
const minPrune = 1000

// startKey identifies one start of a target.
type startKey struct {
	id    target.ID
	start StartID
}

type entry struct {
	target Target
	// asOf is the newest store revision as of which the registration is known.
	asOf keyvalue.Revision
	// removedAt is the revision at which a lapsed registration has ended, or zero if that isn't
	// known.
	removedAt keyvalue.Revision
}

// source is where a change of a registration was learned.
type source string

const (
	fromStore source = "store"
	fromRelay source = "relay"
)

// Option sets an option of a Roster.
type Option func(*Roster)

// WithLogger sets the logger of departures.
func WithLogger(log *slog.Logger) Option { return func(r *Roster) { r.log = log } }

// New returns an empty Roster.
func New(clock boottime.Clock, opts ...Option) *Roster {
	r := &Roster{
		clock: clock, log: slog.New(slog.DiscardHandler), targets: map[target.ID]entry{}, addresses: map[string][]target.ID{}, changed: make(chan struct{}),
		versions: map[target.Pool]map[target.Version]int{}, versionsChanged: make(chan struct{}),
		leaving: map[startKey]boottime.Instant{}, pausedUntil: map[startKey]boottime.Instant{}, removals: map[target.ID]removal{}, pruneAt: minPrune,
		emptyAt: map[fleet.DomainID]boottime.Instant{},
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Put adds or replaces a target, unless something newer is known of it. Older registrations
// at the same address belong to targets that no longer exist, and are removed.
func (r *Roster) Put(t Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.put(t, keyvalue.Revision(t.Revision), fromStore)
}

// put applies a registration that is known as of a revision. The store's changes arrive from
// the store and through other hosts, and may overtake each other on the way.
func (r *Roster) put(t Target, asOf keyvalue.Revision, from source) {
	previous, known := r.targets[t.ID]
	if r.isOutdated(t, asOf) {
		if known && previous.target.Draining && !t.Draining {
			r.log.Info("roster: ignored an older registration of a target that leaves", "target", t.ID, "start", t.Start, "from", from, "revision", t.Revision, "known", previous.asOf)
		}
		return
	}
	if _, leaves := r.leaving[startKey{t.ID, t.Start}]; leaves {
		t.Draining = true // the registration lags behind
	}
	if known && t.Draining && !previous.target.Draining {
		r.log.Info("roster: target leaves", "target", t.ID, "start", t.Start, "from", from, "revision", t.Revision, "as-of", asOf)
	}
	r.deleteEntry(t.ID)
	for _, id := range slices.Clone(r.addresses[t.Address]) {
		if r.targets[id].target.Revision < t.Revision {
			r.deleteEntry(id)
		}
	}
	if from == fromStore && (!known || !t.SameRegistration(previous.target)) {
		r.countStoreChange(asOf)
	}
	r.targets[t.ID] = entry{target: t, asOf: asOf}
	delete(r.removals, t.ID)
	r.countVersion(t, 1)
	r.addresses[t.Address] = append(r.addresses[t.Address], t.ID)
	r.notify()
}

// isOutdated reports whether more is known of a target than its registration as of a revision.
func (r *Roster) isOutdated(t Target, asOf keyvalue.Revision) bool {
	if e, ok := r.targets[t.ID]; ok && (asOf < e.asOf || e.removedAt != 0 && keyvalue.Revision(t.Revision) <= e.removedAt) {
		return true
	}
	if removed, ok := r.removals[t.ID]; ok && asOf <= removed.revision {
		return true
	}
	return slices.ContainsFunc(r.addresses[t.Address], func(id target.ID) bool { return id != t.ID && t.Revision < r.targets[id].target.Revision })
}

// recordRemoval remembers the removal of a target at a revision, or at an unknown one if that
// is zero.
func (r *Roster) recordRemoval(id target.ID, revision keyvalue.Revision) {
	if asOf := r.targets[id].asOf; revision < asOf {
		revision = asOf - 1 // the last known registration may still be confirmed
	}
	if revision <= r.removals[id].revision {
		return
	}
	now := r.clock.Now()
	if len(r.removals) >= r.pruneAt {
		maps.DeleteFunc(r.removals, func(_ target.ID, removed removal) bool { return now.Sub(removed.at) > removalTTL })
		r.pruneAt = max(minPrune, 2*len(r.removals))
	}
	r.removals[id] = removal{revision, now}
}

// RemovedAt returns the store revision of the removal of a target, or zero if it isn't known.
func (r *Roster) RemovedAt(id target.ID) keyvalue.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.removals[id].revision
}

// deleteEntry removes an ID and its address.
func (r *Roster) deleteEntry(id target.ID) {
	e, ok := r.targets[id]
	if !ok {
		return
	}
	delete(r.targets, id)
	r.countVersion(e.target, -1)
	address := e.target.Address
	r.addresses[address] = slices.DeleteFunc(r.addresses[address], func(other target.ID) bool { return other == id })
	if len(r.addresses[address]) == 0 {
		delete(r.addresses, address)
	}
}

// Remove removes a registration that ended at a revision, or at an unknown one if that is
// zero, unless it was renewed since then. Shortly after an outage of the store, a target that
// isn't draining stays until lapseGrace has passed, since its registration may only have
// lapsed because it could not be renewed.
func (r *Roster) Remove(id target.ID, revision keyvalue.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.targets[id]
	if revision != 0 && revision < max(e.asOf, r.removals[id].revision) {
		return
	}
	now := r.clock.Now()
	lapse := r.storeRegainedAt != 0 && now.Sub(r.storeRegainedAt) < lapseWindow
	if !ok || !lapse || e.target.Draining {
		r.drop(id, revision, fromStore)
		return
	}
	if e.target.lapsed() {
		return
	}
	r.lapses++
	e.target.ExpiresAt = r.storeRegainedAt.Add(lapseGrace)
	r.lapse(e, revision)
}

// lapse keeps a target whose registration has ended at a revision, or at an unknown one if that is
// zero, until its ExpiresAt.
func (r *Roster) lapse(e entry, removedAt keyvalue.Revision) {
	e.asOf, e.removedAt = max(e.asOf, removedAt), removedAt
	r.targets[e.target.ID] = e
	r.invalidateLists()
}

// expire removes a lapsed target that hasn't been renewed.
func (r *Roster) expire(e entry) {
	r.log.Info("roster: target is gone", "target", e.target.ID, "start", e.target.Start, "from", "lapse", "revision", e.removedAt)
	r.recordRemoval(e.target.ID, e.removedAt)
	r.countStoreChange(e.removedAt)
	r.deleteEntry(e.target.ID)
}

// Drop removes a target immediately, even after an outage. The revision is that of its
// removal, or zero if that isn't known.
func (r *Roster) Drop(id target.ID, revision keyvalue.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drop(id, revision, fromRelay)
}

func (r *Roster) drop(id target.ID, revision keyvalue.Revision, from source) {
	r.recordRemoval(id, revision)
	if e, ok := r.targets[id]; ok {
		if !e.target.Draining {
			r.log.Info("roster: target is gone", "target", id, "start", e.target.Start, "from", from, "revision", revision)
		}
		if from == fromStore {
			r.countStoreChange(revision)
		}
		r.deleteEntry(id)
		r.notify()
	}
}

// Replace applies the complete list of registrations, as read from the store at a revision.
func (r *Roster) Replace(targets []Target, at keyvalue.Revision) {
	seen := map[target.ID]bool{}
	for _, t := range targets {
		seen[t.ID] = true
		r.Put(t)
	}
	for _, id := range r.ids() {
		if !seen[id] {
			r.Remove(id, at)
		}
	}
}

// Changes are changes of registrations that another host relays.
type Changes struct {
	Changed []Target
	Removed []Removed
	// Lapsed lists targets whose registrations have ended, and which the other host keeps in
	// case they are renewed.
	Lapsed []Lapsed
	// All lists every registered target of Buckets.
	All     []target.ID
	Buckets []Bucket
	// At is the store revision up to which the other host had read the store at least.
	At keyvalue.Revision
}

// Removed is a target whose registration has ended.
type Removed struct {
	ID target.ID
	// Revision is the store revision of the removal, or zero if it isn't known.
	Revision keyvalue.Revision
}

// Lapsed is a target whose registration has ended, and the time for which it may be renewed.
type Lapsed struct {
	Target Target
	Left   time.Duration
	// Held is set if the time begins when the store returns, which is away.
	Held bool
}

// Update applies changes that another host relays. Caches of weights and sequences aren't
// relayed, and stay.
func (r *Roster) Update(changes Changes) {
	for _, t := range changes.Changed {
		r.putRelayed(t, changes.At)
	}
	for _, removed := range changes.Removed {
		r.Drop(removed.ID, max(removed.Revision, changes.At))
	}
	for _, lapsed := range changes.Lapsed {
		r.lapseRelayed(lapsed, changes.At)
	}
	if len(changes.Buckets) == 0 {
		return
	}
	registered := make(map[target.ID]bool, len(changes.All))
	for _, id := range changes.All {
		registered[id] = true
	}
	for _, t := range r.All() {
		if !registered[t.ID] && slices.Contains(changes.Buckets, BucketOf(t.ID)) {
			r.dropUnlisted(t.ID, changes.At)
		}
	}
}

// dropUnlisted removes a target that a host which had read the store up to a revision doesn't
// know, unless that host is behind.
func (r *Roster) dropUnlisted(id target.ID, at keyvalue.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.targets[id].asOf <= at || at == 0 {
		r.drop(id, at, fromRelay)
	}
}

// putRelayed applies a registration that was relayed by a host that had read the store up to
// a revision at least. That host may know from the target itself that it leaves, while its
// registration doesn't say so.
func (r *Roster) putRelayed(t Target, at keyvalue.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	asOf := max(keyvalue.Revision(t.Revision), at)
	e, ok := r.targets[t.ID]
	if ok && e.target.Start == t.Start {
		t.Holdings.InMemory, t.Holdings.OnDisk, t.Sequence = e.target.Holdings.InMemory, e.target.Holdings.OnDisk, e.target.Sequence
		if t.Draining && !e.target.Draining && asOf < e.asOf {
			r.log.Info("roster: target leaves", "target", t.ID, "start", t.Start, "from", fromRelay, "revision", t.Revision, "as-of", asOf)
			e.target.Draining = true
			r.targets[t.ID] = e
			r.notify()
		}
	}
	r.put(t, asOf, fromRelay)
}

// lapseRelayed keeps a target whose registration has ended, as relayed by a host that had read the
// store up to a revision at least, unless more is known of it here.
func (r *Roster) lapseRelayed(lapsed Lapsed, at keyvalue.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := lapsed.Target
	if _, ok := r.targets[t.ID]; !ok {
		r.put(t, keyvalue.Revision(t.Revision), fromRelay)
	}
	e, ok := r.targets[t.ID]
	if !ok || at < e.asOf || e.target.Revision > t.Revision {
		return
	}
	if e.target.Draining {
		r.drop(t.ID, at, fromRelay)
		return
	}
	e.target.ExpiresAt = r.clock.Now().Add(lapsed.Left)
	if lapsed.Held {
		r.storeAway()
		e.target.ExpiresAt = NotBeforeReturn
	}
	r.lapse(e, max(e.removedAt, keyvalue.Revision(t.Revision)))
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

// StoreLost records that the store can't be reached.
func (r *Roster) StoreLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeAway()
}

// storeAway begins an outage of the store, unless there is one.
func (r *Roster) storeAway() {
	if !r.storeLost {
		r.storeLost, r.storeLostAt = true, r.clock.Now()
		r.expireLapsed(NotBeforeReturn)
	}
}

// storeReturned ends an outage of the store. Targets whose registrations lapsed have some time
// again to renew them.
func (r *Roster) storeReturned() {
	r.storeLost, r.storeRegainedAt = false, r.clock.Now()
	r.expireLapsed(r.storeRegainedAt.Add(lapseGrace))
}

// expireLapsed sets when the targets are gone whose registrations have lapsed.
func (r *Roster) expireLapsed(at boottime.Instant) {
	for id, e := range r.targets {
		if e.target.lapsed() && (at == NotBeforeReturn || e.target.ExpiresAt == NotBeforeReturn) {
			e.target.ExpiresAt = at
			r.targets[id] = e
			r.invalidateLists()
		}
	}
}

// StoreRegained records that the store can be reached.
func (r *Roster) StoreRegained() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.storeLost {
		r.storeReturned()
	}
}

// StoreRelayed records that another host, which relays the store's state, had reached the
// store at an instant.
func (r *Roster) StoreRelayed(at boottime.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.storeLost && r.storeLostAt < at {
		r.storeReturned()
	}
}

// Ready returns the targets of a pool that may get requests, ordered by ID. Callers must
// not modify the slice.
func (r *Roster) Ready(pool target.Pool) []Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshLists()
	return r.ready[pool]
}

// All returns all known targets, ordered by ID. Callers must not modify the slice. A new
// slice is returned after each change, and the same one until then.
func (r *Roster) All() []Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshLists()
	return r.all
}

// Digests returns the digests of all known targets, without those that have lapsed: a roster
// that has their renewal differs.
func (r *Roster) Digests() Digests {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshLists()
	if r.digests == nil {
		r.digests = &Digests{}
		for id, e := range r.targets {
			r.digests[BucketOf(id)] ^= e.target.Digest()
		}
	}
	return *r.digests
}

// StoreChanges returns how many changes of registrations were read from the store so far, and
// the revision of the newest one. What only renews a registration, or changes its models,
// doesn't count.
func (r *Roster) StoreChanges() (n int, newest keyvalue.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.storeChanges, r.newestChange
}

// countStoreChange counts a change that was read from the store.
func (r *Roster) countStoreChange(revision keyvalue.Revision) {
	r.storeChanges++
	r.newestChange = max(r.newestChange, revision)
}

// Lapses returns how often registrations have lapsed so far.
func (r *Roster) Lapses() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lapses
}

// SetModels sets the models of a target from a source newer than its registration. It does
// nothing if the target has another start.
func (r *Roster) SetModels(id target.ID, start StartID, models []Resident) {
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

// refreshLists rebuilds the cached lists if they are no longer valid, and removes expired
// registrations.
func (r *Roster) refreshLists() {
	now := r.clock.Now()
	if r.ready != nil && (r.listsValidUntil == 0 || now.Before(r.listsValidUntil)) {
		return
	}
	r.invalidateLists()
	r.all, r.ready, r.listsValidUntil = make([]Target, 0, len(r.targets)), map[target.Pool][]Target{}, 0
	for _, e := range r.targets {
		switch {
		case e.target.lapsed() && !now.Before(e.target.ExpiresAt):
			r.expire(e)
			continue
		case e.target.lapsed() && (r.listsValidUntil == 0 || e.target.ExpiresAt.Before(r.listsValidUntil)):
			r.listsValidUntil = e.target.ExpiresAt
		}
		r.all = append(r.all, e.target)
	}
	slices.SortFunc(r.all, func(a, b Target) int { return strings.Compare(string(a.ID), string(b.ID)) })
	pauses := len(r.pausedUntil) > 0
	for _, t := range r.all {
		var until boottime.Instant
		if pauses {
			until = r.pausedUntil[startKey{t.ID, t.Start}]
		}
		switch {
		case t.Draining:
		case r.emptied(t.Domain, now):
		case now.Before(until):
			if r.listsValidUntil == 0 || until.Before(r.listsValidUntil) {
				r.listsValidUntil = until
			}
		default:
			r.ready[t.Pool] = append(r.ready[t.Pool], t)
		}
	}
}

// invalidateLists discards the cached lists.
func (r *Roster) invalidateLists() { r.all, r.ready, r.digests = nil, nil, nil }

// Get returns the target with an ID.
func (r *Roster) Get(id target.ID) (Target, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.targets[id]
	if ok && e.target.lapsed() && !r.clock.Now().Before(e.target.ExpiresAt) {
		return Target{}, false
	}
	return e.target, ok
}

// At returns the targets that are registered at an address.
func (r *Roster) At(address string) []Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	targets := make([]Target, 0, len(r.addresses[address]))
	for _, id := range r.addresses[address] {
		targets = append(targets, r.targets[id].target)
	}
	return targets
}

// ReadyAt reports whether a target at an address may get requests.
func (r *Roster) ReadyAt(address string) bool {
	return slices.ContainsFunc(r.At(address), func(t Target) bool {
		return slices.ContainsFunc(r.Ready(t.Pool), func(ready Target) bool { return ready.ID == t.ID })
	})
}

// Changed returns a channel that is closed at the next change.
func (r *Roster) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// notify discards the cached lists and closes the channel that Changed returned.
func (r *Roster) notify() {
	r.invalidateLists()
	close(r.changed)
	r.changed = make(chan struct{})
}
