package replica

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornway/config"
	"hawthornway/engine"
	"hawthornway/fleet"
	"hawthornway/model"
	"hawthornway/outcome"
	"hawthornway/target"
	"hawthornway/team"
)

const (
	// MaxOrderDelay is the time after which an order that was sent can no
	// longer arrive.
	MaxOrderDelay = 20 * time.Second

	// retryInterval is the time between attempts of a takeover step or of an
	// order.
	retryInterval = time.Second
	// freshReportInterval is the time between requests for fresh reports while
	// the group waits for an engine's state to change.
	freshReportInterval = 100 * time.Millisecond
	// answerMargin is how long before its deadline a load request is refused,
	// so that the refusal reaches the host in time.
	answerMargin = 150 * time.Millisecond
)

// disabledSafeguards turns off individual safeguards, so that tests can check
// that the violations they prevent are detected.
type disabledSafeguards struct {
	noReservation    bool
	noOrderDelayWait bool
	noRecordFirst    bool
	noLeaseCheck     bool
}

// Group decides about the memory of a set of engines. It is a deterministic
// state machine: Step takes events and returns the actions to carry out. It is
// not safe for concurrent use.
type Group struct {
	key      GroupKey
	hash     uint64
	self     fleet.Member
	disabled disabledSafeguards

	now     time.Time
	effects []Effect

	catalog          *Catalog
	minReplicaModels map[model.Name]bool
	engines          []*engineState
	// leases holds the lease for engines that don't check fences, then the
	// lease for those that do.
	leases   [2]LeaseChanged
	requests map[RequestID]*pendingRequest
	// requestsByModel lists the unanswered load requests of each model.
	requestsByModel map[model.Name][]*pendingRequest
	queue           *loadQueue
	replicas        map[model.Name][]*placedReplica

	hosts     []fleet.HostID
	hostUses  map[fleet.HostID]*hostUse
	modelUses map[model.Name]*modelUse

	loadTimes   *loadTimeEstimator
	weightStore WeightStoreState
	// otherWeightStoreLoads counts the model loads of other groups when the
	// weight store was last read.
	otherWeightStoreLoads int
	weightStorePacer      startPacer

	listings     []Listing
	digestNumber uint64
	// listingsStale is set if the listings may have changed.
	listingsStale bool
	// memoryShares caches the division of memory among teams for one step; nil
	// until it is needed.
	memoryShares *memoryShares
}

// NewGroup returns a Group of engines that self may come to own.
func NewGroup(key GroupKey, self fleet.Member) *Group {
	return &Group{
		key: key, hash: xxhash.Sum64String(key.String()), self: self,
		catalog:          NewCatalog(&config.Config{}),
		minReplicaModels: make(map[model.Name]bool),
		requests:         make(map[RequestID]*pendingRequest),
		requestsByModel:  make(map[model.Name][]*pendingRequest),
		queue:            newLoadQueue(),
		replicas:         make(map[model.Name][]*placedReplica),
		hostUses:         make(map[fleet.HostID]*hostUse),
		modelUses:        make(map[model.Name]*modelUse),
		loadTimes:        newLoadTimeEstimator(),
		weightStore:      WeightStoreState{RatePerSecond: defaultWeightStoreRatePerSecond, Slots: defaultWeightStoreSlots},
	}
}

// Step handles one event and returns the actions to carry out. The time must
// not go back from one step to the next.
func (g *Group) Step(now time.Time, in Input) []Effect {
	g.now = now
	g.effects = nil
	g.memoryShares = nil
	switch in := in.(type) {
	case Configured:
		g.listingsStale = true
		g.handleConfigured(in)
	case LeaseChanged:
		g.listingsStale = true
		g.handleLease(in)
	case LoadRequested:
		g.handleRequest(in)
	case RequestWithdrawn:
		g.handleWithdrawal(in.ID)
	case ReportReceived:
		g.listingsStale = true
		g.handleReport(in)
	case ReportFailed:
		g.handleReportFailed(in.Target)
	case RecordRead:
		g.handleRecordRead(in)
	case RecordWritten:
		g.handleRecordWritten(in)
	case OrderAnswered:
		g.handleOrderAnswer(in)
	case UseReported:
		g.handleUse(in)
	case HostsChanged:
		g.handleHosts(in.Hosts)
	case WeightStoreRead:
		g.handleWeightStore(in.State)
	case Tick:
		g.tick()
	default:
		panic(fmt.Sprintf("replica: unknown input %T", in))
	}
	g.advance()
	return g.effects
}

// advance takes every action that has become possible.
func (g *Group) advance() {
	g.startLoads()
	g.finishDrains()
	for _, e := range g.engines {
		g.advanceTakeover(e)
		if g.disabled.noRecordFirst {
			g.sendDueOrders(e)
		}
		g.writeRecord(e)
		g.sendDueOrders(e)
		g.requestReport(e)
	}
	g.updateDigest()
}

