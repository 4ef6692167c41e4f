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
	// orderTimeout bounds one order. It is well under the order horizon.
	orderTimeout = 2 * time.Second
	// recordTimeout bounds one call of the key-value service. A service that is
	// slower counts as out.
	recordTimeout = 500 * time.Millisecond
	reportTimeout = time.Second
)

// runner runs the state machine of one group: it feeds it facts and carries out
// what it wants done.
type runner struct {
	c   *controller
	key GroupKey
	// calls counts the running calls to targets and to the key-value service.
	calls sync.WaitGroup

	mu sync.Mutex
	// closed says that no more calls are started.
	closed  bool
	group   *Group
	targets []config.Target
	byID    map[target.ID]config.Target
	holds   [2]Held
	hosts   []fleet.HostID
	// near holds the hosts of this domain.
	near    map[fleet.HostID]bool
	nextID  WantID
	answers map[WantID]chan answered
	asking  map[target.ID]bool
	loads   map[target.ID]Load
	// told is the last digest sent to each host.
	told  map[fleet.HostID]told
	seen  map[fleet.HostID]DigestSequence
	polls int
	// publishing says that a publication is about to run.
	publishing bool
	changed    map[target.ID]bool
}

// answered is the answer to a want, with the digest that lists its replica.
type answered struct {
	Answer
	sequence DigestSequence
}

// told is when a host was last sent the listings, and which.
type told struct {
	sequence DigestSequence
	at       time.Time
}

func newRunner(c *controller, key GroupKey) *runner {
	g := NewGroup(key, c.self)
	g.off = c.off
	return &runner{
		c: c, key: key, group: g,
		answers: make(map[WantID]chan answered),
		asking:  make(map[target.ID]bool),
		loads:   make(map[target.ID]Load),
		told:    make(map[fleet.HostID]told),
		seen:    make(map[fleet.HostID]DigestSequence),
		changed: make(map[target.ID]bool),
	}
}

func sortRunners(runners []*runner) {
	slices.SortFunc(runners, func(a, b *runner) int { return compareKeys(a.key, b.key) })
}

// reconfigure takes in the targets of a new configuration.
func (r *runner) reconfigure(targets []config.Target, catalog *Catalog, keeps []model.Name) {
	r.mu.Lock()
	r.targets = targets
	if r.byID == nil {
		r.byID = make(map[target.ID]config.Target)
	}
	var engines []config.Target
	for _, t := range targets {
		r.byID[t.Name] = t
		if t.Kind != target.KindService {
			engines = append(engines, t)
		}
	}
	r.mu.Unlock()
	r.step(context.Background(), Configured{Engines: engines, Catalog: catalog, Keeps: keeps})
}

// step feeds one fact to the group and starts what it wants done.
func (r *runner) step(ctx context.Context, in Input) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stepLocked(ctx, in)
}

func (r *runner) stepLocked(ctx context.Context, in Input) {
	effects := r.group.Step(r.c.clock.Now(), in)
	r.c.trace(in, effects)
	for _, effect := range effects {
		r.perform(ctx, effect)
	}
	r.publishSoon()
}

// publishSoon publishes a digest that has changed, once the step has ended.
func (r *runner) publishSoon() {
	if r.publishing || r.group.Sequence() == r.told[r.c.self.Host].sequence {
		return
	}
	if _, ok := r.group.Digest(); !ok {
		return
	}
	r.publishing = true
	r.start(func() {
		r.c.gate()
		r.publish()
	})
}

// perform starts one effect. Its result comes back as a step.
func (r *runner) perform(ctx context.Context, effect Effect) {
	switch e := effect.(type) {
	case ReadRecord:
		r.call(ctx, func(ctx context.Context) Input { return r.readRecord(ctx, e) })
	case WriteRecord:
		r.call(ctx, func(ctx context.Context) Input { return r.writeRecord(ctx, e) })
	case GiveOrder:
		t := r.byID[e.Target]
		r.call(ctx, func(ctx context.Context) Input { return r.giveOrder(ctx, t, e) })
	case AskReport:
		r.askReport(ctx, r.byID[e.Target], true)
	case Answer:
		r.answer(e)
	}
}

// call runs a call beside the group and feeds its result back. Calls outlast the
// context, so that their results are known.
func (r *runner) call(ctx context.Context, run func(context.Context) Input) {
	ctx = context.WithoutCancel(ctx)
	r.start(func() {
		r.c.gate()
		in := run(ctx)
		r.c.gate()
		r.step(ctx, in)
	})
}

// start runs a call beside the group, unless the runner is closed.
func (r *runner) start(call func()) {
	if r.closed {
		return
	}
	r.calls.Add(1)
	go func() {
		defer r.calls.Done()
		call()
	}()
}

// close waits for the calls that are running; no more are started.
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
		r.c.log.Error("replica: record can't be read", "target", e.Target, "error", err)
		return RecordRead{Target: e.Target}
	}
	return RecordRead{Target: e.Target, OK: true, Record: record, Revision: entry.Revision}
}

func (r *runner) writeRecord(ctx context.Context, e WriteRecord) Input {
	ctx, cancel := clockwork.WithTimeout(ctx, r.c.clock, recordTimeout)
	defer cancel()
	done := RecordWritten{Target: e.Target, Write: e.Record.Write, Result: WriteUnknown}
	value, err := encodeRecord(e.Record)
	if err != nil {
		panic("replica: record can't be encoded: " + err.Error())
	}
	revision, err := r.c.store.Swap(ctx, recordPrefix+string(e.Target), e.Expected, value)
	var conflict *keyvalue.ConflictError
	switch {
	case err == nil:
		done.Result, done.Revision = WriteDone, revision
	case errors.As(err, &conflict):
		done.Result = WriteConflict
	case errors.Is(err, keyvalue.ErrUnavailable):
		done.Result = WriteUnavailable
	}
	return done
}

