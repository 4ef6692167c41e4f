package member

import (
	"context"
	"log/slog"

	"github.com/jonboulle/clockwork"

	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/peer"
)

// Links is a mesh whose set of peers can be changed.
type Links interface {
	peer.Mesh
	// SetPeers replaces the set of members that the mesh keeps links to. A member
	// with an empty Host is an address to dial whose host isn't known yet.
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

// HostList is the platform's list of hosts, which lags behind the actual state.
type HostList interface {
	// Hosts returns the hosts of all domains, not their targets.
	Hosts(ctx context.Context) ([]ListedHost, error)
}

// Option sets one part of a Controller.
type Option func(*Controller)

// WithSelf sets this host's own identity as a member.
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

// WithHostList sets the platform's host list. Without it, dead hosts are not
// detected by their absence from the list.
func WithHostList(hosts HostList) Option {
	return func(c *Controller) { c.hosts = hosts }
}

// WithSeeds sets peer addresses to dial before any record is known.
func WithSeeds(addresses []string) Option {
	return func(c *Controller) { c.seeds = addresses }
}

// WithSettings sets the timeouts of membership. They must be the same at all
// hosts of a domain.
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

// WithReleaseCheck sets the function that reports whether all orders of a shard are
// answered. It is polled after this host has given up its lease on the shard, and
// once it returns true the shard is recorded as handed over. A host that leaves
// waits at most Settings.ReleaseTimeout.
func WithReleaseCheck(isReleased func(Shard) bool) Option {
	return func(c *Controller) { c.isReleased = isReleased }
}

// withDisabledMechanisms disables safety mechanisms, for mutation tests.
func withDisabledMechanisms(disabled disabledMechanisms) Option {
	return func(c *Controller) { c.disabled = disabled }
}

// withInputObserver sets a function that is called after each input is handled.
func withInputObserver(onInput func()) Option {
	return func(c *Controller) { c.onInput = onInput }
}

// withNow replaces the monotonic and the wall clock in tests.
func withNow(now func() instant) Option {
	return func(c *Controller) { c.now = now }
}
