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
	// maxStartsPerStep limits the number of queued loads that one step
	// examines.
	maxStartsPerStep = 16
	// utilizationCostSeconds is the placement cost, in seconds, of an engine
	// whose slots are all in use.
	utilizationCostSeconds = 0.5
	// failedLoadCostSeconds is the placement cost, in seconds, of each recent
	// failed load at an engine.
	failedLoadCostSeconds = 10
)

// placement is an engine for a replica, with the replicas to evict first.
type placement struct {
	engine    *engineState
	source    Source
	evictions []*placedReplica
	cost      float64
}

// startLoads decides the loads that can start, in queue order.
func (g *Group) startLoads() {
	if g.queue.len() == 0 || !g.acceptsLoads() {
		return
	}
	for i, load := range g.queue.order(maxStartsPerStep) {
		g.tryStart(load)
		if i == 0 && load.blocked && load.plannedEngine == "" {
			g.reserveEngine(load)
		}
	}
}

// reserveEngine reserves the engine with the most memory that is not in use by
// requests for the first load of the queue, so that smaller loads behind it
// don't take the memory that becomes free.
func (g *Group) reserveEngine(load *queuedLoad) {
	item := g.catalog.Item(load.name)
	if item == nil || item.Ref.IsAdapter() {
		return
	}
	var best *engineState
	var bestHeadroom model.Bytes
	for _, e := range g.engines {
		if !g.canPlace(e, item) {
			continue
		}
		headroom := e.memory() - e.overhead() - g.plannedMemory(e, load)
		for _, rep := range e.replicas {
			if rep.pending() || g.neededForMinimum(rep) || g.runningRequests(rep) > 0 {
				headroom -= rep.bytes
			}
		}
		if best == nil || headroom > bestHeadroom {
			best, bestHeadroom = e, headroom
		}
	}
	if best != nil {
		load.plannedEngine = best.cfg.Name
	}
}

// canPlace reports whether a model may be loaded on an engine at all.
func (g *Group) canPlace(e *engineState, item *Item) bool {
	if !e.acceptsLoads() || !g.mayOrder(e) || item.Bytes > e.memory() {
		return false
	}
	return !g.now.Before(e.avoidUntil[item.Ref.Name]) && e.find(item.Ref.Name) == nil
}

// tryStart decides a queued load if an engine has free memory and the source
// has a free slot. If memory is short, it drains the replicas to evict.
func (g *Group) tryStart(load *queuedLoad) {
	item := g.catalog.Item(load.name)
	if item == nil || g.queue.find(load.name) != load {
		return
	}
	if !load.extra && g.pendingReplica(LoadRequest{Model: load.name}) != nil {
		g.queue.remove(load)
		return
	}
	if item.Ref.IsAdapter() && !g.baseReady(load, item) {
		return
	}
	p, ok := g.place(item, load)
	load.setBlocked(!ok, g.now)
	if !ok {
		return
	}
	if len(p.evictions) > 0 {
		load.plannedEngine = p.engine.cfg.Name
		for _, evicted := range p.evictions {
			g.drain(evicted)
		}
		return
	}
	if !g.sourceAvailable(item, p.source) {
		return
	}
	g.queue.remove(load)
	g.decideLoad(p.engine, item, load.team, p.source)
}

// baseReady reports whether the base model of a queued adapter is ready on some
// engine. It queues the base model if that is not loading.
func (g *Group) baseReady(load *queuedLoad, item *Item) bool {
	base := item.Ref.Base
	if slices.ContainsFunc(g.replicas[base], (*placedReplica).serving) {
		return true
	}
	request := LoadRequest{Model: base, Team: load.team, Deadline: load.deadline}
	if g.pendingReplica(request) != nil {
		return false
	}
	queued := g.queue.find(base)
	if queued == nil {
		queued = &queuedLoad{name: base, team: load.team, deadline: load.deadline}
		g.queue.push(queued, g.catalog.TeamWeight(load.team))
		g.tryStart(queued)
	}
	load.setBlocked(queued.blocked, g.now)
	return false
}

// place chooses the engine on which a model is expected to be ready soonest,
// including the cost of evictions.
func (g *Group) place(item *Item, load *queuedLoad) (placement, bool) {
	best := placement{cost: math.Inf(1)}
	for _, e := range g.engines {
		if load.plannedEngine != "" && load.plannedEngine != e.cfg.Name {
			continue
		}
		if p, ok := g.evaluateEngine(e, item, load); ok && p.cost < best.cost {
			best = p
		}
	}
	if best.engine != nil {
		return best, true
	}
	if load.plannedEngine != "" {
		load.plannedEngine = ""
		return g.place(item, load)
	}
	return placement{}, false
}

