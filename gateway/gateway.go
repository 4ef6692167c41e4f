// Package gateway runs one host on the users' platform. It connects the
// components that follow the platform's metadata, elect a coordinator, and
// forward callers' requests.
package gateway

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
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
	"hawthornway/detour"
	"hawthornway/election"
	"hawthornway/exchange"
	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/lineage"
	"hawthornway/listener"
	"hawthornway/memory"
	"hawthornway/metric"
	"hawthornway/outdated"
	"hawthornway/overload"
	"hawthornway/pace"
	"hawthornway/peer"
	"hawthornway/platform"
	"hawthornway/quarantine"
	"hawthornway/quota"
	"hawthornway/relay"
	"hawthornway/retry"
	"hawthornway/roster"
	"hawthornway/target"
	"hawthornway/tcp"
	"hawthornway/team"
)

// Gateway is one host of the fleet.
type Gateway interface {
	// Run serves until the context ends, then shuts down gracefully.
	Run(ctx context.Context) error
}

// Option sets an option of a Gateway.
type Option func(*gateway)

// WithLogger sets the logger.
func WithLogger(log *slog.Logger) Option { return func(g *gateway) { g.log = log } }

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option { return func(g *gateway) { g.clock = clock } }

// withBootClock sets the clock for times that include suspension.
func withBootClock(clock boottime.Clock) Option { return func(g *gateway) { g.bootClock = clock } }

// WithReload sets a channel that receives a signal when the settings may have
// changed, and the function that reads them.
func WithReload(changed <-chan os.Signal, load func() (platform.Settings, error)) Option {
	return func(g *gateway) { g.reloadSignals, g.loadSettings = changed, load }
}

// DialFunc opens a connection to a target at an IP address and port.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// WithTargetDial sets the function that opens connections to targets.
func WithTargetDial(dial DialFunc) Option { return func(g *gateway) { g.targetDial = dial } }

type gateway struct {
	settings      platform.Settings
	reloadSignals <-chan os.Signal
	loadSettings  func() (platform.Settings, error)
	clock         clockwork.Clock
	bootClock     boottime.Clock
	targetDial    DialFunc
	log           *slog.Logger

	roster        *roster.Roster
	limits        *pace.Limits
	catalog       atomic.Pointer[catalog.Catalog]
	newest        *newestConfig
	known         *outdated.Tracker[catalog.Version]
	catalogKnown  chan struct{}
	closeKnown    sync.Once
	targetsListed atomic.Bool
	draining      atomic.Bool
	freshness     freshness
	// stopTimeoutNanos is the time allowed for a graceful shutdown.
	stopTimeoutNanos atomic.Int64
	// stopAt is when the remaining requests are aborted, or nil unless the host stops.
	stopAt            atomic.Pointer[time.Time]
	links             *peer.Links
	election          *election.Election
	coordinator       *coordinator.Coordinator
	coordinatorClient *coordinator.Client
	tokens            *quota.TokenCache
	balancer          *balance.Balancer
	allocations       *overload.Table
	screen            *quarantine.Screen
	placer            *placer
	store             platform.Metadata
	follower          *platform.Follower
	targetClient      exchange.Client
	relay             *relay.Relay
	// requestMemory is what callers' requests and their answers hold, and reportMemory what
	// reports of engines do.
	requestMemory, reportMemory *memory.Budget
	lineage                     *lineage.Book
	paths                       *detour.Paths
	dialer                      *detour.Dialer
	tunnels                     *detour.Server
	metrics                     metric.Metrics

	callerServer, readinessServer, peerServer *khttp.Server
}

