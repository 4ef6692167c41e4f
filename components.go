package hawthornway

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"hawthornway/burn"
	"hawthornway/call"
	"hawthornway/caller"
	"hawthornway/claim"
	"hawthornway/config"
	"hawthornway/fleet"
	"hawthornway/gate"
	"hawthornway/key"
	"hawthornway/limit"
	"hawthornway/member"
	"hawthornway/memory"
	"hawthornway/metric"
	"hawthornway/openai"
	"hawthornway/outdated"
	"hawthornway/peer"
	"hawthornway/replica"
	"hawthornway/retry"
	"hawthornway/route"
	"hawthornway/service"
	"hawthornway/settings"
	"hawthornway/target"
	"hawthornway/weightstore"
)

// components holds the controllers and the caller handler of one host.
type components struct {
	clock         clockwork.Clock
	createdAt     time.Time
	log           *slog.Logger
	links         *peer.Links
	members       *member.Controller
	configs       *config.Store
	directory     directory
	keys          *key.Store
	limiter       limit.Controller
	hostList      *hostListPoller
	replicas      replica.Controller
	router        route.Router
	gate          gate.Gate
	poolWait      poolWaitEstimator
	claims        claim.Claims
	metrics       metric.Metrics
	callerHandler *caller.Handler
	callMemory    *memory.Budget
	burnCollector *burn.Collector
	burnRecorder  *burn.Recorder
}

func newComponents(self fleet.Member, s settings.Settings, o *options, httpClient *http.Client) *components {
	c := &components{log: o.log, metrics: metric.New(), clock: o.clock, createdAt: o.clock.Now()}
	c.hostList = newHostListPoller(s.Platform.HostList, o.clock, o.log)
	c.links = peer.New(
		peer.WithSelf(self),
		peer.WithSecret([]byte(s.Secrets.Cluster)),
		peer.WithClock(o.clock),
		peer.WithLogger(o.log),
		peer.WithHTTPClient(httpClient),
	)
	c.addMembership(self, s, o)
	c.addState(self, o)
	c.addPlacement(self, s, o)
	c.addBurnReport(self, o)
	c.addCallerHandler(s, o)
	return c
}

func (c *components) addMembership(self fleet.Member, s settings.Settings, o *options) {
	options := []member.Option{
		member.WithSelf(self),
		member.WithStore(o.store),
		member.WithLinks(c.links),
		member.WithSeeds(s.Seeds),
		member.WithClock(o.clock),
		member.WithLogger(o.log),
		member.WithReleaseCheck(c.canRelease),
	}
	if s.Platform.HostList != "" {
		options = append(options, member.WithHostList(c.hostList))
	}
	c.members = member.New(options...)
}

// canRelease reports whether no operation for a shard is in progress any more.
func (c *components) canRelease(shard member.Shard) bool {
	return c.limiter.CanRelease(shard) && c.replicas.CanRelease(shard)
}

// addState creates the controllers for configuration, keys, limits and claims.
func (c *components) addState(self fleet.Member, o *options) {
	c.configs = config.NewStore(o.store, c.links, config.WithClock(o.clock), config.WithLogger(o.log))
	c.directory = directory{c.configs}
	c.keys = key.NewStore(o.keyStore, c.links, keyDirectory{c.directory, c.members}, key.WithClock(o.clock), key.WithLogger(o.log))
	c.limiter = limit.New(c.members, c.links, o.store, c.directory.Limit,
		limit.WithClock(o.clock),
		limit.WithLogger(o.log),
		limit.WithDomains(c.directory.Domains),
		limit.WithTeams(c.directory.Teams),
	)
	c.claims = claim.New(o.store,
		claim.WithClock(o.clock),
		claim.WithLogger(o.log),
		claim.WithHost(self.Host),
	)
}

// addPlacement creates the components that queue requests and route them to
// replicas.
func (c *components) addPlacement(self fleet.Member, s settings.Settings, o *options) {
	options := []replica.Option{
		replica.WithConfig(c.directory.Config),
		replica.WithMesh(c.links),
		replica.WithOwnership(c.members),
		replica.WithStore(o.store),
		replica.WithDraining(c.hostList.Draining),
		replica.WithDraining(c.directory.Evacuated),
		replica.WithClock(o.clock),
		replica.WithLogger(o.log),
	}
	if s.Platform.WeightStore != "" {
		options = append(options, replica.WithWeightStore(weightStoreReader(s.Platform.WeightStore)))
	}
	c.replicas = replica.New(options...)
	c.router = route.New(
		route.WithConfig(c.directory.Config),
		route.WithReplicas(c.replicas),
		route.WithDomain(self.Domain),
		route.WithDraining(c.hostList.Draining),
		route.WithDraining(c.directory.Evacuated),
		route.WithClock(o.clock),
	)
	c.gate = gate.New(c.directory.Queue, c.poolLoad, c.hostCount, o.clock)
}

