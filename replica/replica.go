// Package replica decides which engines hold which models and adapters. The
// owner of a group of engines records each decision, orders the engine and
// confirms the result from a newer report; every host asks owners for replicas
// and learns from their digests where replicas are.
package replica

import (
	"time"

	"hawthornway/fleet"
	"hawthornway/model"
	"hawthornway/target"
	"hawthornway/team"
)

// LoadRequest asks for a loaded replica of a model or an adapter.
type LoadRequest struct {
	// Model names a model or an adapter.
	Model model.Name
	Team  team.ID
	// Deadline is when the want must have been answered.
	Deadline time.Time
}

// Wait tells how a want was met.
type Wait struct {
	Replica Replica
	// Source is where the weights came from.
	Source Source
	// Waited is the time from the want to the answer.
	Waited time.Duration
}

// Source says where an engine gets weights from.
type Source string

// The sources of weights, fastest first. SourceNone means that the replica was
// ready already.
const (
	SourceNone   Source = "none"
	SourceMemory Source = "memory"
	SourceDisk   Source = "disk"
	SourceRemote Source = "remote"
)

// Replica is a model or an adapter that is ready at an engine.
type Replica struct {
	Ref     model.Ref
	Target  target.ID
	Address string
	Domain  fleet.DomainID
}

// Load is what a target last said of its work, as its owner passed it on.
type Load struct {
	Running int
	Queued  int
	Slots   int
	// TokensPerSecond is the rate at which the target generates.
	TokensPerSecond float64
	// Draining says that the target takes no new work.
	Draining bool
	// TakenAt is when the report was made, by this host's clock.
	TakenAt time.Time
}
