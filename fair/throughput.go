package fair

import (
	"math"
	"time"

	"hawthornway/team"
)

// drain measures the cost that starts a second while requests wait. While none
// waits, the speed is that of the callers and says nothing.
type drain struct {
	cost float64
	busy float64 // seconds
	at   time.Time
	last bool
}

// add notes a start. Waiting says whether others wait on.
func (d *drain) add(now time.Time, cost team.Tokens, waiting bool) {
	passed := now.Sub(d.at).Seconds()
	if !d.at.IsZero() && passed > 0 && d.last {
		keep := math.Exp(-passed / drainSpan.Seconds())
		d.cost *= keep
		d.busy = d.busy*keep + passed
	}
	if d.last {
		d.cost += float64(cost)
	}
	d.at = now
	d.last = waiting
}

// speed returns the cost a second, or zero while it isn't known.
func (d *drain) speed(now time.Time) float64 {
	busy := d.busy
	if d.last {
		busy += max(0, now.Sub(d.at).Seconds())
	}
	if busy < minBusy || d.cost <= 0 {
		return 0
	}
	return d.cost / busy
}

// minBusy is the time, in seconds, that is measured before the speed counts.
const minBusy = 0.2
