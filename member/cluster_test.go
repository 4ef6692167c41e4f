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

// cluster joins real controllers by an in-memory network and store, in virtual
// time, and checks after each input of each controller that no shard has two
// holders and that fences rise.
type cluster struct {
	t       *testing.T
	network *peertest.Network
	store   *kvstore.Store
	checks  checks
	// unchecked leaves the checks of holders out, for measurements.
	unchecked bool
	domain    fleet.DomainID
	listLag   time.Duration

	mu         sync.Mutex
	hosts      map[fleet.HostID]*host
	next       int
	fences     [Shards]fenceSeen
	violations []string
}

// fenceSeen is the last holder of a shard that was seen.
type fenceSeen struct {
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

	mu        sync.Mutex
	suspended time.Duration
	frozenAt  time.Time
	wallStep  time.Duration
	suspends  bool
}

// runCluster runs a test over a new cluster, and fails it for any violation.
func runCluster(t *testing.T, seed uint64, checks checks, test func(c *cluster)) []string {
	t.Helper()
	var violations []string
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			t:       t,
			network: peertest.NewNetwork(seed),
			store:   kvstore.New(),
			checks:  checks,
			domain:  domainA,
			hosts:   map[fleet.HostID]*host{},
		}
		c.network.SetDelay(time.Millisecond, 3*time.Millisecond)
		c.store.SetFaults(kvstore.Faults{Delay: 4 * time.Millisecond})
		defer c.end()
		test(c)
		violations = c.violations
	})
	return violations
}

// end stops all hosts and waits for writes that are still late.
func (c *cluster) end() {
	for _, h := range c.all() {
		h.thaw()
		h.stop()
	}
	c.run(time.Minute)
}

// mustHold runs a test over a cluster with all mechanisms on.
func mustHold(t *testing.T, seed uint64, test func(c *cluster)) {
	t.Helper()
	must.SliceEmpty(t, runCluster(t, seed, checks{}, test))
}

// add starts a new host under a new address.
func (c *cluster) add() *host {
	c.next++
	id := fleet.HostID(fmt.Sprintf("h%02d", c.next))
	return c.start(id, fmt.Sprintf("10.0.0.%d:7000", c.next))
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
		withChecks(c.checks),
		withInstants(h.instant),
		withObserver(c.check),
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

// Hosts lists the living hosts, as the platform's host list.
func (c *cluster) Hosts(context.Context) ([]ListedHost, error) {
	var listed []ListedHost
	for _, h := range c.all() {
		m := h.member
		listed = append(listed, ListedHost{Host: m.Host, Domain: m.Domain, Address: m.PeerAddress})
	}
	return listed, nil
}

// all returns the living hosts in order.
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

// check notes a violation when a shard has two holders or a fence didn't rise.
func (c *cluster) check() {
	if c.unchecked {
		return
	}
	hosts := c.all()
	for shard := range Shard(Shards) {
		var holders []process
		for _, h := range hosts {
			if h.isFrozen() || h.member.Domain != domainA {
				continue
			}
			hold, ok := h.controller.Lease(shard, false)
			if !ok {
				continue
			}
			holders = append(holders, processOf(h.member))
			c.noteFence(shard, fenceSeen{uint64(hold.Fence), processOf(h.member)})
		}
		if len(holders) > 1 {
			c.violate("shard %d has holders %v", shard, holders)
		}
	}
}

func (c *cluster) noteFence(shard Shard, seen fenceSeen) {
	c.mu.Lock()
	last := c.fences[shard]
	c.fences[shard] = seen
	c.mu.Unlock()
	if last.holder != seen.holder && seen.fence <= last.fence {
		c.violate("shard %d: fence %d of %v after %d of %v", shard, seen.fence, seen.holder, last.fence, last.holder)
	}
}

func (c *cluster) violate(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.violations) < 5 {
		c.violations = append(c.violations, fmt.Sprintf("%v: ", time.Now().Format("04:05.000"))+fmt.Sprintf(format, args...))
	}
}

// holders returns the number of shards with a holder.
func (c *cluster) holders(checksFence bool) int {
	held := 0
	for shard := range Shard(Shards) {
		if slices.ContainsFunc(c.all(), func(h *host) bool {
			_, ok := h.controller.Lease(shard, checksFence)
			return ok && !h.isFrozen()
		}) {
			held++
		}
	}
	return held
}

// run lets time pass.
func (c *cluster) run(d time.Duration) { <-time.After(d) }

// await lets time pass until a condition holds, and returns how long it took.
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

// awaitWhole waits until all shards are held and all hosts are members.
func (c *cluster) awaitWhole(bound time.Duration) time.Duration {
	c.t.Helper()
	return c.await(bound, "all shards held by whole domain", func() bool {
		for _, h := range c.all() {
			if len(h.controller.Members(c.domain)) != len(c.all()) {
				return false
			}
		}
		return c.holders(false) == Shards
	})
}