// New returns a new Gateway with its listeners bound. It fails if an address
// can't be bound.
func New(s platform.Settings, opts ...Option) (Gateway, error) {
	g := newGateway(s, opts...)
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

// newGateway returns a host without components.
func newGateway(s platform.Settings, opts ...Option) *gateway {
	g := &gateway{
		settings: s, clock: clockwork.NewRealClock(), bootClock: boottime.SystemClock{}, log: slog.Default(), catalogKnown: make(chan struct{}), newest: newNewestConfig(),
		targetDial: tcp.Dialer{Timeout: exchange.DialTimeout}.DialContext,
	}
	for _, opt := range opts {
		opt(g)
	}
	g.requestMemory, g.reportMemory = g.memoryBudget(requestMemoryShare, 0), g.memoryBudget(reportMemoryShare, 0)
	g.metrics = metric.New()
	g.roster = roster.New(g.bootClock, roster.WithLogger(g.log))
	g.limits = pace.NewLimits(g.bootClock)
	g.freshness.clock = g.bootClock
	g.known = outdated.NewTracker[catalog.Version](g.bootClock, s.Bounds.MaxConfigDelay)
	g.freshness.setMaxAge(s.Bounds.MaxWithdrawalDelay - withdrawalMargin)
	g.stopTimeoutNanos.Store(int64(s.Bounds.StopTimeout))
	return g
}

// withdrawalMargin is how much earlier than Bounds.MaxWithdrawalDelay a host
// stops trusting its keys. It allows for requests that are then on their way to a
// target.
const withdrawalMargin = 500 * time.Millisecond

// peerSecret stands in for a cluster secret, since the platform provides none. It
// only tells hosts apart from other programs on their network.
const peerSecret = "hawthornway gateway"

// buildComponents creates the components of the host and connects them.
func (g *gateway) buildComponents(self fleet.Member) {
	s := g.settings
	g.links = peer.New(peer.WithSelf(self), peer.WithSecret([]byte(peerSecret)), peer.WithClock(g.clock), peer.WithLogger(g.log),
		peer.WithHTTPClient(&http.Client{Transport: &http.Transport{}}))
	g.store = platform.NewMetadata(s.Store, platform.WithStoreMemory(g.memoryBudget(storeMemoryShare, platform.MinStoreMemory)))
	storeProxy := coordinator.NewStoreProxy(g.links, g.store, g.clock, func() int { return g.coordinator.Hosts() })
	opts := []election.Option{
		election.WithBackup(storeProxy),
		election.WithHandover(s.Bounds.MinHandoverDelay),
		election.WithClocks(g.clock, g.bootClock),
		election.WithLogger(g.log),
		election.WithRandom(rand.Float64),
	}
	weak := isWeak(s)
	if weak {
		opts = append(opts, election.WithDelay(weakHostElectionDelay))
	}
	if s.FirstStart {
		opts = append(opts, election.WithFirstStart())
	}
	g.election = election.New(g.store, self, opts...)
	g.coordinator = coordinator.New(
		coordinator.WithSelf(self),
		coordinator.WithTerms(g.election),
		coordinator.WithMesh(g.links),
		coordinator.WithRoster(g.roster),
		coordinator.WithLimits(g.limits),
		coordinator.WithBootClock(g.bootClock),
		coordinator.WithCatalogs(g.confirmedCatalog),
		coordinator.WithNewerConfig(g.newerConfig),
		coordinator.WithEngines(platform.NewEngines(platform.WithLeaving(g.targetLeaves), platform.WithEngineDial(g.dialEngine), platform.WithReportMemory(g.reportMemory))),
		coordinator.WithBounds(s.Bounds),
		coordinator.WithRegions(s.Regions),
		coordinator.WithConfirmedAge(g.freshness.age),
		coordinator.WithConfigEntry(func() (keyvalue.Entry, bool) { return g.follower.ConfigEntry() }),
		coordinator.WithReadRevision(func() keyvalue.Revision { return g.follower.ReadRevision() }),
		coordinator.WithClock(g.clock),
		coordinator.WithLogger(g.log),
	)
	g.balancer = balance.New(s.Domain, g.clock)
	g.paths = detour.NewPaths(g.clock)
	usage := newUsageTracker(g.clock)
	g.allocations = overload.NewTable(g.clock, election.TakeoverTime+coordinator.ReportTime)
	g.screen = quarantine.NewScreen(g.clock, g.log)
	g.coordinatorClient = coordinator.NewClient(g.links, g.election, g.coordinator, g, usage.takeUsage, g.balancer.ReportLoad, g.clock, g.bootClock, g.log, coordinator.WithWeakHost(func() bool { return weak || g.cutFromEngines() }), coordinator.WithScreen(g.screen), coordinator.WithLeaving(g.roster.Leaving),
		coordinator.WithSlowdowns(g.balancer.ReportLearned),
		coordinator.WithAllocations(g.setAllocations),
		coordinator.WithReserveShares(func() map[team.ID]float64 { return g.tokens.ReserveShares() }))
	g.tokens = quota.NewTokenCache(g.coordinatorClient, g.clock, election.TakeoverTime, quota.WithRandom(rand.Float64))
	pacer := pace.NewPacer(g.limits, g.coordinatorClient, g.coordinatorClient.Hosts, g.clock, g.log)
	g.placer = &placer{gateway: g, usage: usage, pacer: pacer}
	g.tunnels = detour.NewServer(g.links, tunnelTargets{g}, g.targetDial, g.paths, g.log)
	g.dialer = detour.NewDialer(g.targetDial, g.links, g.coordinatorClient.Neighbours, g.paths, g.clock, g.log, g.detoured, detour.WithAdmission(g.admitsDetour))
	g.targetClient = exchange.New(exchange.WithClock(g.clock), exchange.WithDial(func(ctx context.Context, address string) (net.Conn, error) {
		return g.dialTarget(ctx, "tcp", address)
	}))
	g.follower = platform.NewFollower(g.store, g.coordinatorClient, g, g.clock, g.bootClock, g.log, platform.WatchWait(s.Bounds.MaxWithdrawalDelay),
		platform.WithBackup(storeProxy, func() bool {
			_, _, leads := g.election.Term()
			return leads
		}),
		platform.WithRandom(rand.Float64))
	g.lineage = lineage.NewBook(platform.NewStreamArchive(g.store, self, g.clock, g.log), serviceVersions{g.roster, g.freshness.age, g.relayedStateAge}, g.clock, g.log)
	g.relay = relay.New(
		relay.WithDialect(platform.Dialect{}),
		relay.WithCatalog(g.catalog.Load),
		relay.WithCatalogKnown(g.catalogKnown),
		relay.WithKeysConfirmed(g.freshness.current),
		relay.WithConfigState(g.known.State),
		relay.WithMemory(g.requestMemory),
		relay.WithLimiter(g.tokens),
		relay.WithPlacer(g.placer),
		relay.WithProber(newProber(g.dialTarget, platform.WithLeaving(g.targetLeaves), platform.WithReportMemory(g.reportMemory))),
		relay.WithClient(g.targetClient),
		relay.WithObserver(&observer{log: g.log, scope: g.metrics.Scope()}),
		relay.WithClock(g.clock),
		relay.WithLogger(g.log),
		relay.WithDraining(g.draining.Load),
		relay.WithStopTime(g.stopTime),
		relay.WithRetryBudget(func(clock clockwork.Clock) retry.Budget {
			return newRetryBudget(s.Bounds, s.FirstStart, g.coordinatorClient, clock)
		}),
		relay.WithQuarantine(g.screen),
		relay.WithLineage(g.lineage),
	)
}

// The fractions of the host's memory that requests in progress may hold, and answers of the store
// and reports of engines while they are decoded. The rest is for the host's own state, for
// connections, for what the garbage collector has yet to free, and for buffers of the kernel.
const (
	requestMemoryShare = 0.4
	storeMemoryShare   = 0.15
	reportMemoryShare  = 0.05
)

// memoryBudget returns a budget of a fraction of the host's memory, or of a least amount. It has no
// limit if the host has none.
func (g *gateway) memoryBudget(fraction float64, least memory.Bytes) *memory.Budget {
	if g.settings.MemoryLimit == 0 {
		return memory.NewBudget(0, g.clock)
	}
	return memory.NewBudget(max(least, memory.Bytes(fraction*float64(g.settings.MemoryLimit))), g.clock)
}

// Weak hosts stand for election weakHostElectionDelay later than others. In large fleets, the others
// notice the loss of a coordinator only at their next report, a second later.
const (
	// minCoordinatorCores is the share of cores that coordinating a large fleet takes.
	minCoordinatorCores = 0.4
	// minCoordinatorLink is the bandwidth from which a coordinator can tell all hosts of all targets
	// within some seconds after they have restarted: those are about 110 MB for 300 hosts and
	// 3,000 targets, which takes 35 s at 25 Mbit/s.
	minCoordinatorLink    = 100 * platform.Megabit
	weakHostElectionDelay = 1200 * time.Millisecond
)

// isWeak reports whether a host has, as far as is known, too little of what the coordinator of a large
// fleet needs. Where all hosts are weak, all stand for election late.
func isWeak(s platform.Settings) bool {
	return s.CPUs > 0 && s.CPUs < minCoordinatorCores || s.Link > 0 && s.Link < minCoordinatorLink
}

// Limits of the listeners.
const (
	// maxHeaderBytes is larger than any limit that operators set for callers.
	maxHeaderBytes = 64 << 10
	// headerTimeout limits the time that a caller takes to send its headers.
	headerTimeout = 10 * time.Second
	// maxCallerConnections and maxPeerConnections leave file descriptors for
	// connections to targets, out of the 3900 that a host has.
	maxCallerConnections = 2000
	maxPeerConnections   = 800
)

// metricsPath is the path of the metrics at the peer address.
const metricsPath = "/metrics"

func (g *gateway) listen() error {
	bounds := listener.Limits{HeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, Connections: maxCallerConnections, Memory: g.requestMemory, Log: g.log}
	var err error
	if g.callerServer, _, err = listener.NewServer(g.settings.Listen.Callers, g.relay, bounds, nil); err != nil {
		return trace.Wrap(err)
	}
	if g.readinessServer, _, err = listener.NewServer(g.settings.Listen.Readiness, http.HandlerFunc(g.serveReadiness), bounds, nil); err != nil {
		return trace.Wrap(err)
	}
	bounds.Connections, bounds.Memory = maxPeerConnections, nil // hosts are trusted
	mux := http.NewServeMux()
	mux.Handle(peer.Path, g.links)
	mux.Handle(detour.Path, g.tunnels)
	mux.Handle(metricsPath, g.metrics.Handler())
	g.peerServer, _, err = listener.NewServer(g.settings.Listen.Peers, mux, bounds, nil)
	return trace.Wrap(err)
}

// serveReadiness reports to the platform whether callers may be sent to this
// host.
func (g *gateway) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusOK
	if g.draining.Load() || !g.targetsListed.Load() || g.catalog.Load() == nil || !g.freshness.current() || g.known.State() == outdated.Overdue {
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
}

// Run implements Gateway.
func (g *gateway) Run(ctx context.Context) error {
	runCtx, stop := context.WithCancelCause(context.WithoutCancel(ctx))
	defer stop(nil)
	var wg sync.WaitGroup
	electionCtx, resign := context.WithCancel(runCtx)
	defer resign()
	start := func(name string, ctx context.Context, run func(context.Context) error) {
		wg.Go(func() {
			if err := run(ctx); err != nil && ctx.Err() == nil {
				stop(trace.Wrap(err, "%s", name))
			}
		})
	}
	start("peers", runCtx, g.peerServer.Start)
	start("readiness", runCtx, g.readinessServer.Start)
	start("callers", runCtx, g.callerServer.Start)
	start("links", runCtx, g.links.Run)
	start("follower", runCtx, g.follower.Run)
	start("coordinator", electionCtx, g.coordinator.Run)
	start("election", electionCtx, g.standForElection)
	start("confirmation", electionCtx, g.recordConfirmed)
	start("client", runCtx, g.coordinatorClient.Run)
	start("lineage", runCtx, g.lineage.Run)
	start("upkeep", runCtx, g.cleanup)
	start("reload", runCtx, g.reload)
	g.log.Info("gateway: started", "host", g.settings.Host, "domain", g.settings.Domain, "first-start", g.settings.FirstStart)
	select {
	case <-ctx.Done():
		g.drain(resign)
	case <-runCtx.Done():
	}
	stop(relay.ErrStopping)
	g.close()
	wg.Wait()
	g.log.Info("gateway: stopped")
	if cause := context.Cause(runCtx); !errors.Is(cause, relay.ErrStopping) {
		return trace.Wrap(cause)
	}
	return nil
}

// Timing of a graceful shutdown.
const (
	// unreadyDelay is how long new connections are still accepted after the
	// host has reported that it is not ready. The platform checks once a second
	// and acts on the second such response.
	unreadyDelay = 2500 * time.Millisecond
	// stopMargin is the part of the shutdown time that is left when the
	// remaining requests are aborted.
	stopMargin = 600 * time.Millisecond
	// maxMarginShare limits stopMargin to a share of a short shutdown time, and maxUnreadyShare
	// limits unreadyDelay to a share of the time until requests are aborted.
	maxMarginShare  = 0.25
	maxUnreadyShare = 0.75
	// closeTimeout limits the time to close the other listeners.
	closeTimeout = 300 * time.Millisecond
)

// stopPhases returns how long after the signal to stop a host no longer takes new connections, and
// when it aborts the remaining requests, if it has to end within a timeout.
func stopPhases(timeout time.Duration) (unready, abort time.Duration) {
	abort = timeout - min(stopMargin, time.Duration(maxMarginShare*float64(timeout)))
	return min(unreadyDelay, time.Duration(maxUnreadyShare*float64(abort))), abort
}

// drain stops accepting requests and waits for those in progress.
func (g *gateway) drain(resign context.CancelFunc) {
	unready, abort := stopPhases(time.Duration(g.stopTimeoutNanos.Load()))
	deadline := g.clock.Now().Add(abort)
	g.stopAt.Store(&deadline)
	g.draining.Store(true)
	g.log.Info("gateway: shutting down")
	g.coordinator.NameSuccessor()
	resign()
	g.clock.Sleep(unready)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := g.callerServer.Shutdown(ctx); err != nil {
		g.log.Warn("gateway: shutdown timed out; aborting the remaining requests", "error", err)
	}
}

// stopTime returns when the remaining requests are aborted, or the zero time unless the host
// stops.
func (g *gateway) stopTime() time.Time {
	if at := g.stopAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (g *gateway) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, server := range []*khttp.Server{g.callerServer, g.readinessServer, g.peerServer} {
		if err := server.Shutdown(ctx); err != nil {
			_ = server.Close() // aborts the remaining connections
		}
	}
	g.tunnels.Close()
	g.targetClient.Close()
	if err := g.metrics.Close(); err != nil {
		g.log.Warn("gateway: closing the metrics failed", "error", err)
	}
}

// reload applies changed settings while the host runs. Addresses and the host's
// name stay fixed for the life of the process.
func (g *gateway) reload(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.reloadSignals:
		}
		s, err := g.loadSettings()
		if err != nil {
			g.log.Error("gateway: reloading the settings failed; the previous ones stay in force", "error", err)
			continue
		}
		g.freshness.setMaxAge(s.Bounds.MaxWithdrawalDelay - withdrawalMargin)
		g.stopTimeoutNanos.Store(int64(s.Bounds.StopTimeout))
		g.log.Info("gateway: settings reloaded", "withdrawal", s.Bounds.MaxWithdrawalDelay, "stop", s.Bounds.StopTimeout)
	}
}

