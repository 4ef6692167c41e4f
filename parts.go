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

// parts are the controllers of one host and the handler of its callers' listener.
type parts struct {
	clock         clockwork.Clock
	createdAt     time.Time
	log           *slog.Logger
	links         *peer.Links
	members       *member.Controller
	configs       *config.Store
	directory     directory
	keys          *key.Store
	limiter       limit.Controller
	hostList      *hostListReader
	replicas      replica.Controller
	router        route.Router
	gate          gate.Gate
	callDuration  callDuration
	claims        claim.Claims
	metrics       metric.Metrics
	callerHandler *caller.Handler
	burns         *burn.Collector
	recorder      *burn.Recorder
}

func newParts(self fleet.Member, s settings.Settings, o *options, dial *http.Client) *parts {
	p := &parts{log: o.log, metrics: metric.New(), clock: o.clock, createdAt: o.clock.Now()}
	p.hostList = newHostListReader(s.Platform.HostList, o.clock, o.log)
	p.links = peer.New(
		peer.WithSelf(self),
		peer.WithSecret([]byte(s.Secrets.Cluster)),
		peer.WithClock(o.clock),
		peer.WithLogger(o.log),
		peer.WithHTTPClient(dial),
	)
	p.addMembership(self, s, o)
	p.addState(self, o)
	p.addPlacement(self, s, o)
	p.addBurn(self, o)
	p.addCallerHandler(s, o)
	return p
}

func (p *parts) addMembership(self fleet.Member, s settings.Settings, o *options) {
	options := []member.Option{
		member.WithSelf(self),
		member.WithStore(o.store),
		member.WithLinks(p.links),
		member.WithSeeds(s.Seeds),
		member.WithClock(o.clock),
		member.WithLogger(o.log),
		member.WithReleaseCheck(p.released),
	}
	if s.Platform.HostList != "" {
		options = append(options, member.WithHostList(p.hostList))
	}
	p.members = member.New(options...)
}

// released reports whether no work for a shard is in progress any more.
func (p *parts) released(shard member.Shard) bool {
	return p.limiter.Released(shard) && p.replicas.Released(shard)
}

// addState creates the controllers of the configuration, keys, limits and claims.
func (p *parts) addState(self fleet.Member, o *options) {
	p.configs = config.NewStore(o.store, p.links, config.WithClock(o.clock), config.WithLogger(o.log))
	p.directory = directory{p.configs}
	p.keys = key.NewStore(o.keyStore, p.links, keyDirectory{p.directory, p.members}, key.WithClock(o.clock), key.WithLogger(o.log))
	p.limiter = limit.New(p.members, p.links, o.store, p.directory.Limit,
		limit.WithClock(o.clock),
		limit.WithLogger(o.log),
		limit.WithDomains(p.directory.Domains),
		limit.WithTeams(p.directory.Teams),
	)
	p.claims = claim.New(o.store,
		claim.WithClock(o.clock),
		claim.WithLogger(o.log),
		claim.WithHost(self.Host),
	)
}

// addPlacement creates the controllers that decide where requests are sent.
func (p *parts) addPlacement(self fleet.Member, s settings.Settings, o *options) {
	options := []replica.Option{
		replica.WithConfig(p.directory.Config),
		replica.WithMesh(p.links),
		replica.WithOwnership(p.members),
		replica.WithStore(o.store),
		replica.WithDraining(p.hostList.Draining),
		replica.WithClock(o.clock),
		replica.WithLogger(o.log),
	}
	if s.Platform.WeightStore != "" {
		options = append(options, replica.WithWeightStore(weightStoreReader(s.Platform.WeightStore)))
	}
	p.replicas = replica.New(options...)
	p.router = route.New(
		route.WithConfig(p.directory.Config),
		route.WithReplicas(p.replicas),
		route.WithDomain(self.Domain),
		route.WithDraining(p.hostList.Draining),
		route.WithClock(o.clock),
	)
	p.gate = gate.New(p.directory.Queue, p.poolLoad, p.hostCount, o.clock)
}

// timeToFreeSlot returns the expected time until a pool has a free slot.
func (p *parts) timeToFreeSlot(pool target.Pool) time.Duration {
	return p.callDuration.timeToFreeSlot(p.poolLoad(pool))
}

