package replica

import (
	"cmp"
	"math"
	"slices"
	"time"

	"hawthornway/model"
	"hawthornway/team"
)

const (
	// maxStarts bounds the models that are looked at for one step.
	maxStarts = 16
	// busyCost is what a whole engine's worth of running requests adds to the
	// cost of a placement, in seconds.
	busyCost = 0.5
	// failureCost is what each failed load adds to the cost of a placement at
	// the same engine, in seconds.
	failureCost = 10
)

// placement is an engine for a replica, with the replicas that must go first.
type placement struct {
	engine  *engineState
	source  Source
	victims []*entry
	cost    float64
}

// startLoads decides the loads that can start, in the order of the line.
func (g *Group) startLoads() {
	if g.line.len() == 0 || !g.open() {
		return
	}
	for i, w := range g.line.order(maxStarts) {
		g.tryStart(w)
		if i == 0 && w.blocked && w.plan == "" {
			g.holdRoom(w)
		}
	}
}

// holdRoom keeps the engine that has the most memory free of requests for the
// first model of the line, so that smaller ones behind it don't take what
// becomes free.
func (g *Group) holdRoom(w *waiting) {
	item := g.catalog.Item(w.name)
	if item == nil || item.Ref.IsAdapter() {
		return
	}
	var best *engineState
	var most model.Bytes
	for _, e := range g.engines {
		if !g.mayPlace(e, item) {
			continue
		}
		room := e.memory() - e.overhead() - g.planned(e, w)
		for _, en := range e.entries {
			if en.coming() || g.mustStay(en) || g.running(en) > 0 {
				room -= en.bytes
			}
		}
		if best == nil || room > most {
			best, most = e, room
		}
	}
	if best != nil {
		w.plan = best.cfg.Name
	}
}

// mayPlace reports whether a model may be loaded at an engine at all.
func (g *Group) mayPlace(e *engineState, item *Item) bool {
	if !e.takes() || !g.acting(e) || item.Bytes > e.memory() {
		return false
	}
	return !g.now.Before(e.avoid[item.Ref.Name]) && e.find(item.Ref.Name) == nil
}

// tryStart decides the load of a waiting model if an engine has room and the
// source has a free slot. Otherwise it begins to make room.
func (g *Group) tryStart(w *waiting) {
	item := g.catalog.Item(w.name)
	if item == nil || g.line.find(w.name) != w {
		return
	}
	if !w.extra && g.comingEntry(LoadRequest{Model: w.name}) != nil {
		g.line.remove(w)
		return
	}
	if item.Ref.IsAdapter() && !g.baseReady(w, item) {
		return
	}
	p, ok := g.place(item, w)
	w.block(!ok, g.now)
	if !ok {
		return
	}
	if len(p.victims) > 0 {
		w.plan = p.engine.cfg.Name
		for _, v := range p.victims {
			g.drain(v)
		}
		return
	}
	if !g.sourceFree(item, p.source) {
		return
	}
	g.line.remove(w)
	g.decide(p.engine, item, w.team, p.source)
}

// baseReady reports whether the model under a waiting adapter is ready
// somewhere. It puts the model in the line if it isn't on its way.
func (g *Group) baseReady(w *waiting, item *Item) bool {
	base := item.Ref.Base
	if slices.ContainsFunc(g.entries[base], (*entry).serving) {
		return true
	}
	want := LoadRequest{Model: base, Team: w.team, Deadline: w.deadline}
	if g.comingEntry(want) != nil {
		return false
	}
	waits := g.line.find(base)
	if waits == nil {
		waits = &waiting{name: base, team: w.team, deadline: w.deadline}
		g.line.push(waits, g.catalog.Weight(w.team))
		g.tryStart(waits)
	}
	w.block(waits.blocked, g.now)
	return false
}

