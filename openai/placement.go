package openai

import (
	"context"
	"time"

	"hawthornway/call"
	"hawthornway/fleet"
	"hawthornway/outcome"
	"hawthornway/retry"
	"hawthornway/target"
)

// Placement is the replica to which an attempt is sent.
type Placement struct {
	Target  target.ID
	Domain  fleet.DomainID
	Address string
	// Cold is set if the replica was loaded while the call waited.
	Cold bool
	// Done must be called exactly once, with the result of the attempt.
	Done func(retry.Result)
}

// Placer finds a replica for each attempt of a generation.
type Placer interface {
	// Place returns a ready replica. If necessary it waits for one to be loaded,
	// until the call's deadline. Tried lists the targets whose attempts for this
	// call failed.
	Place(ctx context.Context, c *call.Call, gen *call.Generation, tried []target.ID) (Placement, *outcome.NotRun)
	// RetryAfter returns the time after which a generation that engines refused is
	// expected to succeed.
	RetryAfter(gen *call.Generation) time.Duration
}
