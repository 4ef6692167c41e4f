// Package gateway is a host on the users' platform: it joins the parts that
// follow the platform, elect a coordinator, and pass callers' requests on.
package gateway

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"hawthornway/balance"
	"hawthornway/boottime"
	"hawthornway/catalog"
	"hawthornway/coordinator"
	"hawthornway/election"
	"hawthornway/exchange"
	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/listener"
	"hawthornway/metric"
	"hawthornway/peer"
	"hawthornway/platform"
	"hawthornway/quota"
	"hawthornway/relay"
	"hawthornway/retry"
	"hawthornway/roster"
	"hawthornway/target"
)

// Gateway is one host.
type Gateway interface {
	// Run serves until the context ends, then stops gracefully.
	Run(ctx context.Context) error
}

// Option sets an option of a Gateway.
type Option func(*gateway)

// WithLogger sets the logger.
func WithLogger(log *slog.Logger) Option { return func(g *gateway) { g.log = log } }

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option { return func(g *gateway) { g.clock = clock } }

// WithReload sets a channel that tells when the settings may have changed, and
// how to read them.
func WithReload(changed <-chan os.Signal, load func() (platform.Settings, error)) Option {
	return func(g *gateway) { g.reloadSignals, g.loadSettings = changed, load }
}

type gateway struct {
	settings      platform.Settings
	reloadSignals <-chan os.Signal
	loadSettings  func() (platform.Settings, error)
	clock         clockwork.Clock
	bootClock     boottime.Clock
	log           *slog.Logger

	roster        *roster.Roster
	catalog       atomic.Pointer[catalog.Catalog]
	targetsListed atomic.Bool
	draining      atomic.Bool
	freshness     freshness
	// stopTimeoutNanos is the time to stop, in nanoseconds.
	stopTimeoutNanos  atomic.Int64
	links             *peer.Links
	election          *election.Election
	coordinator       *coordinator.Coordinator
	coordinatorClient *coordinator.Client
	balancer          *balance.Balancer
	placer            *placer
	follower          *platform.Follower
	targetClient      exchange.Client
	relay             *relay.Relay
	metrics           metric.Metrics

	callerServer, readinessServer, peerServer *khttp.Server
}

// New returns a new Gateway with its listeners bound.
func New(s platform.Settings, opts ...Option) (Gateway, error) {
	g := &gateway{settings: s, clock: clockwork.NewRealClock(), bootClock: boottime.System{}, log: slog.Default()}
	for _, opt := range opts {
		opt(g)
	}
	g.metrics = metric.New()
	g.roster = roster.New(g.bootClock)
	g.freshness.clock = g.bootClock
	g.freshness.setMaxAge(s.Bounds.Withdrawal - withdrawalMargin)
	g.stopTimeoutNanos.Store(int64(s.Bounds.Stop))
	self := fleet.Member{
		Host:        s.Host,
		Domain:      s.Domain,
		Incarnation: fleet.Incarnation(g.clock.Now().UnixNano()),
		PeerAddress: s.Listen.Peers,
	}
	g.buildComponents(self)
	if err := g.listen(); err != nil {
		return nil, trace.Wrap(err)
	}
	return g, nil
}

// withdrawalMargin is how much sooner than the bound on withdrawn keys a host
// stops trusting its keys, for requests on their way to a target.
const withdrawalMargin = 500 * time.Millisecond

// peerSecret stands for the secret of a cluster, of which the platform gives
// none: it keeps hosts apart from other programs on their network.
const peerSecret = "hawthornway gateway"

