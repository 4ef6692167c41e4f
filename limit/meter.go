package limit

import (
	"math"
	"time"
)

// meterWindow is the time constant of the average of a rateMeter.
const meterWindow = time.Second

// rateMeter measures a rate in millionths of a token per second, as an exponentially
// weighted average.
type rateMeter struct {
	sum       float64
	updatedAt time.Time
}

func (m *rateMeter) add(now time.Time, n MicroTokens) {
	m.decay(now)
	m.sum += float64(n)
}

func (m *rateMeter) rate(now time.Time) float64 {
	m.decay(now)
	return m.sum / meterWindow.Seconds()
}

func (m *rateMeter) decay(now time.Time) {
	elapsed := now.Sub(m.updatedAt)
	if elapsed <= 0 {
		return
	}
	m.sum *= math.Exp(-elapsed.Seconds() / meterWindow.Seconds())
	m.updatedAt = now
}