// cleanupInterval is the interval at which unused state is removed.
const cleanupInterval = 5 * time.Second

func (g *gateway) cleanup(ctx context.Context) error {
	for ctx.Err() == nil {
		g.balancer.Forget(time.Minute)
		g.recordColdTargets()
		select {
		case <-ctx.Done():
		case <-g.clock.After(cleanupInterval):
		}
	}
	return nil
}

// Configured implements platform.Listener.
func (g *gateway) Configured(c *catalog.Catalog) {
	g.catalog.Store(c)
	if age, late := g.known.Apply(c.Version); late {
		g.log.Warn("gateway: configuration in force late; requests were refused", "version", c.Version, "known-for", age)
	}
	g.closeKnown.Do(func() { close(g.catalogKnown) })
}

// Registered implements platform.Listener.
func (g *gateway) Registered(t roster.Target) {
	g.observeWarming(t) // before the target can be chosen
	g.roster.Put(t)
}

// targetLeaves keeps requests from a target that says that it leaves.
func (g *gateway) targetLeaves(t roster.Target) {
	if g.roster.SetLeaving(t.ID, t.Start) {
		g.log.Info("gateway: target says that it leaves", "target", t.ID, "start", t.Start)
	}
}

// Unregistered implements platform.Listener.
func (g *gateway) Unregistered(id target.ID, revision keyvalue.Revision) {
	g.roster.Remove(id, revision)
}

