// Package retry decides whether a call to a target is retried. The decision
// depends on the result of the last attempt and on a budget that keeps retries
// from adding load to targets that are already slow.
package retry

import "time"

// Result is the result of one attempt: NotSent, RefusedNotRun, NoResponse,
// Interrupted, ResponseReceived or Cancelled.
type Result interface {
	sealed()
}

// NotSent means that no byte of the request reached the target.
type NotSent struct {
	Err error
}

// Refusal is a target's reason for refusing a request before running any of it.
type Refusal string

// The reasons for a refusal.
const (
	RefusalNotLoaded Refusal = "model-not-loaded"
	RefusalQueueFull Refusal = "queue-full"
	RefusalDraining  Refusal = "leaving"
)

// RefusedNotRun means that the target refused the request and ran no part of
// it.
type RefusedNotRun struct {
	Refusal Refusal
	// RetryAfter is the delay that the target asked for, or zero.
	RetryAfter time.Duration
}

// NoResponse means that the request was sent and no response was received. The
// target may have run it.
type NoResponse struct {
	Err error
}

// Interrupted means that a streamed response ended early.
type Interrupted struct {
	// NextToken is the number of the first token that was not received.
	NextToken int
	Err       error
}

// ResponseReceived means that the whole response was received.
type ResponseReceived struct {
	Status int
}

func (NotSent) sealed()          {}
func (RefusedNotRun) sealed()    {}
func (NoResponse) sealed()       {}
func (Interrupted) sealed()      {}
func (ResponseReceived) sealed() {}
