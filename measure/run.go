// Package measure computes the four user-facing measures of a run: cold starts,
// idle accelerator memory, the worst-served team and wrongful refusals, with
// their bounds. It also reports the calls to the key-value service and the
// violations of guarantees.
package measure

import (
	"time"

	"hawthornway/config"
	"hawthornway/loadgen"
	"hawthornway/standin/engine"
	"hawthornway/standin/kvstore"
	"hawthornway/standin/weights"
	"hawthornway/target"
)

// Run holds the recorded data of one run.
type Run struct {
	Deployment string
	Case       string
	System     string
	Seed       uint64
	// Start is the start of the measured run, which the results' planned times
	// are relative to, and Duration is its length.
	Start    time.Time
	Duration time.Duration
	Config   config.Config
	Weights  weights.Settings
	Engine   engine.Settings
	// Results holds the results of the warm-up, with negative planned times, and
	// of the measured run.
	Results []loadgen.Result
	Engines map[target.ID]EngineRecord
	// Executions counts the executions of each call, by its ID, over all targets.
	Executions map[string]int
	// ServiceKeysSeen is the number of requests that reached a service with a
	// caller's API key.
	ServiceKeysSeen int64
	// PlatformCalls counts the calls to the key-value service during the run.
	PlatformCalls kvstore.Counts
	Samples       []Sample
	// Direct holds the probe results of requests sent directly to the engine, and
	// ViaHost those of the same requests sent through a host.
	Direct  []loadgen.Result
	ViaHost []loadgen.Result
	// FaultedHosts is the set of hosts, by index, affected by the fault.
	FaultedHosts map[int]bool
	// KilledHosts is the set of hosts, by index, that were killed.
	KilledHosts map[int]bool
}

// EngineRecord holds the recorded data of one engine. It is saved as JSON with
// these field names.
type EngineRecord struct {
	Counts engine.Counts
	Loads  []engine.LoadRecord
}

// Sample holds the counts of the fleet from the start of the measured run to one
// time.
type Sample struct {
	// At is the time since the start of the measured run.
	At time.Duration
	// Idle and Held are the cumulative memory times of replicas without running
	// requests and of all replicas.
	Idle, Held    engine.MemoryTime
	PlatformCalls kvstore.Counts
}

// measuredResults returns the results after the warm-up.
func (r Run) measuredResults() []loadgen.Result {
	var results []loadgen.Result
	for _, result := range r.Results {
		if result.Arrival.At >= 0 {
			results = append(results, result)
		}
	}
	return results
}