// Listed implements platform.Listener. It replaces all registrations.
func (g *gateway) Listed(targets []roster.Target, at keyvalue.Revision) {
	for _, t := range targets {
		g.observeWarming(t)
	}
	g.roster.Replace(targets, at)
	g.targetsListed.Store(true)
}

// Coordinator implements platform.Listener. It receives the entry of the
// coordinator election.
func (g *gateway) Coordinator(entry keyvalue.Entry) {
	g.election.Observe(entry)
	g.coordinatorClient.FollowCoordinator()
}

// Reached implements platform.Listener. It is called when the store responds.
func (g *gateway) Reached() { g.roster.StoreRegained() }

// Confirmed implements platform.Listener. All data received so far is current
// as of the given instant.
func (g *gateway) Confirmed(at boottime.Instant) {
	if !g.storeIsNewest() {
		return
	}
	era := keyvalue.EraOf(g.follower.ReadRevision())
	g.newest.trustEra(era)
	g.freshness.confirm(at)
	if termAge, leads := g.coordinator.TermAge(); leads && termAge >= coordinator.ReportTime {
		g.newest.record(platform.ConfirmedConfig{Era: era, Version: g.catalog.Load().Version})
	}
}

// recordConfirmed writes the coordinator's confirmations to the store.
func (g *gateway) recordConfirmed(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-g.newest.unrecorded:
			if err := platform.RecordConfirmed(ctx, g.store, c); err != nil {
				g.log.Warn("gateway: recording the confirmed configuration failed; the next confirmation repeats it", "error", err)
			}
		}
	}
}

