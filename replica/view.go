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

// counter counts a host's requests at one replica.
type counter struct {
	running atomic.Int64
	// started counts the requests since the owner was told.
	started atomic.Int64
}

// groupView is what a host knows of one group.
type groupView struct {
	seen     DigestSequence
	listings []Listing
	toldAt   time.Time
	// toldRunning counts the replicas with requests when the owner was told.
	toldRunning int
}

// view is what a host knows of replicas and of the load of targets.
type view struct {
	mu       sync.RWMutex
	layout   *layout
	groups   map[GroupKey]*groupView
	replicas map[model.Name][]Replica
	listed   map[replicaKey]bool
	counters map[replicaKey]*counter
	loads    map[target.ID]Load
}

func newView() *view {
	return &view{
		groups:   make(map[GroupKey]*groupView),
		replicas: make(map[model.Name][]Replica),
		listed:   make(map[replicaKey]bool),
		counters: make(map[replicaKey]*counter),
		loads:    make(map[target.ID]Load),
	}
}

func (v *view) ready(name model.Name) []Replica {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.replicas[name]
}

func (v *view) load(id target.ID) (Load, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	l, ok := v.loads[id]
	return l, ok
}

// begin counts a request at a replica, unless it isn't listed any more.
func (v *view) begin(key replicaKey) (*counter, bool) {
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

// relayout takes in a new configuration.
func (v *view) relayout(l *layout) {
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

// apply takes in a digest and reports whether it is newer than the last one.
func (v *view) apply(key GroupKey, d Digest) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	g := v.group(key)
	if !g.seen.before(d.Sequence) {
		return false
	}
	g.seen = d.Sequence
	g.listings = d.Listings
	v.rebuild()
	return true
}

// add lists a replica that an owner named in an answer, unless a digest that is
// as new has told already.
func (v *view) add(key GroupKey, at DigestSequence, r Replica) {
	v.mu.Lock()
	defer v.mu.Unlock()
	g := v.group(key)
	listing := Listing{Target: r.Target, Ref: r.Ref}
	if !g.seen.before(at) || slices.Contains(g.listings, listing) {
		return
	}
	g.listings = append(slices.Clone(g.listings), listing)
	v.rebuild()
}

func (v *view) setLoads(loads map[target.ID]Load) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, l := range loads {
		v.loads[id] = l
	}
}

// use returns what is to be told to a group's owner, and starts counting anew.
func (v *view) use(key GroupKey) (seen DigestSequence, uses []Use) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	for k, c := range v.counters {
		if !v.ofGroup(k, key) {
			continue
		}
		u := Use{Target: k.target, Model: k.name, Started: int(c.started.Swap(0)), Running: int(c.running.Load())}
		if u.Started > 0 || u.Running > 0 {
			uses = append(uses, u)
		}
	}
	slices.SortFunc(uses, func(a, b Use) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Model, b.Model))
	})
	if g := v.groups[key]; g != nil {
		seen = g.seen
	}
	return seen, uses
}

// due reports whether a group's owner is to be told again, and notes it: at once
// when requests have ended, else from time to time.
func (v *view) due(key GroupKey, now time.Time, near bool) bool {
	running, started := v.requests(key)
	v.mu.Lock()
	defer v.mu.Unlock()
	g := v.group(key)
	every := farRestEvery
	switch {
	case running < g.toldRunning:
		every = 0
	case running > 0 || started:
		every = useEvery
	case near:
		every = restEvery
	}
	if now.Sub(g.toldAt) < every {
		return false
	}
	g.toldAt = now
	g.toldRunning = running
	return true
}

// requests counts the replicas of a group at which this host has requests, and
// reports whether any request was begun since the owner was told.
func (v *view) requests(key GroupKey) (running int, started bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	for k, c := range v.counters {
		if !v.ofGroup(k, key) {
			continue
		}
		if c.running.Load() > 0 {
			running++
		}
		started = started || c.started.Load() > 0
	}
	return running, started
}

// ofGroup reports whether a replica's target is in a group.
func (v *view) ofGroup(k replicaKey, key GroupKey) bool {
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

// rebuild makes the replicas of each model anew. Readers keep the old slices.
func (v *view) rebuild() {
	v.replicas = make(map[model.Name][]Replica)
	v.listed = make(map[replicaKey]bool)
	for _, key := range v.layout.groups {
		g, ok := v.groups[key]
		if !ok {
			continue
		}
		for _, l := range g.listings {
			v.list(l)
		}
	}
	for k, c := range v.counters {
		if !v.listed[k] && c.running.Load() == 0 && c.started.Load() == 0 {
			delete(v.counters, k)
		}
	}
}

func (v *view) list(l Listing) {
	t, ok := v.layout.byID[l.Target]
	if !ok {
		return
	}
	k := replicaKey{l.Target, l.Ref.Name}
	v.listed[k] = true
	if v.counters[k] == nil {
		v.counters[k] = &counter{}
	}
	r := Replica{Ref: l.Ref, Target: l.Target, Address: t.Address, Domain: t.Domain}
	v.replicas[l.Ref.Name] = append(v.replicas[l.Ref.Name], r)
}
