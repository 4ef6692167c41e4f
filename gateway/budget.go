package gateway

import (
	"cmp"
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
	// LargestHosts returns the largest number of hosts that was known within a span, or zero
	// while it is unknown.
	LargestHosts(within time.Duration) int
	// ContactAge returns the time since the last message from a coordinator, or since the start.
	ContactAge() time.Duration
}

// newRetryBudget returns the host's part of the fleet's retry budget. FirstStart is set if no
// process of the host has run before this one.
func newRetryBudget(bounds platform.Bounds, firstStart bool, view fleetView, clock clockwork.Clock) retry.Budget {
	window := cmp.Or(bounds.RetryWindow, retry.DefaultBudgetWindow)
	start := clock.Now()
	opts := []retry.BudgetOption{
		retry.WithWindow(window),
		retry.WithShare(bounds.RetryShare * usableBudgetShare),
		retry.WithFloor(0),
		retry.WithSlack(func() float64 {
			hosts := view.LargestHosts(window)
			if clock.Since(start) < window {
				hosts = 0 // the first coordinator learns of the hosts one by one
			}
			return hostSlack(bounds.RetrySlack, hosts, view.ContactAge(), window)
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
// is forgotten there, and others take its part a window after that; it gives it up before.
func hostSlack(fleetSlack float64, hosts int, contactAge, window time.Duration) float64 {
	switch {
	case contactAge >= max(quota.HostTTL/2, quota.HostTTL-window):
		return 0
	case hosts == 0:
		return min(defaultHostSlack, fleetSlack)
	default:
		return fleetSlack * usableBudgetShare / float64(hosts)
	}
}