// Recorded implements platform.Listener.
func (g *gateway) Recorded(c platform.ConfirmedConfig) {
	g.newest.recorded.Store(&c)
	g.learnVersion(c.Version)
}

// storeIsNewest reports whether the configuration that was read from the store may be
// taken for the newest.
func (g *gateway) storeIsNewest() bool {
	current := g.catalog.Load()
	if current == nil {
		return false
	}
	termAge, leads := g.coordinator.TermAge()
	era := keyvalue.EraOf(g.follower.ReadRevision())
	return storeReading{
		version:    current.Version,
		newest:     g.newest.get(),
		restored:   g.newest.restoredSince(era),
		recorded:   g.newest.recorded.Load().Covers(era, current.Version),
		fresh:      g.freshness.current(),
		firstStart: g.settings.FirstStart,
		leads:      leads,
		termAge:    termAge,
		named:      g.newest.namedWithin(g.bootClock.Now(), g.freshness.maxAge()),
		isolated:   g.coordinatorClient.Isolated(),
	}.isNewest()
}

// confirmedCatalog returns the configuration in force, or nil if it was never confirmed.
func (g *gateway) confirmedCatalog() *catalog.Catalog {
	if !g.freshness.confirmed() {
		return nil
	}
	return g.catalog.Load()
}

