// Package coordinator implements the fleet-wide part of hawthornway: it keeps the
// ledger of the teams' tokens, decides which models the engines hold, sends them
// load and unload orders, and relays the resulting state to all hosts. Any host can
// be the coordinator; an election chooses one at a time.
package coordinator

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"hawthornway/boottime"
	"hawthornway/catalog"
	"hawthornway/election"
	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/model"
	"hawthornway/pace"
	"hawthornway/peer"
	"hawthornway/placement"
	"hawthornway/quarantine"
	"hawthornway/quota"
	"hawthornway/roster"
	"hawthornway/target"
	"hawthornway/team"
)

// The timing and limits of a Coordinator.
const (
	// planInterval is the interval between two plans while nothing wakes the
	// coordinator.
	planInterval = 100 * time.Millisecond
	// minPlanGap and planGapPerHost limit how often plans are made and hosts are
	// notified. planGapFactor limits the share of time spent on planning.
	minPlanGap     = 5 * time.Millisecond
	planGapPerHost = time.Millisecond
	planGapFactor  = 4
	// maxPlanGap limits the pause after a plan that took long because the process was
	// suspended.
	maxPlanGap = time.Second
	// ReportTime is the time from the beginning of a term within which all hosts that
	// reach the coordinator have reported to it.
	ReportTime = 2 * reportIntervalLargeFleet
	// loadRequestTTL is the time after which a load request expires unless the host
	// repeats it, which hosts do about three times a second.
	loadRequestTTL = 900 * time.Millisecond
	// pendingLogInterval is the age from which a pending load request is logged, and
	// the interval at which it is logged again.
	pendingLogInterval = 3 * time.Second
	// rateDecayTime is the time constant of the exponential decay of a model's request
	// rate. It is a little shorter than the time that demand takes to shift.
	rateDecayTime = 4 * time.Second
	// maxHostReportAge is the age from which a host's report of its running requests
	// is ignored.
	maxHostReportAge = 2 * time.Second
	// unknownTeamDelay is the wait for tokens of a team that the coordinator doesn't know,
	// since the asking host has a newer configuration, or an older one.
	unknownTeamDelay = 100 * time.Millisecond
	// forecastTolerance is the change of a forecast from which hosts are told.
	forecastTolerance = 500 * time.Millisecond
	// weightStoreLoadSlack is the number of loads allowed in addition to the rate limit. The
	// platform's rules allow three, of which one is kept in reserve.
	weightStoreLoadSlack = 2
)

// Terms reports this host's terms as the coordinator.
type Terms interface {
	// Term returns the fence of this host's term, whether the host may already give
	// orders, and whether it is the coordinator.
	Term() (fence target.Fence, mayOrder, leads bool)
	// OrderDelay returns the time until this host may give orders in its term, or zero.
	OrderDelay() time.Duration
	// FirstTerm reports whether no host has had a term before this host's present one.
	FirstTerm() bool
}

// Coordinator manages the fleet while this host is the elected coordinator.
type Coordinator struct {
	options
	wakeups chan struct{}
	// pollSlots holds a token for each poll of an idle engine in progress.
	pollSlots chan struct{}
	// makePlan is placement.Plan, unless a test replaces it.
	makePlan func(placement.State) []placement.Job
	// compressed is the configuration that is sent to hosts.
	compressed compressedConfig

	mu      sync.Mutex
	fence   target.Fence
	leading bool
	// termBegan is when the current term began.
	termBegan time.Time
	ledger    *quota.Ledger
	// newestConfig is the newest version of the configuration that a host reported in
	// this term, and newestHost that host.
	newestConfig catalog.Version
	newestHost   fleet.HostID
	// version is the version of the last broadcast view.
	version      uint64
	engines      map[target.ID]*engine
	loadRequests map[Need]*loadRequest
	rates        map[model.Name]*rate
	hosts        map[fleet.HostID]hostReport
	// neighboursSent tells when each host was last sent its neighbours.
	neighboursSent map[fleet.HostID]sentNeighbours
	// registered holds the targets, and config the version of the configuration, that
	// hosts were last sent.
	registered registrations
	config     catalog.Version
	// dirty holds the engines whose changes haven't been sent to hosts yet.
	dirty map[*engine]bool
	// detector finds the suspects that crash targets, and quarantineChanged is
	// set until hosts were sent its changes.
	detector          *quarantine.Detector
	quarantineChanged bool
	// failedLoads decides which models are held back because their loads fail.
	failedLoads *placement.FailedLoads
	// slowdowns holds how long work takes at the targets of each pool that state it.
	slowdowns slowdownsOf
	// loads are the loads of the targets in these pools.
	loads *loadTable
	// admission decides which requests hosts refuse while engines in these pools get more prompts
	// than they can read.
	admission *admission
	// lines gives out the places in the lines of targets with a limit, and sentLimits is the
	// digest of the limits that hosts were last sent.
	lines      *pace.Schedule
	sentLimits uint64
	// sentEvacuations is the store revision of the evacuations that hosts were last sent.
	sentEvacuations keyvalue.Revision
	// forecasts holds when models that only the weight store has are expected to be
	// loaded, and changedForecasts the models of which hosts don't know that yet.
	forecasts            map[model.Name]time.Time
	changedForecasts     map[model.Name]bool
	weightStoreLoadTimes []time.Time // start times of recent loads from the weight store
}

