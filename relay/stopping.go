package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"hawthornway/catalog"
	"hawthornway/outcome"
)

// ErrStopping is the cause with which requests are cancelled that are still in progress when the
// host's time to stop is over.
var ErrStopping = errors.New("the host stops")

// StoppingRetryAfter is sent as Retry-After by a host that stops. Another host takes the next
// connection.
const StoppingRetryAfter = 50 * time.Millisecond

// admitWhileStopping refuses requests that would probably not end before the host stops, and ends
// the others by then.
func (r *Relay) admitWhileStopping(_ context.Context, f *inflight) outcome.Outcome {
	stopAt := r.stopTime()
	if stopAt.IsZero() || !f.deadline.After(stopAt) {
		return nil
	}
	deviations := float64(deviationsRepeatable)
	if !f.route.Repeatable() {
		deviations = deviationsNotRepeatable
	}
	usual, known := r.durations.upper(f.route.Name, deviations)
	if !known {
		usual, known = f.route.Objective, f.route.Objective > 0
	}
	if !known || r.clock.Now().Add(usual).After(stopAt) {
		return outcome.NotRun{Reason: outcome.ReasonDraining, RetryAfter: StoppingRetryAfter, Detail: "the host stops before the request would end"}
	}
	f.deadline = stopAt
	return nil
}

// The weights of a new duration in the mean and in the mean deviation, as in the estimate of
// round-trip times in RFC 6298.
const (
	durationWeight  = 1.0 / 8
	deviationWeight = 1.0 / 4
)

// The number of deviations above the mean that a request has to have left. What may not be repeated
// is lost if it doesn't end in time; the rest can go on at another host.
const (
	deviationsNotRepeatable = 4
	deviationsRepeatable    = 2
)

// durations estimates how long the requests of each route take at their targets. The zero value
// has no estimates.
type durations struct {
	mu     sync.Mutex
	routes map[catalog.RouteName]durationEstimate
}

type durationEstimate struct{ mean, deviation float64 } // in seconds

// record records the duration of a request that was served.
func (d *durations) record(route catalog.RouteName, duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.routes == nil {
		d.routes = map[catalog.RouteName]durationEstimate{}
	}
	seconds := duration.Seconds()
	e, known := d.routes[route]
	if !known {
		d.routes[route] = durationEstimate{seconds, seconds / 2}
		return
	}
	deviation := max(seconds-e.mean, e.mean-seconds)
	e.deviation += deviationWeight * (deviation - e.deviation)
	e.mean += durationWeight * (seconds - e.mean)
	d.routes[route] = e
}

// upper returns the duration of a route's requests that is a number of deviations above the mean,
// if they are known.
func (d *durations) upper(route catalog.RouteName, deviations float64) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, known := d.routes[route]
	return time.Duration((e.mean + deviations*e.deviation) * float64(time.Second)), known
}
