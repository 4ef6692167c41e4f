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
	// OrderHorizon is the time after which an order that was sent can't arrive
	// any more.
	OrderHorizon = 20 * time.Second

	retryEvery = time.Second
	// freshEvery is the time between fresh reports while something is awaited.
	freshEvery = 100 * time.Millisecond
	// answerMargin is how long before its deadline a want is refused, so that
	// the refusal still reaches the host.
	answerMargin = 150 * time.Millisecond
)

// mechanisms switches single mechanisms off, to test that the proofs notice.
type mechanisms struct {
	noReservation bool
	noHorizon     bool
	noRecordFirst bool
	noHoldCheck   bool
}

// Group decides about the memory of a set of engines. It is a deterministic
// state machine: it learns facts by Step and returns what is to be done. It is
// used by one goroutine at a time.
type Group struct {
	key  GroupKey
	hash uint64
	self fleet.Member
	off  mechanisms

	now     time.Time
	effects []Effect

	catalog *Catalog
	keeps   map[model.Name]bool
	engines []*engineState
	// holds is indexed by whether the hold is for engines that check fences.
	holds [2]Held
	wants map[WantID]*want
	// waits lists the wants of a model that are not answered.
	waits   map[model.Name][]*want
	line    *line
	entries map[model.Name][]*entry

	hosts   []fleet.HostID
	uses    map[fleet.HostID]*hostUse
	traffic map[model.Name]*traffic

	speed   *loadSpeed
	weights WeightStoreState
	// others counts the model loads of other groups when they were last read.
	others int
	pace   pace

	listed []Listing
	number uint64
	// stale says that the listings may have changed.
	stale bool
	// fair is the fair division of memory of this step; nil until it is needed.
	fair *fairMemory
}

// NewGroup returns a new Group of engines that self may come to own.
func NewGroup(key GroupKey, self fleet.Member) *Group {
	return &Group{
		key: key, hash: xxhash.Sum64String(key.String()), self: self,
		catalog: NewCatalog(&config.Config{}),
		keeps:   make(map[model.Name]bool),
		wants:   make(map[WantID]*want),
		waits:   make(map[model.Name][]*want),
		line:    newLine(),
		entries: make(map[model.Name][]*entry),
		uses:    make(map[fleet.HostID]*hostUse),
		traffic: make(map[model.Name]*traffic),
		speed:   newLoadSpeed(),
		weights: WeightStoreState{RatePerSecond: defaultWeightRate, Slots: defaultWeightSlots},
	}
}

// Step takes in one fact at a time that never goes back, and returns what is to
// be done.
func (g *Group) Step(now time.Time, in Input) []Effect {
	g.now = now
	g.effects = nil
	g.fair = nil
	switch in := in.(type) {
	case Configured:
		g.stale = true
		g.configured(in)
	case Held:
		g.stale = true
		g.held(in)
	case Wanted:
		g.wanted(in)
	case Left:
		g.left(in.ID)
	case Reported:
		g.stale = true
		g.reported(in)
	case Unreached:
		g.unreached(in.Target)
	case RecordRead:
		g.recordRead(in)
	case RecordWritten:
		g.recordWritten(in)
	case Ordered:
		g.ordered(in)
	case Used:
		g.used(in)
	case HostsChanged:
		g.hostsChanged(in.Hosts)
	case WeightsRead:
		g.weightsKnown(in.Weights)
	case Tick:
		g.tick()
	default:
		panic(fmt.Sprintf("replica: unknown input %T", in))
	}
	g.advance()
	return g.effects
}

// advance does what has become possible.
func (g *Group) advance() {
	g.startLoads()
	g.endDrains()
	for _, e := range g.engines {
		g.takeOver(e)
		if g.off.noRecordFirst {
			g.giveOrders(e)
		}
		g.writeRecord(e)
		g.giveOrders(e)
		g.askReport(e)
	}
	g.relist()
}

// tick does what depends on time only.
func (g *Group) tick() {
	g.dropGone()
	g.cancelHungLoads()
	g.releaseIdle()
	g.keepLeast()
	g.renewVersions()
	g.scaleUp()
	g.lineUpWants()
	g.refuseBlocked()
	g.endWants()
}

