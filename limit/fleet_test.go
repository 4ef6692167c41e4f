package limit

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/member"
	"hawthornway/peer"
	"hawthornway/peer/peertest"
	"hawthornway/standin/kvstore"
	"hawthornway/target"
	"hawthornway/team"
)

// The times of the ownership that the fake stands for.
const (
	fakePledge   = 5 * time.Second
	fakeTakeover = 6 * time.Second
)

// testFleet is a few hosts with real controllers, joined by fakes.
type testFleet struct {
	t       *testing.T
	rng     *rand.Rand
	net     *peertest.Network
	store   *kvstore.Store
	domains []fleet.DomainID
	// configured is the domains in the configuration.
	configured []fleet.DomainID
	hosts      []*testHost
	ids        []team.ID
	off        mutations
	faults     int
	// late has writes arrive late, without an answer.
	late   bool
	lateBy time.Duration

	mu     sync.Mutex
	owners map[fleet.DomainID]map[member.Shard]ownerRecord
	log    []admission
	asked  int
	// refused counts refusals, and inside those of requests that the fleet's
	// bucket could have taken.
	refused int
	inside  int
	fair    map[team.ID]*Bucket
	running sync.WaitGroup
}

type ownerRecord struct {
	host  fleet.HostID
	fence target.Fence
	since time.Time
}

// admission is a request that was admitted; the tokens are those used.
type admission struct {
	at     time.Time
	team   team.ID
	tokens team.Tokens
}

// testHost is one host. It implements Ownership, and stands between its
// controller and the fakes, so that it can be frozen or cut off.
type testHost struct {
	fleet      *testFleet
	self       fleet.Member
	mesh       *peertest.Mesh
	controller Controller
	cancel     context.CancelFunc
	limits     sync.Map

	mu sync.Mutex
	// thawed is closed when the host goes on; nil while it runs.
	thawed  chan struct{}
	badFrom time.Time
	cutOff  bool
	killed  bool
	// giving says that the host has stopped to act for its shards, which are to
	// go to another.
	giving bool
}

func newTestFleet(t *testing.T, seed uint64, domains, hosts int, limits map[team.ID]Limit, off mutations) *testFleet {
	f := &testFleet{
		t:      t,
		rng:    rand.New(rand.NewPCG(seed, 7)),
		net:    peertest.NewNetwork(seed),
		store:  kvstore.New(),
		off:    off,
		owners: make(map[fleet.DomainID]map[member.Shard]ownerRecord),
		fair:   make(map[team.ID]*Bucket),
	}
	f.net.SetDelay(500*time.Microsecond, 1500*time.Microsecond)
	for id := range limits {
		f.ids = append(f.ids, id)
	}
	for d := range domains {
		f.domains = append(f.domains, fleet.DomainID(fmt.Sprintf("d%d", d)))
	}
	f.configured = f.domains
	for d, domain := range f.domains {
		for h := range hosts {
			f.addHost(domain, fleet.HostID(fmt.Sprintf("h%d-%d", d, h)), limits)
		}
		f.owners[domain] = make(map[member.Shard]ownerRecord)
		for s := range member.Shard(member.Shards) {
			owner := f.hosts[d*hosts+int(s)%hosts]
			f.owners[domain][s] = ownerRecord{host: owner.self.Host, fence: 1, since: time.Now()}
		}
	}
	for _, h := range f.hosts {
		h.start()
	}
	return f
}

func (f *testFleet) addHost(domain fleet.DomainID, id fleet.HostID, limits map[team.ID]Limit) {
	h := &testHost{fleet: f, self: fleet.Member{Host: id, Domain: domain, Incarnation: 1}}
	for id, limit := range limits {
		h.limits.Store(id, limit)
	}
	f.hosts = append(f.hosts, h)
}

