package member

import (
	"context"
	"log/slog"

	"github.com/jonboulle/clockwork"

	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/peer"
)

// Links is a mesh whose links follow the members.
type Links interface {
	peer.Mesh
	// SetPeers replaces the members that the mesh keeps links to. A member
	// without a host is an address to dial first.
	SetPeers(members []fleet.Member)
}

var _ Links = (*peer.Links)(nil)

// ListedHost is one host of the platform's host list.
type ListedHost struct {
	Host    fleet.HostID
	Domain  fleet.DomainID
	Address string
	Leaving bool
}

// HostList is the platform's lagging list of hosts.
type HostList interface {
	// Hosts returns the hosts of all domains, without targets.
	Hosts(ctx context.Context) ([]ListedHost, error)
}

// Option sets one part of a Controller.
type Option func(*Controller)

// WithSelf sets this host's own membership.
func WithSelf(self fleet.Member) Option {
	return func(c *Controller) { c.self = self }
}

// WithStore sets the key-value service that holds the domain records.
func WithStore(store keyvalue.Store) Option {
	return func(c *Controller) { c.store = store }
}

// WithLinks sets the mesh between hosts.
func WithLinks(links Links) Option {
	return func(c *Controller) { c.links = links }
}

// WithHostList sets the platform's host list. Without one, absence from the
// list proves nothing.
func WithHostList(hosts HostList) Option {
	return func(c *Controller) { c.hosts = hosts }
}

// WithSeeds sets peer addresses to dial before any record is known.
func WithSeeds(addresses []string) Option {
	return func(c *Controller) { c.seeds = addresses }
}

// WithSettings sets the times of membership. All hosts of a domain must have the
// same.
func WithSettings(settings Settings) Option {
	return func(c *Controller) { c.settings = settings }
}

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(c *Controller) { c.clock = clock }
}

// WithLogger sets the logger.
func WithLogger(log *slog.Logger) Option {
	return func(c *Controller) { c.log = log }
}

// WithReleaseCheck sets the function that is asked before a shard is handed over.
// It is called after Hold has begun to refuse the shard, again and again until
// it reports that every order of the shard has been answered. A shard is then
// recorded as handed over. A host that leaves waits Settings.ReleaseTime at
// most.
func WithReleaseCheck(released func(Shard) bool) Option {
	return func(c *Controller) { c.released = released }
}

// withChecks switches mechanisms off, for mutation checks.
func withChecks(checks checks) Option {
	return func(c *Controller) { c.checks = checks }
}

// withObserver sets a function that is called after each input was taken in.
func withObserver(observe func()) Option {
	return func(c *Controller) { c.observe = observe }
}

// withInstants replaces the two clocks by a test's.
func withInstants(instants func() instant) Option {
	return func(c *Controller) { c.instants = instants }
}
