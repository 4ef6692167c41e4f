// Package election makes one host the coordinator, by a key in the platform's
// metadata store that is bound to a lease.
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

// The times of an election.
const (
	// leaseTime is how long a coordinator that has died is still taken for one.
	// It is half as long again as the least that the store grants.
	leaseTime = 1500 * time.Millisecond
	// renewEvery leaves three renewals within the time of a lease, with answers
	// that are late by the 200 ms of a slow store.
	renewEvery = 400 * time.Millisecond
	// LeaseMargin is how much sooner than the store a coordinator takes its lease
	// for ended. Its clock and the store's may run at slightly different speeds.
	LeaseMargin = 200 * time.Millisecond
	// handoverMargin is added to the time between two coordinators' orders, for
	// orders on their way.
	handoverMargin = 250 * time.Millisecond
	// restartPause is the time after which a coordinator whose process was
	// replaced orders again. Orders of the old process have arrived by then.
	restartPause = 300 * time.Millisecond
	// mostJitter spreads the candidates, so that most see the first one's entry
	// before they try.
	mostJitter = 400 * time.Millisecond
	// retryPause is the time between two tries.
	retryPause = 300 * time.Millisecond
)

// Leader is the host that holds the election's key.
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
}

// Election is one host's part in the election.
type Election struct {
	store    platform.Metadata
	self     fleet.Member
	clock    clockwork.Clock
	boot     boottime.Clock
	log      *slog.Logger
	draw     func() float64
	handover time.Duration
	first    bool
	delay    time.Duration

	changed chan struct{}

	mu       sync.Mutex
	observed keyvalue.Entry
	leader   Leader
	present  bool
	known    bool
	term     *term
}

// term is the time for which this host is the coordinator.
type term struct {
	lease platform.Lease
	fence target.Fence
	// until is when the lease ends unless it is renewed, and orders when the
	// first order may be given.
	until  boottime.Instant
	orders boottime.Instant
}

// Option sets an option of an Election.
type Option func(*Election)

// WithHandover sets the least time between orders of two coordinators.
func WithHandover(d time.Duration) Option { return func(e *Election) { e.handover = d } }

// WithFirstStart says that no coordinator can have been before.
func WithFirstStart() Option { return func(e *Election) { e.first = true } }

// WithClocks sets the clocks.
func WithClocks(clock clockwork.Clock, boot boottime.Clock) Option {
	return func(e *Election) { e.clock, e.boot = clock, boot }
}

// WithLogger sets the logger.
func WithLogger(log *slog.Logger) Option { return func(e *Election) { e.log = log } }

// WithDelay sets a time that this host waits before it stands, so that others
// come first. Such a host doesn't take over the entry of its process before
// either: the whole fleet may be about to link to the coordinator.
func WithDelay(d time.Duration) Option { return func(e *Election) { e.delay = d } }

// WithRandom sets the source of chance, which returns numbers from 0 to 1.
func WithRandom(draw func() float64) Option { return func(e *Election) { e.draw = draw } }

// New returns a new Election in which a host takes part.
func New(store platform.Metadata, self fleet.Member, opts ...Option) *Election {
	e := &Election{
		store:   store,
		self:    self,
		clock:   clockwork.NewRealClock(),
		boot:    boottime.SystemClock{},
		log:     slog.Default(),
		draw:    func() float64 { return 0 },
		changed: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Observe takes the election's key as it is in the store; its revision is zero
// when it is missing.
func (e *Election) Observe(entry keyvalue.Entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.known = true
	if entry.Revision != 0 && entry.Revision < e.observed.Revision {
		return
	}
	e.observed = entry
	var wire wireLeader
	e.present = entry.Revision != 0 && json.Unmarshal(entry.Value, &wire) == nil
	if e.present {
		e.leader = Leader{
			Host:        wire.Host,
			Incarnation: wire.Incarnation,
			Address:     wire.Address,
			Fence:       target.Fence(entry.Revision),
		}
	}
	e.poke()
}

// Learn takes the word of another host that there is a coordinator, for a host that
// the store turns away, or that doesn't follow it.
func (e *Election) Learn(leader Leader) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if leader.Fence <= target.Fence(e.observed.Revision) {
		return
	}
	e.known, e.present, e.leader = true, true, leader
	e.observed = keyvalue.Entry{Key: platform.KeyCoordinator, Revision: keyvalue.Revision(leader.Fence)}
	e.poke()
}

func (e *Election) poke() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// Leader returns the coordinator that is known.
func (e *Election) Leader() (Leader, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader, e.present
}

// Term returns the fence of this host's term, and whether it may give orders
// now. The last result is false if this host isn't the coordinator.
func (e *Election) Term() (fence target.Fence, mayOrder, leads bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.boot.Now()
	if e.term == nil || !now.Before(e.term.until) {
		return 0, false, false
	}
	return e.term.fence, !now.Before(e.term.orders), true
}

// OrderDelay returns the time until the first order of this host's term may be
// given, or zero if there is none.
func (e *Election) OrderDelay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.term == nil {
		return 0
	}
	return max(0, e.term.orders.Sub(e.boot.Now()))
}

