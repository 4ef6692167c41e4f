package replica

import (
	"slices"
	"time"

	"hawthornway/model"
)

const (
	// scaleUpAfter is how long all replicas of a model must be full before one
	// more is loaded.
	scaleUpAfter = 3 * time.Second
	// fullPart is the part of its slots in use from which an engine counts as
	// full.
	fullPart = 0.9
	// extraDeadline places loads that no want waits for behind others.
	extraDeadline = 5 * time.Minute
	// renewPatience is how long a new version waits for room beside the old one.
	renewPatience = 30 * time.Second
)

// cancelHungLoads ends the loads that take longer than their bound. Their
// memory stays reserved until they are proved gone.
func (g *Group) cancelHungLoads() {
	for _, e := range g.engines {
		if !g.acting(e) {
			continue
		}
		for _, en := range e.entries {
			if en.state != entryLoading || g.now.Sub(en.startedAt) <= loadBound(en.expected) {
				continue
			}
			g.speed.suspect(en.item, en.source)
			g.cancel(en)
		}
	}
}

// releaseIdle drains the replicas that nobody has used for their idle time.
func (g *Group) releaseIdle() {
	for _, e := range g.engines {
		if !g.acting(e) {
			continue
		}
		for _, en := range e.entries {
			if g.releasable(en) {
				g.drain(en)
			}
		}
	}
}

func (g *Group) releasable(en *entry) bool {
	if !en.serving() || g.mustStay(en) || g.hasAdapters(en) || len(g.waits[en.ref.Name]) > 0 {
		return false
	}
	if en.item == nil {
		return g.idle(en, activeSpan)
	}
	return g.idle(en, en.item.IdleAfter)
}

// keepLeast lines up the replicas that are missing from the least number.
func (g *Group) keepLeast() {
	for _, item := range g.catalog.kept {
		name := item.Ref.Name
		if !g.keeps[name] || g.line.find(name) != nil {
			continue
		}
		if g.present(item.Ref) < item.MinReplicas {
			g.lineUpExtra(item)
		}
	}
}

// present counts the replicas of a version that serve or are on their way at
// engines that stay.
func (g *Group) present(ref model.Ref) int {
	n := 0
	for _, en := range g.entries[ref.Name] {
		if en.ref == ref && (en.serving() || en.coming()) && !en.engine.report.Draining {
			n++
		}
	}
	return n
}

func (g *Group) lineUpExtra(item *Item) {
	w := &waiting{name: item.Ref.Name, deadline: g.now.Add(extraDeadline), extra: true, since: g.now}
	if entries := g.entries[item.Ref.Name]; len(entries) > 0 {
		w.team = entries[0].team
	}
	g.line.push(w, g.catalog.Weight(w.team))
}

// renewVersions replaces replicas of a version that is no longer configured:
// the new one is loaded first if there is room, and the old one drained.
func (g *Group) renewVersions() {
	for _, e := range g.engines {
		if !g.acting(e) {
			continue
		}
		for _, en := range e.entries {
			if en.serving() && en.item != nil && en.ref.Version != en.item.Ref.Version {
				g.renew(en)
			}
		}
	}
}

func (g *Group) renew(en *entry) {
	if g.servingCount(en.item.Ref) > 0 {
		g.drain(en)
		return
	}
	waits := g.line.find(en.ref.Name)
	if waits == nil {
		if g.present(en.item.Ref) == 0 {
			g.lineUpExtra(en.item)
		}
		return
	}
	if g.now.Sub(waits.since) > renewPatience && g.idle(en, activeSpan) {
		g.drain(en)
	}
}

// scaleUp lines up one more replica of each model whose replicas have been full
// for a while.
func (g *Group) scaleUp() {
	for _, name := range g.loadedNames() {
		t := g.traffic[name]
		if t == nil {
			continue
		}
		if !g.full(name) {
			t.busySince = time.Time{}
			continue
		}
		if t.busySince.IsZero() {
			t.busySince = g.now
		}
		item := g.catalog.Item(name)
		if g.now.Sub(t.busySince) < scaleUpAfter || g.line.find(name) != nil || g.present(item.Ref) >= item.MaxReplicas {
			continue
		}
		t.busySince = time.Time{}
		g.lineUpExtra(item)
	}
}

// full reports whether every replica of a model is at a full engine and some
// request is at one of them.
func (g *Group) full(name model.Name) bool {
	item := g.catalog.Item(name)
	if item == nil || item.Ref.IsAdapter() {
		return false
	}
	requests := 0
	for _, en := range g.entries[name] {
		if en.coming() || en.serving() && en.engine.busyPart() < fullPart {
			return false
		}
		requests += g.running(en)
	}
	return requests > 0
}

// loadedNames returns the models with replicas, in order.
func (g *Group) loadedNames() []model.Name {
	names := make([]model.Name, 0, len(g.entries))
	for name := range g.entries {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
