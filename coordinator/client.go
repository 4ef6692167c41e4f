package coordinator

import (
	"context"
	"errors"
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
	"hawthornway/peer"
	"hawthornway/quota"
	"hawthornway/roster"
	"hawthornway/target"
	"hawthornway/team"
)

// The times of a Client.
const (
	// The times between two reports of a host, by the size of the fleet. What the
	// coordinator unloads may be in use by requests that began since the last
	// report, so that small fleets report often.
	reportEveryFew  = 150 * time.Millisecond
	reportEverySome = 400 * time.Millisecond
	reportEveryMany = time.Second
	// moreEvery is the time between two reports while the coordinator's answers
	// don't hold all that has changed.
	moreEvery = 100 * time.Millisecond
	// settleMargin is added to the time between two reports for the way of a
	// request to an engine whose model was just loaded.
	settleMargin = 200 * time.Millisecond
	// someHosts and manyHosts are the numbers of hosts from which they report less
	// often, so that the coordinator takes about sixty reports a second.
	someHosts = 10
	manyHosts = 30
	// hostReportTimeout bounds a report, which takes a few milliseconds.
	hostReportTimeout = 400 * time.Millisecond
	// wantEvery is the time after which a want is repeated.
	wantEvery = 300 * time.Millisecond
	// contactMemory is the time after the last answer of the coordinator for
	// which it counts as reached.
	contactMemory = 1500 * time.Millisecond
	// viewMemory is the time for which what the coordinator said of engines goes
	// before what they registered themselves.
	viewMemory = 5 * time.Second
)

// Mesh is the set of links from this host to others.
type Mesh interface {
	peer.Mesh
	SetPeers(members []fleet.Member)
}

// Leaders tells which host is the coordinator.
type Leaders interface {
	Leader() (election.Leader, bool)
	// Learn takes the word of another host that there is a coordinator.
	Learn(leader election.Leader)
}

// Usage is what a host did with engines of late.
type Usage struct {
	Demand  []Demand
	Running []Running
}

// Demand counts the requests for a model since the last report.
type Demand struct {
	Pool    target.Pool
	Model   model.Name
	Adapter model.Name
	Count   int
	// Prompt is the sum of the prompts' tokens.
	Prompt team.Tokens
}

// Running counts the requests in progress at an engine.
type Running struct {
	Target  target.ID
	Model   model.Name
	Adapter model.Name
	Count   int
}

// Host takes what the coordinator tells of the store. Its methods are called one
// at a time.
type Host interface {
	// UpdateTargets takes changes of the registered targets. All names all that there are
	// in some parts.
	UpdateTargets(changed []roster.Target, gone, all []target.ID, parts []roster.Bucket)
	// Digests returns those of the targets that this host knows.
	Digests() roster.Digests
	// SetModels takes note of the models that a start of an engine holds.
	SetModels(id target.ID, start roster.Start, models []roster.Resident)
	// ConfirmCurrent says that the version of the configuration is the newest one, and
	// the targets are all, as of an instant of this host's clock. Read is the
	// store's revision up to which it has been told of targets.
	ConfirmCurrent(version catalog.Version, read keyvalue.Revision, at boottime.Instant)
}

// Client is a host's side of the coordinator. It may be used concurrently.
type Client struct {
	mesh    Mesh
	leaders Leaders
	local   *Coordinator
	usage   func() Usage
	host    Host
	clock   clockwork.Clock
	boot    boottime.Clock
	log     *slog.Logger

	// taking orders what is passed on to the host.
	taking  sync.Mutex
	mu      sync.Mutex
	leader  election.Leader
	fence   target.Fence
	version uint64
	heard   time.Time
	// orders is when the coordinator may give its first order.
	orders  time.Time
	hosts   int
	engines map[target.ID]held
	// registered are the versions of what was told of targets.
	registered map[target.ID]uint64
	wanted     map[wantKey]time.Time
	changed    chan struct{}
	// found says that there is another coordinator, which is to hear of this host
	// soon.
	found    chan struct{}
	search   search
	told     func(id target.ID, work int)
	reaching bool
	// more says that the last view left out some of the engines.
	more bool
	// covered is the instant as of which the coordinator has told everything.
	covered boottime.Instant
}

// NewClient returns the client of a host. Local is the coordinator in the same
// process, usage what reports say, and told takes the work of engines.
func NewClient(mesh Mesh, leaders Leaders, local *Coordinator, host Host, usage func() Usage, told func(target.ID, int), clock clockwork.Clock, boot boottime.Clock, log *slog.Logger) *Client {
	c := &Client{
		mesh:       mesh,
		leaders:    leaders,
		local:      local,
		usage:      usage,
		host:       host,
		told:       told,
		clock:      clock,
		boot:       boot,
		log:        log,
		engines:    map[target.ID]held{},
		registered: map[target.ID]uint64{},
		wanted:     map[wantKey]time.Time{},
		changed:    make(chan struct{}),
		found:      make(chan struct{}, 1),
	}
	mesh.Handle(kindView, c.handleView)
	mesh.Handle(kindLeader, c.handleLeader)
	local.deliver = func(view wireView) { c.take(view, 0) }
	return c
}

// Run reports to the coordinator until the context ends.
func (c *Client) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		c.follow()
		c.report(ctx)
		c.seek(ctx)
		select {
		case <-ctx.Done():
		case <-c.found:
		case <-c.clock.After(c.pause()):
		}
	}
	return nil
}

// pause returns the time until the next report.
func (c *Client) pause() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.more {
		return min(moreEvery, reportPeriod(c.hosts))
	}
	return reportPeriod(c.hosts)
}