// buildComponents makes the parts.
func (g *gateway) buildComponents(self fleet.Member) {
	s := g.settings
	g.links = peer.New(peer.WithSelf(self), peer.WithSecret([]byte(peerSecret)), peer.WithClock(g.clock), peer.WithLogger(g.log),
		peer.WithHTTPClient(&http.Client{Transport: &http.Transport{}}))
	store := platform.NewMetadata(s.Store)
	opts := []election.Option{
		election.WithHandover(s.Bounds.Handover),
		election.WithClocks(g.clock, g.bootClock),
		election.WithLogger(g.log),
		election.WithDraw(rand.Float64),
	}
	if s.Processor > 0 && s.Processor < minCoordinatorCores {
		opts = append(opts, election.WithDelay(weakHostElectionDelay))
	}
	if s.FirstStart {
		opts = append(opts, election.WithFirstStart())
	}
	g.election = election.New(store, self, opts...)
	g.coordinator = coordinator.New(
		coordinator.WithSelf(self),
		coordinator.WithTerms(g.election),
		coordinator.WithMesh(g.links),
		coordinator.WithRoster(g.roster),
		coordinator.WithCatalogs(g.catalog.Load),
		coordinator.WithEngines(platform.NewEngines()),
		coordinator.WithBounds(s.Bounds),
		coordinator.WithFirstStart(s.FirstStart),
		coordinator.WithConfirmed(g.freshness.age),
		coordinator.WithEntry(func() (keyvalue.Entry, bool) { return g.follower.Entry() }),
		coordinator.WithRead(func() keyvalue.Revision { return g.follower.Read() }),
		coordinator.WithClock(g.clock),
		coordinator.WithLogger(g.log),
	)
	g.balancer = balance.New(s.Domain, g.clock)
	usage := newUsageTracker()
	g.coordinatorClient = coordinator.NewClient(g.links, g.election, g.coordinator, g, usage.takeUsage, g.balancer.ReportLoad, g.clock, g.bootClock, g.log)
	g.placer = &placer{gateway: g, usage: usage}
	g.targetClient = exchange.New(exchange.WithClock(g.clock))
	g.follower = platform.NewFollower(store, g.coordinatorClient, g, g.clock, g.bootClock, g.log, platform.WatchWait(s.Bounds.Withdrawal))
	g.relay = relay.New(
		relay.WithDialect(platform.Dialect{}),
		relay.WithCatalog(g.catalog.Load),
		relay.WithKeysConfirmed(g.freshness.current),
		relay.WithLimiter(quota.NewPurse(g.coordinatorClient, g.clock)),
		relay.WithPlacer(g.placer),
		relay.WithProber(&prober{engines: platform.NewEngines()}),
		relay.WithClient(g.targetClient),
		relay.WithObserver(&observer{log: g.log, scope: g.metrics.Scope()}),
		relay.WithClock(g.clock),
		relay.WithLogger(g.log),
		relay.WithDraining(g.draining.Load),
		relay.WithRetryBudget(g.newRetryBudget),
	)
}

// Hosts with less than this share of a core, if it is stated, stand for election later than the
// others, since coordinating a large fleet takes more of it. The others learn of
// the end of a coordinator with their next report, a second later in large fleets.
const (
	minCoordinatorCores   = 0.4
	weakHostElectionDelay = 1200 * time.Millisecond
)

// usableBudgetShare is the part of the fleet's budget of repeats that is used, for
// requests that are counted later than they are sent.
const usableBudgetShare = 0.8

// newRetryBudget returns this host's part in the fleet's budget of repeats.
func (g *gateway) newRetryBudget(clock clockwork.Clock) retry.Budget {
	return retry.NewBudget(clock,
		retry.WithShare(g.settings.Bounds.RetryShare*usableBudgetShare),
		retry.WithFloor(1),
		retry.WithSlack(func() int { return hostSlack(g.settings.Bounds.RetrySlack, g.coordinatorClient.Hosts()) }),
	)
}

// minSlack is what each host may take of the fixed number of repeats while it
// hasn't heard how many hosts there are, as after a restart of all. The users'
// deployments allow 2.5 for each host and more.
const minSlack = 2

// hostSlack returns one host's part of the fixed number of repeats.
func hostSlack(slack float64, hosts int) int {
	if hosts == 0 {
		return min(minSlack, int(slack))
	}
	return int(slack*usableBudgetShare) / hosts
}

// The bounds of the listeners.
const (
	// maxHeaderBytes is above what any operator lets callers send.
	maxHeaderBytes = 64 << 10
	// headerTimeout bounds the time that a caller takes for its headers.
	headerTimeout = 10 * time.Second
	// maxCallerConnections and maxPeers leave descriptors for connections to targets, of
	// the 3900 that a host has.
	maxCallerConnections = 2000
	maxPeerConnections   = 800
)

// metricsPath is the path of the metrics at the address for other hosts.
const metricsPath = "/metrics"

func (g *gateway) listen() error {
	bounds := listener.Bounds{HeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, Connections: maxCallerConnections}
	var err error
	if g.callerServer, _, err = listener.NewServer(g.settings.Listen.Callers, g.relay, bounds, nil); err != nil {
		return trace.Wrap(err)
	}
	if g.readinessServer, _, err = listener.NewServer(g.settings.Listen.Readiness, http.HandlerFunc(g.serveReadiness), bounds, nil); err != nil {
		return trace.Wrap(err)
	}
	bounds.Connections = maxPeerConnections
	mux := http.NewServeMux()
	mux.Handle(peer.Path, g.links)
	mux.Handle(metricsPath, g.metrics.Handler())
	g.peerServer, _, err = listener.NewServer(g.settings.Listen.Peers, mux, bounds, nil)
	return trace.Wrap(err)
}

