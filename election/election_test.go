package election_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"hawthornway/boottime"
	"hawthornway/election"
	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/platform"
	"hawthornway/target"
)

// suspendableClock is a boot clock for a synctest bubble. It includes the time that
// the host was suspended.
type suspendableClock struct {
	mu           sync.Mutex
	suspendedFor time.Duration
}

func (c *suspendableClock) Now() boottime.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	return boottime.Instant(time.Since(time.Unix(0, 0))).Add(c.suspendedFor)
}

func (c *suspendableClock) suspend(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspendedFor += d
}

// store is an in-memory metadata store that can lose answers.
type store struct {
	mu sync.Mutex
	// era rises when the store returns from a copy of itself, and revision is the number
	// of the last change within the present history.
	era        keyvalue.Era
	revision   keyvalue.Revision
	entry      *keyvalue.Entry
	entryLease platform.Lease
	leases     map[platform.Lease]time.Time
	lastLease  int64
	// lasting holds the keys without a lease, with the revisions of their last changes.
	lasting       map[string]keyvalue.Revision
	watchers      []*host
	answersToLose int
}

func newStore() *store {
	return &store{leases: map[platform.Lease]time.Time{}, lasting: map[string]keyvalue.Revision{}}
}

// expireAndNotify ends expired leases and notifies the watchers.
func (s *store) expireAndNotify(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		for lease, until := range s.leases {
			if !time.Now().Before(until) {
				s.endLocked(lease)
			}
		}
		entry := keyvalue.Entry{}
		if s.entry != nil {
			entry = *s.entry
		}
		watchers := slices.Clone(s.watchers)
		s.mu.Unlock()
		for _, w := range watchers {
			if w.store.observes() {
				w.election.Observe(entry)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (s *store) endLocked(lease platform.Lease) {
	delete(s.leases, lease)
	if s.entryLease == lease && s.entry != nil {
		s.entry = nil
		s.revision++
	}
}

func (s *store) Range(context.Context, string) ([]keyvalue.Entry, keyvalue.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entry == nil {
		return nil, s.era.Position(s.revision), nil
	}
	return []keyvalue.Entry{*s.entry}, s.era.Position(s.revision), nil
}

func (s *store) RangeStale(context.Context, string) ([]keyvalue.Entry, error) {
	return nil, errors.New("not used")
}

func (s *store) Watch(context.Context, string, keyvalue.Revision, time.Duration) ([]keyvalue.Event, keyvalue.Revision, error) {
	return nil, 0, errors.New("not used")
}

func (s *store) Commit(_ context.Context, t platform.Transaction) (keyvalue.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := keyvalue.Revision(0)
	if s.entry != nil {
		current = s.entry.Revision
	}
	for key, revision := range t.If {
		if key == platform.KeyCoordinator && revision != current || key != platform.KeyCoordinator && revision != s.lasting[key] {
			return 0, platform.ErrConditionFailed
		}
	}
	if _, ok := s.leases[t.Put[0].Lease]; !ok {
		return 0, platform.ErrLeaseEnded
	}
	s.revision++
	s.entry = &keyvalue.Entry{Key: platform.KeyCoordinator, Value: t.Put[0].Value, Revision: s.era.Position(s.revision)}
	s.entryLease = t.Put[0].Lease
	for _, p := range t.Put[1:] {
		s.lasting[p.Key] = s.entry.Revision
	}
	if s.answersToLose > 0 {
		s.answersToLose--
		return 0, keyvalue.ErrUnknown
	}
	return s.entry.Revision, nil
}

func (s *store) Grant(_ context.Context, ttl time.Duration) (platform.Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	lease := platform.Lease{Number: s.lastLease, Era: s.era}
	s.leases[lease] = time.Now().Add(ttl)
	return lease, nil
}

func (s *store) KeepAlive(_ context.Context, lease platform.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[lease]; !ok {
		return platform.ErrLeaseEnded
	}
	s.leases[lease] = time.Now().Add(1500 * time.Millisecond)
	return nil
}

func (s *store) Revoke(_ context.Context, lease platform.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLocked(lease)
	return nil
}

// hostStore is one host's connection to the store, which can be cut.
type hostStore struct {
	platform.Metadata
	mu  sync.Mutex
	cut bool
	// blind is set while calls reach the store, and its changes don't reach the host.
	blind bool
}

func (c *hostStore) setBlind(blind bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blind = blind
}

func (c *hostStore) observes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.cut && !c.blind
}

func (c *hostStore) setCut(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

func (c *hostStore) err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut {
		return keyvalue.ErrUnavailable
	}
	return nil
}

func (c *hostStore) KeepAlive(ctx context.Context, lease platform.Lease) error {
	if err := c.err(); err != nil {
		return err
	}
	return c.Metadata.KeepAlive(ctx, lease)
}

func (c *hostStore) Grant(ctx context.Context, ttl time.Duration) (platform.Lease, error) {
	if err := c.err(); err != nil {
		return platform.Lease{}, err
	}
	return c.Metadata.Grant(ctx, ttl)
}

type host struct {
	name      fleet.HostID
	election  *election.Election
	store     *hostStore
	bootClock *suspendableClock
	stop      context.CancelFunc
}

const handoverDelay = 3 * time.Second

// start starts hosts that take part in the election.
func start(ctx context.Context, s *store, names []fleet.HostID, opts ...election.Option) []*host {
	var hosts []*host
	for i, name := range names {
		h := &host{name: name, store: &hostStore{Metadata: s}, bootClock: &suspendableClock{}}
		all := append([]election.Option{
			election.WithHandover(handoverDelay),
			election.WithClocks(clockwork.NewRealClock(), h.bootClock),
			election.WithLogger(slog.New(slog.DiscardHandler)),
			election.WithRandom(func() float64 { return float64(i) / 10 }),
		}, opts...)
		h.election = election.New(h.store, fleet.Member{Host: name, PeerAddress: "10.0.0.1:1"}, all...)
		runCtx, stop := context.WithCancel(ctx)
		h.stop = stop
		go func() { _ = h.election.Run(runCtx) }()
		s.mu.Lock()
		s.watchers = append(s.watchers, h)
		s.mu.Unlock()
		hosts = append(hosts, h)
	}
	return hosts
}

// leaders returns the hosts that consider themselves the coordinator.
func leaders(hosts []*host) (names []fleet.HostID) {
	for _, h := range hosts {
		if _, _, leads := h.election.Term(); leads {
			names = append(names, h.name)
		}
	}
	return names
}

// lastOrder is the host that was last allowed to give orders, its fence, and when
// that was.
type lastOrder struct {
	host  fleet.HostID
	fence target.Fence
	at    time.Time
}

// watchOrders checks for some time that the handover delay passes between the orders
// of two hosts, and that fences never fall.
func watchOrders(t *testing.T, hosts []*host, duration time.Duration, before lastOrder) lastOrder {
	t.Helper()
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
		for _, h := range hosts {
			fence, mayOrder, _ := h.election.Term()
			if !mayOrder {
				continue
			}
			if before.host != "" && before.host != h.name {
				must.GreaterEq(t, handoverDelay, time.Since(before.at), must.Sprintf("%s orders after %s", h.name, before.host))
			}
			must.GreaterEq(t, before.fence, fence)
			before = lastOrder{h.name, fence, time.Now()}
		}
	}
	return before
}

func threeHosts() []fleet.HostID { return []fleet.HostID{"a", "b", "c"} }

func TestOneHostWinsAndOrdersAtOnceOnTheFirstStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		go s.expireAndNotify(t.Context())
		hosts := start(t.Context(), s, threeHosts(), election.WithFirstStart())
		watchOrders(t, hosts, 2*time.Second, lastOrder{})
		must.SliceLen(t, 1, leaders(hosts))
		leader, ok := hosts[2].election.Leader()
		must.True(t, ok)
		must.Eq(t, leaders(hosts)[0], leader.Host)
		_, mayOrder, _ := hosts[0].election.Term()
		must.True(t, mayOrder)
	})
}

