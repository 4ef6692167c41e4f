// Package measure works out the users' four measures from one run: cold starts,
// idle accelerator hours, the worst-served team and wrongful refusals, with
// their bounds, the platform's calls and the counters of the promises.
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

// Run is what one run left behind.
type Run struct {
	Deployment string
	Case       string
	System     string
	Seed       uint64
	// Start is the moment from which the results' times count, and Length the
	// plan's length.
	Start   time.Time
	Length  time.Duration
	Config  config.Config
	Weights weights.Settings
	Engine  engine.Settings
	// Results are those of the warm-up, at times below zero, and of the run.
	Results []loadgen.Result
	Engines map[target.ID]EngineRecord
	// Executions are the runs of each call, over all targets.
	Executions map[string]int
	// ServiceKeysSeen is the number of callers' keys that services saw.
	ServiceKeysSeen int64
	// Platform are the calls to the key-value service during the run.
	Platform kvstore.Counts
	Samples  []Sample
	Direct   []loadgen.Result
	Through  []loadgen.Result
	// Faulted says which hosts (by index) the fault touched.
	Faulted map[int]bool
	// Killed says which hosts (by index) were killed.
	Killed map[int]bool
}

// EngineRecord is what one engine left behind.
type EngineRecord struct {
	Counts engine.Counts
	Loads  []engine.LoadRecord
}

// Sample is the state of the fleet at one moment of a run.
type Sample struct {
	At time.Duration
	// Idle and Held are the memory times so far of replicas without requests
	// and of all.
	Idle, Held engine.MemoryTime
	Platform   kvstore.Counts
}

// measured returns the results without those of the warm-up.
func (r Run) measured() []loadgen.Result {
	var results []loadgen.Result
	for _, result := range r.Results {
		if result.Arrival.At >= 0 {
			results = append(results, result)
		}
	}
	return results
}
