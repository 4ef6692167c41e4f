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

// Placement is a replica that one attempt is sent to.
type Placement struct {
	Target  target.ID
	Domain  fleet.DomainID
	Address string
	// Cold says that the replica was loaded while the call waited.
	Cold bool
	// Done takes the end of the attempt, exactly once.
	Done func(retry.Result)
}

// Placer finds a replica for each attempt of a generation.
type Placer interface {
	// Place returns a replica that is ready, waiting for a load if it must,
	// until the call's deadline. Tried lists the targets that failed this call.
	Place(ctx context.Context, c *call.Call, gen *call.Generation, tried []target.ID) (Placement, *outcome.NotRun)
	// RetryAfter returns when a repeat of a generation that engines refused is
	// expected to be served.
	RetryAfter(gen *call.Generation) time.Duration
}
