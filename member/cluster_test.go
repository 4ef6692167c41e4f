package member

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

	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/peer/peertest"
	"hawthornway/standin/kvstore"
)

const domainA fleet.DomainID = "a"

// cluster connects controllers through an in-memory network and store in
// virtual time. After each input of each controller it checks that no shard has
// two lease holders and that fences rise.
type cluster struct {
	t        *testing.T
	network  *peertest.Network
	store    *kvstore.Store
	disabled disabledMechanisms
	// skipChecks skips the checks of lease holders, for measurements.
	skipChecks bool
	domain     fleet.DomainID
	listLag    time.Duration

	mu             sync.Mutex
	hosts          map[fleet.HostID]*host
	lastHostNumber int
	fences         [Shards]fenceHolder
	violations     []string
}

// fenceHolder is the last observed lease holder of a shard and its fence.
type fenceHolder struct {
	fence  uint64
	holder process
}

// host is one process of a cluster.
type host struct {
	cluster    *cluster
	member     fleet.Member
	controller *Controller
	gate       *gate
	store      *hostStore
	cancel     context.CancelFunc
	done       chan struct{}
	start      time.Time

	mu           sync.Mutex
	suspendedFor time.Duration
	frozenAt     time.Time
	wallStep     time.Duration
	suspended    bool
}

// runCluster runs a test on a new cluster and returns the violations.
func runCluster(t *testing.T, seed uint64, disabled disabledMechanisms, test func(c *cluster)) []string {
	t.Helper()
	var violations []string
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			t:        t,
			network:  peertest.NewNetwork(seed),
			store:    kvstore.New(),
			disabled: disabled,
			domain:   domainA,
			hosts:    map[fleet.HostID]*host{},
		}
		c.network.SetDelay(time.Millisecond, 3*time.Millisecond)
		c.store.SetFaults(kvstore.Faults{Delay: 4 * time.Millisecond})
		defer c.stopAll()
		test(c)
		violations = c.violations
	})
	return violations
}

// stopAll stops all hosts and waits for delayed writes.
func (c *cluster) stopAll() {
	for _, h := range c.all() {
		h.resume()
		h.stop()
	}
	c.run(time.Minute)
}

// requireNoViolations runs a test on a new cluster with all mechanisms enabled, and
// fails it for any violation.
func requireNoViolations(t *testing.T, seed uint64, test func(c *cluster)) {
	t.Helper()
	must.SliceEmpty(t, runCluster(t, seed, disabledMechanisms{}, test))
}

// add starts a new host at a new address.
func (c *cluster) add() *host {
	c.lastHostNumber++
	id := fleet.HostID(fmt.Sprintf("h%02d", c.lastHostNumber))
	return c.start(id, fmt.Sprintf("10.0.0.%d:7000", c.lastHostNumber))
}

func (c *cluster) addMany(n int) []*host {
	hosts := make([]*host, 0, n)
	for range n {
		hosts = append(hosts, c.add())
	}
	return hosts
}

// start starts a process of a host. Incarnations rise with time.
func (c *cluster) start(id fleet.HostID, address string) *host {
	self := fleet.Member{
		Host:        id,
		Domain:      c.domain,
		Incarnation: fleet.Incarnation(time.Now().UnixNano()),
		PeerAddress: address,
	}
	h := &host{cluster: c, member: self, gate: newGate(), done: make(chan struct{}), start: time.Now()}
	h.store = newHostStore(c.store, h.gate)
	h.controller = New(
		WithSelf(self),
		WithStore(h.store),
		WithLinks(c.network.Join(self)),
		WithHostList(c),
		WithSettings(Settings{HostListLag: c.listLag}),
		WithClock(gatedClock{clockwork.NewRealClock(), h.gate}),
		WithLogger(slog.New(slog.DiscardHandler)),
		withDisabledMechanisms(c.disabled),
		withNow(h.instant),
		withInputObserver(c.check),
	)
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	c.mu.Lock()
	c.hosts[id] = h
	c.mu.Unlock()
	go func() {
		defer close(h.done)
		_ = h.controller.Run(ctx)
	}()
	return h
}

// Hosts lists the running hosts, as the platform's host list does.
func (c *cluster) Hosts(context.Context) ([]ListedHost, error) {
	var listed []ListedHost
	for _, h := range c.all() {
		m := h.member
		listed = append(listed, ListedHost{Host: m.Host, Domain: m.Domain, Address: m.PeerAddress})
	}
	return listed, nil
}

// all returns the running hosts, sorted.
func (c *cluster) all() []*host {
	c.mu.Lock()
	defer c.mu.Unlock()
	hosts := make([]*host, 0, len(c.hosts))
	for _, h := range c.hosts {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b *host) int { return compareProcesses(processOf(a.member), processOf(b.member)) })
	return hosts
}

