package experiment

import (
	"hawthornway/measure"
	"hawthornway/standin/engine"
	"hawthornway/standin/kvstore"
	"hawthornway/target"
)

// snapshot holds the counts of the stand-ins at one time.
type snapshot struct {
	platform   kvstore.Counts
	engines    map[target.ID]engine.Counts
	loadCounts map[target.ID]int
}

func (e *Experiment) takeSnapshot() snapshot {
	s := snapshot{
		platform:   e.standins.KeyValue.Counts(),
		engines:    make(map[target.ID]engine.Counts),
		loadCounts: make(map[target.ID]int),
	}
	for name, standin := range e.standins.Engines {
		s.engines[name] = standin.Counts()
		s.loadCounts[name] = len(standin.Loads())
	}
	return s
}

// collect adds the records of the stand-ins to the run. Calls to the key-value
// service, memory times and loads count from the start of the measured run; the
// other counts include the probe and the warm-up.
func (e *Experiment) collect(run *measure.Run) {
	run.PlatformCalls = subtractCounts(e.standins.KeyValue.Counts(), e.startCounts.platform)
	run.Samples = e.samples
	for name, standin := range e.standins.Engines {
		counts, atStart := standin.Counts(), e.startCounts.engines[name]
		counts.Idle -= atStart.Idle
		counts.Busy -= atStart.Busy
		counts.Loading -= atStart.Loading
		run.Engines[name] = measure.EngineRecord{Counts: counts, Loads: standin.Loads()[e.startCounts.loadCounts[name]:]}
		addExecutions(run.Executions, standin.Executions())
	}
	for _, standin := range e.standins.Services {
		run.ServiceKeysSeen += standin.Counts().KeysSeen
		addExecutions(run.Executions, standin.Executions())
	}
}

func addExecutions(total, executions map[string]int) {
	for id, n := range executions {
		total[id] += n
	}
}

func subtractCounts(now, before kvstore.Counts) kvstore.Counts {
	return kvstore.Counts{
		Gets:    now.Gets - before.Gets,
		Lists:   now.Lists - before.Lists,
		Swaps:   now.Swaps - before.Swaps,
		Deletes: now.Deletes - before.Deletes,
		Watches: now.Watches - before.Watches,
		Leases:  now.Leases - before.Leases,
		Limited: now.Limited - before.Limited,
	}
}
