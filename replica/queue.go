package replica

import (
	"cmp"
	"slices"
	"time"

	"hawthornway/model"
	"hawthornway/target"
	"hawthornway/team"
)

// queuedLoad is a model or adapter that waits to be loaded.
type queuedLoad struct {
	name model.Name
	team team.ID
	// deadline is that of the most urgent load request. Without a request it
	// only sets the load's place in the queue.
	deadline time.Time
	// sequence is the order of arrival; it breaks ties between deadlines.
	sequence uint64
	// extra is set if the load was queued to reach a number of replicas or to
	// replace a version, not for a load request.
	extra bool
	// plannedEngine is the engine whose memory is being freed or reserved for
	// the load, or empty.
	plannedEngine target.ID
	// blocked is set while no engine can free enough memory; blockedSince is
	// the time since which that is so.
	blocked      bool
	blockedSince time.Time
	// enqueuedAt is the time at which an extra load was queued.
	enqueuedAt time.Time
	// expiresAt is the time at which a load without load requests leaves the
	// queue; zero if it has some.
	expiresAt time.Time
}

// setBlocked records whether the load is blocked, and since when.
func (load *queuedLoad) setBlocked(blocked bool, now time.Time) {
	if blocked && !load.blocked {
		load.blockedSince = now
	}
	load.blocked = blocked
}

// blockedFor returns how long no engine has been able to free enough memory.
func (load *queuedLoad) blockedFor(now time.Time) time.Duration {
	if !load.blocked {
		return 0
	}
	return now.Sub(load.blockedSince)
}

// loadQueue orders queued loads by deadline within a team, and shares load time
// among the teams by weighted fair queueing.
type loadQueue struct {
	teams        []*teamQueue
	byTeam       map[team.ID]*teamQueue
	byName       map[model.Name]*queuedLoad
	nextSequence uint64
	// virtualTime is the highest virtual time at which a team has started a
	// load.
	virtualTime float64
	// meanLoadSeconds is the running mean of load times.
	meanLoadSeconds float64
}

type teamQueue struct {
	id     team.ID
	weight float64
	// virtualTime is the load time that the team has received, divided by its
	// weight.
	virtualTime float64
	loads       []*queuedLoad
}

func newLoadQueue() *loadQueue {
	return &loadQueue{byTeam: make(map[team.ID]*teamQueue), byName: make(map[model.Name]*queuedLoad), meanLoadSeconds: 1}
}

// find returns the queued load of a model, or nil.
func (q *loadQueue) find(name model.Name) *queuedLoad { return q.byName[name] }

// push adds a load. A team that had nothing queued starts at the queue's
// virtual time at least, so that it gains no credit while it is idle.
func (q *loadQueue) push(load *queuedLoad, weight float64) {
	t := q.team(load.team, weight)
	if len(t.loads) == 0 {
		t.virtualTime = max(t.virtualTime, q.virtualTime)
	}
	load.sequence = q.nextSequence
	q.nextSequence++
	q.insert(t, load)
	q.byName[load.name] = load
}

// advance moves a load forward if the deadline of a load request is earlier
// than its own.
func (q *loadQueue) advance(load *queuedLoad, deadline time.Time) {
	if !deadline.Before(load.deadline) {
		return
	}
	q.reorder(load, deadline)
	load.expiresAt = time.Time{}
}

// postpone moves a load back to a later deadline.
func (q *loadQueue) postpone(load *queuedLoad, deadline time.Time) { q.reorder(load, deadline) }

// reorder changes the deadline of a load and its position in the queue.
func (q *loadQueue) reorder(load *queuedLoad, deadline time.Time) {
	t := q.byTeam[load.team]
	t.loads = slices.DeleteFunc(t.loads, func(o *queuedLoad) bool { return o == load })
	load.deadline = deadline
	q.insert(t, load)
}

// all returns the queued loads, grouped by team.
func (q *loadQueue) all() []*queuedLoad {
	var all []*queuedLoad
	for _, t := range q.teams {
		all = append(all, t.loads...)
	}
	return all
}

// remove takes a load out of the queue.
func (q *loadQueue) remove(load *queuedLoad) {
	t := q.byTeam[load.team]
	if i, ok := slices.BinarySearchFunc(t.loads, load, compareQueued); ok {
		t.loads = slices.Delete(t.loads, i, i+1)
	}
	delete(q.byName, load.name)
}

// charge adds the cost of a started load to its team's virtual time.
func (q *loadQueue) charge(id team.ID, weight float64, cost time.Duration) {
	t := q.team(id, weight)
	q.virtualTime = max(q.virtualTime, t.virtualTime)
	t.virtualTime += cost.Seconds() / t.weight
	q.meanLoadSeconds += smoothingFactor * (cost.Seconds() - q.meanLoadSeconds)
}

// ahead returns the number of loads that would start before a new one of a team
// with the given deadline.
func (q *loadQueue) ahead(id team.ID, weight float64, deadline time.Time) int {
	t := q.team(id, weight)
	position, _ := slices.BinarySearchFunc(t.loads, &queuedLoad{deadline: deadline, sequence: q.nextSequence}, compareQueued)
	virtualTime := max(t.virtualTime, q.virtualTime)
	n := position
	for _, other := range q.teams {
		if other == t || len(other.loads) == 0 {
			continue
		}
		// The other team starts loads in proportion to its weight, and in
		// addition those that its lower virtual time entitles it to.
		otherLoads := (float64(position+1)/t.weight + (virtualTime-other.virtualTime)/q.meanLoadSeconds) * other.weight
		n += min(len(other.loads), max(0, int(otherLoads)))
	}
	return n
}

// order returns the first queued loads in the order in which they are to start.
func (q *loadQueue) order(limit int) []*queuedLoad {
	type cursor struct {
		team        *teamQueue
		virtualTime float64
		next        int
	}
	var cursors []cursor
	for _, t := range q.teams {
		if len(t.loads) > 0 {
			cursors = append(cursors, cursor{team: t, virtualTime: t.virtualTime})
		}
	}
	var ordered []*queuedLoad
	for len(ordered) < limit {
		best := -1
		for i := range cursors {
			if cursors[i].next < len(cursors[i].team.loads) && (best < 0 || cursors[i].virtualTime < cursors[best].virtualTime) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		c := &cursors[best]
		ordered = append(ordered, c.team.loads[c.next])
		c.next++
		c.virtualTime += q.meanLoadSeconds / c.team.weight
	}
	return ordered
}

// meanLoadTime returns the running mean of load times.
func (q *loadQueue) meanLoadTime() time.Duration {
	return time.Duration(q.meanLoadSeconds * float64(time.Second))
}

// len returns the number of queued loads.
func (q *loadQueue) len() int { return len(q.byName) }

func (q *loadQueue) team(id team.ID, weight float64) *teamQueue {
	t, ok := q.byTeam[id]
	if !ok {
		t = &teamQueue{id: id}
		q.byTeam[id] = t
		i, _ := slices.BinarySearchFunc(q.teams, t, func(a, b *teamQueue) int { return cmp.Compare(a.id, b.id) })
		q.teams = slices.Insert(q.teams, i, t)
	}
	t.weight = weight
	return t
}

func (q *loadQueue) insert(t *teamQueue, load *queuedLoad) {
	i, _ := slices.BinarySearchFunc(t.loads, load, compareQueued)
	t.loads = slices.Insert(t.loads, i, load)
}

func compareQueued(a, b *queuedLoad) int {
	if c := a.deadline.Compare(b.deadline); c != 0 {
		return c
	}
	return cmp.Compare(a.sequence, b.sequence)
}