func (c *cluster) awaitHeld(bound time.Duration) time.Duration {
	c.t.Helper()
	return c.await(bound, "all shards held", func() bool { return c.holders(false) == Shards })
}

func (c *cluster) describe() string {
	text := ""
	for _, h := range c.all() {
		m := h.controller.machine
		text += fmt.Sprintf("%v frozen=%v joined=%v full=%v record=%d heard=%d hears=%v\n",
			h.member, h.isFrozen(), m.joined, m.full, m.record.Revision, m.heardRevision, m.heardProcesses())
	}
	entries, _, _ := c.store.List(context.Background(), keyPrefix)
	for _, e := range entries {
		text += fmt.Sprintf("record at %d: %s\n", e.Revision, e.Value)
	}
	return text
}

// kill ends the process at once.
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
	h.store.reach(true)
	h.cancel()
	<-h.done
}

// leave stops the process in an orderly manner.
func (h *host) leave(bound time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	err := h.controller.Leave(ctx)
	h.kill()
	return err
}

// freeze stops the process. A suspended host's monotonic clock stands still
// meanwhile.
func (h *host) freeze(suspend bool) {
	h.mu.Lock()
	if h.frozenAt.IsZero() {
		h.frozenAt = time.Now()
		h.suspends = suspend
	}
	h.mu.Unlock()
	h.gate.close()
	h.cluster.network.Pause(h.member.Host)
}

// thaw lets the process go on, and first checks what it holds right then.
func (h *host) thaw() {
	h.mu.Lock()
	if h.frozenAt.IsZero() {
		h.mu.Unlock()
		return
	}
	if h.suspends {
		h.suspended += time.Since(h.frozenAt)
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

// instant reads the host's two clocks.
func (h *host) instant() instant {
	h.mu.Lock()
	defer h.mu.Unlock()
	passed := time.Since(h.start)
	return instant{mono: passed - h.suspended, wall: passed + h.wallStep}
}

// gate holds up all inputs of a frozen process.
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

// gatedClock holds back the ticks of a frozen process.
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

// hostStore is a host's way to the service, which can be cut, and whose writes
// can come late.
type hostStore struct {
	store keyvalue.Store
	gate  *gate

	mu      sync.Mutex
	cut     chan struct{}
	lateBy  time.Duration
	lateFor int
}

var errCut = fmt.Errorf("%w: cut off", keyvalue.ErrUnavailable)

func newHostStore(store keyvalue.Store, gate *gate) *hostStore {
	return &hostStore{store: store, gate: gate, cut: make(chan struct{})}
}

// reach cuts the host off from the service, or lets it reach it again.
func (s *hostStore) reach(reach bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.cut:
		if reach {
			s.cut = make(chan struct{})
		}
	default:
		if !reach {
			close(s.cut)
		}
	}
}

// late makes the next writes take effect long after their caller has given up.
func (s *hostStore) late(writes int, by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateFor, s.lateBy = writes, by
}

func (s *hostStore) isLate() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lateFor == 0 {
		return 0, false
	}
	s.lateFor--
	return s.lateBy, true
}

// begin holds a frozen caller up and returns a context that ends with a cut.
func (s *hostStore) begin(ctx context.Context) (context.Context, context.CancelFunc, error) {
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
	ctx, cancel, err := s.begin(ctx)
	if err != nil {
		return keyvalue.Entry{}, err
	}
	defer s.gate.pass()
	defer cancel()
	return s.store.Get(ctx, key)
}

func (s *hostStore) List(ctx context.Context, prefix string) ([]keyvalue.Entry, keyvalue.Revision, error) {
	ctx, cancel, err := s.begin(ctx)
	if err != nil {
		return nil, 0, err
	}
	defer s.gate.pass()
	defer cancel()
	return s.store.List(ctx, prefix)
}

func (s *hostStore) Swap(ctx context.Context, key string, expected keyvalue.Revision, value []byte) (keyvalue.Revision, error) {
	ctx, cancel, err := s.begin(ctx)
	if err != nil {
		return 0, err
	}
	defer s.gate.pass()
	defer cancel()
	if by, late := s.isLate(); late {
		time.AfterFunc(by, func() { _, _ = s.store.Swap(context.Background(), key, expected, value) })
		return 0, keyvalue.ErrUnknown
	}
	return s.store.Swap(ctx, key, expected, value)
}

func (s *hostStore) Delete(context.Context, string, keyvalue.Revision) error {
	return errors.New("a record is never deleted")
}

func (s *hostStore) Watch(ctx context.Context, prefix string, after keyvalue.Revision) ([]keyvalue.Event, keyvalue.Revision, error) {
	ctx, cancel, err := s.begin(ctx)
	if err != nil {
		return nil, 0, err
	}
	defer s.gate.pass()
	defer cancel()
	return s.store.Watch(ctx, prefix, after)
}
