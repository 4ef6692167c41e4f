// Package loadgen is an open-loop load generator: it sends requests at their
// planned times, whether or not earlier ones have ended, and records the outcome
// of each. Times are measured from the planned time, so that delays of the
// generator count as latency.
package loadgen

import (
	"time"

	"hawthornway/outcome"
	"hawthornway/workload"
)

// Outcome is the outcome of a request as seen by its caller.
type Outcome string

// The outcomes of requests.
const (
	OutcomeServed  Outcome = "served"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
	// OutcomeNone means that there was no answer: the connection failed or was
	// interrupted, or the caller timed out.
	OutcomeNone Outcome = "none"
)

// Result is the record of one request.
type Result struct {
	Arrival workload.Arrival
	// RequestID is the ID that the host assigned to the request.
	RequestID string
	Outcome   Outcome
	// Reason is the error code from the host if the request was not served.
	Reason outcome.Reason
	Status int
	// FirstToken is the time from the planned time to the first token, or zero
	// if there was none.
	FirstToken time.Duration
	// Duration is the time from the planned time to the end of the request.
	Duration time.Duration
	// SendDelay is the time from the planned time to the sending.
	SendDelay time.Duration
	Tokens    int
	// Wrong is set if a served answer differs from the expected answer or is
	// incomplete.
	Wrong bool
	// Err is the text of a transport or decoding error, or empty.
	Err string
}

// Served reports whether the request was served.
func (r Result) Served() bool { return r.Outcome == OutcomeServed }
