package coordinator

import (
	"context"
	"errors"
	"log/slog"
	"math"
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
	"hawthornway/overload"
	"hawthornway/peer"
	"hawthornway/quarantine"
	"hawthornway/quota"
	"hawthornway/roster"
	"hawthornway/slowdown"
	"hawthornway/target"
	"hawthornway/team"
)

// The timing of a Client.
const (
	// The intervals between a host's reports, by fleet size. The coordinator may
	// unload a model that is used by requests started since the last report, so small
	// fleets report often.
	reportIntervalSmallFleet  = 150 * time.Millisecond
	reportIntervalMediumFleet = 400 * time.Millisecond
	reportIntervalLargeFleet  = time.Second
	// catchUpInterval is the interval between reports while the coordinator's
	// answers hold only a part of the changes.
	catchUpInterval = 100 * time.Millisecond
	// settleMargin is added to the report interval to cover the time that a request
	// takes to reach an engine whose model was just loaded.
	settleMargin = 200 * time.Millisecond
	// Fleets of more than mediumFleetHosts or largeFleetHosts hosts use the longer
	// report intervals, so that the coordinator handles about 60 reports a second.
	mediumFleetHosts = 10
	largeFleetHosts  = 30
	// minReportGap is the shortest pause between reports of crashes. It collects the
	// requests that the same crash interrupted.
	minReportGap = 50 * time.Millisecond
	// hostReportTimeout limits a report, which takes a few milliseconds.
	hostReportTimeout = 400 * time.Millisecond
	// loadRequestInterval is the minimum interval between two load requests for the
	// same model.
	loadRequestInterval = 300 * time.Millisecond
	// maxViewAge is how long the coordinator's last view of an engine takes
	// precedence over the engine's own registration.
	maxViewAge = 5 * time.Second
)

// Mesh is the set of links from this host to others.
type Mesh interface {
	peer.Mesh
	SetPeers(members []fleet.Member)
}

// Leaders tracks which host is the coordinator.
type Leaders interface {
	Leader() (election.Leader, bool)
	// Learn records a coordinator that another host reported.
	Learn(leader election.Leader)
	// Prefer records which host a resigning coordinator has named as its successor.
	Prefer(successor fleet.HostID)
}

// Usage is a host's demand for models and its running requests, for one report.
type Usage struct {
	Demand  []Demand
	Running []Running
	// Stated is what targets have stated of how long work takes there.
	Stated []slowdown.Statements
	// Unread are the prompts that such targets haven't read, and Readings show how fast quiet ones
	// read them.
	Unread   map[target.ID]team.Tokens
	Readings map[target.Pool]overload.Reading
}

// Demand counts the requests for a model since the last report.
type Demand struct {
	Pool    target.Pool
	Model   model.Name
	Adapter model.Name
	Count   int
	// Prompt is the total number of prompt tokens.
	Prompt team.Tokens
	// Priority and Team are set for pools whose targets state how long work takes.
	Priority int
	Team     team.ID
}

// Running counts the requests in progress at an engine.
type Running struct {
	Target  target.ID
	Model   model.Name
	Adapter model.Name
	Count   int
}

// ViewReceiver receives the state of the store that the coordinator relays.
// UpdateTargets and ConfirmCurrent are never called concurrently.
type ViewReceiver interface {
	// UpdateTargets applies changes of the registered targets.
	UpdateTargets(changes roster.Changes)
	// UpdateEvacuations applies which failure domains are evacuated, unless this host knows
	// newer ones.
	UpdateEvacuations(e roster.Evacuations)
	// Digests returns the digests of the targets that this host knows, without those that
	// have lapsed. Lapses returns how often any have lapsed so far.
	Digests() roster.Digests
	Lapses() int
	// StoreChanges returns how many changes of targets this host has read from the store
	// itself so far, and the revision of the newest one.
	StoreChanges() (n int, newest keyvalue.Revision)
	// SetModels records the models that an engine holds since the given start.
	SetModels(id target.ID, start roster.StartID, models []roster.Resident)
	// ConfirmCurrent confirms, as of an instant of this host's clock, that the
	// configuration's version is the newest and that the known targets are complete.
	// Read is the store revision up to which the targets were relayed.
	ConfirmCurrent(version catalog.Version, read keyvalue.Revision, at boottime.Instant)
}

