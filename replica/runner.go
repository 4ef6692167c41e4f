package replica

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornway/config"
	"hawthornway/engine"
	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/model"
	"hawthornway/target"
)

const (
	// orderTimeout limits one order call. It is well under MaxOrderDelay.
	orderTimeout = 2 * time.Second
	// recordTimeout limits one call to the key-value service. A service that is
	// slower counts as unavailable.
	recordTimeout = 500 * time.Millisecond
	// reportTimeout limits one request for a target's report.
	reportTimeout = time.Second
)

// runner runs the state machine of one group: it passes events to the group and
// carries out the resulting effects.
type runner struct {
	c   *controller
	key GroupKey
	// calls counts the running calls to targets and to the key-value service.
	calls sync.WaitGroup

	mu sync.Mutex
	// closed is set once no more calls are started.
	closed      bool
	group       *Group
	targets     []config.Target
	targetsByID map[target.ID]config.Target
	// leases holds the leases as Group.leases does.
	leases [2]LeaseChanged
	hosts  []fleet.HostID
	// localHosts holds the hosts of this domain.
	localHosts    map[fleet.HostID]bool
	lastRequestID RequestID
	answers       map[RequestID]chan sequencedAnswer
	reportRunning map[target.ID]bool
	targetLoads   map[target.ID]TargetLoad
	// sentDigests holds the last digest sent to each host.
	sentDigests  map[fleet.HostID]sentDigest
	seenDigests  map[fleet.HostID]DigestSequence
	publishCount int
	// publishScheduled is set while a call of publish is about to run.
	publishScheduled   bool
	changedTargetLoads map[target.ID]bool
}

// sequencedAnswer is the answer to a load request, with the sequence of the
// digest that lists its replica.
type sequencedAnswer struct {
	Answer
	sequence DigestSequence
}

// sentDigest records which listings a host was last sent, and when.
type sentDigest struct {
	sequence DigestSequence
	sentAt   time.Time
}

func newRunner(c *controller, key GroupKey) *runner {
	g := NewGroup(key, c.self)
	g.disabled = c.disabled
	return &runner{
		c: c, key: key, group: g,
		answers:            make(map[RequestID]chan sequencedAnswer),
		reportRunning:      make(map[target.ID]bool),
		targetLoads:        make(map[target.ID]TargetLoad),
		sentDigests:        make(map[fleet.HostID]sentDigest),
		seenDigests:        make(map[fleet.HostID]DigestSequence),
		changedTargetLoads: make(map[target.ID]bool),
	}
}

func sortRunners(runners []*runner) {
	slices.SortFunc(runners, func(a, b *runner) int { return compareKeys(a.key, b.key) })
}

// reconfigure applies the targets of a new configuration.
func (r *runner) reconfigure(targets []config.Target, catalog *Catalog, minReplicaModels []model.Name) {
	r.mu.Lock()
	r.targets = targets
	if r.targetsByID == nil {
		r.targetsByID = make(map[target.ID]config.Target)
	}
	var engines []config.Target
	for _, t := range targets {
		r.targetsByID[t.Name] = t
		if t.Kind != target.KindService {
			engines = append(engines, t)
		}
	}
	r.mu.Unlock()
	r.step(context.Background(), Configured{Engines: engines, Catalog: catalog, MinReplicaModels: minReplicaModels})
}

// step passes one event to the group and starts the resulting effects.
func (r *runner) step(ctx context.Context, in Input) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stepLocked(ctx, in)
}

func (r *runner) stepLocked(ctx context.Context, in Input) {
	effects := r.group.Step(r.c.clock.Now(), in)
	r.c.onStep(in, effects)
	for _, effect := range effects {
		r.perform(ctx, effect)
	}
	r.schedulePublish()
}

// schedulePublish publishes a digest that has changed, once the step is
// complete.
func (r *runner) schedulePublish() {
	if r.publishScheduled || r.group.Sequence() == r.sentDigests[r.c.self.Host].sequence {
		return
	}
	if _, ok := r.group.Digest(); !ok {
		return
	}
	r.publishScheduled = true
	r.startCall(func() {
		r.c.gate()
		r.publish()
	})
}

