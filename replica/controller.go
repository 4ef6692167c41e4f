package replica

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"hawthornway/config"
	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/member"
	"hawthornway/model"
	"hawthornway/outcome"
	"hawthornway/peer"
	"hawthornway/target"
)

// Controller decides about the replicas of the groups that this host owns, and
// knows the replicas of all groups.
type Controller interface {
	// Run runs the controller until the context ends.
	Run(ctx context.Context) error
	// Ensure waits for a replica of a model. It returns by the request's
	// deadline, with a replica or with a refusal that states the delay before a retry.
	Ensure(ctx context.Context, request LoadRequest) (LoadResult, *outcome.NotRun)
	// Ready returns the replicas that requests may be sent to. The slice is
	// shared and must not be changed.
	Ready(name model.Name) []Replica
	// Load returns the last known load of a target.
	Load(id target.ID) (TargetLoad, bool)
	// Begin counts a request as running at a replica until end is called. It
	// returns false if the replica takes no new requests; the request must not
	// be sent then.
	Begin(id target.ID, name model.Name) (end func(), ok bool)
	// CanRelease reports whether every order for a shard has been answered and
	// recorded. It is called before the shard is handed over.
	CanRelease(shard member.Shard) bool
}

// Option sets an option of a Controller.
type Option func(*controller)

// WithConfig sets the source of the configuration. It must not return nil.
func WithConfig(current func() *config.Config) Option {
	return func(c *controller) { c.config = current }
}

// WithMesh sets the connections to other hosts.
func WithMesh(mesh peer.Mesh) Option {
	return func(c *controller) { c.mesh = mesh }
}

// WithOwnership sets the source of shard ownership.
func WithOwnership(o member.Ownership) Option {
	return func(c *controller) { c.ownership = o }
}

// WithStore sets the platform's key-value service.
func WithStore(store keyvalue.Store) Option {
	return func(c *controller) { c.store = store }
}

// WithClients sets the clients of targets.
func WithClients(clients Clients) Option {
	return func(c *controller) { c.clients = clients }
}

// WithWeightStore sets the source of the weight store's state. Without one, the
// loads of other groups are not counted.
func WithWeightStore(read func(ctx context.Context) (WeightStoreState, error)) Option {
	return func(c *controller) { c.weightStore = read }
}

// WithDraining adds a source of the targets that take no new work, in addition
// to the targets' reports.
func WithDraining(draining func(target.ID) bool) Option {
	return func(c *controller) { c.draining = append(c.draining, draining) }
}

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(c *controller) { c.clock = clock }
}

// WithLogger sets the logger.
func WithLogger(log *slog.Logger) Option {
	return func(c *controller) { c.log = log }
}

// New returns a new Controller. Configuration, ownership, mesh and store are
// required.
func New(opts ...Option) Controller {
	return newController(opts...)
}

func newController(opts ...Option) *controller {
	c := &controller{
		clock:   clockwork.NewRealClock(),
		clients: NewClients(),
		log:     slog.Default(),
		view:    newView(),
		runners: make(map[GroupKey]*runner),
		gate:    func() {},

		beforeOrder: func() {},
		onStep:      func(Input, []Effect) {},
	}
	for _, opt := range opts {
		opt(c)
	}
	c.self = c.ownership.Self()
	c.updateLayout()
	c.mesh.Handle(kindLoadRequest, c.handleLoadRequest)
	c.mesh.Handle(kindDigest, c.handleDigest)
	c.mesh.Handle(kindUse, c.handleUse)
	return c
}

const (
	// stepInterval is the time between ticks of the groups.
	stepInterval = 100 * time.Millisecond
	// pollInterval is the time between reports of each target.
	pollInterval = time.Second
	// notifyInterval is the time between checks whether owners are to be
	// notified.
	notifyInterval = 250 * time.Millisecond
)

type controller struct {
	self        fleet.Member
	config      func() *config.Config
	mesh        peer.Mesh
	ownership   member.Ownership
	store       keyvalue.Store
	clients     Clients
	weightStore func(ctx context.Context) (WeightStoreState, error)
	draining    []func(target.ID) bool
	clock       clockwork.Clock
	log         *slog.Logger
	disabled    disabledSafeguards
	// gate is called before each step; tests block it to freeze the host.
	gate func()
	// beforeOrder is called before the lease is checked for an order.
	beforeOrder func()
	// onStep is called with each step of a group; tests log it.
	onStep func(in Input, effects []Effect)

	view *view

	mu            sync.RWMutex
	currentConfig *config.Config
	layout        *layout
	runners       map[GroupKey]*runner
}

