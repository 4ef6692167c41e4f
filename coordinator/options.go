package coordinator

import (
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornway/boottime"
	"hawthornway/catalog"
	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/pace"
	"hawthornway/peer"
	"hawthornway/platform"
	"hawthornway/roster"
)

type options struct {
	self      fleet.Member
	terms     Terms
	mesh      peer.Mesh
	roster    *roster.Roster
	limits    *pace.Limits
	catalogs  func() *catalog.Catalog
	engineAPI platform.Engines
	bounds    platform.Bounds
	// regions holds the regions of failure domains.
	regions fleet.Regions
	// deliverLocal passes broadcast views to this host's own client.
	deliverLocal func(wireView)
	// confirmedAge returns the time since the store confirmed this host's configuration
	// and targets.
	confirmedAge func() time.Duration
	// configEntry returns the configuration in force as a store entry.
	configEntry func() (keyvalue.Entry, bool)
	// newerConfig is called with the version of a host's configuration that is newer than
	// this host's.
	newerConfig func(catalog.Version)
	// readRevision returns the store revision up to which this host has read.
	readRevision func() keyvalue.Revision
	clock        clockwork.Clock
	boot         boottime.Clock
	log          *slog.Logger
}

// Option sets an option of a Coordinator.
type Option func(*options)

// WithSelf sets this host's own member record.
func WithSelf(self fleet.Member) Option { return func(o *options) { o.self = self } }

// WithTerms sets the source of this host's terms, usually the election.
func WithTerms(t Terms) Option { return func(o *options) { o.terms = t } }

// WithMesh sets the links to the other hosts.
func WithMesh(m peer.Mesh) Option { return func(o *options) { o.mesh = m } }

// WithRoster sets the registered targets.
func WithRoster(r *roster.Roster) Option { return func(o *options) { o.roster = r } }

// WithLimits sets the limits that targets state, which this host shares with the others.
func WithLimits(l *pace.Limits) Option { return func(o *options) { o.limits = l } }

// WithBootClock sets the clock that measures the age of what targets state.
func WithBootClock(boot boottime.Clock) Option { return func(o *options) { o.boot = boot } }

// WithCatalogs sets the function that returns the configuration in force, or nil while it
// isn't known whether that is the newest.
func WithCatalogs(current func() *catalog.Catalog) Option {
	return func(o *options) { o.catalogs = current }
}

// WithEngines sets the client of the engines' control API.
func WithEngines(e platform.Engines) Option { return func(o *options) { o.engineAPI = e } }

// WithBounds sets the limits that were agreed with the platform's users.
func WithBounds(b platform.Bounds) Option { return func(o *options) { o.bounds = b } }

// WithRegions sets the regions of failure domains.
func WithRegions(regions fleet.Regions) Option { return func(o *options) { o.regions = regions } }

// WithConfirmedAge sets the function that returns the time since the store confirmed
// this host's configuration and targets.
func WithConfirmedAge(age func() time.Duration) Option {
	return func(o *options) { o.confirmedAge = age }
}

// WithConfigEntry sets the function that returns the configuration in force as a store
// entry.
func WithConfigEntry(entry func() (keyvalue.Entry, bool)) Option {
	return func(o *options) { o.configEntry = entry }
}

// WithNewerConfig sets the function that is called when a host reports a newer
// configuration than that in force here. It must not block.
func WithNewerConfig(newer func(catalog.Version)) Option {
	return func(o *options) { o.newerConfig = newer }
}

// WithReadRevision sets the function that returns the store revision up to which this
// host has read.
func WithReadRevision(revision func() keyvalue.Revision) Option {
	return func(o *options) { o.readRevision = revision }
}

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option { return func(o *options) { o.clock = clock } }

// WithLogger sets the logger.
func WithLogger(log *slog.Logger) Option { return func(o *options) { o.log = log } }
