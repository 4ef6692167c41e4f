// Package outcome describes how a request ended. Outcomes are values: each
// request ends with exactly one.
package outcome

import "time"

// Outcome is one of Served, NotRun and Unknown.
type Outcome interface {
	// Header returns the value of the Hawthornway-Outcome header.
	Header() string
	sealed()
}

// Served says that the target's whole answer was passed on.
type Served struct{}

// NotRun says that no target ran any part of the request.
type NotRun struct {
	Reason Reason
	// RetryAfter is the time after which a repeat is expected to succeed.
	// Zero means that a repeat won't help.
	RetryAfter time.Duration
	// Detail is one sentence for the caller.
	Detail string
}

// Unknown says that a target may have run the request, wholly or in part.
type Unknown struct {
	Reason Reason
	Detail string
}

// Reason names why a request was not served.
type Reason string

// The reasons of refusals.
const (
	ReasonBadRequest    Reason = "bad-request"
	ReasonNoKey         Reason = "no-key"
	ReasonKeyWithdrawn  Reason = "key-withdrawn"
	ReasonNotAllowed    Reason = "not-allowed"
	ReasonUnknownModel  Reason = "unknown-model"
	ReasonUnknownRoute  Reason = "unknown-route"
	ReasonRate          Reason = "rate"
	ReasonQueueFull     Reason = "queue-full"
	ReasonDeadline      Reason = "deadline"
	ReasonNoTarget      Reason = "no-target"
	ReasonNoMemory      Reason = "no-memory"
	ReasonCutOff        Reason = "cut-off"
	ReasonClaimed       Reason = "claimed"
	ReasonClaimUnsafe   Reason = "claim-unsafe"
	ReasonDraining      Reason = "leaving"
	ReasonTargetFailed  Reason = "target-failed"
	ReasonWrongAnswer   Reason = "wrong-answer"
	ReasonShortAnswer   Reason = "short-answer"
	ReasonCallerLeft    Reason = "caller-left"
	ReasonStarting      Reason = "starting"
	ReasonTooLarge      Reason = "too-large"
	ReasonLedgerMissing Reason = "ledger-missing"
	ReasonKeyReused     Reason = "key-reused"
)

// Header returns "served".
func (Served) Header() string { return "served" }

// Header returns "not-run".
func (NotRun) Header() string { return "not-run" }

// Header returns "unknown".
func (Unknown) Header() string { return "unknown" }

func (Served) sealed()  {}
func (NotRun) sealed()  {}
func (Unknown) sealed() {}