// serveReadiness answers the platform's question whether callers may come.
func (g *gateway) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusOK
	if g.draining.Load() || !g.targetsListed.Load() || g.catalog.Load() == nil || !g.freshness.current() {
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
}

// Run serves until the context ends, then stops gracefully.
func (g *gateway) Run(ctx context.Context) error {
	working, stop := context.WithCancelCause(context.WithoutCancel(ctx))
	defer stop(nil)
	var running sync.WaitGroup
	electing, resign := context.WithCancel(working)
	defer resign()
	start := func(name string, ctx context.Context, run func(context.Context) error) {
		running.Go(func() {
			if err := run(ctx); err != nil && ctx.Err() == nil {
				stop(trace.Wrap(err, "%s", name))
			}
		})
	}
	start("peers", working, g.peerServer.Start)
	start("readiness", working, g.readinessServer.Start)
	start("callers", working, g.callerServer.Start)
	start("links", working, g.links.Run)
	start("follower", working, g.follower.Run)
	start("coordinator", electing, g.coordinator.Run)
	start("election", electing, g.election.Run)
	start("client", working, g.coordinatorClient.Run)
	start("upkeep", working, g.upkeep)
	start("reload", working, g.reload)
	g.log.Info("gateway: started", "host", g.settings.Host, "domain", g.settings.Domain, "first-start", g.settings.FirstStart)
	select {
	case <-ctx.Done():
		g.drain(resign)
	case <-working.Done():
	}
	stop(nil)
	g.close()
	running.Wait()
	g.log.Info("gateway: stopped")
	if cause := context.Cause(working); !errors.Is(cause, context.Canceled) {
		return trace.Wrap(cause)
	}
	return nil
}

// The times of a graceful stop.
const (
	// unreadyDelay is how long new connections are still taken after the host has
	// said that it isn't ready. The platform asks once a second and believes the
	// second such answer.
	unreadyDelay = 2500 * time.Millisecond
	// stopMargin is what is left of the time to stop when requests in progress
	// are cut.
	stopMargin = 600 * time.Millisecond
	// closeTimeout bounds the closing of the other listeners.
	closeTimeout = 300 * time.Millisecond
)

// drain stops taking requests and lets those in progress end.
func (g *gateway) drain(resign context.CancelFunc) {
	g.draining.Store(true)
	g.log.Info("gateway: leaving")
	resign()
	deadline := g.clock.Now().Add(time.Duration(g.stopTimeoutNanos.Load()) - stopMargin)
	g.clock.Sleep(unreadyDelay)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := g.callerServer.Shutdown(ctx); err != nil {
		g.log.Warn("gateway: requests were cut at the end of the time to stop", "error", err)
	}
}

func (g *gateway) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, server := range []*khttp.Server{g.callerServer, g.readinessServer, g.peerServer} {
		if err := server.Shutdown(ctx); err != nil {
			_ = server.Close() // what is left open is to be cut
		}
	}
	g.targetClient.Close()
	if err := g.metrics.Close(); err != nil {
		g.log.Warn("gateway: metrics were not closed", "error", err)
	}
}

// reload takes changed settings over while the host runs. Addresses and the
// host's name hold for the life of the process.
func (g *gateway) reload(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.reloadSignals:
		}
		s, err := g.loadSettings()
		if err != nil {
			g.log.Error("gateway: settings not reloaded, those before hold", "error", err)
			continue
		}
		g.freshness.setMaxAge(s.Bounds.Withdrawal - withdrawalMargin)
		g.stopTimeoutNanos.Store(int64(s.Bounds.Stop))
		g.log.Info("gateway: settings reloaded", "withdrawal", s.Bounds.Withdrawal, "stop", s.Bounds.Stop)
	}
}

// upkeepInterval is the time between two removals of what is no longer needed.
const upkeepInterval = 5 * time.Second

func (g *gateway) upkeep(ctx context.Context) error {
	for ctx.Err() == nil {
		g.balancer.Forget(time.Minute)
		select {
		case <-ctx.Done():
		case <-g.clock.After(upkeepInterval):
		}
	}
	return nil
}