// place chooses the engine on which a model is ready soonest, counting the cost
// of what must go for it.
func (g *Group) place(item *Item, w *waiting) (placement, bool) {
	best := placement{cost: math.Inf(1)}
	for _, e := range g.engines {
		if w.plan != "" && w.plan != e.cfg.Name {
			continue
		}
		if p, ok := g.placeAt(e, item, w); ok && p.cost < best.cost {
			best = p
		}
	}
	if best.engine != nil {
		return best, true
	}
	if w.plan != "" {
		w.plan = ""
		return g.place(item, w)
	}
	return placement{}, false
}

// placeAt weighs one engine for a model.
func (g *Group) placeAt(e *engineState, item *Item, w *waiting) (placement, bool) {
	if !g.mayPlace(e, item) {
		return placement{}, false
	}
	if item.Ref.IsAdapter() && !baseServing(e, item.Ref.Base) {
		return placement{}, false
	}
	p := placement{engine: e, source: e.source(item.Ref)}
	p.cost = (g.sourceDelay(item, p.source) + g.speed.expect(item, p.source)).Seconds() + busyCost*e.busyPart() + failureCost*float64(e.failures)
	short := item.Bytes + g.adapterBytes(item) - (e.memory() - g.taken(e) - g.planned(e, w))
	if short <= 0 {
		return p, true
	}
	victims, cost, ok := g.victims(e, short, item, w.team)
	if !ok {
		return placement{}, false
	}
	p.victims = victims
	p.cost += cost + drainExpected.Seconds()
	return p, true
}

// taken returns the memory that an engine's replicas may take.
func (g *Group) taken(e *engineState) model.Bytes {
	if g.off.noReservation {
		return e.report.Used
	}
	return e.reserved()
}

// planned returns the memory that is being made free on an engine for others
// that wait.
func (g *Group) planned(e *engineState, but *waiting) model.Bytes {
	var sum model.Bytes
	for _, w := range g.line.byName {
		if w == but || w.plan != e.cfg.Name {
			continue
		}
		if item := g.catalog.Item(w.name); item != nil {
			sum += item.Bytes
		}
	}
	return sum
}

// adapterBytes returns the memory of the largest adapter that waits for a
// model, so that it fits beside it.
func (g *Group) adapterBytes(base *Item) model.Bytes {
	var largest model.Bytes
	for _, w := range g.line.byName {
		item := g.catalog.Item(w.name)
		if item != nil && item.Ref.Base == base.Ref.Name {
			largest = max(largest, item.Bytes)
		}
	}
	return largest
}

func baseServing(e *engineState, base model.Name) bool {
	en := e.find(base)
	return en != nil && en.serving()
}

// busyPart returns an engine's requests per slot.
func (e *engineState) busyPart() float64 {
	return float64(e.report.Running+e.report.Queued) / float64(max(1, e.report.Slots))
}

// sourceFree reports whether a load from a source runs at full speed now.
func (g *Group) sourceFree(item *Item, source Source) bool {
	switch {
	case item.Ref.IsAdapter():
		return g.adaptersLoading() < maxAdapterLoads
	case source != SourceRemote:
		return true
	default:
		return g.pace.ready(g.now) && g.fetching() < g.weights.Slots
	}
}

// sourceDelay returns the time until a load from a source would start.
func (g *Group) sourceDelay(item *Item, source Source) time.Duration {
	if source != SourceRemote || item.Ref.IsAdapter() {
		return 0
	}
	return queueDelay(g.weights, g.fetching(), 0, g.speed.expect(item, SourceRemote))
}

// fetching returns the model loads that the weight store has to run: this
// group's now, and those of others when they were last read.
func (g *Group) fetching() int { return g.ownFetching() + g.others }

// ownFetching counts the group's model loads from the weight store.
func (g *Group) ownFetching() int {
	own := 0
	for _, e := range g.engines {
		for _, en := range e.entries {
			if en.coming() && en.source == SourceRemote && !en.ref.IsAdapter() {
				own++
			}
		}
	}
	return own
}

// adaptersLoading returns the adapter loads in flight.
func (g *Group) adaptersLoading() int {
	own := 0
	for _, e := range g.engines {
		for _, en := range e.entries {
			if en.coming() && en.ref.IsAdapter() {
				own++
			}
		}
	}
	return max(own, g.weights.Adapters)
}