// Client is a host's connection to the coordinator. It is safe for concurrent use.
type Client struct {
	mesh    Mesh
	leaders Leaders
	local   *Coordinator
	// weak is reported to the coordinator.
	weak     func() bool
	usage    func() Usage
	receiver ViewReceiver
	clock    clockwork.Clock
	boot     boottime.Clock
	log      *slog.Logger

	// applyMu serializes the calls to the receiver.
	applyMu sync.Mutex
	mu      sync.Mutex
	leader  election.Leader
	// fence is that of the newest view, and version the one up to which this host has
	// received all changes.
	fence   target.Fence
	version uint64
	// ownFence is the fence of this host's last own term, or zero.
	ownFence    target.Fence
	lastContact time.Time
	startedAt   time.Time
	// ordersAllowedAt is when the coordinator may give its first order of the term.
	ordersAllowedAt time.Time
	hosts           int
	// hostCounts are the values of hosts.
	hostCounts HostCounts
	// engines holds the coordinator's last view of each engine.
	engines map[target.ID]engineView
	// forecasts holds when models that only the weight store has are expected to be
	// loaded.
	forecasts map[model.Name]time.Time
	// targetVersions holds, for each target, the version of its last change.
	targetVersions map[target.ID]uint64
	requestedAt    map[Need]time.Time
	changed        chan struct{}
	// leaderChanged triggers an immediate report to a new coordinator.
	leaderChanged chan struct{}
	search        leaderSearch
	download      configDownload
	screen        *quarantine.Screen
	// leaving returns the targets that have told this host that they leave.
	leaving func() []roster.Target
	// reserveShares returns the fractions of teams' rates that this host may spend while it
	// can't reach the coordinator.
	reserveShares func() map[team.ID]float64
	updateLoad    func(id target.ID, work int)
	// updateSlowdown is called with how long work takes at targets that state it.
	updateSlowdown func(id target.ID, factor slowdown.Factor)
	// updateAllocations is called with the requests that hosts admit.
	updateAllocations func(allocations map[target.Pool]overload.Allocation, early bool)
	// loads are the loads of targets as of loadsSeen, a version of the term with loadsFence.
	loads      map[target.ID]wireLoad
	loadsSeen  uint64
	loadsFence target.Fence
	// connected is set by each view of the coordinator and cleared by a failed report.
	connected bool
	// fleetLimits is the digest of the limits of targets that the coordinator knows.
	fleetLimits uint64
	// compared is what the last comparison of targets covered, and reported what had happened
	// before the last report. They are only used by the goroutine that reports.
	compared, reported ownReads
	// incomplete is set while the last view left out some of the changed engines.
	incomplete bool
	// confirmedAt is the instant up to which the relayed state of the store is
	// complete.
	confirmedAt boottime.Instant
}

// ClientOption sets an option of a Client.
type ClientOption func(*Client)

// WithWeakHost sets the function that reports whether this host is not to be preferred as
// the coordinator.
func WithWeakHost(weak func() bool) ClientOption { return func(c *Client) { c.weak = weak } }

// WithReserveShares sets the function that returns the fractions of teams' rates that this host
// may spend while it can't reach the coordinator.
func WithReserveShares(shares func() map[team.ID]float64) ClientOption {
	return func(c *Client) { c.reserveShares = shares }
}

// WithScreen sets the quarantined suspects that this host keeps from targets, and
// its evidence for the coordinator.
func WithScreen(screen *quarantine.Screen) ClientOption {
	return func(c *Client) { c.screen = screen }
}

// WithSlowdowns sets the function that is called with how long work takes at targets.
func WithSlowdowns(update func(id target.ID, factor slowdown.Factor)) ClientOption {
	return func(c *Client) { c.updateSlowdown = update }
}

