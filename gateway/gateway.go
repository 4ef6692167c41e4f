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
	return func(g *gateway) { g.reloads, g.load = changed, load }
}

type gateway struct {
	settings platform.Settings
	reloads  <-chan os.Signal
	load     func() (platform.Settings, error)
	clock    clockwork.Clock
	boot     boottime.Clock
	log      *slog.Logger

	roster  *roster.Roster
	catalog atomic.Pointer[catalog.Catalog]
	listed  atomic.Bool
	leaving atomic.Bool
	fresh   freshness
	// stopBound is the time to stop, in nanoseconds.
	stopBound atomic.Int64
	links     *peer.Links
	election  *election.Election
	leader    *coordinator.Coordinator
	client    *coordinator.Client
	balancer  *balance.Balancer
	placer    *placer
	follower  *platform.Follower
	targets   exchange.Client
	relay     *relay.Relay
	metrics   metric.Metrics

	callers, readiness, peers *khttp.Server
}

// New returns a new Gateway with its listeners bound.
func New(s platform.Settings, opts ...Option) (Gateway, error) {
	g := &gateway{settings: s, clock: clockwork.NewRealClock(), boot: boottime.SystemClock{}, log: slog.Default()}
	for _, opt := range opts {
		opt(g)
	}
	g.metrics = metric.New()
	g.roster = roster.New(g.boot)
	g.fresh.clock = g.boot
	g.fresh.setBound(s.Bounds.Withdrawal - withdrawalMargin)
	g.stopBound.Store(int64(s.Bounds.Stop))
	self := fleet.Member{
		Host:        s.Host,
		Domain:      s.Domain,
		Incarnation: fleet.Incarnation(g.clock.Now().UnixNano()),
		PeerAddress: s.Listen.Peers,
	}
	g.join(self)
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

// join makes the parts.
func (g *gateway) join(self fleet.Member) {
	s := g.settings
	g.links = peer.New(peer.WithSelf(self), peer.WithSecret([]byte(peerSecret)), peer.WithClock(g.clock), peer.WithLogger(g.log),
		peer.WithHTTPClient(&http.Client{Transport: &http.Transport{}}))
	store := platform.NewMetadata(s.Store)
	opts := []election.Option{
		election.WithHandover(s.Bounds.Handover),
		election.WithClocks(g.clock, g.boot),
		election.WithLogger(g.log),
		election.WithRandom(rand.Float64),
	}
	if s.CPUs > 0 && s.CPUs < coordinatorProcessor {
		opts = append(opts, election.WithDelay(weakHostDelay))
	}
	if s.FirstStart {
		opts = append(opts, election.WithFirstStart())
	}
	g.election = election.New(store, self, opts...)
	g.leader = coordinator.New(
		coordinator.WithSelf(self),
		coordinator.WithTerms(g.election),
		coordinator.WithMesh(g.links),
		coordinator.WithRoster(g.roster),
		coordinator.WithCatalogs(g.catalog.Load),
		coordinator.WithEngines(platform.NewEngines()),
		coordinator.WithBounds(s.Bounds),
		coordinator.WithFirstStart(s.FirstStart),
		coordinator.WithConfirmedAge(g.fresh.age),
		coordinator.WithConfigEntry(func() (keyvalue.Entry, bool) { return g.follower.ConfigEntry() }),
		coordinator.WithReadRevision(func() keyvalue.Revision { return g.follower.ReadRevision() }),
		coordinator.WithClock(g.clock),
		coordinator.WithLogger(g.log),
	)
	g.balancer = balance.New(s.Domain, g.clock)
	flights := newFlights()
	g.client = coordinator.NewClient(g.links, g.election, g.leader, g, flights.usage, g.balancer.Told, g.clock, g.boot, g.log)
	g.placer = &placer{gateway: g, flights: flights}
	g.targets = exchange.New(exchange.WithClock(g.clock))
	g.follower = platform.NewFollower(store, g.client, g, g.clock, g.boot, g.log, platform.WatchWait(s.Bounds.Withdrawal))
	g.relay = relay.New(
		relay.WithDialect(platform.Dialect{}),
		relay.WithCatalogs(g.catalog.Load),
		relay.WithCurrent(g.fresh.current),
		relay.WithLimiter(quota.NewTokenCache(g.client, g.clock)),
		relay.WithPlacer(g.placer),
		relay.WithProber(&prober{engines: platform.NewEngines()}),
		relay.WithClient(g.targets),
		relay.WithObserver(&observer{log: g.log, scope: g.metrics.Scope()}),
		relay.WithClock(g.clock),
		relay.WithLogger(g.log),
		relay.WithLeaving(g.leaving.Load),
		relay.WithBudget(g.budget),
	)
}

// Hosts with less than this share of a core, if it is stated, stand for election later than the
// others, since coordinating a large fleet takes more of it. The others learn of
// the end of a coordinator with their next report, a second later in large fleets.
const (
	coordinatorProcessor = 0.4
	weakHostDelay        = 1200 * time.Millisecond
)

// budgetMargin is the part of the fleet's budget of repeats that is used, for
// requests that are counted later than they are sent.
const budgetMargin = 0.8

// budget returns this host's part in the fleet's budget of repeats.
func (g *gateway) budget(clock clockwork.Clock) retry.Budget {
	return retry.NewBudget(clock,
		retry.WithShare(g.settings.Bounds.RetryShare*budgetMargin),
		retry.WithFloor(1),
		retry.WithSlack(func() int { return slackOf(g.settings.Bounds.RetrySlack, g.client.Hosts()) }),
	)
}

// leastSlack is what each host may take of the fixed number of repeats while it
// hasn't heard how many hosts there are, as after a restart of all. The users'
// deployments allow 2.5 for each host and more.
const leastSlack = 2

// slackOf returns one host's part of the fixed number of repeats.
func slackOf(slack float64, hosts int) int {
	if hosts == 0 {
		return min(leastSlack, int(slack))
	}
	return int(slack*budgetMargin) / hosts
}

// The bounds of the listeners.
const (
	// maxHeaderBytes is above what any operator lets callers send.
	maxHeaderBytes = 64 << 10
	// headerTimeout bounds the time that a caller takes for its headers.
	headerTimeout = 10 * time.Second
	// maxCallers and maxPeers leave descriptors for connections to targets, of
	// the 3900 that a host has.
	maxCallers = 2000
	maxPeers   = 800
)

// metricsPath is the path of the metrics at the address for other hosts.
const metricsPath = "/metrics"

func (g *gateway) listen() error {
	bounds := listener.Bounds{HeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, Connections: maxCallers}
	var err error
	if g.callers, _, err = listener.NewServer(g.settings.Listen.Callers, g.relay, bounds, nil); err != nil {
		return trace.Wrap(err)
	}
	if g.readiness, _, err = listener.NewServer(g.settings.Listen.Readiness, http.HandlerFunc(g.serveReadiness), bounds, nil); err != nil {
		return trace.Wrap(err)
	}
	bounds.Connections = maxPeers
	mux := http.NewServeMux()
	mux.Handle(peer.Path, g.links)
	mux.Handle(metricsPath, g.metrics.Handler())
	g.peers, _, err = listener.NewServer(g.settings.Listen.Peers, mux, bounds, nil)
	return trace.Wrap(err)
}

// serveReadiness answers the platform's question whether callers may come.
func (g *gateway) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusOK
	if g.leaving.Load() || !g.listed.Load() || g.catalog.Load() == nil || !g.fresh.current() {
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
	start("peers", working, g.peers.Start)
	start("readiness", working, g.readiness.Start)
	start("callers", working, g.callers.Start)
	start("links", working, g.links.Run)
	start("follower", working, g.follower.Run)
	start("coordinator", electing, g.leader.Run)
	start("election", electing, g.election.Run)
	start("client", working, g.client.Run)
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
	// unreadyTime is how long new connections are still taken after the host has
	// said that it isn't ready. The platform asks once a second and believes the
	// second such answer.
	unreadyTime = 2500 * time.Millisecond
	// stopMargin is what is left of the time to stop when requests in progress
	// are cut.
	stopMargin = 600 * time.Millisecond
	// closeTimeout bounds the closing of the other listeners.
	closeTimeout = 300 * time.Millisecond
)

// drain stops taking requests and lets those in progress end.
func (g *gateway) drain(resign context.CancelFunc) {
	g.leaving.Store(true)
	g.log.Info("gateway: leaving")
	resign()
	deadline := g.clock.Now().Add(time.Duration(g.stopBound.Load()) - stopMargin)
	g.clock.Sleep(unreadyTime)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := g.callers.Shutdown(ctx); err != nil {
		g.log.Warn("gateway: requests were cut at the end of the time to stop", "error", err)
	}
}

func (g *gateway) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, server := range []*khttp.Server{g.callers, g.readiness, g.peers} {
		if err := server.Shutdown(ctx); err != nil {
			_ = server.Close() // what is left open is to be cut
		}
	}
	g.targets.Close()
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
		case <-g.reloads:
		}
		s, err := g.load()
		if err != nil {
			g.log.Error("gateway: settings not reloaded, those before hold", "error", err)
			continue
		}
		g.fresh.setBound(s.Bounds.Withdrawal - withdrawalMargin)
		g.stopBound.Store(int64(s.Bounds.Stop))
		g.log.Info("gateway: settings reloaded", "withdrawal", s.Bounds.Withdrawal, "stop", s.Bounds.Stop)
	}
}

