// Package coordinator is the part of hawthornway that acts for the whole fleet:
// it keeps the ledger of the teams' tokens, decides what engines hold, gives the
// orders, and tells all hosts. Every host can take it over; the election says
// which one has it.
package coordinator

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"hawthornway/catalog"
	"hawthornway/election"
	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/model"
	"hawthornway/peer"
	"hawthornway/placement"
	"hawthornway/quota"
	"hawthornway/target"
	"hawthornway/team"
)

// The times of a Coordinator.
const (
	// planEvery is the time between two plans while nothing happens.
	planEvery = 100 * time.Millisecond
	// leastGap and gapEach bound how often plans are made and hosts are told, and
	// gapTimes the part of the time that planning takes.
	leastGap = 5 * time.Millisecond
	gapEach  = time.Millisecond
	gapTimes = 4
	// wantMemory is the time after which a want counts no more that no host
	// repeats. Hosts repeat wants about three times a second.
	wantMemory = 900 * time.Millisecond
	// lateWant is the time after which a want that is not met is logged, each time
	// that it has passed.
	lateWant = 3 * time.Second
	// rateMemory is the time over which requests are counted for the rate of a
	// model. It is a little shorter than shifts of demand take.
	rateMemory = 4 * time.Second
	// reportMemory is the time after which what a host said of its requests
	// counts no more.
	reportMemory = 2 * time.Second
	// storeStreams bounds loads from the weight store at once, over all engines.
	// More are not faster.
	storeStreams = 4
	// ceilingSlack is the number of loads that the bound on loads allows besides
	// the rate; the platform's rules give three, of which one is kept back.
	ceilingSlack = 2
)

// Terms tells whether this host is the coordinator.
type Terms interface {
	Term() (fence target.Fence, mayOrder, leads bool)
	// OrderDelay returns the time until this host may give orders in its term.
	OrderDelay() time.Duration
}

// Coordinator acts for the fleet while this host is the coordinator.
type Coordinator struct {
	options
	poke chan struct{}
	// polls holds a token for each engine at rest that is being asked.
	polls chan struct{}

	mu      sync.Mutex
	fence   target.Fence
	leading bool
	ledger  *quota.Ledger
	version uint64
	engines map[target.ID]*engine
	wants   map[wantKey]*want
	rates   map[model.Name]*rate
	hosts   map[fleet.HostID]hostReport
	// introduced is when each host was last told its neighbours.
	introduced map[fleet.HostID]time.Time
	// registered and config are what hosts were told last.
	registered registrations
	config     catalog.Version
	// dirty are the engines that hosts are yet to be told of.
	dirty map[*engine]bool
	loads []time.Time // begins of loads from the weight store
}

// New returns a new Coordinator. It answers other hosts once the mesh runs.
func New(opts ...Option) *Coordinator {
	o := options{
		clock: clockwork.NewRealClock(), log: slog.Default(), deliver: func(wireView) {}, entry: noEntry,
		confirmed: func() time.Duration { return 0 }, read: func() keyvalue.Revision { return 0 },
	}
	for _, opt := range opts {
		opt(&o)
	}
	c := &Coordinator{options: o, poke: make(chan struct{}, 1), polls: make(chan struct{}, pollsAtOnce)}
	c.reset()
	c.mesh.Handle(kindBorrow, c.handleBorrow)
	c.mesh.Handle(kindReport, c.handleReport)
	c.mesh.Handle(kindWant, c.handleWant)
	c.mesh.Handle(kindConfig, c.handleConfig)
	return c
}

func noEntry() (keyvalue.Entry, bool) { return keyvalue.Entry{}, false }

func (c *Coordinator) reset() {
	c.engines = map[target.ID]*engine{}
	c.wants = map[wantKey]*want{}
	c.rates = map[model.Name]*rate{}
	c.hosts = map[fleet.HostID]hostReport{}
	c.introduced = map[fleet.HostID]time.Time{}
	c.loads = nil
	c.registered = newRegistrations()
	c.dirty = map[*engine]bool{}
	c.version = 0
}

// Run acts for the fleet in each of this host's terms until the context ends.
func (c *Coordinator) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		fence, _, leads := c.terms.Term()
		if leads {
			c.serve(ctx, fence)
		}
		select {
		case <-ctx.Done():
		case <-c.clock.After(planEvery):
		}
	}
	return nil
}

