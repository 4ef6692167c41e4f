// Package loadgen sends planned requests at their planned times, whether or not
// earlier ones have ended, and records how each ended. Times count from the
// planned moment, so that a late sender shows as latency.
package loadgen

import (
	"time"

	"hawthornway/outcome"
	"hawthornway/workload"
)

// Ending says how a request ended, as its caller sees it.
type Ending string

// The endings of requests.
const (
	EndingServed  Ending = "served"
	EndingNotRun  Ending = "not-run"
	EndingUnknown Ending = "unknown"
	// EndingNone stands for a request without any answer: the connection failed
	// or broke off, or the caller gave up.
	EndingNone Ending = "none"
)

// Result is the record of one request.
type Result struct {
	Arrival workload.Arrival
	// Request is the host's id of the request.
	Request string
	Ending  Ending
	// Reason is the host's word for a request that was not served.
	Reason outcome.Reason
	Status int
	// FirstToken is the time from the planned moment to the first token, or
	// zero without one.
	FirstToken time.Duration
	// End is the time from the planned moment to the end.
	End time.Duration
	// SentLate is the time from the planned moment to the sending.
	SentLate time.Duration
	Tokens   int
	// Wrong says that a served answer was not the whole answer to the request.
	Wrong bool
	// Err is the text of a failure below HTTP.
	Err string
}

// Served reports whether the request was served.
func (r Result) Served() bool { return r.Ending == EndingServed }