// Each fault ends the term of the first coordinator. Another host must take over,
// and must give no order within the handover delay of the last order before.
func TestTakeover(t *testing.T) {
	cases := []struct {
		name  string
		fault func(h *host)
		// within bounds the time to the next coordinator that may order.
		within time.Duration
	}{
		{"cut off from the store", func(h *host) { h.store.setCut(true) }, 8 * time.Second},
		{"stopped", func(h *host) { h.stop() }, 5 * time.Second},
		{"suspended", func(h *host) {
			h.bootClock.suspend(10 * time.Second)
			h.store.setCut(true)
		}, 8 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStore()
				go s.expireAndNotify(t.Context())
				hosts := start(t.Context(), s, threeHosts(), election.WithFirstStart())
				before := watchOrders(t, hosts, 2*time.Second, lastOrder{})
				var first *host
				for _, h := range hosts {
					if h.name == before.host {
						first = h
					}
				}
				tc.fault(first)
				after := watchOrders(t, hosts, tc.within, before)
				must.NotEq(t, before.host, after.host, must.Sprint("no host took over"))
				must.Greater(t, before.fence, after.fence)
			})
		})
	}
}

// A host that was suspended until its lease expired must not rely on the lease,
// although its monotonic clock has not advanced.
func TestSuspendedCoordinatorGivesNoOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		go s.expireAndNotify(t.Context())
		hosts := start(t.Context(), s, []fleet.HostID{"a"}, election.WithFirstStart())
		watchOrders(t, hosts, time.Second, lastOrder{})
		hosts[0].bootClock.suspend(5 * time.Second)
		_, mayOrder, leads := hosts[0].election.Term()
		must.False(t, mayOrder)
		must.False(t, leads)
	})
}

