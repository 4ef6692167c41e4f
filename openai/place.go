package openai

import (
	"context"

	"hawthornway/call"
	"hawthornway/fleet"
	"hawthornway/outcome"
	"hawthornway/target"
)

// Place is a replica that one attempt is sent to.
type Place struct {
	Target  target.ID
	Domain  fleet.DomainID
	Address string
	// Cold says that the replica was loaded while the call waited.
	Cold bool
	// Done takes the end of the attempt, exactly once.
	Done func(Ending)
}

// Ending is how one attempt ended.
type Ending int

// The endings of an attempt.
const (
	// EndingServed says that the whole answer came.
	EndingServed Ending = iota
	// EndingNotSent says that nothing reached the engine.
	EndingNotSent
	// EndingRefused says that the engine refused and ran nothing.
	EndingRefused
	// EndingBroken says that the answer broke off, was late or was wrong.
	EndingBroken
	// EndingCancelled says that the caller left or lost its key.
	EndingCancelled
)

// Placer finds a replica for each attempt of a generation.
type Placer interface {
	// Place returns a replica that is ready, waiting for a load if it must,
	// until the call's deadline. Tried lists the targets that failed this call.
	Place(ctx context.Context, c *call.Call, gen *call.Generation, tried []target.ID) (Place, *outcome.NotRun)
	// Retry reports whether another attempt may be made after an ending.
	Retry(c *call.Call, ending Ending) bool
}
