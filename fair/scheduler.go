package fair

import (
	"container/heap"

	"hawthornway/team"
)

// order picks the next request by start-time fair queueing: the team that was
// served least by weight goes first, and within a team the earliest deadline. A
// team that comes back after a pause starts level with the others, so that it
// neither saves up what it did not use nor pays for what nobody else wanted.
//
// An order is not safe for concurrent use.
type order struct {
	teams map[team.ID]*teamLine
	ready readyTeams
	// served is the start tag of the request that started last.
	served  float64
	weight  float64
	size    int
	cost    team.Tokens
	numbers uint64
}

// teamLine is the entries of one team and its place among the teams.
type teamLine struct {
	line
	weight float64
	// tag is the tokens by weight that the team will have been served when its
	// next request starts.
	tag float64
	// place is the team's index among those that wait; -1 for none.
	place int
}

func newOrder() *order { return &order{teams: make(map[team.ID]*teamLine)} }

func (o *order) team(id team.ID, weight float64) *teamLine {
	t := o.teams[id]
	if t == nil {
		t = &teamLine{place: -1}
		o.teams[id] = t
	}
	if t.place < 0 {
		t.weight = weightOf(weight)
	}
	return t
}

func (o *order) push(n *node, weight float64) {
	t := o.team(n.entry.Team, weight)
	o.numbers++
	n.number = o.numbers
	t.insert(n)
	o.size++
	o.cost += n.entry.Cost
	if t.place < 0 {
		t.tag = max(t.tag, o.served)
		o.weight += t.weight
		heap.Push(&o.ready, t)
	}
}

// pop takes the next request out, or returns nil.
func (o *order) pop() *node {
	if len(o.ready) == 0 {
		return nil
	}
	t := o.ready[0]
	n := t.first()
	o.served = t.tag
	t.tag += float64(n.entry.Cost) / t.weight
	o.remove(n)
	if t.place >= 0 {
		heap.Fix(&o.ready, t.place)
	}
	return n
}

// remove takes a waiting request out.
func (o *order) remove(n *node) {
	t := o.teams[n.entry.Team]
	t.line.remove(n)
	o.size--
	o.cost -= n.entry.Cost
	if t.len() == 0 {
		o.weight -= t.weight
		heap.Remove(&o.ready, t.place)
		t.place = -1
	}
	if len(o.ready) == 0 {
		o.weight = 0
	}
}

// settle gives a team back what a request did not use.
func (o *order) settle(id team.ID, unused team.Tokens) {
	t := o.teams[id]
	t.tag -= float64(unused) / t.weight
	if t.place >= 0 {
		heap.Fix(&o.ready, t.place)
	}
}

// readyTeams is a heap of the teams with waiting requests.
type readyTeams []*teamLine

// Len implements heap.Interface.
func (r readyTeams) Len() int { return len(r) }

// Less implements heap.Interface.
func (r readyTeams) Less(i, j int) bool { return r[i].tag < r[j].tag }

// Swap implements heap.Interface.
func (r readyTeams) Swap(i, j int) {
	r[i], r[j] = r[j], r[i]
	r[i].place, r[j].place = i, j
}

// Push implements heap.Interface.
func (r *readyTeams) Push(x any) {
	t := x.(*teamLine)
	t.place = len(*r)
	*r = append(*r, t)
}

// Pop implements heap.Interface.
func (r *readyTeams) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}
