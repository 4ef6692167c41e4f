package gateway

import (
	"cmp"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornway/platform"
	"hawthornway/quota"
	"hawthornway/retry"
)

// usableBudgetShare is the fraction of the fleet's retry budget that is used.
// The rest allows for requests that are counted later than they are sent.
const usableBudgetShare = 0.8

// fleetView is what a host knows of its fleet.
type fleetView interface {
	// Hosts returns the number of hosts, or zero while it is unknown.
	Hosts() int
	// ContactAge returns the time since the last message from a coordinator, or since the start.
	ContactAge() time.Duration
}

// newRetryBudget returns the host's part of the fleet's retry budget. FirstStart is set if no
// process of the host has run before this one.
func newRetryBudget(bounds platform.Bounds, firstStart bool, view fleetView, clock clockwork.Clock) retry.Budget {
	window := cmp.Or(bounds.RetryWindow, retry.DefaultBudgetWindow)
	size := fleetSize{clock: clock, window: window, start: clock.Now()}
	opts := []retry.BudgetOption{
		retry.WithWindow(window),
		retry.WithShare(bounds.RetryShare * usableBudgetShare),
		retry.WithFloor(0),
		retry.WithSlack(func() float64 {
			return hostSlack(bounds.RetrySlack, size.largest(view.Hosts()), view.ContactAge(), window)
		}),
	}
	if !firstStart {
		opts = append(opts, retry.WithUnknownPast())
	}
	return retry.NewBudget(clock, opts...)
}

// defaultHostSlack is each host's part of the fleet's slack at most while the number of
// hosts is unknown, such as after a restart of all hosts. The users' deployments
// allow at least 2.5 per host.
const defaultHostSlack = 2

// hostSlack returns one host's part of the fleet's slack, the number of retries
// that are allowed on top of the share. It is below one in a large fleet, where it
// still adds to the share of the host's requests. A host without contact to a coordinator
// is about to be forgotten there, so that others take its part: it leaves that to them a window
// before.
func hostSlack(fleetSlack float64, hosts int, contactAge, window time.Duration) float64 {
	switch {
	case contactAge+window >= quota.HostTTL:
		return 0
	case hosts == 0:
		return min(defaultHostSlack, fleetSlack)
	default:
		return fleetSlack * usableBudgetShare / float64(hosts)
	}
}

// fleetSize is the largest number of hosts that was known within the last window. A new
// coordinator learns of the hosts one by one and announces fewer at first.
type fleetSize struct {
	clock  clockwork.Clock
	window time.Duration
	start  time.Time

	mu sync.Mutex
	// current is the largest number since began, and previous that of the window before.
	current, previous int
	began             time.Time
}

// largest records the number of hosts that is known now, and returns the largest one, or zero in
// the first window.
func (f *fleetSize) largest(known int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch age := f.clock.Since(f.began); {
	case age >= 2*f.window:
		f.previous, f.current, f.began = 0, 0, f.clock.Now()
	case age >= f.window:
		f.previous, f.current, f.began = f.current, 0, f.clock.Now()
	}
	f.current = max(f.current, known)
	if f.clock.Since(f.start) < f.window {
		return 0
	}
	return max(f.current, f.previous)
}
