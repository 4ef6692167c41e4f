package limit

import (
	"math"
	"time"
)

// meterSpan is the time over which a meter averages.
const meterSpan = time.Second

// meter measures a rate in millionths of tokens a second, with older tokens counting less.
type meter struct {
	sum float64
	at  time.Time
}

func (m *meter) add(now time.Time, n Micro) {
	m.decay(now)
	m.sum += float64(n)
}

func (m *meter) rate(now time.Time) float64 {
	m.decay(now)
	return m.sum / meterSpan.Seconds()
}

func (m *meter) decay(now time.Time) {
	passed := now.Sub(m.at)
	if passed <= 0 {
		return
	}
	m.sum *= math.Exp(-passed.Seconds() / meterSpan.Seconds())
	m.at = now
}
