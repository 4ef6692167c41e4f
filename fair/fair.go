// Package fair queues requests by weighted fair queueing among teams, and immediately
// refuses requests that can't start before their deadlines.
package fair

import (
	"context"
	"time"

	"hawthornway/outcome"
	"hawthornway/team"
)

// Entry is a request that waits for its turn.
type Entry struct {
	Team team.ID
	// Cost is the maximum number of tokens that the request may use.
	Cost  team.Tokens
	Bytes int64
	// Deadline is the latest time at which the request may start.
	Deadline time.Time
}

// Settings are the settings of one team. Limits of zero or less admit no requests.
type Settings struct {
	// Weight is the team's weight in fair queueing. A weight that isn't positive
	// counts as one.
	Weight float64
	// Entries and Bytes limit the number and the total size of waiting requests.
	Entries int
	Bytes   int64
}

// Queue lets requests start when there is a free slot, in the order of weighted fair
// queueing.
type Queue interface {
	// Wait waits until the request may start, or returns why it may not. Cancelling
	// the context removes the request from the queue.
	Wait(ctx context.Context, entry Entry) (Ticket, *Refusal)
	// SetSlots sets the maximum number of requests that run at once.
	SetSlots(n int)
	// Waiting returns the number of waiting requests.
	Waiting() int
}

// Ticket is a request that has started.
type Ticket interface {
	// Done frees the slot, and refunds the team what the request did not use. Only
	// the first call has an effect.
	Done(used team.Tokens)
}

// Refusal is the reason why a request may not start.
type Refusal struct {
	Reason outcome.Reason
	// RetryAfter is the time after which a retry with the same time to its deadline
	// is expected to start in time.
	RetryAfter time.Duration
	// Detail is an explanation for the caller.
	Detail string
}

// Outcome returns the refusal as the request's outcome.
func (r *Refusal) Outcome() outcome.NotRun {
	return outcome.NotRun{Reason: r.Reason, RetryAfter: r.RetryAfter, Detail: r.Detail}
}