func (g *Group) emit(effect Effect) { g.effects = append(g.effects, effect) }

// configured takes the engines and the catalog of a new configuration.
func (g *Group) configured(in Configured) {
	g.catalog = in.Catalog
	clear(g.keeps)
	for _, name := range in.Keeps {
		g.keeps[name] = true
	}
	for _, e := range g.engines {
		e.gone = true
	}
	for _, t := range in.Engines {
		if e := g.engine(t.Name); e != nil {
			e.cfg = t
			e.gone = false
			continue
		}
		e := &engineState{cfg: t, avoid: make(map[model.Name]time.Time)}
		g.engines = append(g.engines, e)
	}
	slices.SortFunc(g.engines, func(a, b *engineState) int { return cmp.Compare(a.cfg.Name, b.cfg.Name) })
	for _, e := range g.engines {
		for _, en := range e.entries {
			en.item = g.catalog.Item(en.ref.Name)
		}
	}
	g.refuseUnknown()
}

// refuseUnknown refuses the wants of models that were removed.
func (g *Group) refuseUnknown() {
	for _, w := range g.sortedWants() {
		if g.catalog.Item(w.Model) == nil {
			g.refuse(w, outcome.ReasonUnknownModel, 0)
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

func (g *Group) hold(e *engineState) *Held {
	if e.cfg.ChecksFence {
		return &g.holds[1]
	}
	return &g.holds[0]
}

// acting reports whether orders may be given to an engine.
func (g *Group) acting(e *engineState) bool {
	h := g.hold(e)
	return e.phase == phaseOpen && h.OK && h.Hold.Fence == e.fence
}

// newID returns an id that no other order of any owner has.
func (g *Group) newID(e *engineState) engine.OrderID {
	e.nextID++
	return engine.OrderID(g.ownID(e, e.nextID))
}

// ownID returns an id for the n-th of something of this owner. It names the
// group, since an engine may move to another group of the same host.
func (g *Group) ownID(e *engineState, n uint64) string {
	return fmt.Sprintf("%s-%08x-%d-%x-%d", e.cfg.Name, uint32(g.hash), e.fence, uint64(g.self.Incarnation), n)
}

// addEntry puts an entry on its engine.
func (g *Group) addEntry(en *entry) {
	g.stale, g.fair = true, nil
	e := en.engine
	e.changed()
	en.version = e.version
	en.item = g.catalog.Item(en.ref.Name)
	e.entries = append(e.entries, en)
	g.entries[en.ref.Name] = append(g.entries[en.ref.Name], en)
}

// dropEntry removes an entry that is proved gone.
func (g *Group) dropEntry(en *entry) {
	g.stale, g.fair = true, nil
	same := func(o *entry) bool { return o == en }
	en.engine.changed()
	en.engine.entries = slices.DeleteFunc(en.engine.entries, same)
	g.entries[en.ref.Name] = slices.DeleteFunc(g.entries[en.ref.Name], same)
	if len(g.entries[en.ref.Name]) == 0 {
		delete(g.entries, en.ref.Name)
	}
}

// decide adds a replica to an engine. The order follows once the decision is
// recorded.
func (g *Group) decide(e *engineState, item *Item, id team.ID, source Source) *entry {
	en := &entry{
		engine: e, ref: item.Ref, bytes: item.Bytes, team: id, state: entryDecided,
		source: source, decidedAt: g.now, decidedBoot: e.report.Boot, startedAt: g.now, expected: g.speed.expect(item, source),
	}
	en.load.id = g.newID(e)
	g.addEntry(en)
	g.line.charge(id, g.catalog.Weight(id), en.expected)
	if source == SourceRemote && !item.Ref.IsAdapter() {
		g.pace.take(g.now, g.weights.RatePerSecond)
	}
	return en
}

func (g *Group) weightsKnown(w WeightStoreState) {
	if w.RatePerSecond <= 0 || w.Slots <= 0 {
		return
	}
	g.weights = w
	g.others = max(0, w.Running+w.Waiting-g.ownFetching())
}
