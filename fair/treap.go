package fair

import (
	"time"

	"hawthornway/team"
)

// treap holds one team's waiting requests in order of their deadlines. Each node knows
// the total cost of its subtree. All operations take expected logarithmic time.
type treap struct {
	root  *node
	seed  uint64
	bytes int64
}

// node is a waiting request. Only the treap uses left, right, priority, subtreeSize and
// subtreeCost.
type node struct {
	entry Entry
	// arrival is a sequence number that breaks ties between equal deadlines.
	arrival uint64
	// started is closed when the request may start, after running has been set.
	started chan struct{}
	running bool

	left, right *node
	priority    uint64
	subtreeSize int
	subtreeCost team.Tokens
}

func (n *node) before(other *node) bool {
	if !n.entry.Deadline.Equal(other.entry.Deadline) {
		return n.entry.Deadline.Before(other.entry.Deadline)
	}
	return n.arrival < other.arrival
}

// total returns the size and the cost of the subtree, which may be nil.
func (n *node) total() (int, team.Tokens) {
	if n == nil {
		return 0, 0
	}
	return n.subtreeSize, n.subtreeCost
}

// update recomputes the size and the cost of the subtree.
func (n *node) update() {
	leftSize, leftCost := n.left.total()
	rightSize, rightCost := n.right.total()
	n.subtreeSize = leftSize + rightSize + 1
	n.subtreeCost = leftCost + rightCost + n.entry.Cost
}

// nextPriority returns the next random priority, from an xorshift generator.
func (t *treap) nextPriority() uint64 {
	if t.seed == 0 {
		t.seed = 0x9e3779b97f4a7c15
	}
	t.seed ^= t.seed << 13
	t.seed ^= t.seed >> 7
	t.seed ^= t.seed << 17
	return t.seed
}

func (t *treap) insert(n *node) {
	n.priority = t.nextPriority()
	n.left, n.right = nil, nil
	n.update()
	left, right := split(t.root, n)
	t.root = merge(merge(left, n), right)
	t.bytes += n.entry.Bytes
}

func (t *treap) remove(n *node) {
	left, rest := split(t.root, n)
	_, right := splitFirst(rest)
	t.root = merge(left, right)
	t.bytes -= n.entry.Bytes
}

// first returns the request with the earliest deadline, or nil.
func (t *treap) first() *node {
	n := t.root
	for n != nil && n.left != nil {
		n = n.left
	}
	return n
}

func (t *treap) len() int {
	size, _ := t.root.total()
	return size
}

func (t *treap) cost() team.Tokens {
	_, cost := t.root.total()
	return cost
}

// costBefore returns the cost of all requests with an earlier or equal deadline.
func (t *treap) costBefore(deadline time.Time) team.Tokens {
	var sum team.Tokens
	for n := t.root; n != nil; {
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

// split splits a tree into the nodes before the node at and the others.
func split(root, at *node) (left, right *node) {
	if root == nil {
		return nil, nil
	}
	if root.before(at) {
		root.right, right = split(root.right, at)
		root.update()
		return root, right
	}
	left, root.left = split(root.left, at)
	root.update()
	return left, root
}

// splitFirst splits a tree into its first node and the others.
func splitFirst(root *node) (first, rest *node) {
	if root == nil {
		return nil, nil
	}
	if root.left == nil {
		rest = root.right
		root.right = nil
		root.update()
		return root, rest
	}
	first, root.left = splitFirst(root.left)
	root.update()
	return first, root
}

// merge joins two trees, all nodes of left before those of right.
func merge(left, right *node) *node {
	switch {
	case left == nil:
		return right
	case right == nil:
		return left
	case left.priority > right.priority:
		left.right = merge(left.right, right)
		left.update()
		return left
	}
	right.left = merge(left, right.left)
	right.update()
	return right
}
