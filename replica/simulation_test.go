package replica

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"hawthornway/config"
	"hawthornway/engine"
	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/model"
	"hawthornway/outcome"
	"hawthornway/peer/peertest"
	"hawthornway/service"
	"hawthornway/standin/kvstore"
	"hawthornway/target"
	"hawthornway/team"
)

// simulation runs real controllers of a few hosts with fakes of everything
// else, in virtual time.
type simulation struct {
	t        *testing.T
	disabled disabledSafeguards
	cfg      *config.Config
	items    *Catalog
	network  *peertest.Network
	store    *kvstore.Store
	// ownership is that of domain "d", farOwnership that of domain "far".
	ownership    *fakeOwnership
	farOwnership *fakeOwnership
	engines      map[target.ID]*fakeEngine
	hosts        []*testHost

	// reportDelay is the maximum transmission delay of a report.
	reportDelay time.Duration
	// weightStore limits the loads from the weight store; nil means no limit.
	weightStore *fakeWeightStore
	// farHosts is the number of hosts in domain "far".
	farHosts int
	// bufferLog keeps the log out of the test's output.
	bufferLog bool
	// traced adds the steps of the groups to the log.
	traced bool
	// observeStep is called with each step of a group if it is not nil.
	observeStep func(h *testHost, in Input, effects []Effect)
	logMu       sync.Mutex
	logLines    []string
	// sendAfterTimeout makes a host that was frozen between the check of its
	// lease and the sending of an order send the order after its timeout.
	sendAfterTimeout bool

	mu         sync.Mutex
	rng        *rand.Rand
	violations []string
	// storeDown is set while records can't be read for checks.
	storeDown bool
	// lastStoreFault is the time of the last fault of the key-value service.
	lastStoreFault time.Time
	loads          int
	// lateUnloads counts the replicas with requests that were unloaded by an
	// order that an earlier owner sent during an outage.
	lateUnloads int
	served      int
	refused     int
}

// testHost is one host with a real controller.
type testHost struct {
	sim    *simulation
	member fleet.Member
	*controller
	cancel func()
	done   chan struct{}

	mu     sync.Mutex
	frozen chan struct{}
	dead   bool
	// freezeAt is the point of the next order at which the host freezes.
	freezeAt freezePoint
	// storeUnreachable is set while the host can't reach the key-value service.
	storeUnreachable bool
}

// freezePoint is a point in the processing of an order.
type freezePoint int

const (
	noFreeze freezePoint = iota
	// beforeLeaseCheck is before the check of the lease.
	beforeLeaseCheck
	// beforeSend is between the check of the lease and the sending.
	beforeSend
)

func (h *testHost) freezeBeforeOrder() { h.setFreezeAt(beforeLeaseCheck) }

func (h *testHost) freezeBeforeSend() { h.setFreezeAt(beforeSend) }

func (h *testHost) setFreezeAt(point freezePoint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.freezeAt = point
}

// freezeIfDue freezes the host if a freeze is scheduled at this point.
func (h *testHost) freezeIfDue(point freezePoint) {
	h.mu.Lock()
	due := h.freezeAt == point
	if due {
		h.freezeAt = noFreeze
	}
	h.mu.Unlock()
	if due {
		h.freeze()
	}
	h.gate()
}

// gate blocks while the host is frozen and ends the goroutine if the host is
// dead.
func (h *testHost) gate() {
	for {
		h.mu.Lock()
		frozen, dead := h.frozen, h.dead
		h.mu.Unlock()
		if dead {
			runtime.Goexit()
		}
		if frozen == nil {
			return
		}
		<-frozen
	}
}

func (h *testHost) freeze() {
	h.sim.network.Pause(h.member.Host)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.frozen == nil {
		h.frozen = make(chan struct{})
	}
}

func (h *testHost) resume() {
	h.mu.Lock()
	if h.frozen != nil {
		close(h.frozen)
		h.frozen = nil
	}
	h.mu.Unlock()
	h.sim.network.Resume(h.member.Host)
}

func (h *testHost) kill() {
	h.mu.Lock()
	h.dead = true
	if h.frozen != nil {
		close(h.frozen)
		h.frozen = nil
	}
	h.mu.Unlock()
	h.sim.network.Kill(h.member.Host)
	h.cancel()
}

func (h *testHost) alive() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.dead && h.frozen == nil
}

// Engine returns the host's client of an engine.
func (h *testHost) Engine(t config.Target) engine.Client {
	return fakeClient{host: h, engine: h.sim.engines[t.Name]}
}

// Service is not used, since the tests have engines only.
func (h *testHost) Service(config.Target) service.Client { return nil }

// hostStore is one host's client of the key-value service.
type hostStore struct {
	keyvalue.Store
	host *testHost
}

func (s hostStore) unreachable() bool {
	s.host.gate()
	s.host.mu.Lock()
	defer s.host.mu.Unlock()
	return s.host.storeUnreachable
}