// expectedSlotWait returns the expected time until a pool has a free slot.
func (c *components) expectedSlotWait(pool target.Pool) time.Duration {
	return c.poolWait.expectedSlotWait(c.poolLoad(pool))
}

// poolLoad returns the sum of the last reported loads of a pool's targets.
// Draining targets don't count.
func (c *components) poolLoad(pool target.Pool) gate.PoolLoad {
	var sum gate.PoolLoad
	for _, t := range c.directory.current().Pool(pool) {
		load, ok := c.replicas.Load(t.Name)
		if !ok || load.Draining {
			continue
		}
		sum.Slots += load.Slots
		sum.Running += load.Running
		sum.Queued += load.Queued
	}
	return sum
}

// hostCount returns the number of hosts of all domains.
func (c *components) hostCount() int {
	count := 0
	for _, domain := range c.members.Domains() {
		count += len(c.members.Members(domain))
	}
	return count
}

// weightStoreReader returns a function that reads the weight store's state.
func weightStoreReader(address string) func(context.Context) (replica.WeightStoreState, error) {
	client := weightstore.NewClient(address)
	return func(ctx context.Context) (replica.WeightStoreState, error) {
		state, err := client.State(ctx)
		if err != nil {
			return replica.WeightStoreState{}, trace.Wrap(err)
		}
		return replica.WeightStoreState{
			RatePerSecond: state.RatePerSecond,
			Slots:         state.Slots,
			Running:       state.InFlight,
			Waiting:       state.Waiting,
			Adapters:      state.AdaptersInFlight,
		}, nil
	}
}

// addBurnReport creates the recorder and the collector of the error budget
// report.
func (c *components) addBurnReport(self fleet.Member, o *options) {
	c.burnRecorder = burn.NewRecorder(self.Host, o.clock)
	c.burnCollector = burn.NewCollector(c.burnRecorder, c.links, keyDirectory{c.directory, c.members}.Hosts)
}

// followObjectives applies the objectives of each new configuration to the
// recorder.
func (c *components) followObjectives(ctx context.Context) error {
	updates, end := c.configs.Subscribe()
	defer end()
	for {
		select {
		case <-ctx.Done():
			return nil
		case next := <-updates:
			c.burnRecorder.SetObjectives(next.Config().Objectives)
		}
	}
}

// followEvacuations logs and counts the evacuated failure domains of each new configuration.
func (c *components) followEvacuations(ctx context.Context) error {
	updates, end := c.configs.Subscribe()
	defer end()
	evacuated := map[fleet.DomainID]bool{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case next := <-updates:
			previous := evacuated
			evacuated = map[fleet.DomainID]bool{}
			for _, e := range next.Config().Evacuations {
				evacuated[e.Domain] = true
				if !previous[e.Domain] {
					c.log.Info("host: domain is evacuated", "domain", e.Domain, "revision", next.Revision())
				}
			}
			for domain := range previous {
				if !evacuated[domain] {
					c.log.Info("host: domain is no longer evacuated", "domain", domain, "revision", next.Revision())
				}
			}
			c.metrics.Scope().Gauge("evacuated_domains").Update(float64(len(evacuated)))
		}
	}
}

