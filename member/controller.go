package member

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"hawthornway/fleet"
	"hawthornway/keyvalue"
)

// Controller maintains this host's membership. It implements Ownership, and
// connects the state machine to the key-value service and to the peers.
type Controller struct {
	self       fleet.Member
	store      keyvalue.Store
	links      Links
	hosts      HostList
	seeds      []string
	settings   Settings
	disabled   disabledMechanisms
	clock      clockwork.Clock
	now        func() instant
	log        *slog.Logger
	isReleased func(Shard) bool
	onInput    func()

	// ctx ends when Run returns; it bounds all background work.
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	watcher *watcher

	mu               sync.Mutex
	machine          *machine
	view             *view
	listedHosts      []fleet.Member
	leased           [Shards]bool
	reachableDomains []fleet.DomainID
	changed          chan struct{}
	started          bool
}

var _ Ownership = (*Controller)(nil)

// New returns a new Controller. WithSelf, WithStore and WithLinks are required.
// It registers its message handlers with the links, so it must be called before
// the links run.
func New(opts ...Option) *Controller {
	c := &Controller{
		clock:      clockwork.NewRealClock(),
		log:        slog.Default(),
		isReleased: func(Shard) bool { return true },
		onInput:    func() {},
		changed:    make(chan struct{}),
		view:       newView(),
	}
	for _, opt := range opts {
		opt(c)
	}
	if c.now == nil {
		c.now = newClockPair(c.clock).now
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.machine = newMachine(c.self, c.settings, c.disabled, c.now())
	c.watcher = newWatcher(c)
	c.registerHandlers()
	return c
}

// Run maintains the membership until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	c.start()
	defer c.stop()
	c.wg.Go(c.watcher.run)
	c.updatePeers()
	ticker := c.clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		c.tick()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}

func (c *Controller) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started = true
}

func (c *Controller) stop() {
	c.mu.Lock()
	c.started = false
	c.notifyWaiters()
	c.mu.Unlock()
	c.cancel()
	c.wg.Wait()
}

func (c *Controller) tick() {
	c.apply(tick{linked: c.linkedPeers()})
	c.releaseShards()
	c.notifyIfLeasesChanged()
}

// linkedPeers returns the peers of this host's domain that have a live link.
func (c *Controller) linkedPeers() []fleet.Member {
	var linked []fleet.Member
	for _, p := range c.links.Peers() {
		if p.Domain == c.self.Domain {
			linked = append(linked, p.Member)
		}
	}
	return linked
}

// apply passes an input to the state machine and performs the resulting effects.
func (c *Controller) apply(in input) {
	c.mu.Lock()
	c.machine.watching = c.watcher.isWatching()
	c.machine.newestRevision = c.view.newestRevision
	effects := c.machine.step(c.now(), in)
	c.mu.Unlock()
	c.onInput()
	for _, e := range effects {
		c.perform(e)
	}
}

func (c *Controller) perform(e effect) {
	switch e := e.(type) {
	case sendHeartbeat:
		// The next heartbeat makes up for a lost one.
		_ = c.links.Notify(e.to, kindHeartbeat, e.heartbeat)
	case swapRecord:
		c.background(func() { c.writeRecord(e) })
	case readRecord:
		c.background(c.readRecords)
	case fetchRecord:
		c.background(func() { c.fetchRecords(e.from) })
	case requestJoin:
		c.background(func() { c.sendJoinRequest(e) })
	case broadcastRecord:
		c.broadcastRecord(c.self.Domain)
	case membershipChanged:
		c.publishChange()
	}
}

// background runs work in a goroutine that Run waits for. It does nothing unless
// Run is running.
func (c *Controller) background(work func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.started {
		c.wg.Go(work)
	}
}

// publishChange copies the machine's record to the view and wakes all waiters.
func (c *Controller) publishChange() {
	c.mu.Lock()
	if c.machine.record.Revision > 0 {
		c.view.learn(c.self.Domain, c.machine.record)
	}
	c.notifyWaiters()
	c.mu.Unlock()
	c.updatePeers()
	c.background(c.releaseShards)
}