// newerConfig is called when another host has a newer configuration than this host, which
// is the coordinator.
func (g *gateway) newerConfig(version catalog.Version) {
	g.learnVersion(version)
	g.follower.FetchConfig(version)
}

// learnVersion records that a version of the configuration exists.
func (g *gateway) learnVersion(version catalog.Version) {
	g.newest.learn(version)
	if g.known.Learn(version) {
		g.log.Info("gateway: told of a newer configuration", "version", version)
	}
}

// Unreachable implements platform.Listener. It is called when the store does
// not respond.
func (g *gateway) Unreachable() { g.roster.StoreLost() }

// storeReadTime is the time reserved for reading the store before the host's
// keys are too old to be trusted. Reading a thousand registrations on a hundred
// hosts at once took 0.6 s.
const storeReadTime = 800 * time.Millisecond

// RelayActive implements platform.Listener. It reports whether the coordinator
// relays the contents of the store, so that this host need not read the store
// itself.
func (g *gateway) RelayActive() bool {
	age, ok := g.coordinatorClient.RelayedStateAge()
	return ok && age < g.freshness.maxAge()-storeReadTime
}

// MaxListDelay implements platform.Listener.
func (g *gateway) MaxListDelay() time.Duration {
	return max(0, g.freshness.maxAge()-storeReadTime-g.freshness.age())
}