// check adds a violation if a shard has two lease holders or a fence didn't rise.
func (c *cluster) check() {
	if c.skipChecks {
		return
	}
	hosts := c.all()
	for shard := range Shard(Shards) {
		var holders []process
		for _, h := range hosts {
			if h.isFrozen() || h.member.Domain != domainA {
				continue
			}
			lease, ok := h.controller.Lease(shard, false)
			if !ok {
				continue
			}
			holders = append(holders, processOf(h.member))
			c.checkFence(shard, fenceHolder{uint64(lease.Fence), processOf(h.member)})
		}
		if len(holders) > 1 {
			c.addViolation("shard %d has lease holders %v", shard, holders)
		}
	}
}

func (c *cluster) checkFence(shard Shard, seen fenceHolder) {
	c.mu.Lock()
	last := c.fences[shard]
	c.fences[shard] = seen
	c.mu.Unlock()
	if last.holder != seen.holder && seen.fence <= last.fence {
		c.addViolation("shard %d: fence %d of %v after %d of %v", shard, seen.fence, seen.holder, last.fence, last.holder)
	}
}

func (c *cluster) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.violations) < 5 {
		c.violations = append(c.violations, fmt.Sprintf("%v: ", time.Now().Format("04:05.000"))+fmt.Sprintf(format, args...))
	}
}

// leasedShards returns the number of shards with a lease holder.
func (c *cluster) leasedShards(checksFence bool) int {
	leased := 0
	for shard := range Shard(Shards) {
		if slices.ContainsFunc(c.all(), func(h *host) bool {
			_, ok := h.controller.Lease(shard, checksFence)
			return ok && !h.isFrozen()
		}) {
			leased++
		}
	}
	return leased
}

// run advances the time.
func (c *cluster) run(d time.Duration) { <-time.After(d) }

// await advances the time until a condition is met, and returns how long it took.
// It fails the test after the bound.
func (c *cluster) await(bound time.Duration, what string, condition func() bool) time.Duration {
	c.t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > bound {
			c.t.Fatalf("%s not within %v\n%s", what, bound, c.describe())
		}
		c.run(20 * time.Millisecond)
	}
	return time.Since(start)
}

// awaitConverged waits until all shards are leased and every host sees all hosts as
// members.
func (c *cluster) awaitConverged(bound time.Duration) time.Duration {
	c.t.Helper()
	return c.await(bound, "all shards leased and all hosts members", func() bool {
		for _, h := range c.all() {
			if len(h.controller.Members(c.domain)) != len(c.all()) {
				return false
			}
		}
		return c.leasedShards(false) == Shards
	})
}

func (c *cluster) awaitAllLeased(bound time.Duration) time.Duration {
	c.t.Helper()
	return c.await(bound, "all shards leased", func() bool { return c.leasedShards(false) == Shards })
}

func (c *cluster) describe() string {
	text := ""
	for _, h := range c.all() {
		m := h.controller.machine
		text += fmt.Sprintf("%v frozen=%v joined=%v full=%v record=%d reported=%d live=%v\n",
			h.member, h.isFrozen(), m.joined, m.full, m.record.Revision, m.reportedRevision, m.liveProcesses())
	}
	entries, _, _ := c.store.List(context.Background(), keyPrefix)
	for _, e := range entries {
		text += fmt.Sprintf("record at %d: %s\n", e.Revision, e.Value)
	}
	return text
}

// kill ends the process without a notice to its peers.
func (h *host) kill() {
	h.cluster.network.Kill(h.member.Host)
	h.stop()
}

// stop ends the process and waits for its end.
func (h *host) stop() {
	c := h.cluster
	c.mu.Lock()
	if c.hosts[h.member.Host] == h {
		delete(c.hosts, h.member.Host)
	}
	c.mu.Unlock()
	h.gate.open()
	h.store.setReachable(true)
	h.cancel()
	<-h.done
}

// leave makes the host leave its domain, and then ends the process.
func (h *host) leave(bound time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	err := h.controller.Leave(ctx)
	h.kill()
	return err
}

// freeze stops the process until resume. The monotonic clock of a suspended host
// stops as well.
func (h *host) freeze(suspend bool) {
	h.mu.Lock()
	if h.frozenAt.IsZero() {
		h.frozenAt = time.Now()
		h.suspended = suspend
	}
	h.mu.Unlock()
	h.gate.close()
	h.cluster.network.Pause(h.member.Host)
}

// resume continues a frozen process. It first checks the leases that the process
// has at that moment.
func (h *host) resume() {
	h.mu.Lock()
	if h.frozenAt.IsZero() {
		h.mu.Unlock()
		return
	}
	if h.suspended {
		h.suspendedFor += time.Since(h.frozenAt)
	}
	h.frozenAt = time.Time{}
	h.mu.Unlock()
	h.cluster.check()
	h.gate.open()
	h.cluster.network.Resume(h.member.Host)
}

func (h *host) isFrozen() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.frozenAt.IsZero()
}

func (h *host) stepWallClock(by time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wallStep += by
}

