// Package retry decides whether a call to a target is tried again. The decision
// rests on what is known of the last attempt, and on a budget that keeps
// retries from adding load to targets that are slow already.
package retry

import "time"

// Result is what is known of one attempt. It is one of NotSent, RefusedNotRun,
// SentNoAnswer, Broken and Answered.
type Result interface {
	sealed()
}

// NotSent says that no byte of the request reached the target.
type NotSent struct {
	Err error
}

// Refusal names why a target refused a request before running any of it.
type Refusal string

// The refusals of targets.
const (
	RefusalNotLoaded Refusal = "model-not-loaded"
	RefusalQueueFull Refusal = "queue-full"
	RefusalDraining  Refusal = "leaving"
)

// RefusedNotRun says that the target refused the request and ran no part of it.
type RefusedNotRun struct {
	Refusal Refusal
	// RetryAfter is what the target said, or zero.
	RetryAfter time.Duration
}

// SentNoAnswer says that the target may have run the request.
type SentNoAnswer struct {
	Err error
}

// Broken says that a streamed answer ended before its finish.
type Broken struct {
	// NextToken is the number of the first token that was not received.
	NextToken int
	Err       error
}

// Answered says that the whole answer was received.
type Answered struct {
	Status int
}

func (NotSent) sealed()       {}
func (RefusedNotRun) sealed() {}
func (SentNoAnswer) sealed()  {}
func (Broken) sealed()        {}
func (Answered) sealed()      {}