// perform starts one effect. Its result is passed to the group as an event.
func (r *runner) perform(ctx context.Context, effect Effect) {
	switch e := effect.(type) {
	case ReadRecord:
		r.callAsync(ctx, func(ctx context.Context) Input { return r.readRecord(ctx, e) })
	case WriteRecord:
		r.callAsync(ctx, func(ctx context.Context) Input { return r.writeRecord(ctx, e) })
	case SendOrder:
		t := r.targetsByID[e.Target]
		r.callAsync(ctx, func(ctx context.Context) Input { return r.sendOrder(ctx, t, e) })
	case RequestReport:
		r.requestReport(ctx, r.targetsByID[e.Target], true)
	case Answer:
		r.deliverAnswer(e)
	}
}

// callAsync runs a call in the background and passes its result to the group.
// Calls are not cancelled with the context, so that the group learns their
// results.
func (r *runner) callAsync(ctx context.Context, run func(context.Context) Input) {
	ctx = context.WithoutCancel(ctx)
	r.startCall(func() {
		r.c.gate()
		in := run(ctx)
		r.c.gate()
		r.step(ctx, in)
	})
}

// startCall runs a call in the background, unless the runner is closed.
func (r *runner) startCall(call func()) {
	if r.closed {
		return
	}
	r.calls.Add(1)
	go func() {
		defer r.calls.Done()
		call()
	}()
}

// close waits for the running calls and prevents new ones.
func (r *runner) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.calls.Wait()
}

func (r *runner) readRecord(ctx context.Context, e ReadRecord) Input {
	ctx, cancel := clockwork.WithTimeout(ctx, r.c.clock, recordTimeout)
	defer cancel()
	entry, err := r.c.store.Get(ctx, recordPrefix+string(e.Target))
	if errors.Is(err, keyvalue.ErrNotFound) {
		return RecordRead{Target: e.Target, OK: true}
	}
	if err != nil {
		return RecordRead{Target: e.Target}
	}
	record, err := decodeRecord(entry.Value)
	if err != nil {
		r.c.log.Error("replica: record can't be decoded", "target", e.Target, "error", err)
		return RecordRead{Target: e.Target}
	}
	return RecordRead{Target: e.Target, OK: true, Record: record, Revision: entry.Revision}
}

func (r *runner) writeRecord(ctx context.Context, e WriteRecord) Input {
	ctx, cancel := clockwork.WithTimeout(ctx, r.c.clock, recordTimeout)
	defer cancel()
	in := RecordWritten{Target: e.Target, Write: e.Record.Write, Result: WriteUnknown}
	value, err := encodeRecord(e.Record)
	if err != nil {
		panic("replica: record can't be encoded: " + err.Error())
	}
	revision, err := r.c.store.Swap(ctx, recordPrefix+string(e.Target), e.Expected, value)
	var conflict *keyvalue.ConflictError
	switch {
	case err == nil:
		in.Result, in.Revision = WriteDone, revision
	case errors.As(err, &conflict):
		in.Result = WriteConflict
	case errors.Is(err, keyvalue.ErrUnavailable):
		in.Result = WriteUnavailable
	}
	return in
}

// sendOrder sends an order if this host still has the lease of the shard under
// the order's fence.
func (r *runner) sendOrder(ctx context.Context, t config.Target, e SendOrder) Input {
	r.c.beforeOrder()
	in := OrderAnswered{Target: e.Target, Order: e.Order.ID, Result: OrderNotLeased{}}
	lease, ok := r.c.ownership.Lease(r.key.Shard, t.ChecksFence)
	if !r.c.disabled.noLeaseCheck && (!ok || lease.Fence != e.Order.Fence) {
		r.c.log.Warn("replica: order not sent: this host has no lease of the shard under the order's fence", "target", e.Target, "order", e.Order.ID)
		return in
	}
	ctx, cancel := clockwork.WithTimeout(ctx, r.c.clock, orderTimeout)
	defer cancel()
	in.Result = sendOrder(ctx, r.c.clients.Engine(t), e.Order)
	return in
}

// poll requests reports from all targets and publishes the last known state.
func (r *runner) poll(ctx context.Context) {
	r.mu.Lock()
	targets := r.targets
	r.mu.Unlock()
	for _, t := range targets {
		r.mu.Lock()
		r.requestReport(ctx, t, false)
		r.mu.Unlock()
	}
	r.publish()
}