// UpdateTargets implements coordinator.ViewReceiver. It applies the coordinator's
// changes to the registrations.
func (g *gateway) UpdateTargets(changes roster.Changes) { g.roster.Update(changes) }

// Digests implements coordinator.ViewReceiver. It returns the digests of the known
// registrations.
func (g *gateway) Digests() roster.Digests { return g.roster.Digests() }

// Lapses implements coordinator.ViewReceiver.
func (g *gateway) Lapses() int { return g.roster.Lapses() }

// StoreChanges implements coordinator.ViewReceiver.
func (g *gateway) StoreChanges() (n int, newest keyvalue.Revision) { return g.roster.StoreChanges() }

// SetModels implements coordinator.ViewReceiver. It records the models that an engine
// holds.
func (g *gateway) SetModels(id target.ID, start roster.StartID, models []roster.Resident) {
	g.roster.SetModels(id, start, models)
}

// Resuming implements platform.Listener. It saves the coordinator's reports on
// engines, so that unchanged registrations need not be read again.
func (g *gateway) Resuming() { g.coordinatorClient.SaveModels() }

// ConfirmCurrent implements coordinator.ViewReceiver. It receives the newest
// configuration version and store revision that the coordinator knows.
func (g *gateway) ConfirmCurrent(version catalog.Version, read keyvalue.Revision, at boottime.Instant) {
	g.follower.SetRelayedRevision(read)
	g.roster.StoreRelayed(at)
	g.learnVersion(version)
	if version > 0 {
		g.newest.named(g.bootClock.Now())
	}
	current := g.catalog.Load()
	if current == nil || current.Version < version {
		g.follower.FetchConfig(version)
		return
	}
	if at != 0 && current.Version == version {
		g.newest.trustEra(keyvalue.EraOf(read))
		g.freshness.confirm(at)
	}
}
