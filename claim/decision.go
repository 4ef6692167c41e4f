package claim

import (
	"net/http"

	"hawthornway/outcome"
)

// Decision is one of Run, Replay and Refuse.
type Decision interface{ decision() }

// Run means that the call may be sent, by this caller only.
type Run struct{ Claim Claim }

// Replay means that an earlier call with the same content has ended with a
// response, which is to be returned again.
type Replay struct{ Response Response }

// Refuse means that the call must not be sent.
type Refuse struct {
	// Status is the HTTP status for the caller: 409, 422 or 503.
	Status  int
	Outcome outcome.Outcome
}

func (Run) decision()    {}
func (Replay) decision() {}
func (Refuse) decision() {}

// Response is a complete response of a target, as it is stored for repeats.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

func refuseUnsafe() Refuse {
	return Refuse{
		Status: http.StatusServiceUnavailable,
		Outcome: outcome.NotRun{
			Reason:     outcome.ReasonClaimUnsafe,
			RetryAfter: maxRetryDelay,
			Detail:     "this call was not sent, since it could not be claimed; an earlier call with the key may have run",
		},
	}
}

func refuseUnknownEnd() Refuse {
	return Refuse{
		Status: http.StatusConflict,
		Outcome: outcome.Unknown{
			Reason: outcome.ReasonClaimed,
			Detail: "an earlier call with this Idempotency-Key has not ended, or its end is not known",
		},
	}
}

func refuseMismatch() Refuse {
	return Refuse{
		Status: http.StatusUnprocessableEntity,
		Outcome: outcome.NotRun{
			Reason: outcome.ReasonClaimed,
			Detail: "the Idempotency-Key was used with another request",
		},
	}
}

func refuseResponseTooLarge() Refuse {
	return Refuse{
		Status: http.StatusConflict,
		Outcome: outcome.Unknown{
			Reason: outcome.ReasonClaimed,
			Detail: "an earlier call with this Idempotency-Key was answered; its answer was too large to be kept",
		},
	}
}