// Configured takes a new configuration.
func (g *gateway) Configured(c *catalog.Catalog) { g.catalog.Store(c) }

// Registered takes a target's registration.
func (g *gateway) Registered(t roster.Target) { g.roster.Put(t) }

// Unregistered takes the end of a target's registration.
func (g *gateway) Unregistered(id target.ID) { g.roster.Remove(id) }

// Listed takes the whole list of registrations.
func (g *gateway) Listed(targets []roster.Target) {
	g.roster.Replace(targets)
	g.targetsListed.Store(true)
}

// Coordinator takes the election's entry.
func (g *gateway) Coordinator(entry keyvalue.Entry) {
	g.election.Observe(entry)
	g.coordinatorClient.Follow()
}

// Reached takes note that the store answers.
func (g *gateway) Reached() { g.roster.Regained() }

// Confirmed takes note that all that is known holds as of an instant.
func (g *gateway) Confirmed(at boottime.Instant) { g.freshness.confirm(at) }

// Unreachable takes note that the store doesn't answer.
func (g *gateway) Unreachable() { g.roster.Lost() }

// storeReadTime is the time that a host leaves itself to read the store before its keys
// are too old to be trusted. A hundred hosts that read a thousand registrations at
// once took 0.6 s.
const storeReadTime = 800 * time.Millisecond

// Covered reports whether the coordinator tells this host what the store says, so
// that it needn't follow the store itself.
func (g *gateway) Covered() bool {
	age, ok := g.coordinatorClient.Covered()
	return ok && age < g.freshness.maxAge()-storeReadTime
}

// Targets takes what the coordinator tells of targets.
func (g *gateway) Targets(changed []roster.Target, gone, all []target.ID, parts []roster.Bucket) {
	for _, t := range changed {
		if known, ok := g.roster.Get(t.ID); ok && known.Start == t.Start {
			t.Holdings.InMemory, t.Holdings.OnDisk, t.Sequence = known.Holdings.InMemory, known.Holdings.OnDisk, known.Sequence
		}
		g.roster.Put(t)
	}
	for _, id := range gone {
		g.roster.Drop(id)
	}
	if len(parts) == 0 {
		return
	}
	registered := make(map[target.ID]bool, len(all))
	for _, id := range all {
		registered[id] = true
	}
	for _, t := range g.roster.All() {
		if !registered[t.ID] && slices.Contains(parts, roster.BucketOf(t.ID)) {
			g.roster.Drop(t.ID)
		}
	}
}

// Digests returns those of the targets that are known.
func (g *gateway) Digests() roster.Digests { return g.roster.Digests() }

// Hold takes note of what an engine holds.
func (g *gateway) Hold(id target.ID, start roster.Start, models []roster.Resident) {
	g.roster.Hold(id, start, models)
}

// Resuming keeps what the coordinator said of engines: registrations that have not
// changed since aren't read again.
func (g *gateway) Resuming() { g.coordinatorClient.Keep() }

// Current takes the coordinator's word on what is newest.
func (g *gateway) Current(version catalog.Version, read keyvalue.Revision, at boottime.Instant) {
	g.follower.Told(read)
	current := g.catalog.Load()
	if current == nil || current.Version < version {
		g.follower.Fetch(version)
		return
	}
	if at != 0 && current.Version == version {
		g.freshness.confirm(at)
	}
}

// freshness tells whether the configuration was confirmed recently enough.
type freshness struct {
	clock       boottime.Clock
	maxAgeNanos atomic.Int64
	confirmedAt atomic.Int64
}

func (f *freshness) setMaxAge(bound time.Duration) { f.maxAgeNanos.Store(int64(bound)) }

// maxAge returns the age from which what is known can't be relied on.
func (f *freshness) maxAge() time.Duration { return time.Duration(f.maxAgeNanos.Load()) }

// confirm takes note that everything is known as of an instant.
func (f *freshness) confirm(at boottime.Instant) {
	for {
		known := f.confirmedAt.Load()
		if int64(at) <= known || f.confirmedAt.CompareAndSwap(known, int64(at)) {
			return
		}
	}
}

// age returns the time since what is known was confirmed.
func (f *freshness) age() time.Duration {
	return f.clock.Now().Sub(boottime.Instant(f.confirmedAt.Load()))
}

func (f *freshness) current() bool {
	at := f.confirmedAt.Load()
	return at != 0 && f.clock.Now().Sub(boottime.Instant(at)) < f.maxAge()
}