// WithAllocations sets the function that is called with the requests that hosts admit. Early
// allocations are from a coordinator that may not have heard from all hosts yet.
func WithAllocations(update func(allocations map[target.Pool]overload.Allocation, early bool)) ClientOption {
	return func(c *Client) { c.updateAllocations = update }
}

// WithLeaving sets the function that returns the targets that have told this host that
// they leave.
func WithLeaving(leaving func() []roster.Target) ClientOption {
	return func(c *Client) { c.leaving = leaving }
}

// NewClient returns the client of a host. Local is the coordinator in the same
// process, usage returns the contents of the next report, and updateLoad is called
// with the number of requests at each engine.
func NewClient(mesh Mesh, leaders Leaders, local *Coordinator, receiver ViewReceiver, usage func() Usage, updateLoad func(target.ID, int), clock clockwork.Clock, boot boottime.Clock, log *slog.Logger, opts ...ClientOption) *Client {
	c := &Client{
		mesh:              mesh,
		leaders:           leaders,
		local:             local,
		weak:              func() bool { return false },
		usage:             usage,
		receiver:          receiver,
		updateLoad:        updateLoad,
		clock:             clock,
		startedAt:         clock.Now(),
		boot:              boot,
		log:               log,
		engines:           map[target.ID]engineView{},
		forecasts:         map[model.Name]time.Time{},
		targetVersions:    map[target.ID]uint64{},
		requestedAt:       map[Need]time.Time{},
		changed:           make(chan struct{}),
		leaderChanged:     make(chan struct{}, 1),
		updateSlowdown:    func(target.ID, slowdown.Factor) {},
		updateAllocations: func(map[target.Pool]overload.Allocation, bool) {},
		leaving:           func() []roster.Target { return nil },
		reserveShares:     func() map[team.ID]float64 { return nil },
	}
	for _, opt := range opts {
		opt(c)
	}
	if c.screen == nil {
		c.screen = quarantine.NewScreen(clock, log)
	}
	mesh.Handle(kindView, c.handleView)
	mesh.Handle(kindLeader, c.handleLeader)
	local.deliverLocal = c.applyOwnView
	return c
}

// Run reports to the coordinator until the context ends.
func (c *Client) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		c.followCoordinator()
		c.report(ctx)
		reportedAt := c.clock.Now()
		c.askNeighbour(ctx)
		select {
		case <-ctx.Done():
		case <-c.leaderChanged:
		case <-c.screen.Crashed():
			c.clock.Sleep(minReportGap - c.clock.Since(reportedAt))
		case <-c.clock.After(c.reportDelay()):
		}
	}
	return nil
}

// reportDelay returns the delay before the next report.
func (c *Client) reportDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.incomplete {
		return min(catchUpInterval, reportInterval(c.hosts))
	}
	return reportInterval(c.hosts)
}

// ReportInterval returns the interval between this host's reports.
func (c *Client) ReportInterval() time.Duration { return reportInterval(c.Hosts()) }

// reportInterval returns the interval between a host's reports in a fleet of the
// given size.
func reportInterval(hosts int) time.Duration {
	switch {
	case hosts > largeFleetHosts:
		return reportIntervalLargeFleet
	case hosts > mediumFleetHosts:
		return reportIntervalMediumFleet
	default:
		return reportIntervalSmallFleet
	}
}

// followCoordinator looks up the coordinator and, if it has changed, makes the mesh
// connect to the new one.
func (c *Client) followCoordinator() {
	leader, ok := c.leaders.Leader()
	c.mu.Lock()
	changed := ok && leader != c.leader
	if changed {
		c.leader = leader
	}
	c.mu.Unlock()
	if !changed {
		return
	}
	select {
	case c.leaderChanged <- struct{}{}:
	default:
	}
	c.log.Info("coordinator: found the coordinator's host", "host", leader.Host, "fence", leader.Fence)
	if leader.Host == c.mesh.Self().Host {
		c.mesh.SetPeers(nil)
		return
	}
	c.mesh.SetPeers([]fleet.Member{c.peerMember(leader)})
}

