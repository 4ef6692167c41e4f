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

const (
	// fakePromiseTTL is the time after which an unhealthy host loses its leases.
	fakePromiseTTL = 5 * time.Second
	// fakeTakeoverDelay is the time after which another host takes over its shards.
	fakeTakeoverDelay = 6 * time.Second
)

// testFleet is a small fleet of hosts with real controllers, on a fake network, key-value
// service and ownership.
type testFleet struct {
	t       *testing.T
	rng     *rand.Rand
	net     *peertest.Network
	store   *kvstore.Store
	domains []fleet.DomainID
	// configured lists the domains in the configuration.
	configured []fleet.DomainID
	hosts      []*testHost
	ids        []team.ID
	mutations  testMutations
	faults     int
	// lateWrites makes some writes reach the store late, and fail with ErrUnknown at the
	// sender. writeDelay does so with all writes.
	lateWrites bool
	writeDelay time.Duration

	mu       sync.Mutex
	owners   map[fleet.DomainID]map[member.Shard]ownerRecord
	log      []admission
	requests int
	// refused counts refused requests, and refusedWithinLimit those of them that one
	// bucket for the whole fleet would have admitted.
	refused            int
	refusedWithinLimit int
	referenceBuckets   map[team.ID]*Bucket
	running            sync.WaitGroup
}

type ownerRecord struct {
	host  fleet.HostID
	fence target.Fence
	since time.Time
}

// admission is an admitted request with the tokens that it used.
type admission struct {
	at     time.Time
	team   team.ID
	tokens team.Tokens
}

// testHost is one host. It implements Ownership, and wraps the fakes for its controller
// so that the host can be paused or cut off.
type testHost struct {
	fleet      *testFleet
	self       fleet.Member
	mesh       *peertest.Mesh
	controller Controller
	cancel     context.CancelFunc
	limits     sync.Map

	mu sync.Mutex
	// resumed is closed when a paused host resumes; nil while the host runs.
	resumed        chan struct{}
	promisesLostAt time.Time
	cutOff         bool
	killed         bool
	// handingOver is set while the host has given up the leases of its shards, before
	// another host owns them.
	handingOver bool
}

