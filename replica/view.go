package replica

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hawthornway/model"
	"hawthornway/target"
)

// requestCounter counts a host's requests at one replica.
type requestCounter struct {
	running atomic.Int64
	// started counts the requests since the owner was last notified.
	started atomic.Int64
}

// groupView is what a host knows of one group.
type groupView struct {
	seenDigest DigestSequence
	listings   []Listing
	notifiedAt time.Time
	// notifiedRunning counts the replicas with requests when the owner was last
	// notified.
	notifiedRunning int
}

// view is what a host knows of all replicas and of the load of targets.
type view struct {
	mu          sync.RWMutex
	layout      *layout
	groups      map[GroupKey]*groupView
	replicas    map[model.Name][]Replica
	listed      map[replicaKey]bool
	counters    map[replicaKey]*requestCounter
	targetLoads map[target.ID]TargetLoad
}

func newView() *view {
	return &view{
		groups:      make(map[GroupKey]*groupView),
		replicas:    make(map[model.Name][]Replica),
		listed:      make(map[replicaKey]bool),
		counters:    make(map[replicaKey]*requestCounter),
		targetLoads: make(map[target.ID]TargetLoad),
	}
}

func (v *view) ready(name model.Name) []Replica {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.replicas[name]
}

func (v *view) targetLoad(id target.ID) (TargetLoad, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	l, ok := v.targetLoads[id]
	return l, ok
}

// begin counts a request at a replica, unless the replica is no longer listed.
func (v *view) begin(key replicaKey) (*requestCounter, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if !v.listed[key] {
		return nil, false
	}
	c := v.counters[key]
	c.running.Add(1)
	c.started.Add(1)
	return c, true
}

// setLayout applies a new configuration.
func (v *view) setLayout(l *layout) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.layout = l
	for key := range v.groups {
		if _, ok := l.targets[key]; !ok {
			delete(v.groups, key)
		}
	}
	v.rebuild()
}

// applyDigest applies a digest and reports whether it was newer than the last
// one.
func (v *view) applyDigest(key GroupKey, d Digest) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	g := v.group(key)
	if !g.seenDigest.before(d.Sequence) {
		return false
	}
	g.seenDigest = d.Sequence
	g.listings = d.Listings
	v.rebuild()
	return true
}

// addReplica lists a replica from an owner's answer, unless a digest that is as
// new has been applied.
func (v *view) addReplica(key GroupKey, at DigestSequence, r Replica) {
	v.mu.Lock()
	defer v.mu.Unlock()
	g := v.group(key)
	listing := Listing{Target: r.Target, Ref: r.Ref}
	if !g.seenDigest.before(at) || slices.Contains(g.listings, listing) {
		return
	}
	g.listings = append(slices.Clone(g.listings), listing)
	v.rebuild()
}

func (v *view) setTargetLoads(loads map[target.ID]TargetLoad) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, l := range loads {
		v.targetLoads[id] = l
	}
}

// takeUses returns this host's use of a group's replicas for the owner, and
// resets the counts of started requests.
func (v *view) takeUses(key GroupKey) (seen DigestSequence, uses []RequestCounts) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	for k, c := range v.counters {
		if !v.inGroup(k, key) {
			continue
		}
		u := RequestCounts{Target: k.target, Model: k.name, Started: int(c.started.Swap(0)), Running: int(c.running.Load())}
		if u.Started > 0 || u.Running > 0 {
			uses = append(uses, u)
		}
	}
	slices.SortFunc(uses, func(a, b RequestCounts) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Model, b.Model))
	})
	if g := v.groups[key]; g != nil {
		seen = g.seenDigest
	}
	return seen, uses
}

// notificationDue reports whether a group's owner is to be notified now, and
// records the notification. It is due at once when fewer replicas have requests
// than at the last notification, otherwise at an interval.
func (v *view) notificationDue(key GroupKey, now time.Time, local bool) bool {
	running, started := v.usedReplicas(key)
	v.mu.Lock()
	defer v.mu.Unlock()
	g := v.group(key)
	interval := remoteIdleUseInterval
	switch {
	case running < g.notifiedRunning:
		interval = 0
	case running > 0 || started:
		interval = activeUseInterval
	case local:
		interval = idleUseInterval
	}
	if now.Sub(g.notifiedAt) < interval {
		return false
	}
	g.notifiedAt = now
	g.notifiedRunning = running
	return true
}

// usedReplicas counts the replicas of a group at which this host has requests,
// and reports whether any request began since the owner was last notified.
func (v *view) usedReplicas(key GroupKey) (running int, started bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	for k, c := range v.counters {
		if !v.inGroup(k, key) {
			continue
		}
		if c.running.Load() > 0 {
			running++
		}
		started = started || c.started.Load() > 0
	}
	return running, started
}

// inGroup reports whether a replica's target is in a group.
func (v *view) inGroup(k replicaKey, key GroupKey) bool {
	at, ok := v.layout.groupOf[k.target]
	return ok && at == key
}

func (v *view) group(key GroupKey) *groupView {
	g, ok := v.groups[key]
	if !ok {
		g = &groupView{}
		v.groups[key] = g
	}
	return g
}

// rebuild builds the replica lists of all models anew. Readers keep the old
// slices.
func (v *view) rebuild() {
	v.replicas = make(map[model.Name][]Replica)
	v.listed = make(map[replicaKey]bool)
	for _, key := range v.layout.groups {
		g, ok := v.groups[key]
		if !ok {
			continue
		}
		for _, l := range g.listings {
			v.addListing(l)
		}
	}
	for k, c := range v.counters {
		if !v.listed[k] && c.running.Load() == 0 && c.started.Load() == 0 {
			delete(v.counters, k)
		}
	}
}

func (v *view) addListing(l Listing) {
	t, ok := v.layout.targetsByID[l.Target]
	if !ok {
		return
	}
	k := replicaKey{l.Target, l.Ref.Name}
	v.listed[k] = true
	if v.counters[k] == nil {
		v.counters[k] = &requestCounter{}
	}
	r := Replica{Ref: l.Ref, Target: l.Target, Address: t.Address, Domain: t.Domain}
	v.replicas[l.Ref.Name] = append(v.replicas[l.Ref.Name], r)
}
