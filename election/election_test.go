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

// bubble is the boot clock of a synctest bubble, with the time that the machine
// was suspended.
type bubble struct {
	mu        sync.Mutex
	suspended time.Duration
}

func (b *bubble) Now() boottime.Instant {
	b.mu.Lock()
	defer b.mu.Unlock()
	return boottime.Instant(time.Since(time.Unix(0, 0))).Add(b.suspended)
}

func (b *bubble) suspend(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspended += d
}

// store is a metadata store in memory, with cuts and lost answers.
type store struct {
	mu       sync.Mutex
	revision keyvalue.Revision
	entry    *keyvalue.Entry
	bound    platform.Lease
	leases   map[platform.Lease]time.Time
	next     platform.Lease
	watchers []*election.Election
	lose     int
}

func newStore() *store { return &store{leases: map[platform.Lease]time.Time{}} }

// run ends leases and tells watchers.
func (s *store) run(ctx context.Context) {
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
			w.Observe(entry)
		}
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (s *store) endLocked(lease platform.Lease) {
	delete(s.leases, lease)
	if s.bound == lease && s.entry != nil {
		s.entry = nil
		s.revision++
	}
}

func (s *store) Range(context.Context, string) ([]keyvalue.Entry, keyvalue.Revision, error) {
	return nil, 0, errors.New("not used")
}

func (s *store) Watch(context.Context, string, keyvalue.Revision, time.Duration) ([]keyvalue.Event, keyvalue.Revision, error) {
	return nil, 0, errors.New("not used")
}

func (s *store) Commit(_ context.Context, t platform.Transaction) (keyvalue.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	have := keyvalue.Revision(0)
	if s.entry != nil {
		have = s.entry.Revision
	}
	if t.If[platform.KeyCoordinator] != have {
		return 0, platform.ErrConditionFailed
	}
	if _, ok := s.leases[t.Put[0].Lease]; !ok {
		return 0, platform.ErrLeaseEnded
	}
	s.revision++
	s.entry = &keyvalue.Entry{Key: platform.KeyCoordinator, Value: t.Put[0].Value, Revision: s.revision}
	s.bound = t.Put[0].Lease
	if s.lose > 0 {
		s.lose--
		return 0, keyvalue.ErrUnknown
	}
	return s.revision, nil
}

func (s *store) Grant(_ context.Context, ttl time.Duration) (platform.Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	s.leases[s.next] = time.Now().Add(ttl)
	return s.next, nil
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

// cuttable is one host's way to the store.
type cuttable struct {
	platform.Metadata
	mu  sync.Mutex
	cut bool
}

func (c *cuttable) set(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

func (c *cuttable) err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut {
		return keyvalue.ErrUnavailable
	}
	return nil
}

func (c *cuttable) KeepAlive(ctx context.Context, lease platform.Lease) error {
	if err := c.err(); err != nil {
		return err
	}
	return c.Metadata.KeepAlive(ctx, lease)
}

func (c *cuttable) Grant(ctx context.Context, ttl time.Duration) (platform.Lease, error) {
	if err := c.err(); err != nil {
		return 0, err
	}
	return c.Metadata.Grant(ctx, ttl)
}

type host struct {
	name     fleet.HostID
	election *election.Election
	way      *cuttable
	boot     *bubble
	stop     context.CancelFunc
}

const handover = 3 * time.Second

// start starts hosts that take part.
func start(ctx context.Context, s *store, names []fleet.HostID, opts ...election.Option) []*host {
	var hosts []*host
	for i, name := range names {
		h := &host{name: name, way: &cuttable{Metadata: s}, boot: &bubble{}}
		all := append([]election.Option{
			election.WithHandover(handover),
			election.WithClocks(clockwork.NewRealClock(), h.boot),
			election.WithLogger(slog.New(slog.DiscardHandler)),
			election.WithRandom(func() float64 { return float64(i) / 10 }),
		}, opts...)
		h.election = election.New(h.way, fleet.Member{Host: name, PeerAddress: "10.0.0.1:1"}, all...)
		runCtx, stop := context.WithCancel(ctx)
		h.stop = stop
		go func() { _ = h.election.Run(runCtx) }()
		s.mu.Lock()
		s.watchers = append(s.watchers, h.election)
		s.mu.Unlock()
		hosts = append(hosts, h)
	}
	return hosts
}

// leaders returns the hosts that take themselves for the coordinator.
func leaders(hosts []*host) (names []fleet.HostID) {
	for _, h := range hosts {
		if _, _, leads := h.election.Term(); leads {
			names = append(names, h.name)
		}
	}
	return names
}

// orders is a record of who might have given orders when.
type orders struct {
	host  fleet.HostID
	fence target.Fence
	last  time.Time
}

// watch checks, for a time, that hosts which may order keep the handover time
// between them and that fences rise.
func watch(t *testing.T, hosts []*host, span time.Duration, before orders) orders {
	t.Helper()
	for end := time.Now().Add(span); time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
		for _, h := range hosts {
			fence, mayOrder, _ := h.election.Term()
			if !mayOrder {
				continue
			}
			if before.host != "" && before.host != h.name {
				must.GreaterEq(t, handover, time.Since(before.last), must.Sprintf("%s orders after %s", h.name, before.host))
			}
			must.GreaterEq(t, before.fence, fence)
			before = orders{h.name, fence, time.Now()}
		}
	}
	return before
}

