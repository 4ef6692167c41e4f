package replica

import (
	"slices"
	"time"

	"hawthornway/model"
)

const (
	// scaleUpDelay is how long all replicas of a model must be saturated before
	// another one is loaded.
	scaleUpDelay = 3 * time.Second
	// saturatedUtilization is the fraction of its slots in use from which an
	// engine counts as saturated.
	saturatedUtilization = 0.9
	// extraLoadDelay is the time from the queueing of a load without requests
	// to its deadline, so that it is behind loads with requests.
	extraLoadDelay = 5 * time.Minute
	// versionReplaceTimeout is how long a new version waits for memory beside
	// the old one.
	versionReplaceTimeout = 30 * time.Second
)

// cancelHungLoads cancels the loads that exceed their maximum time. Their
// memory stays reserved until they are confirmed gone.
func (g *Group) cancelHungLoads() {
	for _, e := range g.engines {
		if !g.mayOrder(e) {
			continue
		}
		for _, rep := range e.replicas {
			if rep.state != replicaLoading || g.now.Sub(rep.loadStartedAt) <= maxLoadTime(rep.expectedLoadTime) {
				continue
			}
			g.loadTimes.observeHung(rep.item, rep.source)
			g.cancelLoad(rep)
		}
	}
}

// drainIdle drains the replicas that have been unused for their idle timeout.
func (g *Group) drainIdle() {
	for _, e := range g.engines {
		if !g.mayOrder(e) {
			continue
		}
		for _, rep := range e.replicas {
			if g.mayDrainIdle(rep) {
				g.drain(rep)
			}
		}
	}
}

func (g *Group) mayDrainIdle(rep *placedReplica) bool {
	if !rep.serving() || g.neededForMinimum(rep) || g.hasAdapters(rep) || len(g.requestsByModel[rep.ref.Name]) > 0 {
		return false
	}
	if rep.item == nil {
		return g.idle(rep, recentUsePeriod)
	}
	return g.idle(rep, rep.item.IdleTimeout)
}

// maintainMinReplicas queues loads for models that have fewer replicas than
// their minimum.
func (g *Group) maintainMinReplicas() {
	for _, item := range g.catalog.withMinReplicas {
		name := item.Ref.Name
		if !g.minReplicaModels[name] || g.queue.find(name) != nil {
			continue
		}
		if g.activeReplicaCount(item.Ref) < item.MinReplicas {
			g.enqueueExtra(item)
		}
	}
}

// activeReplicaCount counts the replicas of a version that are serving, decided
// or loading on engines that are not draining.
func (g *Group) activeReplicaCount(ref model.Ref) int {
	n := 0
	for _, rep := range g.replicas[ref.Name] {
		if rep.ref == ref && (rep.serving() || rep.pending()) && !rep.engine.report.Draining {
			n++
		}
	}
	return n
}

func (g *Group) enqueueExtra(item *Item) {
	load := &queuedLoad{name: item.Ref.Name, deadline: g.now.Add(extraLoadDelay), extra: true, enqueuedAt: g.now}
	if replicas := g.replicas[item.Ref.Name]; len(replicas) > 0 {
		load.team = replicas[0].team
	}
	g.queue.push(load, g.catalog.TeamWeight(load.team))
}

// replaceOldVersions replaces replicas of a version that is no longer
// configured. The new version is loaded first if there is memory, then the old
// one is drained.
func (g *Group) replaceOldVersions() {
	for _, e := range g.engines {
		if !g.mayOrder(e) {
			continue
		}
		for _, rep := range e.replicas {
			if rep.serving() && rep.item != nil && rep.ref.Version != rep.item.Ref.Version {
				g.replaceOldVersion(rep)
			}
		}
	}
}

func (g *Group) replaceOldVersion(rep *placedReplica) {
	if g.servingReplicaCount(rep.item.Ref) > 0 {
		g.drain(rep)
		return
	}
	queued := g.queue.find(rep.ref.Name)
	if queued == nil {
		if g.activeReplicaCount(rep.item.Ref) == 0 {
			g.enqueueExtra(rep.item)
		}
		return
	}
	if g.now.Sub(queued.enqueuedAt) > versionReplaceTimeout && g.idle(rep, recentUsePeriod) {
		g.drain(rep)
	}
}

// scaleUp queues one more replica of each model whose replicas have been
// saturated for scaleUpDelay.
func (g *Group) scaleUp() {
	for _, name := range g.modelsWithReplicas() {
		use := g.modelUses[name]
		if use == nil {
			continue
		}
		if !g.saturated(name) {
			use.saturatedSince = time.Time{}
			continue
		}
		if use.saturatedSince.IsZero() {
			use.saturatedSince = g.now
		}
		item := g.catalog.Item(name)
		if g.now.Sub(use.saturatedSince) < scaleUpDelay || g.queue.find(name) != nil || g.activeReplicaCount(item.Ref) >= item.MaxReplicas {
			continue
		}
		use.saturatedSince = time.Time{}
		g.enqueueExtra(item)
	}
}

// saturated reports whether all replicas of a model are on saturated engines
// and some request uses one of them.
func (g *Group) saturated(name model.Name) bool {
	item := g.catalog.Item(name)
	if item == nil || item.Ref.IsAdapter() {
		return false
	}
	requests := 0
	for _, rep := range g.replicas[name] {
		if rep.pending() || rep.serving() && rep.engine.utilization() < saturatedUtilization {
			return false
		}
		requests += g.runningRequests(rep)
	}
	return requests > 0
}

// modelsWithReplicas returns the names of the models with replicas, sorted.
func (g *Group) modelsWithReplicas() []model.Name {
	names := make([]model.Name, 0, len(g.replicas))
	for name := range g.replicas {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
