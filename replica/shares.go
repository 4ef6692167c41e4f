package replica

import (
	"cmp"
	"slices"
	"time"

	"hawthornway/model"
	"hawthornway/team"
)

// memoryShares is the division of a group's memory among its teams.
type memoryShares struct {
	used   map[team.ID]model.Bytes
	shares map[team.ID]model.Bytes
}

// currentMemoryShares returns the division of memory for this step.
func (g *Group) currentMemoryShares() *memoryShares {
	if g.memoryShares == nil {
		s := g.computeMemoryShares()
		g.memoryShares = &s
	}
	return g.memoryShares
}

// computeMemoryShares divides the group's memory among the teams that use or
// request some, by weighted max-min fairness.
func (g *Group) computeMemoryShares() memoryShares {
	s := memoryShares{used: make(map[team.ID]model.Bytes)}
	var total model.Bytes
	for _, e := range g.engines {
		if !e.acceptsLoads() {
			continue
		}
		total += e.memory()
		for _, rep := range e.replicas {
			if rep.state != replicaUnloading {
				s.used[rep.team] += rep.bytes
			}
		}
	}
	demand := make(map[team.ID]model.Bytes, len(s.used))
	for id, n := range s.used {
		demand[id] = n
	}
	for _, load := range g.queue.byName {
		if item := g.catalog.Item(load.name); item != nil {
			demand[load.team] += item.Bytes
		}
	}
	s.shares = divide(total, demand, g.catalog.TeamWeight)
	return s
}

// divide gives each team its demand or its weighted share of what the others
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
	shares := make(map[team.ID]model.Bytes, len(ids))
	remaining := float64(total)
	for _, id := range ids {
		share := min(float64(demand[id]), remaining*weight(id)/sum)
		shares[id] = model.Bytes(share)
		remaining -= share
		sum -= weight(id)
	}
	return shares
}

// overShare returns 1 if the team of a replica uses more than its share, else
// 0.
func (s *memoryShares) overShare(rep *placedReplica) int {
	if s.used[rep.team] > s.shares[rep.team] {
		return 1
	}
	return 0
}

// mayEvict reports whether a replica may be evicted for a team that needs
// memory. A team within its share doesn't lose a replica that it still uses to
// a team that would exceed its own share.
func (s *memoryShares) mayEvict(rep *placedReplica, id team.ID, need model.Bytes, now time.Time) bool {
	switch {
	case rep.team == id, s.overShare(rep) == 1:
		return true
	case rep.item == nil || now.Sub(rep.lastUse) >= rep.item.IdleTimeout:
		return true
	default:
		return s.used[id]+need <= s.shares[id]
	}
}
