package experiment

import (
	"hawthornway/measure"
	"hawthornway/standin/engine"
	"hawthornway/standin/kvstore"
	"hawthornway/target"
)

// snapshot are the counts of the stand-ins at one moment.
type snapshot struct {
	platform kvstore.Counts
	engines  map[target.ID]engine.Counts
	loads    map[target.ID]int
}

func (e *Experiment) snapshot() snapshot {
	s := snapshot{
		platform: e.standins.KeyValue.Counts(),
		engines:  make(map[target.ID]engine.Counts),
		loads:    make(map[target.ID]int),
	}
	for name, one := range e.standins.Engines {
		s.engines[name] = one.Counts()
		s.loads[name] = len(one.Loads())
	}
	return s
}

// collect takes what the stand-ins recorded since the measured run began.
func (e *Experiment) collect(run *measure.Run) {
	run.Platform = minusCalls(e.standins.KeyValue.Counts(), e.before.platform)
	run.Samples = e.samples
	for name, one := range e.standins.Engines {
		counts, last := one.Counts(), e.before.engines[name]
		counts.Idle -= last.Idle
		counts.Busy -= last.Busy
		counts.Loading -= last.Loading
		run.Engines[name] = measure.EngineRecord{Counts: counts, Loads: one.Loads()[e.before.loads[name]:]}
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
