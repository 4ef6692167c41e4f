package replica

import (
	"sync"
	"time"

	"hawthornway/fleet"
	"hawthornway/member"
	"hawthornway/target"
)

// fakeOwners stands for membership: every host owns the shards that the table
// gives it while its pledges last.
type fakeOwners struct {
	w      *world
	ending chan struct{}

	mu      sync.Mutex
	hosts   []*testHost
	owner   *testHost
	fence   target.Fence
	since   time.Time
	handed  bool
	pledged map[*testHost]time.Time
	// knows is the fence that a host knows of.
	knows       map[*testHost]target.Fence
	ownerOf     map[target.Fence]*testHost
	frozenUntil map[*testHost]time.Time
	// cuts counts the hosts that a host is cut off.
	cuts     map[*testHost]int
	changed  chan struct{}
	yielding bool
}

const (
	pledgeTime   = 6 * time.Second
	pledgeMargin = time.Second
)

func newFakeOwners(w *world) *fakeOwners {
	return &fakeOwners{
		w: w, ending: make(chan struct{}), pledged: make(map[*testHost]time.Time), knows: make(map[*testHost]target.Fence),
		ownerOf: make(map[target.Fence]*testHost), frozenUntil: make(map[*testHost]time.Time),
		cuts: make(map[*testHost]int), changed: make(chan struct{}),
	}
}

func (o *fakeOwners) add(h *testHost) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.hosts = append(o.hosts, h)
	if o.owner == nil {
		o.give(h, true)
	}
}

// give makes a host the owner of all shards; the lock is held.
func (o *fakeOwners) give(h *testHost, handed bool) {
	o.owner = h
	o.fence++
	o.since = time.Now()
	o.handed = handed
	o.ownerOf[o.fence] = h
	close(o.changed)
	o.changed = make(chan struct{})
}

func (o *fakeOwners) start() {
	o.step()
	go func() {
		ticker := time.NewTicker(500 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-o.ending:
				return
			case <-ticker.C:
				o.step()
			}
		}
	}()
}

func (o *fakeOwners) stop() { close(o.ending) }

// step renews the pledges of the hosts that are heard, and gives the shards of
// an owner that is not heard away once its pledges have run out.
func (o *fakeOwners) step() {
	o.w.mu.Lock()
	out := o.w.storeOut
	o.w.mu.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	for _, h := range o.hosts {
		if !h.alive() {
			o.frozenUntil[h] = now
			continue
		}
		o.knows[h] = o.fence
		if o.cuts[h] == 0 {
			o.pledged[h] = now
		}
	}
	if out || now.Sub(o.pledged[o.owner]) < pledgeTime {
		return
	}
	for _, h := range o.hosts {
		if h.alive() && h != o.owner {
			o.give(h, false)
			return
		}
	}
}

// handOver gives the shards to a host after the owner has released them.
func (o *fakeOwners) handOver(to *testHost) {
	o.mu.Lock()
	o.yielding = true
	from := o.owner
	o.mu.Unlock()
	for range 100 {
		if from.Released(from.ownRunners()[0].key.Shard) {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.yielding = false
	o.give(to, true)
}

// cut counts a cut between two hosts, or its end.
func (o *fakeOwners) cut(a, b *testHost, n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cuts[a] += n
	o.cuts[b] += n
}

func (o *fakeOwners) frozenAfter(h *testHost, since time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.frozenUntil[h].After(since)
}

func (o *fakeOwners) view(h *testHost) ownersView { return ownersView{o, h} }

// ownersView is what one host sees of the owners.
type ownersView struct {
	o *fakeOwners
	h *testHost
}

func (v ownersView) Self() fleet.Member { return v.h.member }

func (v ownersView) Lease(shard member.Shard, checksFence bool) (member.Lease, bool) {
	return v.hold(shard, checksFence)
}

func (v ownersView) hold(shard member.Shard, checksFence bool) (member.Lease, bool) {
	v.o.mu.Lock()
	defer v.o.mu.Unlock()
	known := v.o.knows[v.h]
	if known == 0 || v.o.ownerOf[known] != v.h || v.o.yielding {
		return member.Lease{}, false
	}
	until := v.o.pledged[v.h].Add(pledgeTime - pledgeMargin)
	hold := member.Lease{Shard: shard, Fence: known, Until: until, Since: v.o.since, HandedOver: v.o.handed}
	return hold, checksFence || time.Now().Before(until)
}

func (v ownersView) Owner(domain fleet.DomainID, _ member.Shard) (fleet.Member, bool) {
	o := v.o.w.ownersOf(domain)
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.fence
	if o == v.o {
		known = o.knows[v.h]
	}
	owner := o.ownerOf[known]
	if owner == nil {
		return fleet.Member{}, false
	}
	return owner.member, true
}

func (v ownersView) Members(domain fleet.DomainID) []fleet.Member {
	o := v.o.w.ownersOf(domain)
	o.mu.Lock()
	defer o.mu.Unlock()
	var members []fleet.Member
	for _, h := range o.hosts {
		h.mu.Lock()
		if !h.dead {
			members = append(members, h.member)
		}
		h.mu.Unlock()
	}
	return members
}

func (v ownersView) Domains() []fleet.DomainID { return []fleet.DomainID{"d", "far"} }

func (v ownersView) Reachable(fleet.DomainID) bool { return true }

func (v ownersView) Changed() <-chan struct{} {
	v.o.mu.Lock()
	defer v.o.mu.Unlock()
	return v.o.changed
}
