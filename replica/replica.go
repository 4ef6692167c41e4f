// Package replica decides which engines hold which models and adapters. The
// owner of a group of engines records each decision, sends the order to the
// engine and confirms the result from a newer report. Every host asks owners
// for replicas and learns from their digests where replicas are.
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
	// Deadline is the time by which the request must be answered.
	Deadline time.Time
	// Homes reports whether the replica may be in a failure domain. If it is nil, it may be in
	// any.
	Homes func(fleet.DomainID) bool
}

// LoadResult describes how a load request was answered.
type LoadResult struct {
	Replica Replica
	// Source is where the weights came from.
	Source Source
	// Waited is the time from the request to the answer.
	Waited time.Duration
}

// Source is the place that an engine loads weights from.
type Source string

// The sources of weights, fastest first. SourceNone means that the replica was
// already ready.
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

// TargetLoad is the load of a target by its last report, as published by the group's
// owner.
type TargetLoad struct {
	// Running and Queued count the requests at the target, and Slots is the number
	// that it can run at the same time.
	Running int
	Queued  int
	Slots   int
	// TokensPerSecond is the rate at which the target generates tokens.
	TokensPerSecond float64
	// Draining is set if the target takes no new work.
	Draining bool
	// TakenAt is the time of the report by this host's clock.
	TakenAt time.Time
}