// Run runs the controller until the context ends.
func (c *controller) Run(ctx context.Context) error {
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error { return c.runPeriodically(ctx, stepInterval, c.tickGroups) })
	tasks.Go(func() error { return c.runPeriodically(ctx, pollInterval, c.pollTargets) })
	tasks.Go(func() error { return c.runPeriodically(ctx, notifyInterval, c.notifyOwners) })
	err := tasks.Wait()
	c.closeRunners()
	if ctx.Err() != nil {
		return nil
	}
	return trace.Wrap(err)
}

// runPeriodically runs a task now and then once every period until the context
// ends.
func (c *controller) runPeriodically(ctx context.Context, period time.Duration, task func(context.Context)) error {
	ticker := c.clock.NewTicker(period)
	defer ticker.Stop()
	for {
		c.gate()
		task(ctx)
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		case <-ticker.Chan():
		}
	}
}

// tickGroups advances the time of all groups of this host's domain.
func (c *controller) tickGroups(ctx context.Context) {
	c.updateLayout()
	all, localHosts := c.hosts()
	for _, r := range c.ownRunners() {
		r.tick(ctx, all, localHosts)
	}
}

// pollTargets requests reports from the targets of the groups that this host
// has leases for, and publishes them.
func (c *controller) pollTargets(ctx context.Context) {
	state, read := c.readWeightStore(ctx)
	for _, r := range c.ownRunners() {
		if !r.hasLease() {
			continue
		}
		if read {
			r.step(ctx, WeightStoreRead{State: state})
		}
		r.poll(ctx)
	}
}

func (c *controller) readWeightStore(ctx context.Context) (WeightStoreState, bool) {
	if c.weightStore == nil {
		return WeightStoreState{}, false
	}
	ctx, cancel := clockwork.WithTimeout(ctx, c.clock, pollInterval/2)
	defer cancel()
	state, err := c.weightStore(ctx)
	return state, err == nil
}

// updateLayout applies a new configuration.
func (c *controller) updateLayout() {
	cfg := c.config()
	c.mu.Lock()
	defer c.mu.Unlock()
	if cfg == c.currentConfig {
		return
	}
	c.currentConfig = cfg
	c.layout = newLayout(cfg)
	c.view.setLayout(c.layout)
	for _, key := range c.layout.groups {
		if key.Domain == c.self.Domain && c.runners[key] == nil {
			c.runners[key] = newRunner(c, key)
		}
	}
	for key, r := range c.runners {
		r.reconfigure(c.layout.targets[key], c.layout.catalog, c.layout.minReplicaModels(key))
	}
}

// ownRunners returns the runners of this host's domain, ordered by group.
func (c *controller) ownRunners() []*runner {
	c.mu.RLock()
	defer c.mu.RUnlock()
	runners := make([]*runner, 0, len(c.runners))
	for _, r := range c.runners {
		runners = append(runners, r)
	}
	sortRunners(runners)
	return runners
}

func (c *controller) runner(key GroupKey) *runner {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.runners[key]
}

func (c *controller) currentLayout() *layout {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.layout
}

// closeRunners waits for all running calls.
func (c *controller) closeRunners() {
	for _, r := range c.ownRunners() {
		r.close()
	}
}

// Ready returns the replicas that requests may be sent to.
func (c *controller) Ready(name model.Name) []Replica { return c.view.ready(name) }

// Load returns the last known load of a target.
func (c *controller) Load(id target.ID) (TargetLoad, bool) { return c.view.targetLoad(id) }

// Begin counts a request as running at a replica until end is called.
func (c *controller) Begin(id target.ID, name model.Name) (end func(), ok bool) {
	counter, ok := c.view.begin(replicaKey{id, name})
	if !ok {
		return nil, false
	}
	return func() { counter.running.Add(-1) }, true
}

// CanRelease reports whether every order for a shard has been answered and
// recorded.
func (c *controller) CanRelease(shard member.Shard) bool {
	for _, r := range c.ownRunners() {
		if r.key.Shard == shard && !r.released() {
			return false
		}
	}
	return true
}