// evaluateEngine returns the placement of a model on one engine and its cost.
func (g *Group) evaluateEngine(e *engineState, item *Item, load *queuedLoad) (placement, bool) {
	if !g.canPlace(e, item) {
		return placement{}, false
	}
	if item.Ref.IsAdapter() && !baseServing(e, item.Ref.Base) {
		return placement{}, false
	}
	p := placement{engine: e, source: e.source(item.Ref)}
	p.cost = (g.sourceDelay(item, p.source) + g.loadTimes.expect(item, p.source)).Seconds() + utilizationCostSeconds*e.utilization() + failedLoadCostSeconds*float64(e.failedLoads)
	needed := item.Bytes + g.largestQueuedAdapter(item) - (e.memory() - g.memoryInUse(e) - g.plannedMemory(e, load))
	if needed <= 0 {
		return p, true
	}
	evictions, cost, ok := g.chooseEvictions(e, needed, item, load.team)
	if !ok {
		return placement{}, false
	}
	p.evictions = evictions
	p.cost += cost + expectedDrainTime.Seconds()
	return p, true
}

// memoryInUse returns the memory of an engine that new replicas can't use.
func (g *Group) memoryInUse(e *engineState) model.Bytes {
	if g.disabled.noReservation {
		return e.report.Used
	}
	return e.reserved()
}

// plannedMemory returns the memory of an engine that is being freed for other
// queued loads.
func (g *Group) plannedMemory(e *engineState, except *queuedLoad) model.Bytes {
	var sum model.Bytes
	for _, load := range g.queue.byName {
		if load == except || load.plannedEngine != e.cfg.Name {
			continue
		}
		if item := g.catalog.Item(load.name); item != nil {
			sum += item.Bytes
		}
	}
	return sum
}

// largestQueuedAdapter returns the memory of the largest queued adapter of a
// model, so that it fits beside the model.
func (g *Group) largestQueuedAdapter(base *Item) model.Bytes {
	var largest model.Bytes
	for _, load := range g.queue.byName {
		item := g.catalog.Item(load.name)
		if item != nil && item.Ref.Base == base.Ref.Name {
			largest = max(largest, item.Bytes)
		}
	}
	return largest
}

func baseServing(e *engineState, base model.Name) bool {
	rep := e.find(base)
	return rep != nil && rep.serving()
}

// utilization returns an engine's requests per slot.
func (e *engineState) utilization() float64 {
	return float64(e.report.Running+e.report.Queued) / float64(max(1, e.report.Slots))
}

// sourceAvailable reports whether a load from a source may start now and would
// run at full speed.
func (g *Group) sourceAvailable(item *Item, source Source) bool {
	switch {
	case item.Ref.IsAdapter():
		return g.adapterLoads() < maxAdapterLoads
	case source != SourceRemote:
		return true
	default:
		return g.weightStorePacer.ready(g.now) && g.weightStoreLoads() < g.weightStore.Slots
	}
}

// sourceDelay returns the time until a load from a source would start.
func (g *Group) sourceDelay(item *Item, source Source) time.Duration {
	if source != SourceRemote || item.Ref.IsAdapter() {
		return 0
	}
	return queueDelay(g.weightStore, g.weightStoreLoads(), 0, g.loadTimes.expect(item, SourceRemote))
}

// weightStoreLoads counts the model loads from the weight store: this group's
// now, and those of other groups when the weight store was last read.
func (g *Group) weightStoreLoads() int { return g.ownWeightStoreLoads() + g.otherWeightStoreLoads }

// ownWeightStoreLoads counts this group's model loads from the weight store.
func (g *Group) ownWeightStoreLoads() int {
	count := 0
	for _, e := range g.engines {
		for _, rep := range e.replicas {
			if rep.pending() && rep.source == SourceRemote && !rep.ref.IsAdapter() {
				count++
			}
		}
	}
	return count
}

// adapterLoads returns the number of adapter loads in flight.
func (g *Group) adapterLoads() int {
	count := 0
	for _, e := range g.engines {
		for _, rep := range e.replicas {
			if rep.pending() && rep.ref.IsAdapter() {
				count++
			}
		}
	}
	return max(count, g.weightStore.Adapters)
}