func (h *testHost) start() {
	h.mesh = h.fleet.net.Join(h.self)
	h.controller = New(h, frozenMesh{h}, frozenStore{h}, h.limit,
		WithDomains(h.fleet.configuredDomains),
		WithTeams(func() []team.ID { return h.fleet.ids }),
		WithLogger(slog.New(slog.DiscardHandler)))
	h.controller.(*controller).keeper.off = h.fleet.off
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.fleet.running.Go(func() { _ = h.controller.Run(ctx) })
}

func (f *testFleet) configuredDomains() []fleet.DomainID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.configured
}

func (h *testHost) limit(id team.ID) (Limit, bool) {
	limit, ok := h.limits.Load(id)
	if !ok {
		return Limit{}, false
	}
	return limit.(Limit), true
}

// stop ends all hosts.
func (f *testFleet) stop() {
	for _, h := range f.hosts {
		h.thaw()
		h.cancel()
	}
	f.running.Wait()
}

func (f *testFleet) host(id fleet.HostID) *testHost {
	for _, h := range f.hosts {
		if h.self.Host == id {
			return h
		}
	}
	return nil
}

func (f *testFleet) hostsOf(domain fleet.DomainID) []*testHost {
	var hosts []*testHost
	for _, h := range f.hosts {
		if h.self.Domain == domain {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// ownerOf returns the host that keeps a team's ledger in a domain.
func (f *testFleet) ownerOf(domain fleet.DomainID, id team.ID) *testHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.host(f.owners[domain][member.ShardOf(string(id))].host)
}

// Self implements Ownership.
func (h *testHost) Self() fleet.Member { return h.self }

// Lease implements Ownership.
func (h *testHost) Lease(shard member.Shard, _ bool) (member.Lease, bool) {
	h.mu.Lock()
	bad := h.killed || h.giving || (!h.badFrom.IsZero() && time.Since(h.badFrom) >= fakePledge)
	h.mu.Unlock()
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	owner := h.fleet.owners[h.self.Domain][shard]
	hold := member.Lease{Shard: shard, Fence: owner.fence, Since: owner.since}
	return hold, !bad && owner.host == h.self.Host
}

// Owner implements Ownership.
func (h *testHost) Owner(domain fleet.DomainID, shard member.Shard) (fleet.Member, bool) {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	owner, ok := h.fleet.owners[domain][shard]
	if !ok {
		return fleet.Member{}, false
	}
	return h.fleet.host(owner.host).self, true
}

// Reachable implements Ownership.
func (h *testHost) Reachable(domain fleet.DomainID) bool {
	if domain == h.self.Domain {
		return true
	}
	for _, p := range h.mesh.Peers() {
		if p.Domain == domain {
			return true
		}
	}
	return false
}

// freeze stops a host until thaw; its pledges run out meanwhile.
func (h *testHost) freeze() {
	h.mu.Lock()
	if h.thawed == nil {
		h.thawed = make(chan struct{})
	}
	h.mu.Unlock()
	h.goBad()
	h.fleet.net.Pause(h.self.Host)
}

func (h *testHost) thaw() {
	h.mu.Lock()
	if h.thawed != nil {
		close(h.thawed)
		h.thawed = nil
	}
	h.mu.Unlock()
	h.goWell()
	h.fleet.net.Resume(h.self.Host)
}

// goBad says that no other host pledges to this one any more. Its shards go to
// another host of the domain when its pledges have run out.
func (h *testHost) goBad() {
	h.mu.Lock()
	if h.badFrom.IsZero() {
		h.badFrom = time.Now()
	}
	since := h.badFrom
	h.mu.Unlock()
	time.AfterFunc(fakeTakeover, func() { h.fleet.takeOver(h, since) })
}

func (h *testHost) goWell() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.badFrom = time.Time{}
}

func (f *testFleet) takeOver(from *testHost, since time.Time) {
	from.mu.Lock()
	still := from.killed || from.badFrom.Equal(since)
	from.mu.Unlock()
	if !still {
		return
	}
	to := f.healthy(from.self.Domain)
	f.mu.Lock()
	defer f.mu.Unlock()
	for shard, owner := range f.owners[from.self.Domain] {
		if owner.host == from.self.Host && to != nil {
			f.owners[from.self.Domain][shard] = ownerRecord{host: to.self.Host, fence: owner.fence + 1, since: time.Now()}
		}
	}
}

// stopActing begins to hand over all shards of a host.
func (h *testHost) stopActing(giving bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.giving = giving
}

// handOver gives all shards of a host to another at once.
func (f *testFleet) handOver(from, to *testHost) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for shard, owner := range f.owners[from.self.Domain] {
		if owner.host == from.self.Host {
			f.owners[from.self.Domain][shard] = ownerRecord{host: to.self.Host, fence: owner.fence + 1, since: time.Now()}
		}
	}
}

