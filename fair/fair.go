// Package fair orders waiting requests by what each team is owed, and refuses
// at once what can't start before its deadline.
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
	// Cost is the most tokens that the request may use.
	Cost  team.Tokens
	Bytes int64
	// Deadline is the latest time at which the request may start.
	Deadline time.Time
}

// Settings are those of one team. Bounds of zero or less admit nothing.
type Settings struct {
	// Weight is the team's part in a fair division. It counts as one when it
	// isn't positive.
	Weight float64
	// Entries and Bytes bound what waits.
	Entries int
	Bytes   int64
}

// Queue lets requests start when there is a free slot, in the order of what
// each team is owed.
type Queue interface {
	// Wait returns when the request may start, or why it may not. Cancelling
	// the context takes the request out.
	Wait(ctx context.Context, entry Entry) (Ticket, *Refusal)
	// SetSlots sets the number of requests that run at once.
	SetSlots(n int)
	// Waiting returns the number of requests that wait.
	Waiting() int
}

// Ticket is a request that has started.
type Ticket interface {
	// Done frees the slot and corrects what the team was charged. Only the
	// first call has effect.
	Done(used team.Tokens)
}

// Refusal says why a request may not start.
type Refusal struct {
	Reason outcome.Reason
	// RetryAfter is the time after which the same request is expected to
	// start before its deadline.
	RetryAfter time.Duration
	// Detail is one sentence for the caller.
	Detail string
}

// Outcome returns the refusal as the request's outcome.
func (r *Refusal) Outcome() outcome.NotRun {
	return outcome.NotRun{Reason: r.Reason, RetryAfter: r.RetryAfter, Detail: r.Detail}
}
