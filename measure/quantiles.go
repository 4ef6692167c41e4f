package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range and precision of recorded times.
const (
	minRecorded       = int64(time.Microsecond)
	maxRecorded       = int64(10 * time.Minute)
	significantDigits = 3
)

// Quantiles sum up some times.
type Quantiles struct {
	Count int64 `json:"count"`
	P50   MS    `json:"p50-ms"`
	P95   MS    `json:"p95-ms"`
	P99   MS    `json:"p99-ms"`
	Max   MS    `json:"max-ms"`
}

// MS is a time in milliseconds.
type MS float64

func toMS(d time.Duration) MS { return MS(float64(d) / float64(time.Millisecond)) }

func newQuantiles(times []time.Duration) Quantiles {
	histogram := hdrhistogram.New(minRecorded, maxRecorded, significantDigits)
	for _, t := range times {
		recorded := min(max(int64(t), minRecorded), maxRecorded)
		if err := histogram.RecordValue(recorded); err != nil {
			panic("a time within the range can't be recorded: " + err.Error())
		}
	}
	at := func(q float64) MS { return toMS(time.Duration(histogram.ValueAtQuantile(q))) }
	return Quantiles{Count: histogram.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: toMS(time.Duration(histogram.Max()))}
}