func (f *testFleet) healthy(domain fleet.DomainID) *testHost {
	for _, h := range f.hostsOf(domain) {
		if !h.bad() {
			return h
		}
	}
	return nil
}

func (h *testHost) bad() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.killed || !h.badFrom.IsZero()
}

// kill ends a host for good.
func (h *testHost) kill() {
	h.mu.Lock()
	h.killed = true
	h.mu.Unlock()
	h.goBad()
	h.fleet.net.Kill(h.self.Host)
	h.cancel()
}

// waitThawed returns at once unless the host is frozen.
func (h *testHost) waitThawed() {
	h.mu.Lock()
	thawed := h.thawed
	h.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
}

// frozenMesh stops the calls of a frozen host.
type frozenMesh struct{ host *testHost }

func (m frozenMesh) Self() fleet.Member { return m.host.self }

func (m frozenMesh) Handle(kind peer.Kind, handler peer.Handler) { m.host.mesh.Handle(kind, handler) }

func (m frozenMesh) Call(ctx context.Context, to fleet.HostID, kind peer.Kind, request, response any) error {
	m.host.waitThawed()
	err := m.host.mesh.Call(ctx, to, kind, request, response)
	m.host.waitThawed()
	return err
}

func (m frozenMesh) Notify(to fleet.HostID, kind peer.Kind, message any) error {
	m.host.waitThawed()
	return m.host.mesh.Notify(to, kind, message)
}

func (m frozenMesh) Peers() []peer.Peer { return m.host.mesh.Peers() }

// frozenStore stops the calls of a frozen host, and fails those of one that is
// cut off from the platform.
type frozenStore struct{ host *testHost }

func (s frozenStore) pass() error {
	s.host.waitThawed()
	s.host.mu.Lock()
	defer s.host.mu.Unlock()
	if s.host.cutOff || s.host.killed {
		return keyvalue.ErrUnavailable
	}
	return nil
}

func (s frozenStore) Get(ctx context.Context, key string) (keyvalue.Entry, error) {
	if err := s.pass(); err != nil {
		return keyvalue.Entry{}, err
	}
	entry, err := s.host.fleet.store.Get(ctx, key)
	s.host.waitThawed()
	return entry, err
}

func (s frozenStore) List(ctx context.Context, prefix string) ([]keyvalue.Entry, keyvalue.Revision, error) {
	if err := s.pass(); err != nil {
		return nil, 0, err
	}
	return s.host.fleet.store.List(ctx, prefix)
}

// Swap takes its time on the way, so that a write can arrive after its sender
// has been frozen and its place taken.
func (s frozenStore) Swap(ctx context.Context, key string, expected keyvalue.Revision, value []byte) (keyvalue.Revision, error) {
	if err := s.pass(); err != nil {
		return 0, err
	}
	if late := s.host.fleet.lateness(); late > 0 {
		time.AfterFunc(late, func() { _, _ = s.host.fleet.store.Swap(context.Background(), key, expected, value) })
		return 0, keyvalue.ErrUnknown
	}
	revision, err := s.host.fleet.store.Swap(ctx, key, expected, value)
	s.host.waitThawed()
	return revision, err
}

