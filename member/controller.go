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

// Controller keeps this host's membership. It implements Ownership, and joins
// the machine that decides to the key-value service and to the peers.
type Controller struct {
	self     fleet.Member
	store    keyvalue.Store
	links    Links
	hosts    HostList
	seeds    []string
	settings Settings
	checks   checks
	clock    clockwork.Clock
	instants func() instant
	log      *slog.Logger
	released func(Shard) bool
	observe  func()

	// ctx ends when Run returns; all work in the background lives under it.
	ctx     context.Context
	end     context.CancelFunc
	running sync.WaitGroup
	watcher *watcher

	mu      sync.Mutex
	machine *machine
	view    *view
	listed  []fleet.Member
	held    [Shards]bool
	reach   []fleet.DomainID
	changed chan struct{}
	started bool
}

var _ Ownership = (*Controller)(nil)

// New returns a new Controller. WithSelf, WithStore and WithLinks are required.
// It registers its message kinds with the links, so that it must be made before
// they run.
func New(opts ...Option) *Controller {
	c := &Controller{
		clock:    clockwork.NewRealClock(),
		log:      slog.Default(),
		released: func(Shard) bool { return true },
		observe:  func() {},
		changed:  make(chan struct{}),
		view:     newView(),
	}
	for _, opt := range opts {
		opt(c)
	}
	if c.instants == nil {
		c.instants = newTwoClocks(c.clock).now
	}
	c.ctx, c.end = context.WithCancel(context.Background())
	c.machine = newMachine(c.self, c.settings, c.checks, c.instants())
	c.watcher = newWatcher(c)
	c.handle()
	return c
}

// Run keeps the membership until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	c.start()
	defer c.stop()
	c.running.Go(c.watcher.run)
	c.updatePeers()
	ticker := c.clock.NewTicker(tickEvery)
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
	c.notify()
	c.mu.Unlock()
	c.end()
	c.running.Wait()
}

func (c *Controller) tick() {
	c.apply(tick{linked: c.linked()})
	c.releaseShards()
	c.noteHolds()
}

// linked returns the peers of the own domain with a live link.
func (c *Controller) linked() []fleet.Member {
	var linked []fleet.Member
	for _, p := range c.links.Peers() {
		if p.Domain == c.self.Domain {
			linked = append(linked, p.Member)
		}
	}
	return linked
}

// apply gives the machine an input and does what it wants done.
func (c *Controller) apply(in input) {
	c.mu.Lock()
	c.machine.watching = c.watcher.isFresh()
	c.machine.newest = c.view.newest
	effects := c.machine.step(c.instants(), in)
	c.mu.Unlock()
	c.observe()
	for _, e := range effects {
		c.do(e)
	}
}

func (c *Controller) do(e effect) {
	switch e := e.(type) {
	case sendHeartbeat:
		// A lost heartbeat is followed by the next.
		_ = c.links.Notify(e.to, kindHeartbeat, e.heartbeat)
	case swapRecord:
		c.background(func() { c.swap(e) })
	case readRecord:
		c.background(c.read)
	case fetchRecord:
		c.background(func() { c.fetch(e.from) })
	case askJoin:
		c.background(func() { c.askJoin(e) })
	case spreadRecord:
		c.spread(c.self.Domain)
	case changed:
		c.noteChange()
	}
}

// background runs work until Run returns, if it runs at all.
func (c *Controller) background(work func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.started {
		c.running.Go(work)
	}
}

// noteChange takes over the machine's record and wakes those that wait.
func (c *Controller) noteChange() {
	c.mu.Lock()
	if c.machine.record.Revision > 0 {
		c.view.learn(c.self.Domain, c.machine.record)
	}
	c.notify()
	c.mu.Unlock()
	c.updatePeers()
	c.background(c.releaseShards)
}

// notify wakes those that wait for a change. The lock is held.
func (c *Controller) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// noteHolds wakes those that wait when a hold or the reach of a domain changed
// with time alone.
func (c *Controller) noteHolds() {
	reach := c.reachable()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.instants()
	held := c.held
	for i := range held {
		_, held[i] = c.machine.holding(now, Shard(i), false)
	}
	if held != c.held || !slices.Equal(reach, c.reach) {
		c.held, c.reach = held, reach
		c.notify()
	}
}

// releaseShards tells the machine which shards it may hand over.
func (c *Controller) releaseShards() {
	for _, shard := range c.giving() {
		if c.released(shard) {
			c.apply(shardReleased{shard: shard})
		}
	}
}

func (c *Controller) giving() []Shard {
	c.mu.Lock()
	defer c.mu.Unlock()
	var giving []Shard
	for i, g := range c.machine.giving {
		if g.active && !g.released {
			giving = append(giving, Shard(i))
		}
	}
	return giving
}

// Leave hands this host's shards over in the record and removes the host from
// it. Run must be running. It fails when the context ends before that.
func (c *Controller) Leave(ctx context.Context) error {
	c.apply(leaveAsked{})
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

// Forget takes an operator's word that the process of a recorded host of this
// domain is dead.
func (c *Controller) Forget(host fleet.HostID) {
	c.apply(hostForgotten{host: host})
}

// Self returns this host's own membership.
func (c *Controller) Self() fleet.Member { return c.self }

// Lease reports whether this host may act for the shard.
func (c *Controller) Lease(shard Shard, checksFence bool) (Lease, bool) {
	if shard >= Shards {
		return Lease{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.instants()
	left, ok := c.machine.holding(now, shard, checksFence)
	if !ok || !c.started {
		return Lease{}, false
	}
	return c.hold(now, shard, left), true
}

func (c *Controller) hold(now instant, shard Shard, left time.Duration) Lease {
	owned := c.machine.owned[shard]
	at := c.clock.Now()
	h := Lease{
		Shard:      shard,
		Fence:      owned.entry.Fence,
		Since:      at.Add(-now.atLeast(owned.since)),
		HandedOver: owned.entry.HandedOver,
	}
	if left > 0 {
		h.Until = at.Add(left)
	}
	return h
}

// Owner returns the recorded owner of a shard.
func (c *Controller) Owner(domain fleet.DomainID, shard Shard) (fleet.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.owner(domain, shard)
}

// Members returns the recorded members of a domain.
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

// Reachable reports whether a host of the domain has a live link.
func (c *Controller) Reachable(domain fleet.DomainID) bool {
	return domain == c.self.Domain || slices.Contains(c.reachable(), domain)
}

func (c *Controller) reachable() []fleet.DomainID {
	var reachable []fleet.DomainID
	for _, p := range c.links.Peers() {
		if !slices.Contains(reachable, p.Domain) {
			reachable = append(reachable, p.Domain)
		}
	}
	slices.Sort(reachable)
	return reachable
}

// Changed returns a channel that is closed at the next change.
func (c *Controller) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}