// Run takes part until the context ends, and then gives a term up.
func (e *Election) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		var pause time.Duration
		if e.leads() {
			pause = e.renew(ctx)
		} else {
			pause = e.stand(ctx)
		}
		select {
		case <-ctx.Done():
		case <-e.clock.After(pause):
		case <-e.wake():
		}
	}
	e.resign()
	return nil
}

// wake returns the channel of observations, which only matter to candidates.
func (e *Election) wake() <-chan struct{} {
	if e.leads() {
		return nil
	}
	return e.changed
}

func (e *Election) leads() bool {
	_, _, leads := e.Term()
	return leads
}

// stand tries to become the coordinator if there is none.
func (e *Election) stand(ctx context.Context) time.Duration {
	e.mu.Lock()
	if e.term != nil {
		e.log.Warn("election: term ended", "fence", e.term.fence)
		e.term = nil
	}
	known, present, own := e.known, e.present, e.present && e.leader.Host == e.self.Host
	e.mu.Unlock()
	if !known || (present && (!own || e.delay > 0)) {
		return time.Second
	}
	if !own {
		select {
		case <-ctx.Done():
			return 0
		case <-e.clock.After(e.delay + time.Duration(e.draw()*float64(mostJitter))):
		}
		if _, present := e.Leader(); present {
			return time.Second
		}
	}
	if err := e.acquire(ctx); err != nil && ctx.Err() == nil {
		e.log.Info("election: not won", "error", err)
		return retryPause
	}
	return renewEvery
}

func (e *Election) acquire(ctx context.Context) error {
	e.mu.Lock()
	condition := keyvalue.Revision(0)
	own := e.present && e.leader.Host == e.self.Host
	if e.present {
		condition = e.observed.Revision
	}
	e.mu.Unlock()
	value, err := json.Marshal(wireLeader{e.self.Host, e.self.Incarnation, e.self.PeerAddress})
	if err != nil {
		return trace.Wrap(err)
	}
	sent := e.boot.Now()
	lease, err := e.store.Grant(ctx, leaseTime)
	if err != nil {
		return trace.Wrap(err)
	}
	revision, err := e.store.Commit(ctx, platform.Transaction{
		If:  map[string]keyvalue.Revision{platform.KeyCoordinator: condition},
		Put: []platform.Put{{Key: platform.KeyCoordinator, Value: value, Lease: lease}},
	})
	if err != nil {
		e.endLease(lease)
		return trace.Wrap(err)
	}
	now := e.boot.Now()
	t := &term{lease: lease, fence: target.Fence(revision), until: sent.Add(leaseTime - LeaseMargin)}
	switch {
	case own:
		t.orders = now.Add(restartPause)
	case e.first && condition == 0 && !e.seenOther():
		t.orders = now
	default:
		t.orders = now.Add(e.handover + handoverMargin)
	}
	e.mu.Lock()
	e.term = t
	e.mu.Unlock()
	e.Observe(keyvalue.Entry{Key: platform.KeyCoordinator, Value: value, Revision: revision})
	e.log.Info("election: won", "fence", t.fence, "orders-in", t.orders.Sub(now))
	return nil
}

// seenOther reports whether another coordinator was seen before.
func (e *Election) seenOther() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader.Host != ""
}

// renew renews the lease of the term.
func (e *Election) renew(ctx context.Context) time.Duration {
	e.mu.Lock()
	t := e.term
	e.mu.Unlock()
	sent := e.boot.Now()
	err := e.store.KeepAlive(ctx, t.lease)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case err == nil:
		t.until = sent.Add(leaseTime - LeaseMargin)
		return renewEvery
	case errors.Is(err, platform.ErrLeaseEnded):
		e.log.Warn("election: lease has ended", "fence", t.fence)
		e.term = nil
		return retryPause
	default:
		e.log.Warn("election: lease not renewed", "fence", t.fence, "left", t.until.Sub(e.boot.Now()), "error", err)
		return retryPause
	}
}

// resign ends the term, so that another host needn't wait for the lease to run
// out.
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

// endLease ends a lease even while the host stops.
func (e *Election) endLease(lease platform.Lease) {
	ctx, cancel := context.WithTimeout(context.Background(), leaseTime)
	defer cancel()
	if err := e.store.Revoke(ctx, lease); err != nil {
		e.log.Info("election: lease was not ended, it runs out by itself", "error", err)
	}
}