// serve acts in one term until it ends.
func (c *Coordinator) serve(ctx context.Context, fence target.Fence) {
	ctx, cancel := context.WithCancel(ctx)
	var workers sync.WaitGroup
	c.begin(fence)
	defer func() {
		c.end()
		cancel()
		workers.Wait()
	}()
	for ctx.Err() == nil {
		now, mayOrder, leads := c.terms.Term()
		if !leads || now != fence {
			return
		}
		began := c.clock.Now()
		c.step(ctx, &workers, mayOrder)
		select {
		case <-ctx.Done():
		case <-c.clock.After(c.gap(c.clock.Since(began))):
		}
		select {
		case <-ctx.Done():
		case <-c.poke:
		case <-c.clock.After(planEvery):
		}
	}
}

// gap returns the time to leave between two plans, by how long the last one took
// and by the number of hosts that are told of what it changed.
func (c *Coordinator) gap(took time.Duration) time.Duration {
	return max(leastGap, took*gapTimes, time.Duration(len(c.mesh.Peers()))*gapEach)
}

func (c *Coordinator) begin(fence target.Fence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reset()
	opts := []quota.LedgerOption{quota.WithTolerance(c.bounds.Limits, election.LeaseMargin)}
	if c.first {
		opts = append(opts, quota.WithFullBuckets())
		c.first = false
	}
	c.fence, c.leading = fence, true
	c.ledger = quota.NewLedger(c.clock, c.limit, opts...)
	c.log.Info("coordinator: term begins", "fence", fence)
}

func (c *Coordinator) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leading = false
	c.ledger = nil
	c.log.Info("coordinator: term ends", "fence", c.fence)
}

// limit returns the limit of a team that is in force.
func (c *Coordinator) limit(id team.ID) (catalog.Limit, bool) {
	current := c.catalogs()
	if current == nil {
		return catalog.Limit{}, false
	}
	t, ok := current.Team(id)
	if !ok || t.Limit == nil {
		return catalog.Limit{}, false
	}
	return *t.Limit, true
}

// step follows the roster and begins the jobs of a new plan.
func (c *Coordinator) step(ctx context.Context, workers *sync.WaitGroup, mayOrder bool) {
	current := c.catalogs()
	if current == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.follow(ctx, workers, current)
	c.expire()
	if mayOrder {
		c.plan(current)
	}
	c.announce(current)
}

// plan begins the jobs of a new plan.
func (c *Coordinator) plan(current *catalog.Catalog) {
	for _, pool := range current.Pools() {
		if pool.Engines == nil {
			continue
		}
		for _, job := range placement.Plan(c.state(pool)) {
			c.start(pool, job)
		}
		c.loadAdapters(pool)
		c.logLate(pool)
	}
}

// wake makes the coordinator plan at once.
func (c *Coordinator) wake() {
	select {
	case c.poke <- struct{}{}:
	default:
	}
}

var errNotLeading = trace.NotFound("this host is not the coordinator")

func (c *Coordinator) handleBorrow(_ context.Context, from fleet.Member, body []byte) (any, error) {
	var ask wireBorrow
	if err := peer.Decode(body, &ask); err != nil {
		return nil, trace.Wrap(err)
	}
	return c.borrow(from.Host, ask)
}

// handleConfig tells a host that the store turns away the configuration.
func (c *Coordinator) handleConfig(context.Context, fleet.Member, []byte) (any, error) {
	entry, ok := c.entry()
	if !ok {
		return nil, trace.NotFound("no configuration is known")
	}
	return wireConfig{Key: entry.Key, Revision: entry.Revision, Value: entry.Value}, nil
}

func (c *Coordinator) borrow(host fleet.HostID, ask wireBorrow) (wireLent, error) {
	c.mu.Lock()
	ledger := c.ledger
	c.mu.Unlock()
	if _, _, leads := c.terms.Term(); !leads || ledger == nil {
		return wireLent{}, errNotLeading
	}
	lent := ledger.Borrow(host, ask.Team, quota.BorrowRequest{Need: ask.Need, Extra: ask.Spare, ReserveSpent: ask.Aside, Returned: ask.Back})
	return wireLent{Granted: lent.Tokens, Wait: lent.Wait.Milliseconds(), Aside: lent.ReserveShare, Keep: lent.MaxCached}, nil
}
