// Package outcome defines the outcomes of requests. Each request has exactly one.
package outcome

import "time"

// Outcome is one of Served, NotRun and Unknown.
type Outcome interface {
	// Header returns the value of the Hawthornway-Outcome header.
	Header() string
	sealed()
}

// Served means that the target's complete response was passed on.
type Served struct{}

// NotRun means that no target ran any part of the request.
type NotRun struct {
	Reason Reason
	// RetryAfter is the time after which a retry is expected to succeed.
	// Zero means that a retry won't help.
	RetryAfter time.Duration
	// Detail is one sentence for the caller.
	Detail string
}

// Unknown means that a target may have run the request, completely or in part.
type Unknown struct {
	Reason Reason
	Detail string
}

// Reason is why a request was not served.
type Reason string

// The reasons why requests are not served.
const (
	ReasonBadRequest         Reason = "bad-request"
	ReasonNoKey              Reason = "no-key"
	ReasonKeyWithdrawn       Reason = "key-withdrawn"
	ReasonNotAllowed         Reason = "not-allowed"
	ReasonUnknownModel       Reason = "unknown-model"
	ReasonUnknownRoute       Reason = "unknown-route"
	ReasonRate               Reason = "rate"
	ReasonQueueFull          Reason = "queue-full"
	ReasonDeadline           Reason = "deadline"
	ReasonNoTarget           Reason = "no-target"
	ReasonNoMemory           Reason = "no-memory"
	ReasonCutOff             Reason = "cut-off"
	ReasonClaimed            Reason = "claimed"
	ReasonClaimUnsafe        Reason = "claim-unsafe"
	ReasonDraining           Reason = "leaving"
	ReasonTargetFailed       Reason = "target-failed"
	ReasonWrongResponse      Reason = "wrong-answer"
	ReasonIncompleteResponse Reason = "short-answer"
	ReasonCallerLeft         Reason = "caller-left"
	ReasonStarting           Reason = "starting"
	ReasonTooLarge           Reason = "too-large"
	ReasonLedgerMissing      Reason = "ledger-missing"
	ReasonKeyReused          Reason = "key-reused"
	ReasonQuarantined        Reason = "quarantined"
	ReasonLoadFails          Reason = "load-fails"
	ReasonConfiguration      Reason = "configuration"
	ReasonVersion            Reason = "version"
	ReasonStaleConfiguration Reason = "stale-configuration"
	ReasonHomes              Reason = "homes"
	ReasonOverloaded         Reason = "overloaded"
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