// A process that is restarted on the coordinator's host takes over the entry,
// since the entry names the same host.
func TestRestartedCoordinatorTakesItsOwnEntryOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		go s.expireAndNotify(t.Context())
		old := start(t.Context(), s, []fleet.HostID{"a"}, election.WithFirstStart())
		before := watchOrders(t, old, time.Second, lastOrder{})
		old[0].store.setCut(true) // killed: it doesn't end its lease
		restarted := start(t.Context(), s, []fleet.HostID{"a"})
		after := watchOrders(t, restarted, time.Second, lastOrder{host: "a", fence: before.fence, at: before.at})
		must.Greater(t, before.fence, after.fence)
	})
}

// A host that the store refuses has a stale view of the store and learns of a
// coordinator from another host. It must not campaign, or else it would write to
// the store again and again.
func TestHostThatLearnsOfACoordinatorDoesNotCampaign(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore() // the host doesn't observe the store
		h := start(t.Context(), s, []fleet.HostID{"a"})[0]
		h.election.Learn(election.Leader{Host: "b", Fence: 7})
		time.Sleep(5 * time.Second)
		leader, ok := h.election.Leader()
		must.True(t, ok)
		must.Eq(t, "b", leader.Host)
		s.mu.Lock()
		defer s.mu.Unlock()
		must.Eq(t, 0, s.lastLease) // no lease was granted
		h.stop()
	})
}

// All hosts of a large fleet restart at once, and the previous coordinator has a
// candidacy delay because it is too weak to serve the links of all hosts. A host
// without a delay must take over.
func TestDelayedHostLeavesItsEntryToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		go s.expireAndNotify(t.Context())
		weak := election.WithDelay(1200 * time.Millisecond)
		old := start(t.Context(), s, []fleet.HostID{"weak"}, election.WithFirstStart(), weak)
		before := watchOrders(t, old, 2*time.Second, lastOrder{})
		must.Eq(t, "weak", before.host)
		old[0].store.setCut(true) // power failure: it doesn't end its lease
		restarted := append(start(t.Context(), s, []fleet.HostID{"weak"}, weak), start(t.Context(), s, []fleet.HostID{"strong"})...)
		watchOrders(t, restarted, 3*time.Second, before)
		must.Eq(t, []fleet.HostID{"strong"}, leaders(restarted))
	})
}