// lateness returns how late a write arrives without an answer; zero for one
// that is not late.
func (f *testFleet) lateness() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lateBy > 0 {
		return f.lateBy
	}
	if !f.late || f.rng.IntN(4) > 0 {
		return 0
	}
	return time.Duration(1 + f.rng.Int64N(int64(12*time.Second)))
}

// setLateFor has all writes arrive late.
func (f *testFleet) setLateFor(late time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lateBy = late
}

func (s frozenStore) Delete(ctx context.Context, key string, expected keyvalue.Revision) error {
	return s.host.fleet.store.Delete(ctx, key, expected)
}

func (s frozenStore) Watch(ctx context.Context, prefix string, after keyvalue.Revision) ([]keyvalue.Event, keyvalue.Revision, error) {
	return s.host.fleet.store.Watch(ctx, prefix, after)
}

// request sends one request at a host and settles it some time later.
func (f *testFleet) request(h *testHost, id team.ID, most, used team.Tokens, runs time.Duration) {
	h.waitThawed()
	h.mu.Lock()
	killed := h.killed
	h.mu.Unlock()
	if killed {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	charge, refusal := h.controller.Reserve(ctx, id, most)
	index := f.note(h, id, most, refusal)
	if refusal != nil {
		return
	}
	time.Sleep(runs)
	h.waitThawed()
	f.mu.Lock()
	f.log[index].tokens = used
	f.mu.Unlock()
	charge.Settle(used)
}

// note records the end of a request.
func (f *testFleet) note(h *testHost, id team.ID, most team.Tokens, refusal *Refusal) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked++
	if f.fair[id] == nil {
		limit, _ := h.limit(id)
		f.fair[id] = NewBucket(time.Now(), WholeLimit.Of(limit))
		f.fair[id].Fill()
	}
	could := f.fair[id].Lend(time.Now(), microOf(most))
	if could {
		f.fair[id].Spend(time.Now(), microOf(most))
	}
	if refusal == nil {
		f.log = append(f.log, admission{at: time.Now(), team: id, tokens: most})
		return len(f.log) - 1
	}
	f.refused++
	if could {
		f.inside++
	}
	return -1
}

// overrun returns by how many tokens the worst window of the log passes the
// bound rate*w + burst. It is what a bucket that starts full would lack.
func overrun(log []admission, id team.ID, limit Limit) float64 {
	level, worst := float64(limit.Burst), 0.0
	var last time.Time
	for _, a := range log {
		if a.team != id {
			continue
		}
		if !last.IsZero() {
			level = min(float64(limit.Burst), level+float64(limit.Rate)*a.at.Sub(last).Seconds())
		}
		last = a.at
		level -= float64(a.tokens)
		worst = max(worst, -level)
	}
	return worst
}

// boundSlack is the error of the floating-point sums, in tokens.
const boundSlack = 1e-3

func (f *testFleet) mustKeepBound(limits map[team.ID]Limit) {
	f.t.Helper()
	for id, limit := range limits {
		must.LessEq(f.t, boundSlack, overrun(f.log, id, limit), must.Sprintf("team %s passed its bound", id))
	}
}

// fork returns a source of random numbers for one goroutine.
func (f *testFleet) fork() *rand.Rand {
	f.mu.Lock()
	defer f.mu.Unlock()
	return rand.New(rand.NewPCG(f.rng.Uint64(), 0))
}

func (f *testFleet) setLate(late bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.late = late
}

func (h *testHost) setCutOff(cutOff bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cutOff = cutOff
}

func (f *testFleet) healthyOf(domain fleet.DomainID) []*testHost {
	var healthy []*testHost
	for _, h := range f.hostsOf(domain) {
		if !h.bad() {
			healthy = append(healthy, h)
		}
	}
	return healthy
}
