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
// knows the replicas of all others.
type Controller interface {
	// Run works until the context ends.
	Run(ctx context.Context) error
	// Ensure waits for a replica of a model. It returns at the want's deadline
	// at the latest, with a replica or with a refusal that says when to return.
	Ensure(ctx context.Context, want LoadRequest) (Wait, *outcome.NotRun)
	// Ready returns the replicas that requests may be sent to. The slice is
	// shared and must not be changed.
	Ready(name model.Name) []Replica
	// Load returns the last known load of a target.
	Load(id target.ID) (Load, bool)
	// Begin marks a request as running at a replica until end is called. It
	// returns false if the replica is going; the request must not be sent then.
	Begin(id target.ID, name model.Name) (end func(), ok bool)
	// Released reports whether every order for a shard has been answered and
	// recorded. It is asked before the shard is handed over.
	Released(shard member.Shard) bool
}

// Option sets an option of a Controller.
type Option func(*controller)

// WithConfig sets the source of the configuration. It must not return nil.
func WithConfig(current func() *config.Config) Option {
	return func(c *controller) { c.config = current }
}

// WithMesh sets the links to other hosts.
func WithMesh(mesh peer.Mesh) Option {
	return func(c *controller) { c.mesh = mesh }
}

// WithOwnership sets the source of ownership.
func WithOwnership(o member.Ownership) Option {
	return func(c *controller) { c.owners = o }
}

// WithStore sets the platform's key-value service.
func WithStore(store keyvalue.Store) Option {
	return func(c *controller) { c.store = store }
}

// WithEngines sets the clients of targets.
func WithEngines(engines Engines) Option {
	return func(c *controller) { c.engines = engines }
}

// WithWeightStore sets the source of the weight store's state. Without one the
// loads of other groups are not counted.
func WithWeightStore(read func(ctx context.Context) (WeightStoreState, error)) Option {
	return func(c *controller) { c.weights = read }
}

// WithDraining adds a source that tells which targets are leaving, beside their
// reports.
func WithDraining(leaving func(target.ID) bool) Option {
	return func(c *controller) { c.leaving = append(c.leaving, leaving) }
}

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(c *controller) { c.clock = clock }
}

// WithLogger sets the logger.
func WithLogger(log *slog.Logger) Option {
	return func(c *controller) { c.log = log }
}

// New returns a new Controller. Configuration, ownership, mesh and store must be
// given.
func New(opts ...Option) Controller {
	return newController(opts...)
}

func newController(opts ...Option) *controller {
	c := &controller{
		clock:   clockwork.NewRealClock(),
		engines: NewEngines(),
		log:     slog.Default(),
		view:    newView(),
		runners: make(map[GroupKey]*runner),
		gate:    func() {},

		beforeOrder: func() {},
		trace:       func(Input, []Effect) {},
	}
	for _, opt := range opts {
		opt(c)
	}
	c.self = c.owners.Self()
	c.relayout()
	c.mesh.Handle(kindWant, c.handleWant)
	c.mesh.Handle(kindDigest, c.handleDigest)
	c.mesh.Handle(kindUse, c.handleUse)
	return c
}

const (
	// stepEvery is the time between ticks of the groups that are held.
	stepEvery = 100 * time.Millisecond
	// pollEvery is the time between reports of each target.
	pollEvery = time.Second
	// tellEvery is the time between looks at what owners are to be told.
	tellEvery = 250 * time.Millisecond
)

type controller struct {
	self    fleet.Member
	config  func() *config.Config
	mesh    peer.Mesh
	owners  member.Ownership
	store   keyvalue.Store
	engines Engines
	weights func(ctx context.Context) (WeightStoreState, error)
	leaving []func(target.ID) bool
	clock   clockwork.Clock
	log     *slog.Logger
	off     mechanisms
	// gate is passed before each step; tests hold it to freeze the host.
	gate func()
	// beforeOrder is called before the hold is checked for an order.
	beforeOrder func()
	// trace is called with each step of a group; tests log it.
	trace func(in Input, effects []Effect)

	view *view

	mu      sync.RWMutex
	current *config.Config
	layout  *layout
	runners map[GroupKey]*runner
}

// Run works until the context ends.
func (c *controller) Run(ctx context.Context) error {
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error { return c.every(ctx, stepEvery, c.step) })
	tasks.Go(func() error { return c.every(ctx, pollEvery, c.poll) })
	tasks.Go(func() error { return c.every(ctx, tellEvery, c.tellOwners) })
	err := tasks.Wait()
	c.wait()
	if ctx.Err() != nil {
		return nil
	}
	return trace.Wrap(err)
}

// every runs a task now and after each period until the context ends.
func (c *controller) every(ctx context.Context, period time.Duration, task func(context.Context)) error {
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

// step lets time pass for all groups of this host's domain.
func (c *controller) step(ctx context.Context) {
	c.relayout()
	all, near := c.hosts()
	for _, r := range c.ownRunners() {
		r.tick(ctx, all, near)
	}
}

// poll asks the targets of the held groups for their reports and tells hosts of
// them.
func (c *controller) poll(ctx context.Context) {
	weights, read := c.readWeights(ctx)
	for _, r := range c.ownRunners() {
		if !r.held() {
			continue
		}
		if read {
			r.step(ctx, WeightsRead{Weights: weights})
		}
		r.poll(ctx)
	}
}

func (c *controller) readWeights(ctx context.Context) (WeightStoreState, bool) {
	if c.weights == nil {
		return WeightStoreState{}, false
	}
	ctx, cancel := clockwork.WithTimeout(ctx, c.clock, pollEvery/2)
	defer cancel()
	w, err := c.weights(ctx)
	return w, err == nil
}

// relayout takes in a new configuration.
func (c *controller) relayout() {
	cfg := c.config()
	c.mu.Lock()
	defer c.mu.Unlock()
	if cfg == c.current {
		return
	}
	c.current = cfg
	c.layout = newLayout(cfg)
	c.view.relayout(c.layout)
	for _, key := range c.layout.groups {
		if key.Domain == c.self.Domain && c.runners[key] == nil {
			c.runners[key] = newRunner(c, key)
		}
	}
	for key, r := range c.runners {
		r.reconfigure(c.layout.targets[key], c.layout.catalog, c.layout.keeps(key))
	}
}

// ownRunners returns the runners of this host's domain in the order of their
// groups.
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

// wait waits for the calls that are running.
func (c *controller) wait() {
	for _, r := range c.ownRunners() {
		r.close()
	}
}

// Ready returns the replicas that requests may be sent to.
func (c *controller) Ready(name model.Name) []Replica { return c.view.ready(name) }

// Load returns the last known load of a target.
func (c *controller) Load(id target.ID) (Load, bool) { return c.view.load(id) }

// Begin marks a request as running at a replica until end is called.
func (c *controller) Begin(id target.ID, name model.Name) (end func(), ok bool) {
	n, ok := c.view.begin(replicaKey{id, name})
	if !ok {
		return nil, false
	}
	return func() { n.running.Add(-1) }, true
}

// Released reports whether every order for a shard has been answered and
// recorded.
func (c *controller) Released(shard member.Shard) bool {
	for _, r := range c.ownRunners() {
		if r.key.Shard == shard && !r.released() {
			return false
		}
	}
	return true
}
