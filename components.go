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
	"hawthornway/metric"
	"hawthornway/openai"
	"hawthornway/peer"
	"hawthornway/replica"
	"hawthornway/retry"
	"hawthornway/route"
	"hawthornway/service"
	"hawthornway/settings"
	"hawthornway/target"
	"hawthornway/weightstore"
)

// components are the controllers and the callers' handler of a host.
type components struct {
	clock         clockwork.Clock
	createdAt     time.Time
	log           *slog.Logger
	peers         *peer.Links
	members       *member.Controller
	configs       *config.Store
	directory     directory
	keys          *key.Store
	limiter       limit.Controller
	hostList      *hostListCache
	replicas      replica.Controller
	router        route.Router
	gate          gate.Gate
	callDurations callDurations
	claims        claim.Claims
	metrics       metric.Metrics
	callerHandler *caller.Handler
	burns         *burn.Collector
	recorder      *burn.Recorder
}

func newComponents(self fleet.Member, s settings.Settings, o *options, peerClient *http.Client) *components {
	cs := &components{log: o.log, metrics: metric.New(), clock: o.clock, createdAt: o.clock.Now()}
	cs.hostList = newHostListCache(s.Platform.HostList, o.clock, o.log)
	cs.peers = peer.New(
		peer.WithSelf(self),
		peer.WithSecret([]byte(s.Secrets.Cluster)),
		peer.WithClock(o.clock),
		peer.WithLogger(o.log),
		peer.WithHTTPClient(peerClient),
	)
	cs.addMembers(self, s, o)
	cs.addState(self, o)
	cs.addPlacement(self, s, o)
	cs.addBurn(self, o)
	cs.addCallerHandler(s, o)
	return cs
}

func (cs *components) addMembers(self fleet.Member, s settings.Settings, o *options) {
	options := []member.Option{
		member.WithSelf(self),
		member.WithStore(o.store),
		member.WithLinks(cs.peers),
		member.WithSeeds(s.Seeds),
		member.WithClock(o.clock),
		member.WithLogger(o.log),
		member.WithReleaseCheck(cs.shardReleased),
	}
	if s.Platform.HostList != "" {
		options = append(options, member.WithHostList(cs.hostList))
	}
	cs.members = member.New(options...)
}

// shardReleased reports whether no work for a shard is in progress any more.
func (cs *components) shardReleased(shard member.Shard) bool {
	return cs.limiter.Released(shard) && cs.replicas.Released(shard)
}

// addState creates the controllers of configuration, keys, limits and claims.
func (cs *components) addState(self fleet.Member, o *options) {
	cs.configs = config.NewStore(o.store, cs.peers, config.WithClock(o.clock), config.WithLogger(o.log))
	cs.directory = directory{cs.configs}
	cs.keys = key.NewStore(o.keyStore, cs.peers, keyDirectory{cs.directory, cs.members}, key.WithClock(o.clock), key.WithLogger(o.log))
	cs.limiter = limit.New(cs.members, cs.peers, o.store, cs.directory.Limit,
		limit.WithClock(o.clock),
		limit.WithLogger(o.log),
		limit.WithDomains(cs.directory.Domains),
		limit.WithTeams(cs.directory.Teams),
	)
	cs.claims = claim.New(o.store,
		claim.WithClock(o.clock),
		claim.WithLogger(o.log),
		claim.WithHost(self.Host),
	)
}

// addPlacement creates the components that choose targets for requests: replicas,
// router and gate.
func (cs *components) addPlacement(self fleet.Member, s settings.Settings, o *options) {
	options := []replica.Option{
		replica.WithConfig(cs.directory.Config),
		replica.WithMesh(cs.peers),
		replica.WithOwnership(cs.members),
		replica.WithStore(o.store),
		replica.WithDraining(cs.hostList.Draining),
		replica.WithClock(o.clock),
		replica.WithLogger(o.log),
	}
	if s.Platform.WeightStore != "" {
		options = append(options, replica.WithWeightStore(weightStoreReader(s.Platform.WeightStore)))
	}
	cs.replicas = replica.New(options...)
	cs.router = route.New(
		route.WithConfig(cs.directory.Config),
		route.WithReplicas(cs.replicas),
		route.WithDomain(self.Domain),
		route.WithDraining(cs.hostList.Draining),
		route.WithClock(o.clock),
	)
	cs.gate = gate.New(cs.directory.Queue, cs.poolLoad, cs.hostCount, o.clock)
}

// timeToFreeSlot returns the expected time until a pool has a free slot.
func (cs *components) timeToFreeSlot(pool target.Pool) time.Duration {
	return cs.callDurations.timeToFreeSlot(cs.poolLoad(pool))
}

// poolLoad returns the sum of the last reported loads of a pool's targets,
// without draining targets.
func (cs *components) poolLoad(pool target.Pool) gate.PoolLoad {
	var sum gate.PoolLoad
	for _, t := range cs.directory.current().Pool(pool) {
		load, ok := cs.replicas.Load(t.Name)
		if !ok || load.Draining {
			continue
		}
		sum.Slots += load.Slots
		sum.Running += load.Running
		sum.Queued += load.Queued
	}
	return sum
}

// hostCount returns the number of hosts in all domains.
func (cs *components) hostCount() int {
	count := 0
	for _, domain := range cs.members.Domains() {
		count += len(cs.members.Members(domain))
	}
	return count
}

