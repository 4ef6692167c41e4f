// Package election elects one host as the coordinator by means of a key in the
// platform's metadata store that is bound to a lease.
package election

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"hawthornway/boottime"
	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/platform"
	"hawthornway/target"
)

// The durations of an election.
const (
	// leaseTTL is how long a dead coordinator keeps its lease. It is 1.5 times the
	// shortest TTL that the store grants.
	leaseTTL = 1500 * time.Millisecond
	// renewInterval allows three renewals within leaseTTL even if the store answers
	// only after 200 ms.
	renewInterval = 400 * time.Millisecond
	// LeaseMargin is how much earlier than the store a coordinator considers its
	// lease expired, since the two clocks may run at slightly different speeds.
	LeaseMargin = 200 * time.Millisecond
	// TakeoverTime is how long it takes from the loss of a coordinator until its
	// successor serves hosts: the lease, the spread of candidates, and the time until
	// hosts have found the successor.
	TakeoverTime = leaseTTL + maxCandidacyJitter + followTime
	// followTime is the time until hosts have found a new coordinator, whose entry they
	// watch in the store.
	followTime = 300 * time.Millisecond
	// handoverMargin is added to the time between the orders of two coordinators to
	// allow for orders in flight.
	handoverMargin = 250 * time.Millisecond
	// restartOrderDelay is the time after which a restarted coordinator gives orders
	// again. Orders of its old process have arrived by then.
	restartOrderDelay = 300 * time.Millisecond
	// maxCandidacyJitter spreads the candidates, so that most of them see the entry
	// of the first one before they try.
	maxCandidacyJitter = 400 * time.Millisecond
	// successorTime is how long the choice of a resigning coordinator counts, and
	// successorHeadStart how much later than its successor other hosts become
	// candidates.
	successorTime      = time.Second
	successorHeadStart = 400 * time.Millisecond
	// backupDelay is the time after which a renewal that the store hasn't answered is
	// also sent through the backup. The store normally answers in a few milliseconds,
	// and there must be time for the backup before the lease ends.
	backupDelay = 250 * time.Millisecond
	// leftoverTime is how long the host that a leftover entry names may take to replace
	// it, before others do. Its term has ended by then, even if it is cut off.
	leftoverTime = 2 * leaseTTL
	// maxCommitTime is the longest time that the store takes to write an entry.
	maxCommitTime = time.Second
	// retryDelay is the delay before another attempt to win or renew.
	retryDelay = 300 * time.Millisecond
)

// Leader is the host that the election's key names as the coordinator.
type Leader struct {
	Host        fleet.HostID
	Incarnation fleet.Incarnation
	Address     string
	// Fence rises with each election.
	Fence target.Fence
}

