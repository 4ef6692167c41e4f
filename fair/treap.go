package fair

import (
	"time"

	"hawthornway/team"
)

// line holds one team's entries in the order of their deadlines, as a treap
// that knows the cost under each node. All operations take logarithmic time.
type line struct {
	root  *node
	seed  uint64
	bytes int64
}

// node is a waiting request. Only the pointers, the counts and the priority are
// the treap's.
type node struct {
	entry Entry
	// number breaks ties of deadlines by the order of arrival.
	number uint64
	// started is closed when the request may start; the queue sets running
	// before.
	started chan struct{}
	running bool

	left, right *node
	priority    uint64
	size        int
	cost        team.Tokens
}

func (n *node) before(other *node) bool {
	if !n.entry.Deadline.Equal(other.entry.Deadline) {
		return n.entry.Deadline.Before(other.entry.Deadline)
	}
	return n.number < other.number
}

func (n *node) total() (int, team.Tokens) {
	if n == nil {
		return 0, 0
	}
	return n.size, n.cost
}

func (n *node) count() {
	leftSize, leftCost := n.left.total()
	rightSize, rightCost := n.right.total()
	n.size = leftSize + rightSize + 1
	n.cost = leftCost + rightCost + n.entry.Cost
}

// draw returns the next priority of a xorshift generator.
func (l *line) draw() uint64 {
	if l.seed == 0 {
		l.seed = 0x9e3779b97f4a7c15
	}
	l.seed ^= l.seed << 13
	l.seed ^= l.seed >> 7
	l.seed ^= l.seed << 17
	return l.seed
}

func (l *line) insert(n *node) {
	n.priority = l.draw()
	n.left, n.right = nil, nil
	n.count()
	left, right := split(l.root, n)
	l.root = merge(merge(left, n), right)
	l.bytes += n.entry.Bytes
}

func (l *line) remove(n *node) {
	left, rest := split(l.root, n)
	_, right := splitFirst(rest)
	l.root = merge(left, right)
	l.bytes -= n.entry.Bytes
}

// first returns the entry with the earliest deadline, or nil.
func (l *line) first() *node {
	n := l.root
	for n != nil && n.left != nil {
		n = n.left
	}
	return n
}

func (l *line) len() int {
	size, _ := l.root.total()
	return size
}

func (l *line) cost() team.Tokens {
	_, cost := l.root.total()
	return cost
}

// costBefore returns the cost of all entries with an earlier or equal deadline.
func (l *line) costBefore(deadline time.Time) team.Tokens {
	var sum team.Tokens
	for n := l.root; n != nil; {
		if n.entry.Deadline.After(deadline) {
			n = n.left
			continue
		}
		_, left := n.left.total()
		sum += left + n.entry.Cost
		n = n.right
	}
	return sum
}

// split parts a tree into the nodes before the one at and the others.
func split(root, at *node) (left, right *node) {
	if root == nil {
		return nil, nil
	}
	if root.before(at) {
		root.right, right = split(root.right, at)
		root.count()
		return root, right
	}
	left, root.left = split(root.left, at)
	root.count()
	return left, root
}

// splitFirst parts a tree into its first node and the others.
func splitFirst(root *node) (first, rest *node) {
	if root == nil {
		return nil, nil
	}
	if root.left == nil {
		rest = root.right
		root.right = nil
		root.count()
		return root, rest
	}
	first, root.left = splitFirst(root.left)
	root.count()
	return first, root
}

func merge(left, right *node) *node {
	switch {
	case left == nil:
		return right
	case right == nil:
		return left
	case left.priority > right.priority:
		left.right = merge(left.right, right)
		left.count()
		return left
	}
	right.left = merge(left, right.left)
	right.count()
	return right
}