// weightStoreReader returns a function that reads the state of the weight store.
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

// addBurn creates the recorder and the collector of the service-level report.
func (cs *components) addBurn(self fleet.Member, o *options) {
	cs.recorder = burn.NewRecorder(self.Host, o.clock)
	cs.burns = burn.NewCollector(cs.recorder, cs.peers, keyDirectory{cs.directory, cs.members}.Hosts)
}

// followObjectives passes the objectives of each new configuration to the
// recorder of the service-level report.
func (cs *components) followObjectives(ctx context.Context) error {
	updates, unsubscribe := cs.configs.Subscribe()
	defer unsubscribe()
	for {
		select {
		case <-ctx.Done():
			return nil
		case next := <-updates:
			cs.recorder.SetObjectives(next.Config().Objectives)
		}
	}
}

// addCallerHandler creates the callers' handler with its chain of filters.
func (cs *components) addCallerHandler(s settings.Settings, o *options) {
	directory := cs.directory
	budget := retry.NewBudget(o.clock)
	priority := func(c *call.Call) int {
		teamConfig, _ := directory.Team(c.Team)
		return teamConfig.Priority
	}
	engines := &enginePlacer{
		router:         cs.router,
		replicas:       cs.replicas,
		gate:           cs.gate,
		pool:           directory.PoolOf,
		priority:       priority,
		timeToFreeSlot: cs.timeToFreeSlot,
	}
	generator := openai.NewGenerator(engines, budget, o.clock, priority)
	forwarder := service.NewForwarder(&servicePlacer{router: cs.router, timeToFreeSlot: cs.timeToFreeSlot}, budget, o.clock)
	entries := []call.Entry{
		{Priority: call.PriorityPath, Filter: caller.PathFilter(directory)},
		{Priority: call.PriorityKey, Filter: caller.KeyFilter(cs.keys)},
		{Priority: call.PriorityStream, Filter: caller.StreamFilter(directory, o.clock)},
		{Priority: call.PriorityBody, Filter: caller.BodyFilter(s.Limits.BodyBytes)},
		{Priority: call.PriorityBody, Filter: caller.KeyLeakFilter()},
		{Priority: call.PriorityResolve, Filter: caller.ResolveFilter(directory)},
		{Priority: call.PriorityLimit, Filter: caller.LimitFilter(cs.limiter)},
		{Priority: call.PriorityClaim, Filter: caller.ClaimFilter(cs.claims, o.log)},
	}
	dispatch := caller.Dispatch(directory, generator, forwarder)
	cs.callerHandler = caller.NewHandler(entries, dispatch, o.clock, o.log, cs.metrics, burnObserver{cs.recorder}, &cs.callDurations)
}

// runner is a controller that runs until its context ends.
type runner struct {
	name string
	run  func(ctx context.Context) error
}

// start starts the controllers. If one fails, it calls fail.
func (cs *components) start(ctx context.Context, running *sync.WaitGroup, fail context.CancelCauseFunc) {
	runners := []runner{
		{"machines", cs.hostList.Run},
		{"peer", cs.peers.Run},
		{"member", cs.members.Run},
		{"config", cs.configs.Run},
		{"key", cs.keys.Run},
		{"limit", cs.limiter.Run},
		{"replica", cs.replicas.Run},
		{"gate", cs.gate.Run},
		{"claim", cs.claims.Run},
		{"burn", cs.followObjectives},
	}
	for _, r := range runners {
		running.Go(func() {
			if err := r.run(ctx); err != nil && ctx.Err() == nil {
				fail(trace.Wrap(err, "%s", r.name))
			}
		})
	}
}

// handOver waits until the results of claimed calls are written, hands the host's
// shards over and leaves the domain.
func (cs *components) handOver(ctx context.Context) error {
	cs.awaitClaims(ctx)
	return trace.Wrap(cs.members.Leave(ctx))
}

// claimPollInterval is the interval at which the number of unsettled claims is
// polled.
const claimPollInterval = 20 * time.Millisecond

// awaitClaims waits until the results of all claimed calls are written. A repeat
// of a call without a written result would find it in progress forever.
func (cs *components) awaitClaims(ctx context.Context) {
	for cs.claims.Pending() > 0 {
		select {
		case <-ctx.Done():
			cs.log.Warn("host: results of claimed calls were not written", "calls", cs.claims.Pending())
			return
		case <-cs.clock.After(claimPollInterval):
		}
	}
}

// missing returns the reasons why the host cannot serve yet.
func (cs *components) missing() []string {
	var missing []string
	if cs.configs.Current() == nil {
		missing = append(missing, "no configuration is known")
	}
	select {
	case <-cs.keys.Loaded():
	default:
		missing = append(missing, "keys are not loaded")
	}
	if !cs.joined() {
		missing = append(missing, "the host is not a member of its domain yet")
	}
	return missing
}

// joinTimeout is the time after which a host serves without being a member. This
// allows a host to start while the platform is down.
const joinTimeout = 10 * time.Second

// joined reports whether the host is a member of its domain or joinTimeout has
// passed.
func (cs *components) joined() bool {
	self := cs.members.Self()
	isSelf := func(m fleet.Member) bool { return m.Incarnation == self.Incarnation }
	if slices.ContainsFunc(cs.members.Members(self.Domain), isSelf) {
		return true
	}
	return cs.clock.Since(cs.createdAt) > joinTimeout
}
