package replica

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"hawthornway/config"
	"hawthornway/model"
	"hawthornway/outcome"
	"hawthornway/peer"
	"hawthornway/platform"
	"hawthornway/target"
)

// Controller decides about the replicas of the groups that this host owns, and
// knows the replicas of all others.
type Controller interface {
	// Run works until the context ends.
	Run(ctx context.Context) error
	// Ensure waits for a replica of a model. It returns at the want's deadline
	// at the latest, with a replica or with a refusal that says when to return.
	Ensure(ctx context.Context, want Want) (Wait, *outcome.NotRun)
	// Ready returns the replicas that requests may be sent to. The slice is
	// shared and must not be changed.
	Ready(name model.Name) []Replica
	// Load returns the last known load of a target.
	Load(id target.ID) (Load, bool)
	// Begin marks a request as running at a replica until end is called. It
	// returns false if the replica is going; the request must not be sent then.
	Begin(id target.ID, name model.Name) (end func(), ok bool)
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
func WithOwnership(o Ownership) Option {
	return func(c *controller) { c.owners = o }
}

// WithStore sets the platform's key-value service.
func WithStore(store platform.Store) Option {
	return func(c *controller) { c.store = store }
}

// WithEngines sets the client of engines and services.
func WithEngines(engines Engines) Option {
	return func(c *controller) { c.engines = engines }
}

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(c *controller) { c.clock = clock }
}

// New returns a new Controller. Configuration, ownership, mesh, store and
// engines must be given.
func New(opts ...Option) Controller {
	c := &controller{
		clock: clockwork.NewRealClock(),
		views: newView(),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

const (
	pollEvery = time.Second
	// waitStep is the time between looks at the view while a want waits.
	waitStep = 50 * time.Millisecond
)

type controller struct {
	config  func() *config.Config
	mesh    peer.Mesh
	owners  Ownership
	store   platform.Store
	engines Engines
	clock   clockwork.Clock

	views *view

	mu      sync.Mutex
	ordered map[model.Name]bool
}

// Run polls the engines of this host's domain until the context ends.
func (c *controller) Run(ctx context.Context) error {
	ticker := c.clock.NewTicker(pollEvery)
	defer ticker.Stop()
	for {
		c.poll(ctx)
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		case <-ticker.Chan():
		}
	}
}

// poll reads the reports of all targets into the view.
func (c *controller) poll(ctx context.Context) {
	for _, t := range c.config().Targets {
		report, err := c.engines.Report(ctx, t, false)
		if err != nil {
			c.views.forget(t.Name)
			continue
		}
		c.views.take(t, report, c.clock.Now())
	}
}

// Ensure waits for a replica of a model.
func (c *controller) Ensure(ctx context.Context, want Want) (Wait, *outcome.NotRun) {
	start := c.clock.Now()
	for {
		if ready := c.views.ready(want.Model); len(ready) > 0 {
			return Wait{Replica: ready[0], Source: SourceRemote, Waited: c.clock.Since(start)}, nil
		}
		if !c.order(ctx, want.Model) {
			return Wait{}, &outcome.NotRun{Reason: outcome.ReasonNoMemory, RetryAfter: pollEvery}
		}
		if !c.clock.Now().Add(waitStep).Before(want.Deadline) {
			return Wait{}, &outcome.NotRun{Reason: outcome.ReasonDeadline, RetryAfter: pollEvery}
		}
		select {
		case <-ctx.Done():
			return Wait{}, &outcome.NotRun{Reason: outcome.ReasonCallerLeft}
		case <-c.clock.After(waitStep):
		}
	}
}

// order orders a model once, at the first target with room.
func (c *controller) order(ctx context.Context, name model.Name) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ordered[name] {
		return true
	}
	if c.ordered == nil {
		c.ordered = make(map[model.Name]bool)
	}
	cfg := c.config()
	for _, m := range cfg.Models {
		if m.Name != name {
			continue
		}
		for _, t := range cfg.Targets {
			if t.Pool != m.Pool || t.Kind != target.KindEngine {
				continue
			}
			order := Order{ID: OrderID(name), Kind: OrderLoad, Ref: model.Ref{Name: name, Version: m.Version}, Bytes: m.Memory}
			if _, ok := c.engines.Order(ctx, t, order).(OrderAccepted); ok {
				c.ordered[name] = true
				return true
			}
		}
	}
	return false
}

// Ready returns the replicas that requests may be sent to.
func (c *controller) Ready(name model.Name) []Replica { return c.views.ready(name) }

// Load returns the last known load of a target.
func (c *controller) Load(id target.ID) (Load, bool) { return c.views.load(id) }

// Begin marks a request as running at a replica until end is called.
func (c *controller) Begin(target.ID, model.Name) (end func(), ok bool) {
	return func() {}, true
}
