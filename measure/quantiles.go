package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range, in nanoseconds, and precision of the histogram.
const (
	minRecordedTime   = int64(time.Microsecond)
	maxRecordedTime   = int64(10 * time.Minute)
	significantDigits = 3
)

// Quantiles summarizes a set of durations.
type Quantiles struct {
	Count int64        `json:"count"`
	P50   Milliseconds `json:"p50-ms"`
	P95   Milliseconds `json:"p95-ms"`
	P99   Milliseconds `json:"p99-ms"`
	Max   Milliseconds `json:"max-ms"`
}

// Milliseconds is a duration in milliseconds.
type Milliseconds float64

func toMilliseconds(d time.Duration) Milliseconds {
	return Milliseconds(float64(d) / float64(time.Millisecond))
}

func newQuantiles(times []time.Duration) Quantiles {
	histogram := hdrhistogram.New(minRecordedTime, maxRecordedTime, significantDigits)
	for _, t := range times {
		recorded := min(max(int64(t), minRecordedTime), maxRecordedTime)
		if err := histogram.RecordValue(recorded); err != nil {
			panic("histogram rejects a duration within its range: " + err.Error())
		}
	}
	at := func(q float64) Milliseconds { return toMilliseconds(time.Duration(histogram.ValueAtQuantile(q))) }
	return Quantiles{Count: histogram.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: toMilliseconds(time.Duration(histogram.Max()))}
}