// reportPeriod is the time between two reports of a host, by the number of
// hosts.
func reportPeriod(hosts int) time.Duration {
	switch {
	case hosts > manyHosts:
		return reportEveryMany
	case hosts > someHosts:
		return reportEverySome
	default:
		return reportEveryFew
	}
}

// follow keeps a link to the host that is the coordinator.
func (c *Client) follow() {
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
	case c.found <- struct{}{}:
	default:
	}
	c.log.Info("coordinator: host found", "host", leader.Host, "fence", leader.Fence)
	if leader.Host == c.mesh.Self().Host {
		c.mesh.SetPeers(nil)
		return
	}
	c.mesh.SetPeers([]fleet.Member{c.linked(leader)})
}

// linked returns a coordinator as a member to which a link is kept, wherever it
// stands.
func (c *Client) linked(leader election.Leader) fleet.Member {
	return fleet.Member{
		Host:        leader.Host,
		Domain:      c.mesh.Self().Domain,
		Incarnation: leader.Incarnation,
		PeerAddress: leader.Address,
	}
}

// FollowCoordinator makes the client look for the coordinator at once.
func (c *Client) FollowCoordinator() { c.follow() }

func (c *Client) report(ctx context.Context) {
	c.mu.Lock()
	leader := c.leader
	report := wireReport{Since: c.version, Fence: c.fence, Hosts: c.hosts}
	c.mu.Unlock()
	if leader.Host == "" {
		return
	}
	if report.Since == 0 {
		digests := c.host.Digests()
		report.Targets = digests[:]
	}
	used := c.usage()
	for _, a := range used.Demand {
		report.Asked = append(report.Asked, wireAsked(a))
	}
	for _, r := range used.Running {
		report.Running = append(report.Running, wireRunning(r))
	}
	sent := c.boot.Now()
	view, err := c.send(ctx, leader, report)
	switch {
	case errors.Is(err, errNotLeading) && leader.Host == c.mesh.Self().Host:
		// This host's term has ended, and it doesn't know the next coordinator yet.
		// Views of that one may reach it over its link.
		c.mu.Lock()
		c.search.missed(c.clock.Now())
		c.mu.Unlock()
	case err != nil:
		c.lost(err)
	default:
		c.take(view, sent)
	}
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

func (c *Client) lost(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reaching {
		c.log.Warn("coordinator: host lost", "host", c.leader.Host, "error", err)
	}
	c.reaching = false
	c.search.missed(c.clock.Now())
}

// known returns the coordinator that this host last learned of.
func (c *Client) known() election.Leader {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

func (c *Client) leads() bool { return c.known().Host == c.mesh.Self().Host }

// Waiting counts the requests of a host that wait for a model.
type Waiting struct {
	Total int
	// OnTime are those that are answered on time if the model is loaded from near
	// now.
	OnTime int
}

// RequestLoad tells the coordinator that requests wait for a model. It may be called
// as often as one likes.
func (c *Client) RequestLoad(pool target.Pool, name, adapter model.Name, waiting Waiting, priority int) {
	key := wantKey{pool, name, adapter}
	c.mu.Lock()
	now := c.clock.Now()
	if now.Sub(c.wanted[key]) < wantEvery {
		c.mu.Unlock()
		return
	}
	c.wanted[key] = now
	for old, at := range c.wanted {
		if now.Sub(at) > wantMemory {
			delete(c.wanted, old)
		}
	}
	leader := c.leader
	c.mu.Unlock()
	want := wireWant{Pool: pool, Model: name, Adapter: adapter, Waiting: waiting.Total, OnTime: waiting.OnTime, Priority: priority}
	if leader.Host == c.mesh.Self().Host {
		c.local.want(leader.Host, want)
		return
	}
	if err := c.mesh.Notify(leader.Host, kindWant, want); err != nil {
		c.log.Debug("coordinator: want not sent; it is repeated", "model", name, "error", err)
	}
}

// Borrow asks the coordinator's ledger for tokens.
func (c *Client) Borrow(ctx context.Context, id team.ID, loan quota.BorrowRequest) (quota.Grant, error) {
	leader := c.known()
	if leader.Host == "" {
		return quota.Grant{}, trace.NotFound("no coordinator is known")
	}
	ask := wireBorrow{Team: id, Need: loan.Need, Spare: loan.Extra, Aside: loan.ReserveSpent, Back: loan.Returned}
	var lent wireLent
	var err error
	if leader.Host == c.mesh.Self().Host {
		lent, err = c.local.borrow(leader.Host, ask)
	} else {
		err = c.mesh.Call(ctx, leader.Host, kindBorrow, ask, &lent)
	}
	if err != nil {
		return quota.Grant{}, trace.Wrap(err)
	}
	return quota.Grant{Tokens: lent.Granted, Wait: time.Duration(lent.Wait) * time.Millisecond, ReserveShare: lent.Aside, MaxCached: lent.Keep}, nil
}

// Configuration returns the operators' configuration as the coordinator read it
// from the store.
func (c *Client) Configuration(ctx context.Context) (keyvalue.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, hostReportTimeout)
	defer cancel()
	var wire wireConfig
	if err := c.mesh.Call(ctx, c.known().Host, kindConfig, struct{}{}, &wire); err != nil {
		return keyvalue.Entry{}, trace.Wrap(err, "coordinator")
	}
	return keyvalue.Entry{Key: wire.Key, Revision: wire.Revision, Value: wire.Value}, nil
}

// Hosts returns the number of hosts that the coordinator last told.
func (c *Client) Hosts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts
}
