package replica

import (
	"cmp"
	"slices"
	"time"

	"hawthornway/model"
	"hawthornway/target"
	"hawthornway/team"
)

// waiting is a model that waits to be loaded.
type waiting struct {
	name model.Name
	team team.ID
	// deadline is that of the most urgent want, or when the wait ends if no want
	// is left.
	deadline time.Time
	sequence uint64
	// extra says that a replica is there already and more are needed.
	extra bool
	// plan is the engine on which memory is being made free, or empty.
	plan target.ID
	// blocked says that no engine can make room, blockedSince since when.
	blocked      bool
	blockedSince time.Time
	// since is when it was lined up, for a replica beyond the first.
	since time.Time
	// expires is when a model without wants leaves the line; zero if it has
	// wants.
	expires time.Time
}

// block notes whether an engine can make room.
func (w *waiting) block(blocked bool, now time.Time) {
	if blocked && !w.blocked {
		w.blockedSince = now
	}
	w.blocked = blocked
}

// blockedFor returns for how long no engine could make room.
func (w *waiting) blockedFor(now time.Time) time.Duration {
	if !w.blocked {
		return 0
	}
	return now.Sub(w.blockedSince)
}

// line orders waiting models: by deadline within a team, and among the teams by
// what each was served, divided by its weight.
type line struct {
	teams  []*lineTeam
	byTeam map[team.ID]*lineTeam
	byName map[model.Name]*waiting
	next   uint64
	// virtual is what the team that started last was served before.
	virtual float64
	// unit is the mean load time in seconds.
	unit float64
}

type lineTeam struct {
	id     team.ID
	weight float64
	// served is the load time that the team was given, divided by its weight.
	served float64
	items  []*waiting
}

func newLine() *line {
	return &line{byTeam: make(map[team.ID]*lineTeam), byName: make(map[model.Name]*waiting), unit: 1}
}

// find returns the waiting entry of a model, or nil.
func (l *line) find(name model.Name) *waiting { return l.byName[name] }

// push adds a model. A team that had nothing waiting starts no further behind
// than the team that started last, so that it can't save up.
func (l *line) push(w *waiting, weight float64) {
	t := l.team(w.team, weight)
	if len(t.items) == 0 {
		t.served = max(t.served, l.virtual)
	}
	w.sequence = l.next
	l.next++
	l.insert(t, w)
	l.byName[w.name] = w
}

// hasten moves a model forward if the deadline is earlier than its own.
func (l *line) hasten(w *waiting, deadline time.Time) {
	if !deadline.Before(w.deadline) {
		return
	}
	l.move(w, deadline)
	w.expires = time.Time{}
}

// postpone moves a model back.
func (l *line) postpone(w *waiting, deadline time.Time) { l.move(w, deadline) }

// move gives a model the place of another deadline.
func (l *line) move(w *waiting, deadline time.Time) {
	t := l.byTeam[w.team]
	t.items = slices.DeleteFunc(t.items, func(o *waiting) bool { return o == w })
	w.deadline = deadline
	l.insert(t, w)
}

// all returns the waiting models in the order of their teams.
func (l *line) all() []*waiting {
	var all []*waiting
	for _, t := range l.teams {
		all = append(all, t.items...)
	}
	return all
}

// remove takes a model out of the line.
func (l *line) remove(w *waiting) {
	t := l.byTeam[w.team]
	if i, ok := slices.BinarySearchFunc(t.items, w, compareWaiting); ok {
		t.items = slices.Delete(t.items, i, i+1)
	}
	delete(l.byName, w.name)
}

// charge counts load time that a team was given.
func (l *line) charge(id team.ID, weight float64, cost time.Duration) {
	t := l.team(id, weight)
	l.virtual = max(l.virtual, t.served)
	t.served += cost.Seconds() / t.weight
	l.unit += speedGain * (cost.Seconds() - l.unit)
}

// ahead returns the number of models that start before a new one of a team with
// a deadline.
func (l *line) ahead(id team.ID, weight float64, deadline time.Time) int {
	t := l.team(id, weight)
	place, _ := slices.BinarySearchFunc(t.items, &waiting{deadline: deadline, sequence: l.next}, compareWaiting)
	served := max(t.served, l.virtual)
	n := place
	for _, other := range l.teams {
		if other == t || len(other.items) == 0 {
			continue
		}
		// The other team starts one for each that this team starts, by weight,
		// and those that it is owed beyond that.
		turns := (float64(place+1)/t.weight + (served-other.served)/l.unit) * other.weight
		n += min(len(other.items), max(0, int(turns)))
	}
	return n
}

// order returns the waiting models in the order in which they are to start.
func (l *line) order(limit int) []*waiting {
	type cursor struct {
		team   *lineTeam
		served float64
		next   int
	}
	var cursors []cursor
	for _, t := range l.teams {
		if len(t.items) > 0 {
			cursors = append(cursors, cursor{team: t, served: t.served})
		}
	}
	var out []*waiting
	for len(out) < limit {
		best := -1
		for i := range cursors {
			if cursors[i].next < len(cursors[i].team.items) && (best < 0 || cursors[i].served < cursors[best].served) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		c := &cursors[best]
		out = append(out, c.team.items[c.next])
		c.next++
		c.served += l.unit / c.team.weight
	}
	return out
}

// meanLoad returns the mean time of the loads so far.
func (l *line) meanLoad() time.Duration {
	return time.Duration(l.unit * float64(time.Second))
}

// len returns the number of waiting models.
func (l *line) len() int { return len(l.byName) }

func (l *line) team(id team.ID, weight float64) *lineTeam {
	t, ok := l.byTeam[id]
	if !ok {
		t = &lineTeam{id: id}
		l.byTeam[id] = t
		i, _ := slices.BinarySearchFunc(l.teams, t, func(a, b *lineTeam) int { return cmp.Compare(a.id, b.id) })
		l.teams = slices.Insert(l.teams, i, t)
	}
	t.weight = weight
	return t
}

func (l *line) insert(t *lineTeam, w *waiting) {
	i, _ := slices.BinarySearchFunc(t.items, w, compareWaiting)
	t.items = slices.Insert(t.items, i, w)
}

func compareWaiting(a, b *waiting) int {
	if c := a.deadline.Compare(b.deadline); c != 0 {
		return c
	}
	return cmp.Compare(a.sequence, b.sequence)
}