// victims chooses the replicas of an engine that cost least to lose and free at
// least short bytes.
func (g *Group) victims(e *engineState, short model.Bytes, item *Item, id team.ID) ([]*entry, float64, bool) {
	// Memory that is being freed already counts.
	for _, en := range e.entries {
		if en.state == entryDraining || en.state == entryUnloading {
			short -= en.bytes
		}
	}
	fair := g.fairShares()
	var candidates []*entry
	for _, en := range e.entries {
		if en.ref.Name != item.Ref.Base && g.evictable(en) && fair.mayEvict(en, id, item.Bytes, g.now) {
			candidates = append(candidates, en)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *entry) int {
		if c := cmp.Compare(fair.over(b), fair.over(a)); c != 0 {
			return c
		}
		return cmp.Compare(g.lossPerByte(a), g.lossPerByte(b))
	})
	var victims []*entry
	cost := 0.0
	for _, en := range candidates {
		if short <= 0 {
			break
		}
		if slices.Contains(victims, en) {
			continue
		}
		for _, v := range g.withAdapters(en) {
			victims = append(victims, v)
			short -= v.bytes
			cost += g.loss(v)
		}
	}
	return victims, cost, short <= 0
}

// withAdapters returns a replica and the adapters that go with it.
func (g *Group) withAdapters(en *entry) []*entry {
	all := []*entry{en}
	if en.ref.IsAdapter() {
		return all
	}
	for _, o := range en.engine.entries {
		if o.ref.Base == en.ref.Name && o.serving() {
			all = append(all, o)
		}
	}
	return all
}

const (
	// readyGrace is the time after its load in which a replica isn't evicted
	// unless it was used, so that those who waited can use it.
	readyGrace = 3 * time.Second
	// activeSpan is the time after a request in which a replica isn't evicted.
	activeSpan = time.Second
	// lossHorizon is the time over which a loss is weighed, in seconds.
	lossHorizon = 30
)

// evictable reports whether a replica, with its adapters, has no request and
// need not stay.
func (g *Group) evictable(en *entry) bool {
	if !g.resting(en) || g.mustStay(en) {
		return false
	}
	for _, o := range en.engine.entries {
		if !en.ref.IsAdapter() && o.ref.Base == en.ref.Name && !g.resting(o) {
			return false
		}
	}
	return true
}

// resting reports whether a replica has no request and those who waited for it
// have had the time to use it.
func (g *Group) resting(en *entry) bool {
	waitedFor := !en.usedOnce && g.now.Sub(en.readyAt) < readyGrace
	return en.serving() && !waitedFor && g.idle(en, activeSpan)
}

// mustStay reports whether a replica is one of the least number that the group
// keeps of its model.
func (g *Group) mustStay(en *entry) bool {
	if en.item == nil || !g.keeps[en.ref.Name] {
		return false
	}
	if en.ref.Version != en.item.Ref.Version {
		return false
	}
	return g.servingCount(en.ref) <= en.item.MinReplicas
}

// servingCount counts the ready replicas of one version of a model.
func (g *Group) servingCount(ref model.Ref) int {
	n := 0
	for _, en := range g.entries[ref.Name] {
		if en.serving() && en.ref == ref && !en.engine.report.Draining {
			n++
		}
	}
	return n
}

// loss returns what losing a replica is expected to cost over the next while:
// the time to load it again by the chance that it is used, in seconds.
func (g *Group) loss(en *entry) float64 {
	if en.item == nil || g.servingCount(en.ref) > 1 {
		return 0
	}
	reload := g.speed.expect(en.item, en.engine.source(en.ref)).Seconds()
	gap := max(g.gap(en.ref.Name), g.now.Sub(en.lastUse)).Seconds()
	return reload * (1 - math.Exp(-lossHorizon/max(gap, 0.001)))
}

func (g *Group) lossPerByte(en *entry) float64 { return g.loss(en) / float64(max(1, en.bytes)) }