// peerMember returns the coordinator as a member of this host's own domain, so that
// the mesh keeps a link to it in whichever domain it is.
func (c *Client) peerMember(leader election.Leader) fleet.Member {
	return fleet.Member{
		Host:        leader.Host,
		Domain:      c.mesh.Self().Domain,
		Incarnation: leader.Incarnation,
		PeerAddress: leader.Address,
	}
}

// FollowCoordinator looks up the coordinator immediately instead of before the next
// report.
func (c *Client) FollowCoordinator() { c.followCoordinator() }

// report sends a report to the coordinator and applies the view that it answers with.
func (c *Client) report(ctx context.Context) {
	c.mu.Lock()
	leader := c.leader
	report := wireReport{Since: c.version, Fence: c.fence, Hosts: c.hosts, Weak: c.weak()}
	if c.loadsFence == c.fence {
		report.LoadsSeen = c.loadsSeen
	}
	c.mu.Unlock()
	if leader.Host == "" {
		return
	}
	covered := c.addDigests(&report)
	usage := c.usage()
	for _, demand := range usage.Demand {
		report.Demand = append(report.Demand, wireDemand(demand))
	}
	for _, r := range usage.Running {
		report.Running = append(report.Running, wireRunning(r))
	}
	if current := c.local.catalogs(); current != nil {
		report.Config = current.Version
	}
	for _, s := range usage.Stated {
		report.Stated = append(report.Stated, wireStated{s.Target, s.Start, int(math.Round(percent * float64(s.Sum))), s.Count})
	}
	for id, tokens := range usage.Unread {
		report.Unread = append(report.Unread, wireUnread{id, tokens})
	}
	for pool, r := range usage.Readings {
		report.Readings = append(report.Readings, wireReading{pool, r.Tokens, r.Time.Microseconds()})
	}
	c.addEvidence(&report)
	c.addLimits(&report)
	for _, t := range c.leaving() {
		report.Leaving = append(report.Leaving, wireLeaving{Target: t.ID, Start: t.Start})
	}
	sent := c.boot.Now()
	view, err := c.send(ctx, leader, report)
	if err != nil {
		c.screen.Lost()
	}
	switch {
	case errors.Is(err, errNotLeading) && leader.Host == c.mesh.Self().Host:
		// This host's term has ended, and it doesn't know the next coordinator yet.
		// The next coordinator may already send views over its own link, so the
		// connection doesn't count as lost.
		c.mu.Lock()
		c.search.markLost(c.clock.Now())
		c.mu.Unlock()
	case err != nil:
		c.reportFailed(err)
	default:
		c.applyAnswer(view, sent, covered)
	}
}

// ownReads counts what a host has read from the store itself.
type ownReads struct {
	// lapses counts the registrations that lapsed, and changes all changes. Newest is the
	// revision of the newest change.
	lapses, changes int
	newest          keyvalue.Revision
}

// applyAnswer applies the answer to a report that was sent at an instant, and before which a
// comparison of targets covered some reads of the store.
func (c *Client) applyAnswer(view wireView, sent boottime.Instant, covered ownReads) {
	c.applyView(view, sent)
	if view.Version == 0 {
		return
	}
	c.compared.lapses = covered.lapses
	if view.ReadRevision >= covered.newest { // else the coordinator is behind
		c.compared.changes = covered.changes
	}
}

// addDigests adds the digests of the known targets to a report, if a list of changes would not
// be enough: this host has no view of the term yet, or it has read changes from the store
// itself, of which the coordinator may never have known. The latter waits until this host has
// stopped reading the store. A new term's ledger also needs the reserves that this host has.
// It returns the reads that have been compared with the coordinator once the report is answered.
func (c *Client) addDigests(report *wireReport) ownReads {
	reads := ownReads{lapses: c.receiver.Lapses()}
	reads.changes, reads.newest = c.receiver.StoreChanges()
	settled := reads.changes == c.reported.changes
	c.reported = reads
	switch {
	case report.Since == 0 || reads.lapses != c.compared.lapses:
		// Coordinators of older builds compare targets only without Since.
		report.Since = 0
		report.ReserveShares = &wireReserveShares{c.reserveShares()}
	case reads.changes == c.compared.changes || !settled || c.isLeader():
		return ownReads{lapses: reads.lapses, changes: c.compared.changes}
	}
	digests := c.receiver.Digests()
	report.Targets = digests[:]
	return reads
}