// upkeepEvery is the time between two removals of what is no longer needed.
const upkeepEvery = 5 * time.Second

func (g *gateway) upkeep(ctx context.Context) error {
	for ctx.Err() == nil {
		g.balancer.Forget(time.Minute)
		select {
		case <-ctx.Done():
		case <-g.clock.After(upkeepEvery):
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
	g.listed.Store(true)
}

// Coordinator takes the election's entry.
func (g *gateway) Coordinator(entry keyvalue.Entry) {
	g.election.Observe(entry)
	g.client.FollowCoordinator()
}

// Reached takes note that the store answers.
func (g *gateway) Reached() { g.roster.StoreRegained() }

// Confirmed takes note that all that is known holds as of an instant.
func (g *gateway) Confirmed(at boottime.Instant) { g.fresh.confirm(at) }

// Unreachable takes note that the store doesn't answer.
func (g *gateway) Unreachable() { g.roster.StoreLost() }

// readTime is the time that a host leaves itself to read the store before its keys
// are too old to be trusted. A hundred hosts that read a thousand registrations at
// once took 0.6 s.
const readTime = 800 * time.Millisecond

// RelayActive reports whether the coordinator tells this host what the store says, so
// that it needn't follow the store itself.
func (g *gateway) RelayActive() bool {
	age, ok := g.client.RelayedStateAge()
	return ok && age < g.fresh.limit()-readTime
}

// UpdateTargets takes what the coordinator tells of targets.
func (g *gateway) UpdateTargets(changed []roster.Target, gone, all []target.ID, parts []roster.Bucket) {
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

// SetModels takes note of what an engine holds.
func (g *gateway) SetModels(id target.ID, start roster.Start, models []roster.Resident) {
	g.roster.SetModels(id, start, models)
}

// Resuming keeps what the coordinator said of engines: registrations that have not
// changed since aren't read again.
func (g *gateway) Resuming() { g.client.SaveModels() }

// ConfirmCurrent takes the coordinator's word on what is newest.
func (g *gateway) ConfirmCurrent(version catalog.Version, read keyvalue.Revision, at boottime.Instant) {
	g.follower.SetRelayedRevision(read)
	current := g.catalog.Load()
	if current == nil || current.Version < version {
		g.follower.FetchConfig(version)
		return
	}
	if at != 0 && current.Version == version {
		g.fresh.confirm(at)
	}
}

// freshness tells whether the configuration was confirmed recently enough.
type freshness struct {
	clock boottime.Clock
	bound atomic.Int64
	at    atomic.Int64
}

func (f *freshness) setBound(bound time.Duration) { f.bound.Store(int64(bound)) }

// limit returns the age from which what is known can't be relied on.
func (f *freshness) limit() time.Duration { return time.Duration(f.bound.Load()) }

// confirm takes note that everything is known as of an instant.
func (f *freshness) confirm(at boottime.Instant) {
	for {
		known := f.at.Load()
		if int64(at) <= known || f.at.CompareAndSwap(known, int64(at)) {
			return
		}
	}
}

// age returns the time since what is known was confirmed.
func (f *freshness) age() time.Duration {
	return f.clock.Now().Sub(boottime.Instant(f.at.Load()))
}

func (f *freshness) current() bool {
	at := f.at.Load()
	return at != 0 && f.clock.Now().Sub(boottime.Instant(at)) < f.limit()
}