// addCallerHandler creates the handler of the callers' requests with its filter
// chain.
func (c *components) addCallerHandler(s settings.Settings, o *options) {
	directory := c.directory
	budget := retry.NewBudget(o.clock)
	priority := func(c *call.Call) int {
		teamConfig, _ := directory.Team(c.Team)
		return teamConfig.Priority
	}
	engines := &enginePlacer{
		router:           c.router,
		replicas:         c.replicas,
		gate:             c.gate,
		pool:             directory.PoolOf,
		priority:         priority,
		homes:            func(c *call.Call) func(fleet.DomainID) bool { return directory.Homes(c.Team, nil) },
		expectedSlotWait: c.expectedSlotWait,
	}
	generator := openai.NewGenerator(engines, budget, o.clock, priority)
	forwarder := service.NewForwarder(&servicePlacer{router: c.router, homes: directory.Homes, expectedSlotWait: c.expectedSlotWait}, budget, o.clock)
	c.callMemory = memory.NewBudget(memory.Bytes(s.Limits.MemoryBytes), o.clock)
	entries := []call.Entry{
		{Priority: call.PriorityHost, Filter: caller.HostConcurrencyFilter(s.Limits.Streams, o.clock)},
		{Priority: call.PriorityHost, Filter: caller.ConfigurationFilter(c.configs.State)},
		{Priority: call.PriorityMemory, Filter: caller.MemoryFilter(c.callMemory)},
		{Priority: call.PriorityPath, Filter: caller.PathFilter(directory)},
		{Priority: call.PriorityKey, Filter: caller.KeyFilter(c.keys)},
		{Priority: call.PriorityConcurrency, Filter: caller.ConcurrencyFilter(directory, o.clock)},
		{Priority: call.PriorityBody, Filter: caller.BodyFilter(s.Limits.BodyBytes)},
		{Priority: call.PriorityBody, Filter: caller.KeyLeakFilter()},
		{Priority: call.PriorityResolve, Filter: caller.ResolveFilter(directory)},
		{Priority: call.PriorityLimit, Filter: caller.LimitFilter(c.limiter)},
		{Priority: call.PriorityClaim, Filter: caller.ClaimFilter(c.claims, o.log)},
	}
	last := caller.Dispatch(directory, generator, forwarder)
	c.callerHandler = caller.NewHandler(entries, last, o.clock, o.log, c.metrics, burnObserver{c.burnRecorder}, &c.poolWait)
}

// controller is a background task that runs until its context is cancelled.
type controller struct {
	name string
	run  func(ctx context.Context) error
}

// start runs the controllers. The failure of one stops the host.
func (c *components) start(ctx context.Context, running *sync.WaitGroup, failed context.CancelCauseFunc) {
	controllers := []controller{
		{"machines", c.hostList.Run},
		{"peer", c.links.Run},
		{"member", c.members.Run},
		{"config", c.configs.Run},
		{"key", c.keys.Run},
		{"limit", c.limiter.Run},
		{"replica", c.replicas.Run},
		{"gate", c.gate.Run},
		{"claim", c.claims.Run},
		{"burn", c.followObjectives},
		{"evacuation", c.followEvacuations},
	}
	for _, ctrl := range controllers {
		running.Go(func() {
			if err := ctrl.run(ctx); err != nil && ctx.Err() == nil {
				failed(trace.Wrap(err, "%s", ctrl.name))
			}
		})
	}
}

// handOver writes the pending outcomes of claimed calls, then hands the host's
// shards over and removes the host from its domain.
func (c *components) handOver(ctx context.Context) error {
	c.settleClaims(ctx)
	return trace.Wrap(c.members.Leave(ctx))
}

// claimPollInterval is the time between two checks for pending claims.
const claimPollInterval = 20 * time.Millisecond

// settleClaims waits until the outcomes of all claimed calls are written. If an
// outcome is lost, repeats of the call will find it running forever.
func (c *components) settleClaims(ctx context.Context) {
	for c.claims.Pending() > 0 {
		select {
		case <-ctx.Done():
			c.log.Warn("host: outcomes of claimed calls were not written", "calls", c.claims.Pending())
			return
		case <-c.clock.After(claimPollInterval):
		}
	}
}

// startupReasons returns why the host can't serve yet; empty if it can.
func (c *components) startupReasons() []string {
	var reasons []string
	if c.configs.Current() == nil {
		reasons = append(reasons, "no configuration is known")
	}
	if c.configs.State() == outdated.Overdue {
		reasons = append(reasons, "a newer configuration is known and could not be read")
	}
	select {
	case <-c.keys.Loaded():
	default:
		reasons = append(reasons, "keys are not loaded")
	}
	if !c.joinedOrTimedOut() {
		reasons = append(reasons, "the host is not a member of its domain yet")
	}
	return reasons
}

// joinTimeout is the time after which a host serves without being a member of
// its domain, so that it can start while the platform is down.
const joinTimeout = 10 * time.Second

// joinedOrTimedOut reports whether the host is a member of its domain or the
// join timeout has expired.
func (c *components) joinedOrTimedOut() bool {
	self := c.members.Self()
	isSelf := func(m fleet.Member) bool { return m.Incarnation == self.Incarnation }
	if slices.ContainsFunc(c.members.Members(self.Domain), isSelf) {
		return true
	}
	return c.clock.Since(c.createdAt) > joinTimeout
}
