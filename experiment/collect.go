package experiment

import (
	"hawthornway/measure"
	"hawthornway/standin/engine"
	"hawthornway/standin/kvstore"
	"hawthornway/target"
)

// engineCounts are an engine's counts at one moment.
type engineCounts = engine.Counts

func (e *Experiment) engineCounts() map[target.ID]engineCounts {
	counts := make(map[target.ID]engineCounts)
	for name, one := range e.standins.Engines {
		counts[name] = one.Counts()
	}
	return counts
}

func (e *Experiment) loadCounts() map[target.ID]int {
	loads := make(map[target.ID]int)
	for name, one := range e.standins.Engines {
		loads[name] = len(one.Loads())
	}
	return loads
}

// collect takes what the targets recorded since the plan began.
func (e *Experiment) collect(run *measure.Run, before map[target.ID]engineCounts, loadsBefore map[target.ID]int) {
	for name, one := range e.standins.Engines {
		counts := one.Counts()
		counts.Idle -= before[name].Idle
		counts.Busy -= before[name].Busy
		counts.Loading -= before[name].Loading
		run.Engines[name] = measure.EngineRecord{Counts: counts, Loads: one.Loads()[loadsBefore[name]:]}
		addRuns(run.Executions, one.Executions())
	}
	for _, one := range e.standins.Services {
		run.ServiceKeysSeen += one.Counts().KeysSeen
		addRuns(run.Executions, one.Executions())
	}
}

func addRuns(sum, runs map[string]int) {
	for id, n := range runs {
		sum[id] += n
	}
}

func minusCalls(now, before kvstore.Counts) kvstore.Counts {
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