// New returns a new Coordinator and registers its message handlers with the mesh.
func New(opts ...Option) *Coordinator {
	o := options{
		clock: clockwork.NewRealClock(), log: slog.Default(), deliverLocal: func(wireView) {}, configEntry: noConfigEntry, catalogs: func() *catalog.Catalog { return nil },
		boot: boottime.SystemClock{}, newerConfig: func(catalog.Version) {}, confirmedAge: func() time.Duration { return 0 }, readRevision: func() keyvalue.Revision { return 0 },
	}
	for _, opt := range opts {
		opt(&o)
	}
	if o.roster == nil {
		o.roster = roster.New(o.boot)
	}
	if o.limits == nil {
		o.limits = pace.NewLimits(o.boot)
	}
	c := &Coordinator{options: o, wakeups: make(chan struct{}, 1), pollSlots: make(chan struct{}, maxConcurrentPolls), makePlan: placement.Plan}
	c.reset()
	c.mesh.Handle(kindBorrow, c.handleBorrow)
	c.mesh.Handle(kindReserve, c.handleReserve)
	c.mesh.Handle(kindRelease, c.handleRelease)
	c.mesh.Handle(kindReport, c.handleReport)
	c.mesh.Handle(kindLoadRequest, c.handleLoadRequest)
	c.mesh.Handle(kindConfigPart, c.handleConfigPart)
	return c
}

func noConfigEntry() (keyvalue.Entry, bool) { return keyvalue.Entry{}, false }

func (c *Coordinator) reset() {
	c.engines = map[target.ID]*engine{}
	c.loadRequests = map[Need]*loadRequest{}
	c.rates = map[model.Name]*rate{}
	c.hosts = map[fleet.HostID]hostReport{}
	c.neighboursSent = map[fleet.HostID]sentNeighbours{}
	c.weightStoreLoadTimes = nil
	c.registered = newRegistrations(c.boot)
	c.dirty = map[*engine]bool{}
	c.forecasts = map[model.Name]time.Time{}
	c.changedForecasts = map[model.Name]bool{}
	c.version, c.sentEvacuations = 0, 0
	c.newestConfig, c.newestHost = 0, ""
	c.failedLoads = placement.NewFailedLoads()
	c.slowdowns, c.loads, c.admission = slowdownsOf{}, newLoadTable(), newAdmission()
	c.lines, c.sentLimits = pace.NewSchedule(c.clock.Now(), nil), 0
	c.detector, c.quarantineChanged = quarantine.NewDetector(reportTolerance), false
}

// Run manages the fleet during each of this host's terms, until the context ends.
func (c *Coordinator) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		fence, _, leads := c.terms.Term()
		if leads {
			c.serveTerm(ctx, fence)
		}
		select {
		case <-ctx.Done():
		case <-c.clock.After(planInterval):
		}
	}
	return nil
}

// serveTerm manages the fleet during one term and returns when the term ends.
func (c *Coordinator) serveTerm(ctx context.Context, fence target.Fence) {
	ctx, cancel := context.WithCancel(ctx)
	var workers sync.WaitGroup
	c.beginTerm(fence)
	defer func() {
		c.endTerm()
		cancel()
		workers.Wait()
	}()
	for ctx.Err() == nil {
		currentFence, mayOrder, leads := c.terms.Term()
		if !leads || currentFence != fence {
			return
		}
		start := c.clock.Now()
		c.step(ctx, &workers, mayOrder)
		select {
		case <-ctx.Done():
		case <-c.clock.After(c.planGap(c.clock.Since(start))):
		}
		select {
		case <-ctx.Done():
		case <-c.wakeups:
		case <-c.clock.After(planInterval):
		}
	}
}

// planGap returns the minimum pause after a plan, which grows with the time that the
// plan took and with the number of hosts to notify of its changes.
func (c *Coordinator) planGap(took time.Duration) time.Duration {
	return min(maxPlanGap, max(minPlanGap, took*planGapFactor, time.Duration(len(c.mesh.Peers()))*planGapPerHost))
}

