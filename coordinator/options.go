package coordinator

import (
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornway/catalog"
	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/peer"
	"hawthornway/platform"
	"hawthornway/roster"
)

type options struct {
	self     fleet.Member
	terms    Terms
	mesh     peer.Mesh
	roster   *roster.Roster
	catalogs func() *catalog.Catalog
	engineer platform.Engines
	bounds   platform.Bounds
	first    bool
	deliver  func(wireView)
	// confirmed tells how long ago the store confirmed what this host knows.
	confirmed func() time.Duration
	// entry returns the configuration as it is in the store.
	entry func() (keyvalue.Entry, bool)
	// read returns the store's revision up to which this host has read.
	read  func() keyvalue.Revision
	clock clockwork.Clock
	log   *slog.Logger
}

// Option sets an option of a Coordinator.
type Option func(*options)

// WithSelf sets this host's own membership.
func WithSelf(self fleet.Member) Option { return func(o *options) { o.self = self } }

// WithTerms sets the election.
func WithTerms(t Terms) Option { return func(o *options) { o.terms = t } }

// WithMesh sets the links to the other hosts.
func WithMesh(m peer.Mesh) Option { return func(o *options) { o.mesh = m } }

// WithRoster sets the registered targets.
func WithRoster(r *roster.Roster) Option { return func(o *options) { o.roster = r } }

// WithCatalogs sets where the configuration in force is found.
func WithCatalogs(current func() *catalog.Catalog) Option {
	return func(o *options) { o.catalogs = current }
}

// WithEngines sets what gives orders to engines.
func WithEngines(e platform.Engines) Option { return func(o *options) { o.engineer = e } }

// WithBounds sets the bounds that the platform's users agreed on.
func WithBounds(b platform.Bounds) Option { return func(o *options) { o.bounds = b } }

// WithFirstStart says that no team has used any tokens before.
func WithFirstStart(first bool) Option { return func(o *options) { o.first = first } }

// WithConfirmedAge sets what tells how long ago the store confirmed what this host
// knows of the configuration and the targets.
func WithConfirmedAge(ago func() time.Duration) Option {
	return func(o *options) { o.confirmed = ago }
}

// WithConfigEntry sets what returns the configuration in force as it is in the store.
func WithConfigEntry(entry func() (keyvalue.Entry, bool)) Option {
	return func(o *options) { o.entry = entry }
}

// WithReadRevision sets what returns the store's revision up to which this host has read.
func WithReadRevision(read func() keyvalue.Revision) Option {
	return func(o *options) { o.read = read }
}

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option { return func(o *options) { o.clock = clock } }

// WithLogger sets the logger.
func WithLogger(log *slog.Logger) Option { return func(o *options) { o.log = log } }