// notifyWaiters wakes everything that waits for a change. The caller holds the
// lock.
func (c *Controller) notifyWaiters() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// notifyIfLeasesChanged wakes all waiters if a lease or a domain's reachability
// has changed without an input to the state machine.
func (c *Controller) notifyIfLeasesChanged() {
	domains := c.linkedDomains()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	leased := c.leased
	for i := range leased {
		_, leased[i] = c.machine.leaseRemaining(now, Shard(i), false)
	}
	if leased != c.leased || !slices.Equal(domains, c.reachableDomains) {
		c.leased, c.reachableDomains = leased, domains
		c.notifyWaiters()
	}
}

// releaseShards notifies the state machine of the shards that it may hand over.
func (c *Controller) releaseShards() {
	for _, shard := range c.unreleasedHandovers() {
		if c.isReleased(shard) {
			c.apply(shardReleased{shard: shard})
		}
	}
}

func (c *Controller) unreleasedHandovers() []Shard {
	c.mu.Lock()
	defer c.mu.Unlock()
	var shards []Shard
	for i, h := range c.machine.handovers {
		if h.active && !h.released {
			shards = append(shards, Shard(i))
		}
	}
	return shards
}

// Leave hands this host's shards over and removes the host from the domain's
// record. Run must be running. Leave fails if the context ends first.
func (c *Controller) Leave(ctx context.Context) error {
	c.apply(leaveRequested{})
	for {
		changed := c.Changed()
		if c.hasLeft() {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return trace.Wrap(ctx.Err(), "domain %q still has this host in its record", c.self.Domain)
		}
	}
}

func (c *Controller) hasLeft() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.left
}

// Forget records an operator's statement that the process of a member of this
// domain is dead.
func (c *Controller) Forget(host fleet.HostID) {
	c.apply(hostDeclaredDead{host: host})
}

// Self returns this host's own identity as a member.
func (c *Controller) Self() fleet.Member { return c.self }

// Lease returns this host's lease on the shard, and whether there is one.
func (c *Controller) Lease(shard Shard, checksFence bool) (Lease, bool) {
	if shard >= Shards {
		return Lease{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	remaining, ok := c.machine.leaseRemaining(now, shard, checksFence)
	if !ok || !c.started {
		return Lease{}, false
	}
	return c.newLease(now, shard, remaining), true
}

func (c *Controller) newLease(now instant, shard Shard, remaining time.Duration) Lease {
	owned := c.machine.owned[shard]
	at := c.clock.Now()
	lease := Lease{
		Shard:      shard,
		Fence:      owned.entry.Fence,
		Since:      at.Add(-now.minSince(owned.since)),
		HandedOver: owned.entry.HandedOver,
	}
	if remaining > 0 {
		lease.Until = at.Add(remaining)
	}
	return lease
}

// Owner returns the owner of a shard according to the domain's record.
func (c *Controller) Owner(domain fleet.DomainID, shard Shard) (fleet.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.owner(domain, shard)
}

// Members returns the members of a domain according to its record.
func (c *Controller) Members(domain fleet.DomainID) []fleet.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.records[domain].members()
}

// Domains returns the domains with a record.
func (c *Controller) Domains() []fleet.DomainID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.domains()
}

// Reachable reports whether this host has a live link to a host of the domain.
func (c *Controller) Reachable(domain fleet.DomainID) bool {
	return domain == c.self.Domain || slices.Contains(c.linkedDomains(), domain)
}

// linkedDomains returns the domains that this host has a live link to, sorted.
func (c *Controller) linkedDomains() []fleet.DomainID {
	var linked []fleet.DomainID
	for _, p := range c.links.Peers() {
		if !slices.Contains(linked, p.Domain) {
			linked = append(linked, p.Domain)
		}
	}
	slices.Sort(linked)
	return linked
}

// Changed returns a channel that is closed at the next change.
func (c *Controller) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}