// giveOrder sends an order if this host still holds the shard under the order's
// fence.
func (r *runner) giveOrder(ctx context.Context, t config.Target, e GiveOrder) Input {
	r.c.beforeOrder()
	in := Ordered{Target: e.Target, Order: e.Order.ID, Result: OrderNotHeld{}}
	hold, ok := r.c.owners.Lease(r.key.Shard, t.ChecksFence)
	if !r.c.off.noHoldCheck && (!ok || hold.Fence != e.Order.Fence) {
		r.c.log.Warn("replica: order not sent without a hold", "target", e.Target, "order", e.Order.ID)
		return in
	}
	ctx, cancel := clockwork.WithTimeout(ctx, r.c.clock, orderTimeout)
	defer cancel()
	in.Result = give(ctx, r.c.engines.Engine(t), e.Order)
	return in
}

// poll asks all targets for reports and publishes what is known.
func (r *runner) poll(ctx context.Context) {
	r.mu.Lock()
	targets := r.targets
	r.mu.Unlock()
	for _, t := range targets {
		r.mu.Lock()
		r.askReport(ctx, t, false)
		r.mu.Unlock()
	}
	r.publish()
}

// askReport asks a target for a report, unless a call for one is running.
func (r *runner) askReport(ctx context.Context, t config.Target, fresh bool) {
	if r.asking[t.Name] {
		return
	}
	r.asking[t.Name] = true
	r.start(func() {
		r.c.gate()
		ctx, cancel := clockwork.WithTimeout(context.WithoutCancel(ctx), r.c.clock, reportTimeout)
		defer cancel()
		if t.Kind == target.KindService {
			r.serviceReport(ctx, t)
			return
		}
		asked := r.c.clock.Now()
		report, err := r.c.engines.Engine(t).Report(ctx, engine.Freshness(fresh))
		r.c.gate()
		r.engineReported(ctx, t, report, asked, fresh, err)
	})
}

func (r *runner) engineReported(ctx context.Context, t config.Target, report engine.Report, asked time.Time, fresh bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.asking, t.Name)
	if err != nil {
		r.stepLocked(ctx, Unreached{Target: t.Name})
		return
	}
	report.Target = t.Name
	report.Draining = report.Draining || r.c.isLeaving(t.Name)
	r.setLoad(t.Name, Load{
		Running: report.Running, Queued: report.Queued, Slots: report.Slots,
		TokensPerSecond: report.TokensPerSecond, Draining: report.Draining, TakenAt: asked,
	})
	r.stepLocked(ctx, Reported{Report: report, AskedAt: asked, Fresh: fresh})
}

func (r *runner) serviceReport(ctx context.Context, t config.Target) {
	asked := r.c.clock.Now()
	report, err := r.c.engines.Service(t).Report(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.asking, t.Name)
	if err != nil {
		return
	}
	leaving := report.Draining || r.c.isLeaving(t.Name)
	r.setLoad(t.Name, Load{Running: report.Running, Slots: report.Slots, Draining: leaving, TakenAt: asked})
}

func (r *runner) setLoad(id target.ID, load Load) {
	old, known := r.loads[id]
	r.loads[id] = load
	old.TakenAt = load.TakenAt
	if !known || old != load {
		r.changed[id] = true
	}
}

func (c *controller) isLeaving(id target.ID) bool {
	return slices.ContainsFunc(c.leaving, func(leaving func(target.ID) bool) bool { return leaving(id) })
}

// tick takes in the holds and the hosts, and lets time pass.
func (r *runner) tick(ctx context.Context, hosts []fleet.HostID, near map[fleet.HostID]bool) {
	r.readHold(ctx, false)
	r.readHold(ctx, true)
	r.mu.Lock()
	r.near = near
	if !slices.Equal(hosts, r.hosts) {
		r.hosts = hosts
		r.stepLocked(ctx, HostsChanged{Hosts: hosts})
	}
	if r.group.Held() {
		r.stepLocked(ctx, Tick{})
	}
	r.mu.Unlock()
}

func (r *runner) readHold(ctx context.Context, checksFence bool) {
	hold, ok := r.c.owners.Lease(r.key.Shard, checksFence)
	owner, known := r.c.owners.Owner(r.key.Domain, r.key.Shard)
	in := Held{ChecksFence: checksFence, Hold: hold, OK: ok}
	in.Elsewhere = !ok && known && owner.Host != r.c.self.Host
	i := 0
	if checksFence {
		i = 1
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.holds[i]
	r.holds[i] = in
	if last.OK == in.OK && last.Hold.Fence == in.Hold.Fence && last.Elsewhere == in.Elsewhere {
		return
	}
	r.stepLocked(ctx, in)
}

func (r *runner) held() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.group.Held()
}

func (r *runner) released() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.group.Released()
}

// hosts returns all hosts that may send requests, in order, and those of this
// domain.
func (c *controller) hosts() (all []fleet.HostID, near map[fleet.HostID]bool) {
	near = make(map[fleet.HostID]bool)
	for _, domain := range c.owners.Domains() {
		for _, m := range c.owners.Members(domain) {
			all = append(all, m.Host)
			near[m.Host] = domain == c.self.Domain
		}
	}
	slices.Sort(all)
	return all, near
}