func newTestFleet(t *testing.T, seed uint64, domains, hosts int, limits map[team.ID]Limit, mutations testMutations) *testFleet {
	f := &testFleet{
		t:                t,
		rng:              rand.New(rand.NewPCG(seed, 7)),
		net:              peertest.NewNetwork(seed),
		store:            kvstore.New(),
		mutations:        mutations,
		owners:           make(map[fleet.DomainID]map[member.Shard]ownerRecord),
		referenceBuckets: make(map[team.ID]*Bucket),
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
	h.controller = New(h, pausableMesh{h}, pausableStore{h}, h.limit,
		WithDomains(h.fleet.configuredDomains),
		WithTeams(func() []team.ID { return h.fleet.ids }),
		WithLogger(slog.New(slog.DiscardHandler)))
	h.controller.(*controller).ledgers.mutations = h.fleet.mutations
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

// stop shuts down all hosts.
func (f *testFleet) stop() {
	for _, h := range f.hosts {
		h.resume()
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

// ownerOf returns the host that owns a team's ledger in a domain.
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
	lost := h.killed || h.handingOver || (!h.promisesLostAt.IsZero() && time.Since(h.promisesLostAt) >= fakePromiseTTL)
	h.mu.Unlock()
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	owner := h.fleet.owners[h.self.Domain][shard]
	lease := member.Lease{Shard: shard, Fence: owner.fence, Since: owner.since}
	return lease, !lost && owner.host == h.self.Host
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

// pause pauses a host until resume is called. Its lease promises expire meanwhile.
func (h *testHost) pause() {
	h.mu.Lock()
	if h.resumed == nil {
		h.resumed = make(chan struct{})
	}
	h.mu.Unlock()
	h.losePromises()
	h.fleet.net.Pause(h.self.Host)
}

func (h *testHost) resume() {
	h.mu.Lock()
	if h.resumed != nil {
		close(h.resumed)
		h.resumed = nil
	}
	h.mu.Unlock()
	h.regainPromises()
	h.fleet.net.Resume(h.self.Host)
}

// losePromises makes the host unhealthy: other hosts stop renewing their lease promises
// to it. Its shards go to another host of the domain when the promises have expired.
func (h *testHost) losePromises() {
	h.mu.Lock()
	if h.promisesLostAt.IsZero() {
		h.promisesLostAt = time.Now()
	}
	since := h.promisesLostAt
	h.mu.Unlock()
	time.AfterFunc(fakeTakeoverDelay, func() { h.fleet.takeOver(h, since) })
}

func (h *testHost) regainPromises() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.promisesLostAt = time.Time{}
}

func (f *testFleet) takeOver(from *testHost, since time.Time) {
	from.mu.Lock()
	unhealthy := from.killed || from.promisesLostAt.Equal(since)
	from.mu.Unlock()
	if !unhealthy {
		return
	}
	to := f.firstHealthy(from.self.Domain)
	f.mu.Lock()
	defer f.mu.Unlock()
	for shard, owner := range f.owners[from.self.Domain] {
		if owner.host == from.self.Host && to != nil {
			f.owners[from.self.Domain][shard] = ownerRecord{host: to.self.Host, fence: owner.fence + 1, since: time.Now()}
		}
	}
}

// setHandingOver sets whether the host has given up the leases of its shards.
func (h *testHost) setHandingOver(handingOver bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handingOver = handingOver
}

// handOver makes another host the owner of all shards of a host at once.
func (f *testFleet) handOver(from, to *testHost) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for shard, owner := range f.owners[from.self.Domain] {
		if owner.host == from.self.Host {
			f.owners[from.self.Domain][shard] = ownerRecord{host: to.self.Host, fence: owner.fence + 1, since: time.Now()}
		}
	}
}

// firstHealthy returns the first healthy host of a domain, or nil if there is none.
func (f *testFleet) firstHealthy(domain fleet.DomainID) *testHost {
	for _, h := range f.hostsOf(domain) {
		if !h.isUnhealthy() {
			return h
		}
	}
	return nil
}

func (h *testHost) isUnhealthy() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.killed || !h.promisesLostAt.IsZero()
}

// kill stops a host permanently.
func (h *testHost) kill() {
	h.mu.Lock()
	h.killed = true
	h.mu.Unlock()
	h.losePromises()
	h.fleet.net.Kill(h.self.Host)
	h.cancel()
}

// waitResumed waits while the host is paused.
func (h *testHost) waitResumed() {
	h.mu.Lock()
	resumed := h.resumed
	h.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// pausableMesh blocks the calls of a paused host.
type pausableMesh struct{ host *testHost }

func (m pausableMesh) Self() fleet.Member { return m.host.self }

func (m pausableMesh) Handle(kind peer.Kind, handler peer.Handler) {
	m.host.mesh.Handle(kind, handler)
}

func (m pausableMesh) Call(ctx context.Context, to fleet.HostID, kind peer.Kind, request, response any) error {
	m.host.waitResumed()
	err := m.host.mesh.Call(ctx, to, kind, request, response)
	m.host.waitResumed()
	return err
}

func (m pausableMesh) Notify(to fleet.HostID, kind peer.Kind, message any) error {
	m.host.waitResumed()
	return m.host.mesh.Notify(to, kind, message)
}

func (m pausableMesh) Peers() []peer.Peer { return m.host.mesh.Peers() }

// pausableStore blocks the calls of a paused host, and fails those of a host that is
// killed or cut off from the platform.
type pausableStore struct{ host *testHost }

// Era implements keyvalue.Store.
func (pausableStore) Era() keyvalue.Era { return 0 }

func (s pausableStore) check() error {
	s.host.waitResumed()
	s.host.mu.Lock()
	defer s.host.mu.Unlock()
	if s.host.cutOff || s.host.killed {
		return keyvalue.ErrUnavailable
	}
	return nil
}

func (s pausableStore) Get(ctx context.Context, key string) (keyvalue.Entry, error) {
	if err := s.check(); err != nil {
		return keyvalue.Entry{}, err
	}
	entry, err := s.host.fleet.store.Get(ctx, key)
	s.host.waitResumed()
	return entry, err
}

func (s pausableStore) List(ctx context.Context, prefix string) ([]keyvalue.Entry, keyvalue.Revision, error) {
	if err := s.check(); err != nil {
		return nil, 0, err
	}
	return s.host.fleet.store.List(ctx, prefix)
}

// Swap can delay a write, so that it arrives after its sender was paused and replaced.
func (s pausableStore) Swap(ctx context.Context, key string, expected keyvalue.Revision, value []byte) (keyvalue.Revision, error) {
	if err := s.check(); err != nil {
		return 0, err
	}
	if delay := s.host.fleet.nextWriteDelay(); delay > 0 {
		time.AfterFunc(delay, func() { _, _ = s.host.fleet.store.Swap(context.Background(), key, expected, value) })
		return 0, keyvalue.ErrUnknown
	}
	revision, err := s.host.fleet.store.Swap(ctx, key, expected, value)
	s.host.waitResumed()
	return revision, err
}

// nextWriteDelay returns the delay of the next write; zero if it isn't delayed.
func (f *testFleet) nextWriteDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.writeDelay > 0 {
		return f.writeDelay
	}
	if !f.lateWrites || f.rng.IntN(4) > 0 {
		return 0
	}
	return time.Duration(1 + f.rng.Int64N(int64(12*time.Second)))
}

// setWriteDelay sets the delay of all writes.
func (f *testFleet) setWriteDelay(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writeDelay = delay
}

func (s pausableStore) Delete(ctx context.Context, key string, expected keyvalue.Revision) error {
	return s.host.fleet.store.Delete(ctx, key, expected)
}

func (s pausableStore) Watch(ctx context.Context, prefix string, after keyvalue.Revision) ([]keyvalue.Event, keyvalue.Revision, error) {
	return s.host.fleet.store.Watch(ctx, prefix, after)
}

// request sends one request to a host, and settles it some time later.
func (f *testFleet) request(h *testHost, id team.ID, maxTokens, used team.Tokens, duration time.Duration) {
	h.waitResumed()
	h.mu.Lock()
	killed := h.killed
	h.mu.Unlock()
	if killed {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	charge, refusal := h.controller.Reserve(ctx, id, maxTokens)
	index := f.recordResult(h, id, maxTokens, refusal)
	if refusal != nil {
		return
	}
	time.Sleep(duration)
	h.waitResumed()
	f.mu.Lock()
	f.log[index].tokens = used
	f.mu.Unlock()
	charge.Settle(used)
}

// recordResult records whether a request was admitted. It returns the index of the
// admission in the log, or -1.
func (f *testFleet) recordResult(h *testHost, id team.ID, maxTokens team.Tokens, refusal *Refusal) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests++
	if f.referenceBuckets[id] == nil {
		limit, _ := h.limit(id)
		f.referenceBuckets[id] = NewBucket(time.Now(), WholeLimit.Of(limit))
		f.referenceBuckets[id].Fill()
	}
	withinLimit := f.referenceBuckets[id].Lend(time.Now(), toMicroTokens(maxTokens))
	if withinLimit {
		f.referenceBuckets[id].Spend(time.Now(), toMicroTokens(maxTokens))
	}
	if refusal == nil {
		f.log = append(f.log, admission{at: time.Now(), team: id, tokens: maxTokens})
		return len(f.log) - 1
	}
	f.refused++
	if withinLimit {
		f.refusedWithinLimit++
	}
	return -1
}

// overrun returns by how many tokens the worst window of the log exceeds the bound
// rate*w + burst. It is the largest deficit of a bucket that starts full.
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

// boundSlack allows for rounding errors of floating-point sums, in tokens.
const boundSlack = 1e-3

func (f *testFleet) mustKeepBound(limits map[team.ID]Limit) {
	f.t.Helper()
	for id, limit := range limits {
		must.LessEq(f.t, boundSlack, overrun(f.log, id, limit), must.Sprintf("team %s exceeded its bound", id))
	}
}

// fork returns a random source for one goroutine.
func (f *testFleet) fork() *rand.Rand {
	f.mu.Lock()
	defer f.mu.Unlock()
	return rand.New(rand.NewPCG(f.rng.Uint64(), 0))
}

func (f *testFleet) setLateWrites(late bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lateWrites = late
}

func (h *testHost) setCutOff(cutOff bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cutOff = cutOff
}

func (f *testFleet) healthyOf(domain fleet.DomainID) []*testHost {
	var healthy []*testHost
	for _, h := range f.hostsOf(domain) {
		if !h.isUnhealthy() {
			healthy = append(healthy, h)
		}
	}
	return healthy
}
