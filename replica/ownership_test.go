package replica

import (
	"sync"
	"time"

	"hawthornway/fleet"
	"hawthornway/member"
	"hawthornway/target"
)

// fakeOwnership replaces membership: one host owns all shards of the domain
// while its lease promises last.
type fakeOwnership struct {
	sim      *simulation
	stopping chan struct{}

	mu         sync.Mutex
	hosts      []*testHost
	owner      *testHost
	fence      target.Fence
	since      time.Time
	handedOver bool
	promisedAt map[*testHost]time.Time
	// knownFence is the latest fence that each host knows.
	knownFence map[*testHost]target.Fence
	ownerOf    map[target.Fence]*testHost
	// frozenUntil is the last time at which each host was seen frozen or dead.
	frozenUntil map[*testHost]time.Time
	// cuts counts the hosts that each host is cut off from.
	cuts        map[*testHost]int
	changed     chan struct{}
	handingOver bool
}

const (
	promiseTTL  = 6 * time.Second
	leaseMargin = time.Second
)

func newFakeOwnership(sim *simulation) *fakeOwnership {
	return &fakeOwnership{
		sim: sim, stopping: make(chan struct{}), promisedAt: make(map[*testHost]time.Time), knownFence: make(map[*testHost]target.Fence),
		ownerOf: make(map[target.Fence]*testHost), frozenUntil: make(map[*testHost]time.Time),
		cuts: make(map[*testHost]int), changed: make(chan struct{}),
	}
}

func (o *fakeOwnership) add(h *testHost) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.hosts = append(o.hosts, h)
	if o.owner == nil {
		o.setOwner(h, true)
	}
}

// setOwner makes a host the owner of all shards. The lock must be held.
func (o *fakeOwnership) setOwner(h *testHost, handedOver bool) {
	o.owner = h
	o.fence++
	o.since = time.Now()
	o.handedOver = handedOver
	o.ownerOf[o.fence] = h
	close(o.changed)
	o.changed = make(chan struct{})
}

func (o *fakeOwnership) start() {
	o.renewPromises()
	go func() {
		ticker := time.NewTicker(500 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-o.stopping:
				return
			case <-ticker.C:
				o.renewPromises()
			}
		}
	}()
}

func (o *fakeOwnership) stop() { close(o.stopping) }

// renewPromises renews the promises to the hosts that can be reached, and makes
// another host the owner once the promises to an unreachable owner have
// expired.
func (o *fakeOwnership) renewPromises() {
	o.sim.mu.Lock()
	storeDown := o.sim.storeDown
	o.sim.mu.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	for _, h := range o.hosts {
		if !h.alive() {
			o.frozenUntil[h] = now
			continue
		}
		o.knownFence[h] = o.fence
		if o.cuts[h] == 0 {
			o.promisedAt[h] = now
		}
	}
	if storeDown || now.Sub(o.promisedAt[o.owner]) < promiseTTL {
		return
	}
	for _, h := range o.hosts {
		if h.alive() && h != o.owner {
			o.setOwner(h, false)
			return
		}
	}
}

// handOver makes a host the owner after the previous owner has released the
// shards.
func (o *fakeOwnership) handOver(to *testHost) {
	o.mu.Lock()
	o.handingOver = true
	from := o.owner
	o.mu.Unlock()
	for range 100 {
		if from.CanRelease(from.ownRunners()[0].key.Shard) {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.handingOver = false
	o.setOwner(to, true)
}

// addCuts adds n to the number of cuts of two hosts; n is negative when a cut
// ends.
func (o *fakeOwnership) addCuts(a, b *testHost, n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cuts[a] += n
	o.cuts[b] += n
}

func (o *fakeOwnership) frozenAfter(h *testHost, since time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.frozenUntil[h].After(since)
}

func (o *fakeOwnership) forHost(h *testHost) hostOwnership { return hostOwnership{o, h} }

// hostOwnership is one host's view of the ownership.
type hostOwnership struct {
	ownership *fakeOwnership
	host      *testHost
}

func (v hostOwnership) Self() fleet.Member { return v.host.member }

func (v hostOwnership) Lease(shard member.Shard, checksFence bool) (member.Lease, bool) {
	return v.lease(shard, checksFence)
}

func (v hostOwnership) lease(shard member.Shard, checksFence bool) (member.Lease, bool) {
	v.ownership.mu.Lock()
	defer v.ownership.mu.Unlock()
	known := v.ownership.knownFence[v.host]
	if known == 0 || v.ownership.ownerOf[known] != v.host || v.ownership.handingOver {
		return member.Lease{}, false
	}
	until := v.ownership.promisedAt[v.host].Add(promiseTTL - leaseMargin)
	lease := member.Lease{Shard: shard, Fence: known, Until: until, Since: v.ownership.since, HandedOver: v.ownership.handedOver}
	return lease, checksFence || time.Now().Before(until)
}

func (v hostOwnership) Owner(domain fleet.DomainID, _ member.Shard) (fleet.Member, bool) {
	o := v.ownership.sim.ownershipOf(domain)
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.fence
	if o == v.ownership {
		known = o.knownFence[v.host]
	}
	owner := o.ownerOf[known]
	if owner == nil {
		return fleet.Member{}, false
	}
	return owner.member, true
}

func (v hostOwnership) Members(domain fleet.DomainID) []fleet.Member {
	o := v.ownership.sim.ownershipOf(domain)
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

func (v hostOwnership) Domains() []fleet.DomainID { return []fleet.DomainID{"d", "far"} }

func (v hostOwnership) Reachable(fleet.DomainID) bool { return true }

func (v hostOwnership) Changed() <-chan struct{} {
	v.ownership.mu.Lock()
	defer v.ownership.mu.Unlock()
	return v.ownership.changed
}