func (c *Coordinator) beginTerm(fence target.Fence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reset()
	opts := []quota.LedgerOption{quota.WithTolerance(c.bounds.LimitTolerance, election.LeaseMargin)}
	if c.terms.FirstTerm() {
		opts = append(opts, quota.WithFullBuckets())
	} else {
		c.lines = pace.NewSchedule(c.clock.Now().Add(pace.MaxWait), nil)
	}
	c.fence, c.leading, c.termBegan = fence, true, c.clock.Now()
	c.ledger = quota.NewLedger(c.clock, c.limit, opts...)
	c.log.Info("coordinator: term begins", "fence", fence)
}

func (c *Coordinator) endTerm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leading = false
	c.ledger = nil
	c.log.Info("coordinator: term ends", "fence", c.fence)
}

// TermAge returns the time since this host's term began, and false if it has none.
func (c *Coordinator) TermAge() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.Since(c.termBegan), c.leading
}

// limit returns the configured limit of a team.
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

// step applies changes of the roster, starts the jobs of a new plan, and notifies
// hosts. Plans are made without the lock, since they take long in a large fleet and hosts
// wait for answers.
func (c *Coordinator) step(ctx context.Context, workers *sync.WaitGroup, mayOrder bool) {
	current := c.catalogs()
	if current == nil {
		return
	}
	var plans []poolPlan
	if mayOrder {
		plans = c.planPools(ctx, workers, current)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.followRoster(ctx, workers, current)
	c.expireLoadRequests()
	for _, p := range plans {
		c.updateForecasts(p.pool, p.state)
		for _, job := range p.jobs {
			c.startJob(p.pool, job)
		}
		c.queueAdapterLoads(p.pool)
		c.spreadAdapters(p.pool)
		c.logPendingRequests(p.pool)
	}
	c.announce(current)
}

// poolPlan is a plan for one pool of engines.
type poolPlan struct {
	pool  catalog.Pool
	state placement.State
	jobs  []placement.Job
}

// planPools makes a plan for each pool of engines.
func (c *Coordinator) planPools(ctx context.Context, workers *sync.WaitGroup, current *catalog.Catalog) []poolPlan {
	var plans []poolPlan
	c.mu.Lock()
	c.followRoster(ctx, workers, current)
	c.expireLoadRequests()
	for _, pool := range current.Pools() {
		if pool.Engines != nil {
			plans = append(plans, poolPlan{pool: pool, state: c.planState(pool)})
		}
	}
	c.mu.Unlock()
	for i := range plans {
		plans[i].jobs = c.makePlan(plans[i].state)
	}
	return plans
}

// wake makes the coordinator plan without waiting for planInterval.
func (c *Coordinator) wake() {
	select {
	case c.wakeups <- struct{}{}:
	default:
	}
}

var (
	errNotLeading = trace.NotFound("this host is not the coordinator")
	errNoConfig   = trace.NotFound("the coordinator has yet to read the configuration")
)

func (c *Coordinator) handleBorrow(_ context.Context, from fleet.Member, body []byte) (any, error) {
	var request wireBorrow
	if err := peer.Decode(body, &request); err != nil {
		return nil, trace.Wrap(err)
	}
	return c.borrow(from.Host, request)
}

// borrow grants a host tokens from the ledger of the current term.
func (c *Coordinator) borrow(host fleet.HostID, request wireBorrow) (wireGrant, error) {
	c.mu.Lock()
	ledger := c.ledger
	c.mu.Unlock()
	if _, _, leads := c.terms.Term(); !leads || ledger == nil {
		return wireGrant{}, errNotLeading
	}
	current := c.catalogs()
	if current == nil {
		return wireGrant{}, errNoConfig
	}
	if _, ok := current.Team(request.Team); !ok {
		return wireGrant{Wait: unknownTeamDelay.Milliseconds()}, nil
	}
	grant := ledger.Borrow(host, request.Team, quota.BorrowRequest{
		Need: request.Need, MaxWait: time.Duration(request.MaxWait) * time.Millisecond, Queued: request.Queued,
		Extra: request.Extra, ReserveSpent: request.ReserveSpent, ReserveShare: request.ReserveShare, Returned: request.Returned, Ledgerless: time.Duration(request.Ledgerless) * time.Millisecond,
	})
	return wireGrant{Tokens: grant.Tokens, Wait: grant.Wait.Milliseconds(), ReserveShare: grant.ReserveShare, ReserveStart: grant.ReserveStart, MaxReserve: grant.MaxReserve, MaxOverdraft: grant.MaxOverdraft, MaxCached: grant.MaxCached}, nil
}