func (s hostStore) Get(ctx context.Context, key string) (keyvalue.Entry, error) {
	if s.unreachable() {
		return keyvalue.Entry{}, keyvalue.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s hostStore) Swap(ctx context.Context, key string, expected keyvalue.Revision, value []byte) (keyvalue.Revision, error) {
	if s.unreachable() {
		return 0, keyvalue.ErrUnavailable
	}
	return s.Store.Swap(ctx, key, expected, value)
}

type simulationOption func(*simulation)

// withBufferedLog keeps the log, with the steps of the groups if they are
// traced, out of the test's output.
func withBufferedLog(traced bool) simulationOption {
	return func(sim *simulation) { sim.bufferLog, sim.traced = true, traced }
}

// withWeightStore limits the loads from the weight store.
func withWeightStore(weights *fakeWeightStore) simulationOption {
	return func(sim *simulation) { sim.weightStore = weights }
}

// withReportDelay sets the maximum transmission delay of a report.
func withReportDelay(limit time.Duration) simulationOption {
	return func(sim *simulation) { sim.reportDelay = limit }
}

func withDisabled(disabled disabledSafeguards) simulationOption {
	return func(sim *simulation) { sim.disabled = disabled }
}

// newSimulation starts a simulation with a number of hosts in domain "d".
func newSimulation(t *testing.T, hosts int, cfg *config.Config, opts ...simulationOption) *simulation {
	sim := &simulation{
		t: t, cfg: cfg, rng: rand.New(rand.NewPCG(1, 2)), reportDelay: 200 * time.Millisecond,
		items: NewCatalog(cfg), network: peertest.NewNetwork(1), store: kvstore.New(), engines: make(map[target.ID]*fakeEngine),
	}
	for _, opt := range opts {
		opt(sim)
	}
	sim.network.SetDelay(200*time.Microsecond, time.Millisecond)
	for _, c := range cfg.Targets {
		sim.engines[c.Name] = newFakeEngine(sim, c)
	}
	sim.ownership, sim.farOwnership = newFakeOwnership(sim), newFakeOwnership(sim)
	for i := range hosts {
		sim.join(fleet.Member{Host: fleet.HostID(fmt.Sprintf("h%d", i)), Domain: "d", Incarnation: fleet.Incarnation(i + 1)})
	}
	for i := range sim.farHosts {
		sim.join(fleet.Member{Host: fleet.HostID(fmt.Sprintf("f%d", i)), Domain: "far", Incarnation: fleet.Incarnation(100 + i)})
	}
	sim.ownership.start()
	sim.farOwnership.start()
	for _, h := range sim.hosts {
		h.start()
	}
	time.Sleep(3 * time.Second)
	return sim
}

func (sim *simulation) join(m fleet.Member) {
	h := &testHost{sim: sim, member: m, done: make(chan struct{})}
	h.controller = newController(
		WithConfig(sim.config),
		WithMesh(sim.network.Join(m)),
		WithOwnership(sim.ownershipOf(m.Domain).forHost(h)),
		WithStore(hostStore{sim.store, h}),
		WithClients(h),
		WithLogger(slog.New(slog.DiscardHandler)),
		WithWeightStore(sim.readWeightStore),
		func(c *controller) {
			c.disabled = sim.disabled
			c.gate = h.gate
			c.beforeOrder = func() { h.freezeIfDue(beforeLeaseCheck) }
			c.onStep = h.trace
		},
	)
	sim.hosts = append(sim.hosts, h)
	sim.ownershipOf(m.Domain).add(h)
}

func (sim *simulation) ownershipOf(domain fleet.DomainID) *fakeOwnership {
	if domain == "far" {
		return sim.farOwnership
	}
	return sim.ownership
}

// withFarHosts adds hosts in domain "far".
func withFarHosts(n int) simulationOption {
	return func(sim *simulation) { sim.farHosts = n }
}

func (h *testHost) start() {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go func() {
		defer close(h.done)
		_ = h.Run(ctx)
	}()
}

// trace logs a step of the host's group.
func (h *testHost) trace(in Input, effects []Effect) {
	if h.sim.observeStep != nil {
		h.sim.observeStep(h, in, effects)
	}
	if _, tick := in.(Tick); tick && len(effects) == 0 || !h.sim.traced {
		return
	}
	h.sim.log("%s %T%+v", h.member.Host, in, in)
	for _, e := range effects {
		h.sim.log("%s   -> %T%+v", h.member.Host, e, e)
	}
}

// close stops all hosts.
func (sim *simulation) close() {
	for _, h := range sim.hosts {
		h.resume()
		h.cancel()
		<-h.done
	}
	sim.ownership.stop()
	sim.farOwnership.stop()
	time.Sleep(2 * time.Minute)
}

func (sim *simulation) addViolation(format string, args ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.log("violation: "+format, args...)
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

func (sim *simulation) foundViolations() []string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return slices.Clone(sim.violations)
}

func (sim *simulation) catalog() *Catalog { return sim.items }

// setStoreFaults sets the faults of the key-value service.
func (sim *simulation) setStoreFaults(faults kvstore.Faults) {
	sim.mu.Lock()
	sim.storeDown = faults.Outage || faults.Delay > 0
	sim.lastStoreFault = time.Now()
	sim.mu.Unlock()
	sim.store.SetFaults(faults)
}

// noteStoreFault notes a fault, after which records may be late for a while.
func (sim *simulation) noteStoreFault() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.lastStoreFault = time.Now()
}