// tick takes the actions that depend on time only.
func (g *Group) tick() {
	g.forgetRemovedHosts()
	g.cancelHungLoads()
	g.drainIdle()
	g.maintainMinReplicas()
	g.replaceOldVersions()
	g.scaleUp()
	g.requeueLostLoads()
	g.refuseBlocked()
	g.expireRequests()
}

func (g *Group) emit(effect Effect) { g.effects = append(g.effects, effect) }

// handleConfigured applies the engines and the catalog of a new configuration.
func (g *Group) handleConfigured(in Configured) {
	g.catalog = in.Catalog
	clear(g.minReplicaModels)
	for _, name := range in.MinReplicaModels {
		g.minReplicaModels[name] = true
	}
	for _, e := range g.engines {
		e.removed = true
	}
	for _, t := range in.Engines {
		if e := g.engine(t.Name); e != nil {
			e.cfg = t
			e.removed = false
			continue
		}
		e := &engineState{cfg: t, avoidUntil: make(map[model.Name]time.Time)}
		g.engines = append(g.engines, e)
	}
	slices.SortFunc(g.engines, func(a, b *engineState) int { return cmp.Compare(a.cfg.Name, b.cfg.Name) })
	for _, e := range g.engines {
		for _, rep := range e.replicas {
			rep.item = g.catalog.Item(rep.ref.Name)
		}
	}
	g.refuseUnknownModels()
}

// refuseUnknownModels refuses the load requests for models that were removed.
func (g *Group) refuseUnknownModels() {
	for _, r := range g.sortedRequests() {
		if g.catalog.Item(r.Model) == nil {
			g.refuse(r, outcome.ReasonUnknownModel, 0)
		}
	}
}

func (g *Group) engine(id target.ID) *engineState {
	for _, e := range g.engines {
		if e.cfg.Name == id {
			return e
		}
	}
	return nil
}

func (g *Group) leaseFor(e *engineState) *LeaseChanged {
	if e.cfg.ChecksFence {
		return &g.leases[1]
	}
	return &g.leases[0]
}

// mayOrder reports whether orders may be sent to an engine.
func (g *Group) mayOrder(e *engineState) bool {
	lease := g.leaseFor(e)
	return e.phase == phaseActive && lease.OK && lease.Lease.Fence == e.fence
}

// newOrderID returns an id that no other order of this or another owner has.
func (g *Group) newOrderID(e *engineState) engine.OrderID {
	e.lastOrderNumber++
	return engine.OrderID(g.uniqueID(e, e.lastOrderNumber))
}

// uniqueID returns this owner's id number n. It includes the group, since an
// engine may move to another group of the same host.
func (g *Group) uniqueID(e *engineState, n uint64) string {
	return fmt.Sprintf("%s-%08x-%d-%x-%d", e.cfg.Name, uint32(g.hash), e.fence, uint64(g.self.Incarnation), n)
}

// addReplica adds a replica to its engine.
func (g *Group) addReplica(rep *placedReplica) {
	g.listingsStale, g.memoryShares = true, nil
	e := rep.engine
	e.decisionsChanged()
	rep.loadVersion = e.version
	rep.item = g.catalog.Item(rep.ref.Name)
	e.replicas = append(e.replicas, rep)
	g.replicas[rep.ref.Name] = append(g.replicas[rep.ref.Name], rep)
}

// dropReplica removes a replica from the group's state.
func (g *Group) dropReplica(rep *placedReplica) {
	g.listingsStale, g.memoryShares = true, nil
	same := func(o *placedReplica) bool { return o == rep }
	rep.engine.decisionsChanged()
	rep.engine.replicas = slices.DeleteFunc(rep.engine.replicas, same)
	g.replicas[rep.ref.Name] = slices.DeleteFunc(g.replicas[rep.ref.Name], same)
	if len(g.replicas[rep.ref.Name]) == 0 {
		delete(g.replicas, rep.ref.Name)
	}
}

// decideLoad adds a replica to an engine. The load order is sent once the
// decision is recorded.
func (g *Group) decideLoad(e *engineState, item *Item, id team.ID, source Source) *placedReplica {
	rep := &placedReplica{
		engine: e, ref: item.Ref, bytes: item.Bytes, team: id, state: replicaDecided,
		source: source, decidedAt: g.now, decidedBoot: e.report.BootID, loadStartedAt: g.now, expectedLoadTime: g.loadTimes.expect(item, source),
	}
	rep.load.id = g.newOrderID(e)
	g.addReplica(rep)
	g.queue.charge(id, g.catalog.TeamWeight(id), rep.expectedLoadTime)
	if source == SourceRemote && !item.Ref.IsAdapter() {
		g.weightStorePacer.recordStart(g.now, g.weightStore.RatePerSecond)
	}
	return rep
}

func (g *Group) handleWeightStore(state WeightStoreState) {
	if state.RatePerSecond <= 0 || state.Slots <= 0 {
		return
	}
	g.weightStore = state
	g.otherWeightStoreLoads = max(0, state.Running+state.Waiting-g.ownWeightStoreLoads())
}