// chooseEvictions chooses the replicas of an engine that are cheapest to evict
// and free at least needed bytes.
func (g *Group) chooseEvictions(e *engineState, needed model.Bytes, item *Item, id team.ID) ([]*placedReplica, float64, bool) {
	// Memory that is being freed counts already.
	for _, rep := range e.replicas {
		if rep.state == replicaDraining || rep.state == replicaUnloading {
			needed -= rep.bytes
		}
	}
	shares := g.currentMemoryShares()
	var candidates []*placedReplica
	for _, rep := range e.replicas {
		if rep.ref.Name != item.Ref.Base && g.evictable(rep) && shares.mayEvict(rep, id, item.Bytes, g.now) {
			candidates = append(candidates, rep)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *placedReplica) int {
		if c := cmp.Compare(shares.overShare(b), shares.overShare(a)); c != 0 {
			return c
		}
		return cmp.Compare(g.evictionCostPerByte(a), g.evictionCostPerByte(b))
	})
	var evictions []*placedReplica
	cost := 0.0
	for _, rep := range candidates {
		if needed <= 0 {
			break
		}
		if slices.Contains(evictions, rep) {
			continue
		}
		for _, evicted := range g.withAdapters(rep) {
			evictions = append(evictions, evicted)
			needed -= evicted.bytes
			cost += g.evictionCost(evicted)
		}
	}
	return evictions, cost, needed <= 0
}

// withAdapters returns a replica and the adapters that are evicted with it.
func (g *Group) withAdapters(rep *placedReplica) []*placedReplica {
	all := []*placedReplica{rep}
	if rep.ref.IsAdapter() {
		return all
	}
	for _, o := range rep.engine.replicas {
		if o.ref.Base == rep.ref.Name && o.serving() {
			all = append(all, o)
		}
	}
	return all
}

const (
	// readyGracePeriod is the time after its load for which an unused replica
	// isn't evicted, so that the requests that waited for it can use it.
	readyGracePeriod = 3 * time.Second
	// recentUsePeriod is the time after a request for which a replica isn't
	// evicted.
	recentUsePeriod = time.Second
	// evictionHorizonSeconds is the time, in seconds, over which the cost of an
	// eviction is estimated.
	evictionHorizonSeconds = 30
)

// evictable reports whether a replica and its adapters have no requests and the
// minimum number of replicas allows its eviction.
func (g *Group) evictable(rep *placedReplica) bool {
	if !g.unused(rep) || g.neededForMinimum(rep) {
		return false
	}
	for _, o := range rep.engine.replicas {
		if !rep.ref.IsAdapter() && o.ref.Base == rep.ref.Name && !g.unused(o) {
			return false
		}
	}
	return true
}

// unused reports whether a replica has no requests and those that waited for it
// have had time to use it.
func (g *Group) unused(rep *placedReplica) bool {
	inGracePeriod := !rep.usedSinceReady && g.now.Sub(rep.readyAt) < readyGracePeriod
	return rep.serving() && !inGracePeriod && g.idle(rep, recentUsePeriod)
}

// neededForMinimum reports whether evicting a replica would leave fewer than
// the minimum number that the group maintains of its model.
func (g *Group) neededForMinimum(rep *placedReplica) bool {
	if rep.item == nil || !g.minReplicaModels[rep.ref.Name] {
		return false
	}
	if rep.ref.Version != rep.item.Ref.Version {
		return false
	}
	return g.servingReplicaCount(rep.ref) <= rep.item.MinReplicas
}

// servingReplicaCount counts the ready replicas of one version of a model on
// engines that are not draining.
func (g *Group) servingReplicaCount(ref model.Ref) int {
	n := 0
	for _, rep := range g.replicas[ref.Name] {
		if rep.serving() && rep.ref == ref && !rep.engine.report.Draining {
			n++
		}
	}
	return n
}

// evictionCost returns the expected cost of evicting a replica, in seconds: the
// time to load it again multiplied by the probability that it is used within
// the eviction horizon.
func (g *Group) evictionCost(rep *placedReplica) float64 {
	if rep.item == nil || g.servingReplicaCount(rep.ref) > 1 {
		return 0
	}
	reload := g.loadTimes.expect(rep.item, rep.engine.source(rep.ref)).Seconds()
	gap := max(g.meanUseGap(rep.ref.Name), g.now.Sub(rep.lastUse)).Seconds()
	return reload * (1 - math.Exp(-evictionHorizonSeconds/max(gap, 0.001)))
}

func (g *Group) evictionCostPerByte(rep *placedReplica) float64 {
	return g.evictionCost(rep) / float64(max(1, rep.bytes))
}
