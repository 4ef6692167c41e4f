package soak

import (
	"fmt"
	"time"

	"hawthornway/platform/platformtest"
)

// Shape describes a deployment.
type Shape struct {
	Name string
	// Hosts is the default number of hosts.
	Hosts int
	// Grace is the hosts' time to stop, in seconds.
	Grace int
	// RetrySlack is the fleet's number of repeats beside a share of the requests.
	RetrySlack int
	// MemoryMB is the hosts' memory in megabytes. It is platformtest's default if it is zero.
	MemoryMB int
	// Callers is the number of callers, and CallInterval the pause between the requests of each.
	Callers      int
	CallInterval time.Duration
	// PlainTargets is the number of targets of the plain service, each with Slots for requests
	// that take Work.
	PlainTargets int
	Slots        int
	Work         time.Duration
	// EventGap is the time between the events of a stream. It is short if it is zero.
	EventGap time.Duration
	// Homes are the regions in which requests may run, or empty if they may run anywhere.
	Homes []string
	// kinds are the kinds of request, which callers send in turn.
	kinds []kind
}

// regions holds the regions of zones.
var regions = map[string]string{"zone-0": "west", "zone-1": "west", "zone-2": "east"}

// kind is a kind of request.
type kind struct {
	name string
	path string
	// stream is set if the answer is a stream, and repeatable if the request may run more than
	// once.
	stream     bool
	repeatable bool
	timeout    time.Duration
	// attempts is the number of targets that may run the request.
	attempts int
	// open is set if the request needs no key.
	open bool
}

func (k kind) service() string {
	if k.stream {
		return platformtest.ModelService
	}
	return platformtest.PlainService
}

var (
	booking   = kind{name: "booking", path: platformtest.PlainPath, timeout: callTimeout, attempts: 1}
	chat      = kind{name: "chat", path: platformtest.StreamPath, stream: true, repeatable: true, timeout: callTimeout, attempts: 3}
	deskBook  = kind{name: "booking", path: platformtest.PlainPath, timeout: 1500 * time.Millisecond, attempts: 1}
	deskRead  = kind{name: "status", path: platformtest.SafePath, repeatable: true, timeout: 1500 * time.Millisecond, attempts: 2}
	deskOpen  = kind{name: "open booking", path: platformtest.OpenPath, timeout: 1500 * time.Millisecond, attempts: 1, open: true}
	slowBook  = kind{name: "booking", path: platformtest.PlainPath, timeout: 6 * time.Second, attempts: 1}
	slowChat  = kind{name: "chat", path: platformtest.StreamPath, stream: true, repeatable: true, timeout: 15 * time.Second, attempts: 3}
	slowCheck = kind{name: "check", path: platformtest.OncePath, stream: true, timeout: 15 * time.Second, attempts: 1}
	onceCheck = kind{name: "check", path: platformtest.OncePath, stream: true, timeout: callTimeout, attempts: 1}
)

// Shapes are the deployments that a run may play.
var Shapes = []Shape{
	{
		Name: "small", Hosts: 4, Callers: 12, CallInterval: 40 * time.Millisecond, PlainTargets: 1,
		kinds: []kind{booking, chat, chat},
	},
	{
		Name: "desk", Hosts: 8, Grace: 8, RetrySlack: 56, Callers: 48, CallInterval: 400 * time.Millisecond,
		PlainTargets: 3, Slots: 6, Work: 60 * time.Millisecond,
		kinds: []kind{chat, onceCheck, chat, deskBook, deskRead, chat, deskBook, deskOpen},
	},
	{
		// Many requests are in progress at a time.
		Name: "crowd", Hosts: 3, Callers: 1500, CallInterval: 20 * time.Millisecond, RetrySlack: 56, MemoryMB: 184,
		PlainTargets: 3, Slots: 2000, Work: 60 * time.Millisecond,
		kinds: []kind{deskBook, chat, deskRead, deskBook, deskRead},
	},
	{
		// Requests last nearly as long as the hosts' time to stop.
		Name: "slow", Hosts: 4, Callers: 24, CallInterval: 40 * time.Millisecond,
		PlainTargets: 2, Work: 1500 * time.Millisecond, EventGap: 150 * time.Millisecond,
		kinds: []kind{slowChat, slowBook, slowCheck},
	},
	{
		Name: "shop", Hosts: 9, Grace: 8, RetrySlack: 58, Callers: 48, CallInterval: 300 * time.Millisecond,
		PlainTargets: 3, Slots: 6, Work: 15 * time.Millisecond, Homes: []string{"west"},
		kinds: []kind{chat, chat, deskBook, onceCheck, deskRead, chat, deskBook, deskOpen},
	},
}

// ShapeNamed returns the shape with a name, or the first one if it is empty.
func ShapeNamed(name string) (Shape, error) {
	if name == "" {
		return Shapes[0], nil
	}
	for _, s := range Shapes {
		if s.Name == name {
			return s, nil
		}
	}
	return Shape{}, fmt.Errorf("shape %q is unknown", name)
}