func (h *testHost) setStoreUnreachable(unreachable bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.storeUnreachable = unreachable
}

// isLateUnload reports whether an unload is from an earlier owner that could
// not record it. The next owner can't know of it, as docs/design/placement.md
// describes, so it is counted separately.
func (sim *simulation) isLateUnload(o engine.Order) bool {
	sim.ownership.mu.Lock()
	earlier := o.Fence < sim.ownership.fence
	sim.ownership.mu.Unlock()
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if !earlier || sim.lastStoreFault.IsZero() || time.Since(sim.lastStoreFault) > time.Minute {
		return false
	}
	sim.lateUnloads++
	return true
}

// checkRecorded adds a violation if a load's decision is not in the record,
// unless the key-value service is or recently was unavailable to some host.
func (sim *simulation) checkRecorded(id target.ID, o engine.Order) {
	sim.mu.Lock()
	skip := sim.storeDown || !sim.lastStoreFault.IsZero() && time.Since(sim.lastStoreFault) < time.Minute
	sim.mu.Unlock()
	if skip {
		return
	}
	entry, err := sim.store.Get(context.Background(), recordPrefix+string(id))
	if err != nil {
		sim.addViolation("order %s without a record", o.ID)
		return
	}
	record, err := decodeRecord(entry.Value)
	if err != nil || !slices.ContainsFunc(record.Decisions, func(d Decision) bool { return d.ID == o.ID }) {
		sim.addViolation("order %s is not in the record of %s", o.ID, id)
	}
}

func (sim *simulation) config() *config.Config {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.cfg
}

func (sim *simulation) setConfig(cfg *config.Config) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.cfg = cfg
}

func (sim *simulation) setSendAfterTimeout() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.sendAfterTimeout = true
}

func (sim *simulation) sendsAfterTimeout() bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.sendAfterTimeout
}

// randomDuration returns a random duration below limit.
func (sim *simulation) randomDuration(limit time.Duration) time.Duration {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return time.Duration(sim.rng.Int64N(int64(limit)))
}

// log logs an event, to be shown if the test fails.
func (sim *simulation) log(format string, args ...any) {
	line := fmt.Sprintf("%s "+format, append([]any{time.Now().Format("04:05.000")}, args...)...)
	if sim.bufferLog {
		sim.logMu.Lock()
		defer sim.logMu.Unlock()
		sim.logLines = append(sim.logLines, line)
		return
	}
	sim.t.Log(line)
}

func (sim *simulation) countLoad() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.loads++
}

// ensureAndUse requests a model at a host and runs a request on it. It adds a
// violation if the answer comes after the deadline.
func (sim *simulation) ensureAndUse(h *testHost, name model.Name, id team.ID, within, use time.Duration) (LoadResult, *outcome.NotRun) {
	start := time.Now()
	result, refusal := h.Ensure(context.Background(), LoadRequest{Model: name, Team: id, Deadline: start.Add(within)})
	if took := time.Since(start); took > within+10*time.Millisecond && h.alive() && !h.wasFrozen(start) {
		sim.addViolation("load request for %s at %s answered %v after its deadline", name, h.member.Host, took-within)
	}
	if h.isDead() {
		return result, refusal
	}
	if refusal != nil {
		sim.log("refused %s at %s: %+v", name, h.member.Host, *refusal)
		sim.mu.Lock()
		sim.refused++
		sim.mu.Unlock()
		return result, refusal
	}
	sim.mu.Lock()
	sim.served++
	sim.mu.Unlock()
	if use > 0 {
		sim.runRequest(h, name, result.Replica.Target, use)
	}
	return result, nil
}

// runRequest runs a request at a replica through a host.
func (sim *simulation) runRequest(h *testHost, name model.Name, id target.ID, use time.Duration) bool {
	end, ok := h.Begin(id, name)
	if !ok {
		return false
	}
	defer end()
	return sim.engines[id].serve(name, use)
}

// owner returns the host with the lease for the only pool's group, or nil.
func (sim *simulation) owner() *testHost {
	for _, h := range sim.hosts {
		if h.alive() && h.ownRunners()[0].hasLease() {
			return h
		}
	}
	return nil
}

// wasFrozen reports whether the host was frozen after a time. Callers of a
// frozen host are not answered in time.
func (h *testHost) wasFrozen(since time.Time) bool {
	return h.sim.ownershipOf(h.member.Domain).frozenAfter(h, since)
}
