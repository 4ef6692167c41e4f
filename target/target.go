// Package target names the back ends that requests are routed to: model
// engines and plain services.
package target

// ID names one target.
type ID string

// Kind tells model engines from plain services.
type Kind string

// The kinds of target.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Pool names a set of targets that serve the same models or the same route.
type Pool string

// Fence is the number that orders decisions about one target. A target that
// checks fences refuses an order with a lower fence than it has seen.
type Fence uint64
