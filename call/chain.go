package call

import (
	"cmp"
	"slices"
)

// Filter wraps a handler with one step of a call's processing.
type Filter func(next Handler) Handler

// Priority is the position of a filter in the chain; lower runs first.
type Priority int

// The priorities of the built-in filters. An embedding program may insert its
// own filters between them.
const (
	PriorityHost        Priority = 50
	PriorityMemory      Priority = 75
	PriorityPath        Priority = 100
	PriorityKey         Priority = 200
	PriorityConcurrency Priority = 250
	PriorityBody        Priority = 300
	PriorityResolve     Priority = 400
	PriorityLimit       Priority = 500
	PriorityQueue       Priority = 600
	PriorityClaim       Priority = 700
)

// Entry is a filter with its priority.
type Entry struct {
	Priority Priority
	Filter   Filter
}

// Chain returns a handler that runs the filters in the order of their
// priorities, then last. Filters of equal priority keep their order.
func Chain(entries []Entry, last Handler) Handler {
	ordered := slices.Clone(entries)
	slices.SortStableFunc(ordered, func(a, b Entry) int {
		return cmp.Compare(a.Priority, b.Priority)
	})
	handler := last
	for _, entry := range slices.Backward(ordered) {
		handler = entry.Filter(handler)
	}
	return handler
}