// The answer to the winning transaction is lost. The host must not consider itself
// the coordinator, and its entry ends with its lease.
func TestLostAnswerOfTheElection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.answersToLose = 1
		go s.expireAndNotify(t.Context())
		hosts := start(t.Context(), s, threeHosts(), election.WithFirstStart())
		watchOrders(t, hosts, 10*time.Second, lastOrder{})
		must.SliceLen(t, 1, leaders(hosts), must.Sprint(fmt.Sprint(leaders(hosts))))
	})
}

// hangingStore is a connection to the store that doesn't answer, as during a partition.
type hangingStore struct{ platform.Metadata }

func (hangingStore) KeepAlive(ctx context.Context, _ platform.Lease) error {
	select {
	case <-ctx.Done():
	case <-time.After(time.Second):
	}
	return keyvalue.ErrUnknown
}

// The store refuses the coordinator, or the coordinator is cut off from it, while it
// reaches all other hosts. Its lease is renewed through one of them, so that the fleet
// doesn't go without orders until another coordinator may give some. If nobody reaches the
// store, the term must still end in time.
func TestCoordinatorWithoutStoreKeepsItsTermThroughOthers(t *testing.T) {
	cases := []struct {
		name        string
		hangs       bool
		backupFails bool
		want        bool
	}{
		{"refused", false, false, true},
		{"cut off", true, false, true},
		{"refused, others too", false, true, false},
		{"cut off, others too", true, true, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				var running sync.WaitGroup
				s := newStore()
				running.Go(func() { s.expireAndNotify(ctx) })
				direct := &switchableStore{Metadata: s}
				backup := &hostStore{Metadata: s, cut: tc.backupFails}
				e := election.New(direct, fleet.Member{Host: "a"}, election.WithBackup(backup), election.WithFirstStart(),
					election.WithHandover(handoverDelay), election.WithClocks(clockwork.NewRealClock(), &suspendableClock{}), election.WithLogger(slog.New(slog.DiscardHandler)))
				s.mu.Lock()
				s.watchers = append(s.watchers, &host{election: e, store: &hostStore{}})
				s.mu.Unlock()
				running.Go(func() { _ = e.Run(ctx) })
				time.Sleep(2 * time.Second)
				fence, _, leads := e.Term()
				must.True(t, leads)
				if tc.hangs {
					direct.use(hangingStore{s})
				} else {
					direct.use(&hostStore{Metadata: s, cut: true})
				}
				for range 100 {
					time.Sleep(100 * time.Millisecond)
					after, _, stillLeads := e.Term()
					if tc.want {
						must.True(t, stillLeads)
						must.Eq(t, fence, after)
					}
				}
				_, _, leads = e.Term()
				must.Eq(t, tc.want, leads)
				cancel()
				running.Wait()
			})
		})
	}
}

// lateStore is a connection to the store whose answers come after a delay.
type lateStore struct {
	platform.Metadata
	delay time.Duration
}

func (s lateStore) KeepAlive(_ context.Context, lease platform.Lease) error {
	time.Sleep(s.delay)
	return s.Metadata.KeepAlive(context.Background(), lease)
}

// A renewal that is answered after the term has ended must not begin the term anew: the
// coordinator has dropped what it knew, and others may be about to take over.
func TestLateRenewalDoesNotReviveATerm(t *testing.T) {
	for failing := 500 * time.Millisecond; failing <= 1300*time.Millisecond; failing += 50 * time.Millisecond {
		testLateRenewal(t, failing)
	}
}

