package fair

import (
	"container/heap"

	"hawthornway/team"
)

// scheduler picks the next request by start-time fair queueing: the team with the least
// service for its weight goes first, and within a team the earliest deadline. A team
// that becomes active again starts at the current virtual time, so that it neither saves
// up capacity that it did not use nor pays for capacity that no other team needed.
//
// A scheduler is not safe for concurrent use.
type scheduler struct {
	teams        map[team.ID]*teamQueue
	waitingTeams teamHeap
	// virtualTime is the start tag of the last request that started.
	virtualTime   float64
	waitingWeight float64
	waiting       int
	waitingCost   team.Tokens
	arrivals      uint64
}

// teamQueue holds the waiting requests of one team.
type teamQueue struct {
	treap
	weight float64
	// startTag is the virtual time at which the team's next request starts. It grows
	// by the cost of each started request, less refunds, divided by the weight, and is
	// raised to the current virtual time when the team becomes active again.
	startTag float64
	// heapIndex is the team's index in the heap of waiting teams; -1 if none of its
	// requests wait.
	heapIndex int
}

func newScheduler() *scheduler { return &scheduler{teams: make(map[team.ID]*teamQueue)} }

// teamQueue returns the queue of a team, which it creates if needed. A new weight takes
// effect only while none of the team's requests wait.
func (s *scheduler) teamQueue(id team.ID, weight float64) *teamQueue {
	q := s.teams[id]
	if q == nil {
		q = &teamQueue{heapIndex: -1}
		s.teams[id] = q
	}
	if q.heapIndex < 0 {
		q.weight = weightOf(weight)
	}
	return q
}

func (s *scheduler) push(n *node, weight float64) {
	q := s.teamQueue(n.entry.Team, weight)
	s.arrivals++
	n.arrival = s.arrivals
	q.insert(n)
	s.waiting++
	s.waitingCost += n.entry.Cost
	if q.heapIndex < 0 {
		q.startTag = max(q.startTag, s.virtualTime)
		s.waitingWeight += q.weight
		heap.Push(&s.waitingTeams, q)
	}
}

// pop removes and returns the next request, or nil if none waits.
func (s *scheduler) pop() *node {
	if len(s.waitingTeams) == 0 {
		return nil
	}
	q := s.waitingTeams[0]
	n := q.first()
	s.virtualTime = q.startTag
	q.startTag += float64(n.entry.Cost) / q.weight
	s.remove(n)
	if q.heapIndex >= 0 {
		heap.Fix(&s.waitingTeams, q.heapIndex)
	}
	return n
}

// remove removes a waiting request.
func (s *scheduler) remove(n *node) {
	q := s.teams[n.entry.Team]
	q.treap.remove(n)
	s.waiting--
	s.waitingCost -= n.entry.Cost
	if q.len() == 0 {
		s.waitingWeight -= q.weight
		heap.Remove(&s.waitingTeams, q.heapIndex)
		q.heapIndex = -1
	}
	if len(s.waitingTeams) == 0 {
		s.waitingWeight = 0
	}
}

// refund credits a team with the tokens that a request did not use.
func (s *scheduler) refund(id team.ID, unused team.Tokens) {
	q := s.teams[id]
	q.startTag -= float64(unused) / q.weight
	if q.heapIndex >= 0 {
		heap.Fix(&s.waitingTeams, q.heapIndex)
	}
}

// teamHeap is a heap of the teams with waiting requests, by start tag.
type teamHeap []*teamQueue

// Len implements heap.Interface.
func (h teamHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h teamHeap) Less(i, j int) bool { return h[i].startTag < h[j].startTag }

// Swap implements heap.Interface.
func (h teamHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *teamHeap) Push(x any) {
	q := x.(*teamQueue)
	q.heapIndex = len(*h)
	*h = append(*h, q)
}

// Pop implements heap.Interface.
func (h *teamHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
