package fair

import (
	"math"
	"time"

	"hawthornway/team"
)

// throughputMeter measures the cost of the requests that start per second, as an
// exponentially weighted average. It counts only the time during which requests wait:
// otherwise, the rate is limited by the callers.
type throughputMeter struct {
	cost        float64
	busySeconds float64
	updatedAt   time.Time
	backlogged  bool
}

// add records the start of a request. The parameter waiting is set if other requests
// still wait.
func (m *throughputMeter) add(now time.Time, cost team.Tokens, waiting bool) {
	elapsed := now.Sub(m.updatedAt).Seconds()
	if !m.updatedAt.IsZero() && elapsed > 0 && m.backlogged {
		decay := math.Exp(-elapsed / throughputWindow.Seconds())
		m.cost *= decay
		m.busySeconds = m.busySeconds*decay + elapsed
	}
	if m.backlogged {
		m.cost += float64(cost)
	}
	m.updatedAt = now
	m.backlogged = waiting
}

// rate returns the cost per second, or zero while it is unknown.
func (m *throughputMeter) rate(now time.Time) float64 {
	busy := m.busySeconds
	if m.backlogged {
		busy += max(0, now.Sub(m.updatedAt).Seconds())
	}
	if busy < minBusySeconds || m.cost <= 0 {
		return 0
	}
	return m.cost / busy
}

// minBusySeconds is the time that must have been measured before the rate is known.
const minBusySeconds = 0.2