// poolLoad returns the sum of the last reported loads of a pool's targets, without
// targets that are draining.
func (p *parts) poolLoad(pool target.Pool) gate.PoolLoad {
	var sum gate.PoolLoad
	for _, t := range p.directory.current().Pool(pool) {
		load, ok := p.replicas.Load(t.Name)
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
func (p *parts) hostCount() int {
	count := 0
	for _, domain := range p.members.Domains() {
		count += len(p.members.Members(domain))
	}
	return count
}

// weightStoreReader returns a function that reads the weight store's load.
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
func (p *parts) addBurn(self fleet.Member, o *options) {
	p.recorder = burn.NewRecorder(self.Host, o.clock)
	p.burns = burn.NewCollector(p.recorder, p.links, keyDirectory{p.directory, p.members}.Hosts)
}

// followObjectives passes the objectives of each new configuration to the
// service-level report.
func (p *parts) followObjectives(ctx context.Context) error {
	updates, end := p.configs.Subscribe()
	defer end()
	for {
		select {
		case <-ctx.Done():
			return nil
		case next := <-updates:
			p.recorder.SetObjectives(next.Config().Objectives)
		}
	}
}

// addCallerHandler creates the handler of the callers' listener with its filters.
func (p *parts) addCallerHandler(s settings.Settings, o *options) {
	directory := p.directory
	budget := retry.NewBudget(o.clock)
	priority := func(c *call.Call) int {
		teamConfig, _ := directory.Team(c.Team)
		return teamConfig.Priority
	}
	engines := &enginePlacer{
		router:         p.router,
		replicas:       p.replicas,
		gate:           p.gate,
		pool:           directory.PoolOf,
		priority:       priority,
		timeToFreeSlot: p.timeToFreeSlot,
	}
	generator := openai.NewGenerator(engines, budget, o.clock, priority)
	forwarder := service.NewForwarder(&servicePlacer{router: p.router, timeToFreeSlot: p.timeToFreeSlot}, budget, o.clock)
	entries := []call.Entry{
		{Priority: call.PriorityPath, Filter: caller.PathFilter(directory)},
		{Priority: call.PriorityKey, Filter: caller.KeyFilter(p.keys)},
		{Priority: call.PriorityStream, Filter: caller.StreamFilter(directory, o.clock)},
		{Priority: call.PriorityBody, Filter: caller.BodyFilter(s.Limits.BodyBytes)},
		{Priority: call.PriorityBody, Filter: caller.KeyLeakFilter()},
		{Priority: call.PriorityResolve, Filter: caller.ResolveFilter(directory)},
		{Priority: call.PriorityLimit, Filter: caller.LimitFilter(p.limiter)},
		{Priority: call.PriorityClaim, Filter: caller.ClaimFilter(p.claims, o.log)},
	}
	last := caller.Dispatch(directory, generator, forwarder)
	p.callerHandler = caller.NewHandler(entries, last, o.clock, o.log, p.metrics, burnObserver{p.recorder}, &p.callDuration)
}

// runner is a controller that runs until its context ends.
type runner struct {
	name string
	run  func(ctx context.Context) error
}

// start starts the controllers. If one fails, Run returns its error.
func (p *parts) start(ctx context.Context, wg *sync.WaitGroup, fail context.CancelCauseFunc) {
	runners := []runner{
		{"machines", p.hostList.Run},
		{"peer", p.links.Run},
		{"member", p.members.Run},
		{"config", p.configs.Run},
		{"key", p.keys.Run},
		{"limit", p.limiter.Run},
		{"replica", p.replicas.Run},
		{"gate", p.gate.Run},
		{"claim", p.claims.Run},
		{"burn", p.followObjectives},
	}
	for _, r := range runners {
		wg.Go(func() {
			if err := r.run(ctx); err != nil && ctx.Err() == nil {
				fail(trace.Wrap(err, "%s", r.name))
			}
		})
	}
}

// handOver writes the ends of claimed calls that are not yet written, and hands
// the host's shards over to other hosts.
func (p *parts) handOver(ctx context.Context) error {
	p.settleClaims(ctx)
	return trace.Wrap(p.members.Leave(ctx))
}

// settleCheckInterval is the interval at which settleClaims checks for claims whose
// end is not written.
const settleCheckInterval = 20 * time.Millisecond

// settleClaims waits until the ends of all claimed calls are written. A retry of a
// call whose end is lost would find it still running, forever.
func (p *parts) settleClaims(ctx context.Context) {
	for p.claims.Pending() > 0 {
		select {
		case <-ctx.Done():
			p.log.Warn("host: the ends of claimed calls were not written in time and are lost", "calls", p.claims.Pending())
			return
		case <-p.clock.After(settleCheckInterval):
		}
	}
}

// missing returns the reasons why the host cannot serve yet.
func (p *parts) missing() []string {
	var missing []string
	if p.configs.Current() == nil {
		missing = append(missing, "no configuration is known")
	}
	select {
	case <-p.keys.Loaded():
	default:
		missing = append(missing, "keys are not loaded")
	}
	if !p.joined() {
		missing = append(missing, "the host is not a member of its domain yet")
	}
	return missing
}

// joinTimeout is the time after which a host serves without being a member. A host
// that starts while the platform is down cannot join but must serve.
const joinTimeout = 10 * time.Second

// joined reports whether the host is a member of its domain or joinTimeout is
// over.
func (p *parts) joined() bool {
	self := p.members.Self()
	isSelf := func(m fleet.Member) bool { return m.Incarnation == self.Incarnation }
	if slices.ContainsFunc(p.members.Members(self.Domain), isSelf) {
		return true
	}
	return p.clock.Since(p.createdAt) > joinTimeout
}
