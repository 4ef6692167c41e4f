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

// parts are the controllers and the front of one host.
type parts struct {
	clock     clockwork.Clock
	made      time.Time
	log       *slog.Logger
	links     *peer.Links
	members   *member.Controller
	configs   *config.Store
	directory directory
	keys      *key.Store
	limiter   limit.Controller
	machines  *machines
	replicas  replica.Controller
	router    route.Router
	gate      gate.Gate
	pace      pace
	claims    claim.Claims
	metrics   metric.Metrics
	front     *caller.Handler
	burns     *burn.Collector
	recorder  *burn.Recorder
}

func newParts(self fleet.Member, s settings.Settings, o *options, dial *http.Client) *parts {
	p := &parts{log: o.log, metrics: metric.New(), clock: o.clock, made: o.clock.Now()}
	p.machines = newMachines(s.Platform.HostList, o.clock, o.log)
	p.links = peer.New(
		peer.WithSelf(self),
		peer.WithSecret([]byte(s.Secrets.Cluster)),
		peer.WithClock(o.clock),
		peer.WithLogger(o.log),
		peer.WithHTTPClient(dial),
	)
	p.addMembers(self, s, o)
	p.addState(self, o)
	p.addPlacement(self, s, o)
	p.addBurn(self, o)
	p.addFront(s, o)
	return p
}

func (p *parts) addMembers(self fleet.Member, s settings.Settings, o *options) {
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
		options = append(options, member.WithHostList(p.machines))
	}
	p.members = member.New(options...)
}

// released reports whether nothing is under way for a shard any more.
func (p *parts) released(shard member.Shard) bool {
	return p.limiter.Released(shard) && p.replicas.Released(shard)
}

// addState joins the controllers of what operators and teams own.
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

// addPlacement joins what decides where requests go.
func (p *parts) addPlacement(self fleet.Member, s settings.Settings, o *options) {
	options := []replica.Option{
		replica.WithConfig(p.directory.Config),
		replica.WithMesh(p.links),
		replica.WithOwnership(p.members),
		replica.WithStore(o.store),
		replica.WithDraining(p.machines.Leaving),
		replica.WithClock(o.clock),
		replica.WithLogger(o.log),
	}
	if s.Platform.WeightStore != "" {
		options = append(options, replica.WithWeightStore(weightsReader(s.Platform.WeightStore)))
	}
	p.replicas = replica.New(options...)
	p.router = route.New(
		route.WithConfig(p.directory.Config),
		route.WithReplicas(p.replicas),
		route.WithDomain(self.Domain),
		route.WithDraining(p.machines.Leaving),
		route.WithClock(o.clock),
	)
	p.gate = gate.New(p.directory.Queue, p.work, p.hosts, o.clock)
}

// untilFree returns when a pool is expected to have a free slot.
func (p *parts) untilFree(pool target.Pool) time.Duration {
	return p.pace.untilFree(p.work(pool))
}

// work returns what the targets of a pool last said of their work.
func (p *parts) work(pool target.Pool) gate.PoolLoad {
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

// hosts returns the number of hosts of all domains.
func (p *parts) hosts() int {
	count := 0
	for _, domain := range p.members.Domains() {
		count += len(p.members.Members(domain))
	}
	return count
}

// weightsReader returns a function that reads the weight store's state.
func weightsReader(address string) func(context.Context) (replica.WeightStoreState, error) {
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

// addBurn joins the service-level report.
func (p *parts) addBurn(self fleet.Member, o *options) {
	p.recorder = burn.NewRecorder(self.Host, o.clock)
	p.burns = burn.NewCollector(p.recorder, p.links, keyDirectory{p.directory, p.members}.Hosts)
}

// followObjectives keeps the report's objectives those in force.
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

// addFront joins the callers' chain of filters.
func (p *parts) addFront(s settings.Settings, o *options) {
	directory := p.directory
	budget := retry.NewBudget(o.clock)
	priority := func(c *call.Call) int {
		owner, _ := directory.Team(c.Team)
		return owner.Priority
	}
	engines := &enginePlacer{
		router:    p.router,
		replicas:  p.replicas,
		gate:      p.gate,
		pool:      directory.PoolOf,
		priority:  priority,
		untilFree: p.untilFree,
	}
	generator := openai.NewGenerator(engines, budget, o.clock, priority)
	forwarder := service.NewForwarder(&servicePlacer{router: p.router, untilFree: p.untilFree}, budget, o.clock)
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
	p.front = caller.NewHandler(entries, last, o.clock, o.log, p.metrics, burnObserver{p.recorder}, &p.pace)
}

// runner is a controller that works until its context ends.
type runner struct {
	name string
	run  func(ctx context.Context) error
}

// start runs the controllers. One that fails ends the host.
func (p *parts) start(ctx context.Context, running *sync.WaitGroup, failed context.CancelCauseFunc) {
	runners := []runner{
		{"machines", p.machines.Run},
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
		running.Go(func() {
			if err := r.run(ctx); err != nil && ctx.Err() == nil {
				failed(trace.Wrap(err, "%s", r.name))
			}
		})
	}
}

// leave writes the ends of calls that are yet to be written and hands the host's
// duties over.
func (p *parts) leave(ctx context.Context) error {
	p.settleClaims(ctx)
	return trace.Wrap(p.members.Leave(ctx))
}

// settleEvery is the time between two looks at the claims that are unsettled.
const settleEvery = 20 * time.Millisecond

// settleClaims waits until the ends of all claimed calls are written. Repeats of
// those that are not would find them running for ever.
func (p *parts) settleClaims(ctx context.Context) {
	for p.claims.Pending() > 0 {
		select {
		case <-ctx.Done():
			p.log.Warn("host: ends of claimed calls are lost", "calls", p.claims.Pending())
			return
		case <-p.clock.After(settleEvery):
		}
	}
}

// missing returns what the host lacks before it can serve.
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

// joinPatience is the time after which a host serves without being a member, as
// it must when it starts while the platform is down.
const joinPatience = 10 * time.Second

// joined reports whether the host is a member of its domain, or has waited long
// enough for that.
func (p *parts) joined() bool {
	self := p.members.Self()
	isSelf := func(m fleet.Member) bool { return m.Incarnation == self.Incarnation }
	if slices.ContainsFunc(p.members.Members(self.Domain), isSelf) {
		return true
	}
	return p.clock.Since(p.made) > joinPatience
}