func (c *Client) send(ctx context.Context, leader election.Leader, report wireReport) (wireView, error) {
	if leader.Host == c.mesh.Self().Host {
		return c.local.report(leader.Host, report)
	}
	ctx, cancel := context.WithTimeout(ctx, hostReportTimeout)
	defer cancel()
	var view wireView
	err := c.mesh.Call(ctx, leader.Host, kindReport, report, &view)
	return view, trace.Wrap(err)
}

func (c *Client) reportFailed(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connected {
		c.log.Warn("coordinator: lost contact with the coordinator", "host", c.leader.Host, "error", err)
	}
	c.connected = false
	c.search.markLost(c.clock.Now())
}

// knownLeader returns the last coordinator that this host learned of.
func (c *Client) knownLeader() election.Leader {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

func (c *Client) isLeader() bool { return c.knownLeader().Host == c.mesh.Self().Host }

// Waiting counts a host's requests that wait for a model.
type Waiting struct {
	Total int
	// OnTime counts the requests that still meet their deadlines if the model is
	// loaded now from an engine's disk.
	OnTime int
}

// RequestLoad tells the coordinator that requests wait for a model. It may be called at
// any rate, since it sends at most one request per need in each loadRequestInterval.
func (c *Client) RequestLoad(need Need, waiting Waiting, priority int) {
	c.mu.Lock()
	now := c.clock.Now()
	if now.Sub(c.requestedAt[need]) < loadRequestInterval {
		c.mu.Unlock()
		return
	}
	c.requestedAt[need] = now
	for old, at := range c.requestedAt {
		if now.Sub(at) > loadRequestTTL {
			delete(c.requestedAt, old)
		}
	}
	leader := c.leader
	c.mu.Unlock()
	request := wireLoadRequest{
		Pool: need.Pool, Model: need.Model, Adapter: need.Adapter, TargetVersion: need.Version, Homes: need.Homes,
		Waiting: waiting.Total, OnTime: waiting.OnTime, Priority: priority,
	}
	if leader.Host == c.mesh.Self().Host {
		c.local.recordLoadRequest(leader.Host, request)
		return
	}
	if err := c.mesh.Notify(leader.Host, kindLoadRequest, request); err != nil {
		c.log.Debug("coordinator: load request not sent; it will be repeated", "model", need.Model, "error", err)
	}
}

// Borrow requests tokens of a team from the coordinator's ledger. It fails if no
// coordinator is known, or if the known one can't be reached or has lost its term.
func (c *Client) Borrow(ctx context.Context, id team.ID, borrow quota.BorrowRequest) (quota.Grant, error) {
	leader := c.knownLeader()
	if leader.Host == "" {
		return quota.Grant{}, trace.NotFound("no coordinator is known")
	}
	request := wireBorrow{
		Team: id, Need: borrow.Need, MaxWait: borrow.MaxWait.Milliseconds(), Queued: borrow.Queued,
		Extra: borrow.Extra, ReserveSpent: borrow.ReserveSpent, ReserveShare: borrow.ReserveShare, Returned: borrow.Returned, Ledgerless: borrow.Ledgerless.Milliseconds(),
	}
	var grant wireGrant
	var err error
	if leader.Host == c.mesh.Self().Host {
		grant, err = c.local.borrow(leader.Host, request)
	} else {
		err = c.mesh.Call(ctx, leader.Host, kindBorrow, request, &grant)
	}
	if err != nil {
		return quota.Grant{}, trace.Wrap(err)
	}
	return quota.Grant{Tokens: grant.Tokens, Wait: time.Duration(grant.Wait) * time.Millisecond, ReserveShare: grant.ReserveShare, ReserveStart: grant.ReserveStart, MaxReserve: grant.MaxReserve, MaxOverdraft: grant.MaxOverdraft, MaxCached: grant.MaxCached}, nil
}

// Hosts returns the number of hosts that the coordinator last announced.
func (c *Client) Hosts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts
}