// requestReport requests a report from a target, unless such a call is running.
func (r *runner) requestReport(ctx context.Context, t config.Target, fresh bool) {
	if r.reportRunning[t.Name] {
		return
	}
	r.reportRunning[t.Name] = true
	r.startCall(func() {
		r.c.gate()
		ctx, cancel := clockwork.WithTimeout(context.WithoutCancel(ctx), r.c.clock, reportTimeout)
		defer cancel()
		if t.Kind == target.KindService {
			r.readServiceReport(ctx, t)
			return
		}
		requestedAt := r.c.clock.Now()
		report, err := r.c.clients.Engine(t).Report(ctx, engine.Freshness(fresh))
		r.c.gate()
		r.handleEngineReport(ctx, t, report, requestedAt, fresh, err)
	})
}

func (r *runner) handleEngineReport(ctx context.Context, t config.Target, report engine.Report, requestedAt time.Time, fresh bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.reportRunning, t.Name)
	if err != nil {
		r.stepLocked(ctx, ReportFailed{Target: t.Name})
		return
	}
	report.Target = t.Name
	report.Draining = report.Draining || r.c.isDraining(t.Name)
	r.setTargetLoad(t.Name, TargetLoad{
		Running: report.Running, Queued: report.Queued, Slots: report.Slots,
		TokensPerSecond: report.TokensPerSecond, Draining: report.Draining, TakenAt: requestedAt,
	})
	r.stepLocked(ctx, ReportReceived{Report: report, RequestedAt: requestedAt, Fresh: fresh})
}

func (r *runner) readServiceReport(ctx context.Context, t config.Target) {
	requestedAt := r.c.clock.Now()
	report, err := r.c.clients.Service(t).Report(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.reportRunning, t.Name)
	if err != nil {
		return
	}
	draining := report.Draining || r.c.isDraining(t.Name)
	r.setTargetLoad(t.Name, TargetLoad{Running: report.Running, Slots: report.Slots, Draining: draining, TakenAt: requestedAt})
}

func (r *runner) setTargetLoad(id target.ID, load TargetLoad) {
	old, known := r.targetLoads[id]
	r.targetLoads[id] = load
	old.TakenAt = load.TakenAt
	if !known || old != load {
		r.changedTargetLoads[id] = true
	}
}

func (c *controller) isDraining(id target.ID) bool {
	return slices.ContainsFunc(c.draining, func(draining func(target.ID) bool) bool { return draining(id) })
}

// tick updates the leases and the hosts, and advances the group's time.
func (r *runner) tick(ctx context.Context, hosts []fleet.HostID, localHosts map[fleet.HostID]bool) {
	r.readLease(ctx, false)
	r.readLease(ctx, true)
	r.mu.Lock()
	r.localHosts = localHosts
	if !slices.Equal(hosts, r.hosts) {
		r.hosts = hosts
		r.stepLocked(ctx, HostsChanged{Hosts: hosts})
	}
	if r.group.HasLease() {
		r.stepLocked(ctx, Tick{})
	}
	r.mu.Unlock()
}

func (r *runner) readLease(ctx context.Context, checksFence bool) {
	lease, ok := r.c.ownership.Lease(r.key.Shard, checksFence)
	owner, known := r.c.ownership.Owner(r.key.Domain, r.key.Shard)
	in := LeaseChanged{ChecksFence: checksFence, Lease: lease, OK: ok}
	in.OwnedElsewhere = !ok && known && owner.Host != r.c.self.Host
	i := 0
	if checksFence {
		i = 1
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.leases[i]
	r.leases[i] = in
	if last.OK == in.OK && last.Lease.Fence == in.Lease.Fence && last.OwnedElsewhere == in.OwnedElsewhere {
		return
	}
	r.stepLocked(ctx, in)
}

func (r *runner) hasLease() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.group.HasLease()
}

func (r *runner) released() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.group.Released()
}

// hosts returns all hosts that may send requests, sorted, and the set of those
// in this domain.
func (c *controller) hosts() (all []fleet.HostID, localHosts map[fleet.HostID]bool) {
	localHosts = make(map[fleet.HostID]bool)
	for _, domain := range c.ownership.Domains() {
		for _, m := range c.ownership.Members(domain) {
			all = append(all, m.Host)
			localHosts[m.Host] = domain == c.self.Domain
		}
	}
	slices.Sort(all)
	return all, localHosts
}
