package replica

import (
	"cmp"
	"slices"
	"time"

	"hawthornway/model"
	"hawthornway/team"
)

// fairMemory is the division of a group's memory among its teams.
type fairMemory struct {
	used  map[team.ID]model.Bytes
	parts map[team.ID]model.Bytes
}

// fairShares returns the fair division of memory of this step.
func (g *Group) fairShares() *fairMemory {
	if g.fair == nil {
		f := g.fairMemory()
		g.fair = &f
	}
	return g.fair
}

// fairMemory divides the group's memory max-min fair by weight among the teams
// that use or want some.
func (g *Group) fairMemory() fairMemory {
	f := fairMemory{used: make(map[team.ID]model.Bytes)}
	var total model.Bytes
	for _, e := range g.engines {
		if !e.takes() {
			continue
		}
		total += e.memory()
		for _, en := range e.entries {
			if en.state != entryUnloading {
				f.used[en.team] += en.bytes
			}
		}
	}
	demand := make(map[team.ID]model.Bytes, len(f.used))
	for id, n := range f.used {
		demand[id] = n
	}
	for _, w := range g.line.byName {
		if item := g.catalog.Item(w.name); item != nil {
			demand[w.team] += item.Bytes
		}
	}
	f.parts = divide(total, demand, g.catalog.Weight)
	return f
}

// divide gives each team its demand or its part by weight of what the others
// leave, whichever is less.
func divide(total model.Bytes, demand map[team.ID]model.Bytes, weight func(team.ID) float64) map[team.ID]model.Bytes {
	ids := make([]team.ID, 0, len(demand))
	sum := 0.0
	for id := range demand {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		sum += weight(id)
	}
	slices.SortStableFunc(ids, func(a, b team.ID) int {
		return cmp.Compare(float64(demand[a])/weight(a), float64(demand[b])/weight(b))
	})
	parts := make(map[team.ID]model.Bytes, len(ids))
	left := float64(total)
	for _, id := range ids {
		part := min(float64(demand[id]), left*weight(id)/sum)
		parts[id] = model.Bytes(part)
		left -= part
		sum -= weight(id)
	}
	return parts
}

// over returns one if the team of a replica has more than its part, else zero.
func (f *fairMemory) over(en *entry) int {
	if f.used[en.team] > f.parts[en.team] {
		return 1
	}
	return 0
}

// mayEvict reports whether a replica may go for a team that needs memory. A team
// that is within its part doesn't lose a replica that it still uses to one that
// would go beyond its own.
func (f *fairMemory) mayEvict(en *entry, id team.ID, need model.Bytes, now time.Time) bool {
	switch {
	case en.team == id, f.over(en) == 1:
		return true
	case en.item == nil || now.Sub(en.lastUse) >= en.item.IdleAfter:
		return true
	default:
		return f.used[id]+need <= f.parts[id]
	}
}
