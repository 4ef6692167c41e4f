// Package target defines identifiers of the back ends that requests are routed to:
// model engines and services.
package target

// ID identifies a target.
type ID string

// Kind distinguishes model engines from services.
type Kind string

// The kinds of target.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Pool is the name of a set of targets that serve the same models or the same
// route.
type Pool string

// Version is the version of a target's software. Versions have no order. It is empty if it
// is unknown.
type Version string

// Fence is a fencing token, which orders decisions about one target. A target that
// checks fences rejects orders with a lower fence than the highest it has seen.
type Fence uint64