func three() []fleet.HostID { return []fleet.HostID{"a", "b", "c"} }

func TestOneHostWinsAndOrdersAtOnceOnTheFirstStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		go s.run(t.Context())
		hosts := start(t.Context(), s, three(), election.WithFirstStart())
		watch(t, hosts, 2*time.Second, orders{})
		must.SliceLen(t, 1, leaders(hosts))
		leader, ok := hosts[2].election.Leader()
		must.True(t, ok)
		must.Eq(t, leaders(hosts)[0], leader.Host)
		_, mayOrder, _ := hosts[0].election.Term()
		must.True(t, mayOrder)
	})
}

// Each fault ends the term of the first coordinator. Another host follows, and
// gives no order within the handover time of the last one before.
func TestTakeover(t *testing.T) {
	cases := []struct {
		name  string
		fault func(h *host)
		// within bounds the time to the next coordinator that may order.
		within time.Duration
	}{
		{"cut off from the store", func(h *host) { h.way.set(true) }, 8 * time.Second},
		{"stopped", func(h *host) { h.stop() }, 5 * time.Second},
		{"suspended", func(h *host) {
			h.boot.suspend(10 * time.Second)
			h.way.set(true)
		}, 8 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStore()
				go s.run(t.Context())
				hosts := start(t.Context(), s, three(), election.WithFirstStart())
				before := watch(t, hosts, 2*time.Second, orders{})
				var first *host
				for _, h := range hosts {
					if h.name == before.host {
						first = h
					}
				}
				tc.fault(first)
				after := watch(t, hosts, tc.within, before)
				must.NotEq(t, before.host, after.host, must.Sprint("nobody took over"))
				must.Greater(t, before.fence, after.fence)
			})
		})
	}
}

// A host whose clock was suspended past its lease must not act on it, though
// its steady clock shows no time gone.
func TestSuspendedCoordinatorGivesNoOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		go s.run(t.Context())
		hosts := start(t.Context(), s, []fleet.HostID{"a"}, election.WithFirstStart())
		watch(t, hosts, time.Second, orders{})
		hosts[0].boot.suspend(5 * time.Second)
		_, mayOrder, leads := hosts[0].election.Term()
		must.False(t, mayOrder)
		must.False(t, leads)
	})
}

// A process that is started again on the coordinator's machine takes its entry
// over: the holder is the same machine.
func TestRestartedCoordinatorTakesItsOwnEntryOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		go s.run(t.Context())
		old := start(t.Context(), s, []fleet.HostID{"a"}, election.WithFirstStart())
		before := watch(t, old, time.Second, orders{})
		old[0].way.set(true) // killed: it ends nothing
		again := start(t.Context(), s, []fleet.HostID{"a"})
		after := watch(t, again, time.Second, orders{host: "a", fence: before.fence, last: before.last})
		must.Greater(t, before.fence, after.fence)
	})
}

// Pattern: a host that the store turns away has seen the end of one coordinator,
// and learns of the next from another host. It doesn't stand, whatever old word of
// the store it still hears, and doesn't write to the store again and again.
func TestHostThatLearnsOfACoordinatorDoesNotStand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore() // nobody tells the host what it says
		h := start(t.Context(), s, []fleet.HostID{"a"})[0]
		h.election.Learn(election.Leader{Host: "b", Fence: 7})
		time.Sleep(5 * time.Second)
		leader, ok := h.election.Leader()
		must.True(t, ok)
		must.Eq(t, "b", leader.Host)
		s.mu.Lock()
		defer s.mu.Unlock()
		must.Eq(t, 0, s.next) // leases
		h.stop()
	})
}

// Pattern: all hosts of a large fleet restart at once, and a weak one was the
// coordinator. A strong one follows, which can serve the links of all hosts.
func TestWeakHostLeavesItsEntryToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		go s.run(t.Context())
		weak := election.WithDelay(1200 * time.Millisecond)
		old := start(t.Context(), s, []fleet.HostID{"weak"}, election.WithFirstStart(), weak)
		before := watch(t, old, 2*time.Second, orders{})
		must.Eq(t, "weak", before.host)
		old[0].way.set(true) // power is lost: it ends nothing
		again := append(start(t.Context(), s, []fleet.HostID{"weak"}, weak), start(t.Context(), s, []fleet.HostID{"strong"})...)
		watch(t, again, 3*time.Second, before)
		must.Eq(t, []fleet.HostID{"strong"}, leaders(again))
	})
}

// The answer to the winning transaction is lost. The host does not take itself
// for the coordinator, and the entry ends with its lease.
func TestLostAnswerOfTheElection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.lose = 1
		go s.run(t.Context())
		hosts := start(t.Context(), s, three(), election.WithFirstStart())
		watch(t, hosts, 10*time.Second, orders{})
		must.SliceLen(t, 1, leaders(hosts), must.Sprint(fmt.Sprint(leaders(hosts))))
	})
}