type wireLeader struct {
	Host        fleet.HostID      `json:"host"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	Address     string            `json:"address"`
	// Era is the store's era in which the entry was written. It is missing in entries of
	// older builds.
	Era *keyvalue.Era `json:"era,omitempty"`
	// OrdersFrom is the time up to which the host may have to wait with the first order of
	// the term, by the boot clock of its machine.
	OrdersFrom boottime.Instant `json:"orders-from,omitempty"`
}

// leftover reports whether the entry is from before the store's return from an older
// copy of itself. The term that it names has ended.
func (w wireLeader) leftover(revision keyvalue.Revision) bool {
	return w.Era != nil && *w.Era < keyvalue.EraOf(revision)
}

// Election is the participation of one host in the election.
type Election struct {
	store          platform.Metadata
	backup         Renewer
	self           fleet.Member
	clock          clockwork.Clock
	bootClock      boottime.Clock
	log            *slog.Logger
	random         func() float64
	handoverDelay  time.Duration
	candidacyDelay time.Duration
	// firstStart is set while this host may be the first coordinator of all, and startedAt is
	// when it started.
	firstStart bool
	startedAt  boottime.Instant

	changed chan struct{}

	mu sync.Mutex
	// successor is the host that a resigning coordinator has named, which others let go
	// first until successorUntil.
	successor      fleet.HostID
	successorUntil boottime.Instant

	observed keyvalue.Entry
	// leftoverSince is when a leftover entry was first observed, or zero.
	leftoverSince boottime.Instant
	// entryOrdersFrom is when the host of the observed entry may order, by its boot clock.
	entryOrdersFrom boottime.Instant
	// era is the highest era of the store that was seen, and eraSince when it was first
	// seen after another one.
	era        keyvalue.Era
	eraKnown   bool
	eraSince   boottime.Instant
	leader     Leader
	hasLeader  bool
	stateKnown bool
	term       *term
}

// term is the period in which this host is the coordinator.
type term struct {
	lease platform.Lease
	fence target.Fence
	// until is when the lease ends unless it is renewed. ordersFrom is when this
	// host may give the first order.
	until      boottime.Instant
	ordersFrom boottime.Instant
	// first is set if no host has had a term before.
	first bool
}

// Renewer renews leases.
type Renewer interface {
	KeepAlive(ctx context.Context, lease platform.Lease) error
}

// Option sets an option of an Election.
type Option func(*Election)

// WithHandover sets the shortest time between the orders of two coordinators.
func WithHandover(d time.Duration) Option { return func(e *Election) { e.handoverDelay = d } }

// WithFirstStart declares that the whole fleet starts for the first time. The first coordinator
// then gives orders at once.
func WithFirstStart() Option { return func(e *Election) { e.firstStart = true } }

// WithBackup sets a way to renew the coordinator's lease while the store refuses this
// host or doesn't answer it.
func WithBackup(backup Renewer) Option { return func(e *Election) { e.backup = backup } }

// WithClocks sets the clock for timers and the boot clock, which includes the time
// that the host was suspended.
func WithClocks(clock clockwork.Clock, boot boottime.Clock) Option {
	return func(e *Election) { e.clock, e.bootClock = clock, boot }
}

// WithLogger sets the logger.
func WithLogger(log *slog.Logger) Option { return func(e *Election) { e.log = log } }

// WithDelay sets the time that this host waits before it becomes a candidate, so
// that other hosts come first. Such a host doesn't take over the entry of its own
// previous process either, since the whole fleet may be about to connect to the
// coordinator.
func WithDelay(d time.Duration) Option { return func(e *Election) { e.candidacyDelay = d } }

// WithRandom sets the source of random numbers between 0 and 1 that spread the
// candidates.
func WithRandom(random func() float64) Option { return func(e *Election) { e.random = random } }

// New returns a new Election for a host.
func New(store platform.Metadata, self fleet.Member, opts ...Option) *Election {
	e := &Election{
		store:     store,
		self:      self,
		clock:     clockwork.NewRealClock(),
		bootClock: boottime.SystemClock{},
		log:       slog.Default(),
		random:    func() float64 { return 0 },
		changed:   make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(e)
	}
	e.startedAt = e.bootClock.Now()
	return e
}

// Observe handles the current entry of the election's key in the store. A missing
// key has revision zero.
func (e *Election) Observe(entry keyvalue.Entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stateKnown = true
	if entry.Revision != 0 && entry.Revision < e.observed.Revision {
		return
	}
	newEra := keyvalue.EraOf(entry.Revision) != keyvalue.EraOf(e.observed.Revision)
	e.observed = entry
	if entry.Revision != 0 {
		e.observeEra(keyvalue.EraOf(entry.Revision))
	}
	if e.term != nil && entry.Revision > keyvalue.Revision(e.term.fence) {
		e.log.Warn("election: term ended because of a newer entry in the store", "fence", e.term.fence, "entry", entry.Revision)
		e.term = nil
	}
	var wire wireLeader
	e.hasLeader = entry.Revision != 0 && json.Unmarshal(entry.Value, &wire) == nil
	e.entryOrdersFrom = wire.OrdersFrom
	switch {
	case !e.hasLeader || !wire.leftover(entry.Revision):
		e.leftoverSince = 0
	case e.leftoverSince == 0 || newEra:
		e.leftoverSince = e.bootClock.Now()
	}
	if e.hasLeader {
		e.leader = Leader{
			Host:        wire.Host,
			Incarnation: wire.Incarnation,
			Address:     wire.Address,
			Fence:       target.Fence(entry.Revision),
		}
	}
	e.notifyChanged()
}

// observeEra records the store's era. The caller holds the lock.
func (e *Election) observeEra(era keyvalue.Era) {
	if e.eraKnown && era > e.era {
		e.eraSince = e.bootClock.Now()
	}
	e.era, e.eraKnown = max(e.era, era), true
}

// formerTermEnd returns the time up to which a coordinator that is cut off from the store
// may rely on a lease that the store has lost on its return from an older copy.
func (e *Election) formerTermEnd() boottime.Instant {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.eraSince == 0 {
		return 0
	}
	return e.eraSince.Add(leaseTTL)
}

// Prefer handles a resigning coordinator's choice of its successor.
func (e *Election) Prefer(successor fleet.HostID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.successor, e.successorUntil = successor, e.bootClock.Now().Add(successorTime)
}

// candidacyWait returns how long this host waits before it becomes a candidate.
func (e *Election) candidacyWait() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	wait := e.candidacyDelay + time.Duration(e.random()*float64(maxCandidacyJitter))
	switch {
	case !e.bootClock.Now().Before(e.successorUntil):
		return wait
	case e.successor == e.self.Host:
		return 0
	default:
		return wait + successorHeadStart
	}
}

// Learn handles the report of another host that there is a coordinator. It is for
// hosts that the store refuses or that don't follow the store.
func (e *Election) Learn(leader Leader) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if leader.Fence <= target.Fence(e.observed.Revision) {
		return
	}
	e.stateKnown, e.hasLeader, e.leader, e.leftoverSince, e.entryOrdersFrom = true, true, leader, 0, 0
	e.observed = keyvalue.Entry{Key: platform.KeyCoordinator, Revision: keyvalue.Revision(leader.Fence)}
	e.notifyChanged()
}

func (e *Election) notifyChanged() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// Leader returns the known coordinator, and whether there is one.
func (e *Election) Leader() (Leader, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader, e.hasLeader
}

// Term returns the fence of this host's term, and whether it may give orders
// now. The last result is false if this host isn't the coordinator.
func (e *Election) Term() (fence target.Fence, mayOrder, leads bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.bootClock.Now()
	if e.term == nil || !now.Before(e.term.until) {
		return 0, false, false
	}
	return e.term.fence, !now.Before(e.term.ordersFrom), true
}

// FirstTerm reports whether this host has a term, and no host has had one before.
func (e *Election) FirstTerm() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term != nil && e.term.first
}

// OrderDelay returns the time until this host may give the first order of its term.
// It is zero if that time has passed or this host has no term.
func (e *Election) OrderDelay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.term == nil {
		return 0
	}
	return max(0, e.term.ordersFrom.Sub(e.bootClock.Now()))
}

// Run takes part in the election until the context ends, and then resigns.
func (e *Election) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		var delay time.Duration
		if e.leads() {
			delay = e.renew(ctx)
		} else {
			delay = e.campaign(ctx)
		}
		select {
		case <-ctx.Done():
		case <-e.clock.After(delay):
		case <-e.candidateChanges():
		}
	}
	e.resign()
	return nil
}

// candidateChanges returns the channel of observed changes. It is nil for the
// coordinator, which doesn't react to them.
func (e *Election) candidateChanges() <-chan struct{} {
	if e.leads() {
		return nil
	}
	return e.changed
}

func (e *Election) leads() bool {
	_, _, leads := e.Term()
	return leads
}

// campaign tries to become the coordinator if there is none, and returns the time
// until the next attempt.
func (e *Election) campaign(ctx context.Context) time.Duration {
	e.mu.Lock()
	if e.term != nil {
		e.log.Warn("election: term ended because its lease was not renewed in time", "fence", e.term.fence)
		e.term = nil
	}
	stateKnown, ownEntry := e.stateKnown, e.hasLeader && e.leader.Host == e.self.Host
	e.mu.Unlock()
	if !stateKnown || (e.contested() && (!ownEntry || e.candidacyDelay > 0)) {
		return time.Second
	}
	if !ownEntry {
		select {
		case <-ctx.Done():
			return 0
		case <-e.clock.After(e.candidacyWait()):
		}
		if e.contested() {
			return time.Second
		}
	}
	if err := e.acquire(ctx); err != nil && ctx.Err() == nil {
		e.log.Info("election: not won", "error", err)
		if errors.Is(err, platform.ErrConditionFailed) {
			e.readEntry(ctx)
		}
		return retryDelay
	}
	return renewInterval
}

// readEntry reads the election's entry, since the one that this host knows is out of date, and
// it may be long until it reads the store's changes again.
func (e *Election) readEntry(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, retryDelay)
	defer cancel()
	entries, _, err := e.store.Range(ctx, platform.KeyCoordinator)
	if err != nil {
		e.log.Info("election: the present entry can't be read", "error", err)
		return
	}
	present := keyvalue.Entry{Key: platform.KeyCoordinator}
	for _, entry := range entries {
		if entry.Key == platform.KeyCoordinator {
			present = entry
		}
	}
	e.Observe(present)
}

// contested reports whether the store's entry names a coordinator that may still be there.
func (e *Election) contested() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.hasLeader && (e.leftoverSince == 0 || e.bootClock.Now().Sub(e.leftoverSince) < leftoverTime)
}

// acquire writes the election's key under a new lease and starts this host's term.
func (e *Election) acquire(ctx context.Context) error {
	e.mu.Lock()
	expected := keyvalue.Revision(0)
	// Another host may have been the coordinator since a leftover entry was written.
	ownEntry := e.hasLeader && e.leader.Host == e.self.Host && e.leftoverSince == 0
	if e.hasLeader {
		expected = e.observed.Revision
	}
	entryOrdersFrom := e.entryOrdersFrom
	first := e.firstStart && expected == 0 && e.leader.Host == "" && e.bootClock.Now().Sub(e.startedAt) < e.handoverDelay
	e.firstStart = false // one try: others may be elected meanwhile
	e.mu.Unlock()
	sentAt := e.bootClock.Now()
	lease, err := e.store.Grant(ctx, leaseTTL)
	if err != nil {
		return trace.Wrap(err)
	}
	era := lease.Era
	e.mu.Lock()
	e.observeEra(era)
	e.mu.Unlock()
	// orderTime returns when this host may give orders if its term begins at an instant.
	orderTime := func(begin boottime.Instant) boottime.Instant {
		handover := max(begin, e.formerTermEnd()).Add(e.handoverDelay + handoverMargin)
		switch {
		case ownEntry:
			// The former process may have had to wait for the orders of another host.
			// The boot clock may also have begun anew since.
			return min(handover, max(entryOrdersFrom, begin.Add(restartOrderDelay)))
		case first:
			return begin
		default:
			return handover
		}
	}
	value, err := json.Marshal(wireLeader{e.self.Host, e.self.Incarnation, e.self.PeerAddress, &era, orderTime(e.bootClock.Now().Add(maxCommitTime))})
	if err != nil {
		return trace.Wrap(err)
	}
	conditions := map[string]keyvalue.Revision{platform.KeyCoordinator: expected}
	if first {
		conditions[platform.KeyElected] = 0
	}
	revision, err := e.store.Commit(ctx, platform.Transaction{
		If:  conditions,
		Put: []platform.Put{{Key: platform.KeyCoordinator, Value: value, Lease: lease}, {Key: platform.KeyElected, Value: value}},
	})
	if err != nil {
		e.endLease(lease)
		return trace.Wrap(err)
	}
	now := e.bootClock.Now()
	t := &term{lease: lease, fence: target.Fence(revision), until: sentAt.Add(leaseTTL - LeaseMargin), ordersFrom: orderTime(now), first: first}
	e.mu.Lock()
	e.term = t
	e.mu.Unlock()
	e.Observe(keyvalue.Entry{Key: platform.KeyCoordinator, Value: value, Revision: revision})
	e.log.Info("election: won", "fence", t.fence, "orders-in", t.ordersFrom.Sub(now))
	return nil
}

// renew renews the lease of the term and returns the time until the next renewal.
func (e *Election) renew(ctx context.Context) time.Duration {
	e.mu.Lock()
	t := e.term
	e.mu.Unlock()
	if t == nil {
		return 0 // a newer entry was observed
	}
	sentAt := e.bootClock.Now()
	// A renewal after the end of the term would begin it anew, without what the
	// coordinator knew.
	renewCtx, cancel := context.WithTimeout(ctx, t.until.Sub(sentAt))
	defer cancel()
	err := e.keepAlive(renewCtx, t.lease)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case !e.bootClock.Now().Before(t.until):
		e.log.Warn("election: term ended because its lease was not renewed in time", "fence", t.fence, "error", err)
		e.term = nil
		go e.endLease(t.lease) // the last renewal may have reached the store
		return retryDelay
	case err == nil:
		t.until = sentAt.Add(leaseTTL - LeaseMargin)
		return renewInterval
	case errors.Is(err, platform.ErrLeaseEnded):
		e.log.Warn("election: lease has ended", "fence", t.fence)
		e.term = nil
		return retryDelay
	default:
		e.log.Warn("election: lease not renewed", "fence", t.fence, "left", t.until.Sub(e.bootClock.Now()), "error", err)
		return retryDelay
	}
}

// keepAlive renews a lease: with the store or, if that fails or takes longer than
// backupDelay, with the backup.
func (e *Election) keepAlive(ctx context.Context, lease platform.Lease) error {
	if e.backup == nil {
		return e.store.KeepAlive(ctx, lease)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, 2)
	pending := 0
	renewWith := func(r Renewer) {
		pending++
		go func() { results <- r.KeepAlive(ctx, lease) }()
	}
	renewWith(e.store)
	backupDue := e.clock.After(backupDelay)
	var firstErr error
	for pending > 0 {
		select {
		case err := <-results:
			pending--
			if err == nil || errors.Is(err, platform.ErrLeaseEnded) {
				return err
			}
			if firstErr == nil {
				firstErr = err
			}
		case <-backupDue:
		}
		if backupDue != nil {
			backupDue = nil
			renewWith(e.backup)
		}
	}
	return firstErr
}

// resign ends the term, so that another host needn't wait for the lease to expire.
func (e *Election) resign() {
	e.mu.Lock()
	t := e.term
	e.term = nil
	e.mu.Unlock()
	if t == nil {
		return
	}
	e.endLease(t.lease)
	e.log.Info("election: resigned", "fence", t.fence)
}

// endLease ends a lease, even if the context of Run has ended.
func (e *Election) endLease(lease platform.Lease) {
	ctx, cancel := context.WithTimeout(context.Background(), leaseTTL)
	defer cancel()
	if err := e.store.Revoke(ctx, lease); err != nil {
		e.log.Info("election: lease can't be ended; it will expire", "error", err)
	}
}