// instant reads the host's monotonic and wall clock.
func (h *host) instant() instant {
	h.mu.Lock()
	defer h.mu.Unlock()
	elapsed := time.Since(h.start)
	return instant{mono: elapsed - h.suspendedFor, wall: elapsed + h.wallStep}
}

// gate blocks all inputs of a frozen process.
type gate struct {
	mu     sync.Mutex
	opened chan struct{}
}

func newGate() *gate {
	opened := make(chan struct{})
	close(opened)
	return &gate{opened: opened}
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.opened:
		g.opened = make(chan struct{})
	default:
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.opened:
	default:
		close(g.opened)
	}
}

func (g *gate) pass() {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	<-opened
}

// gatedClock delays the ticks of a frozen process.
type gatedClock struct {
	clockwork.Clock
	gate *gate
}

type gatedTicker struct {
	clockwork.Ticker
	ticks chan time.Time
	done  chan struct{}
}

func (c gatedClock) NewTicker(d time.Duration) clockwork.Ticker {
	t := &gatedTicker{Ticker: c.Clock.NewTicker(d), ticks: make(chan time.Time, 1), done: make(chan struct{})}
	go t.run(c.gate)
	return t
}

func (t *gatedTicker) run(gate *gate) {
	for {
		select {
		case <-t.done:
			return
		case tick := <-t.Ticker.Chan():
			gate.pass()
			select {
			case t.ticks <- tick:
			default:
			}
		}
	}
}

func (t *gatedTicker) Chan() <-chan time.Time { return t.ticks }

func (t *gatedTicker) Stop() {
	t.Ticker.Stop()
	close(t.done)
}

// hostStore is a host's connection to the key-value service. It can be cut, and
// its writes can be delayed.
type hostStore struct {
	store keyvalue.Store
	gate  *gate

	mu            sync.Mutex
	cut           chan struct{}
	writeDelay    time.Duration
	delayedWrites int
}

var errCut = fmt.Errorf("%w: cut off", keyvalue.ErrUnavailable)

func newHostStore(store keyvalue.Store, gate *gate) *hostStore {
	return &hostStore{store: store, gate: gate, cut: make(chan struct{})}
}

// Era implements keyvalue.Store.
func (s *hostStore) Era() keyvalue.Era { return s.store.Era() }

// setReachable cuts the host's connection to the service or restores it.
func (s *hostStore) setReachable(reachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.cut:
		if reachable {
			s.cut = make(chan struct{})
		}
	default:
		if !reachable {
			close(s.cut)
		}
	}
}

// delayWrites makes the next writes take effect only after their caller has received
// an unknown result.
func (s *hostStore) delayWrites(writes int, by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayedWrites, s.writeDelay = writes, by
}

func (s *hostStore) takeDelay() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delayedWrites == 0 {
		return 0, false
	}
	s.delayedWrites--
	return s.writeDelay, true
}

// startCall blocks while the process is frozen. It returns a context that ends when
// the connection is cut.
func (s *hostStore) startCall(ctx context.Context) (context.Context, context.CancelFunc, error) {
	s.gate.pass()
	s.mu.Lock()
	cut := s.cut
	s.mu.Unlock()
	select {
	case <-cut:
		return nil, nil, errCut
	default:
	}
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-cut:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel, nil
}

func (s *hostStore) Get(ctx context.Context, key string) (keyvalue.Entry, error) {
	ctx, cancel, err := s.startCall(ctx)
	if err != nil {
		return keyvalue.Entry{}, err
	}
	defer s.gate.pass()
	defer cancel()
	return s.store.Get(ctx, key)
}

func (s *hostStore) List(ctx context.Context, prefix string) ([]keyvalue.Entry, keyvalue.Revision, error) {
	ctx, cancel, err := s.startCall(ctx)
	if err != nil {
		return nil, 0, err
	}
	defer s.gate.pass()
	defer cancel()
	return s.store.List(ctx, prefix)
}

func (s *hostStore) Swap(ctx context.Context, key string, expected keyvalue.Revision, value []byte) (keyvalue.Revision, error) {
	ctx, cancel, err := s.startCall(ctx)
	if err != nil {
		return 0, err
	}
	defer s.gate.pass()
	defer cancel()
	if by, delayed := s.takeDelay(); delayed {
		time.AfterFunc(by, func() { _, _ = s.store.Swap(context.Background(), key, expected, value) })
		return 0, keyvalue.ErrUnknown
	}
	return s.store.Swap(ctx, key, expected, value)
}

func (s *hostStore) Delete(context.Context, string, keyvalue.Revision) error {
	return errors.New("records are never deleted")
}

func (s *hostStore) Watch(ctx context.Context, prefix string, after keyvalue.Revision) ([]keyvalue.Event, keyvalue.Revision, error) {
	ctx, cancel, err := s.startCall(ctx)
	if err != nil {
		return nil, 0, err
	}
	defer s.gate.pass()
	defer cancel()
	return s.store.Watch(ctx, prefix, after)
}