// testLateRenewal has renewals fail for some time, and then be answered late.
func testLateRenewal(t *testing.T, failing time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		s := newStore()
		running.Go(func() { s.expireAndNotify(ctx) })
		direct := &switchableStore{Metadata: s}
		e := election.New(direct, fleet.Member{Host: "a"}, election.WithFirstStart(), election.WithHandover(handoverDelay),
			election.WithClocks(clockwork.NewRealClock(), &suspendableClock{}), election.WithLogger(slog.New(slog.DiscardHandler)))
		s.mu.Lock()
		s.watchers = append(s.watchers, &host{election: e, store: &hostStore{}})
		s.mu.Unlock()
		running.Go(func() { _ = e.Run(ctx) })
		time.Sleep(2 * time.Second)
		first, _, leads := e.Term()
		must.True(t, leads)
		direct.use(&hostStore{Metadata: s, cut: true})
		time.AfterFunc(failing, func() { direct.use(lateStore{s, 600 * time.Millisecond}) })
		ended := false
		for range 400 {
			time.Sleep(10 * time.Millisecond)
			fence, _, leads := e.Term()
			ended = ended || !leads
			must.False(t, ended && leads && fence == first, must.Sprint(failing))
		}
		direct.use(s)
		time.Sleep(time.Second)
		cancel()
		running.Wait()
	})
}

// switchableStore is a connection to the store that can be replaced.
type switchableStore struct {
	platform.Metadata
	mu sync.Mutex
}

func (s *switchableStore) use(m platform.Metadata) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Metadata = m
}

func (s *switchableStore) KeepAlive(ctx context.Context, lease platform.Lease) error {
	s.mu.Lock()
	m := s.Metadata
	s.mu.Unlock()
	return m.KeepAlive(ctx, lease)
}

func (s *switchableStore) Grant(ctx context.Context, ttl time.Duration) (platform.Lease, error) {
	s.mu.Lock()
	m := s.Metadata
	s.mu.Unlock()
	return m.Grant(ctx, ttl)
}

func (s hangingStore) Grant(ctx context.Context, _ time.Duration) (platform.Lease, error) {
	return platform.Lease{}, s.KeepAlive(ctx, platform.Lease{})
}

// A coordinator that is stopped names its successor. That host is elected although others
// would become candidates earlier, and a host that doesn't come forward isn't waited for.
func TestResigningCoordinatorIsFollowedByTheHostItNames(t *testing.T) {
	cases := []struct {
		name, successor, want string
	}{
		{"named", "c", "c"},
		{"named host is gone", "gone", "b"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				s := newStore()
				go s.expireAndNotify(ctx)
				hosts := start(ctx, s, threeHosts())
				time.Sleep(2 * time.Second)
				must.Eq(t, []fleet.HostID{"a"}, leaders(hosts))
				for _, h := range hosts {
					h.election.Prefer(fleet.HostID(tc.successor))
				}
				hosts[0].stop()
				time.Sleep(1200 * time.Millisecond)
				must.Eq(t, []fleet.HostID{fleet.HostID(tc.want)}, leaders(hosts))
				cancel()
				synctest.Wait()
			})
		})
	}
}

// A host takes over from another one, has to wait for the handover delay, and loses its
// own term meanwhile. When it takes its own entry over, in the same process or a new one,
// the delay must still pass.
func TestOwnEntryKeepsHandoverDelay(t *testing.T) {
	for _, restart := range []bool{false, true} {
		t.Run(fmt.Sprintf("restart %t", restart), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStore()
				go s.expireAndNotify(t.Context())
				first := start(t.Context(), s, []fleet.HostID{"a"}, election.WithFirstStart())
				before := watchOrders(t, first, time.Second, lastOrder{})
				second := start(t.Context(), s, []fleet.HostID{"b"})
				first[0].stop()
				before = watchOrders(t, append(first, second...), time.Second, before)
				must.SliceLen(t, 1, leaders(second))
				second[0].store.setCut(true)
				if restart {
					second = start(t.Context(), s, []fleet.HostID{"b"})
				} else {
					time.Sleep(1300 * time.Millisecond)
					second[0].store.setCut(false)
				}
				after := watchOrders(t, second, 8*time.Second, before)
				must.Eq(t, "b", after.host)
			})
		})
	}
}
