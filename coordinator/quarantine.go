package coordinator

import (
	"time"

	"hawthornway/fleet"
	"hawthornway/model"
	"hawthornway/quarantine"
	"hawthornway/roster"
	"hawthornway/target"
)

// reportTolerance is by how much times in hosts' reports may be off, since reports take different times.
const reportTolerance = 100 * time.Millisecond

// recordEvidence records a host's evidence of what crashes targets. It returns what targets
// are known to have survived of the suspects of the host's crashes.
func (c *Coordinator) recordEvidence(host fleet.HostID, report wireReport, now time.Time) (survived []quarantine.Survival) {
	for _, w := range report.Quarantined {
		c.detector.Adopt(now, w.quarantine(now))
	}
	c.detector.RecordSurvivals(now, report.Survivals)
	for _, survival := range survivals(report.Survived, report.Sound, now) {
		if c.detector.RecordSurvival(now, survival) {
			c.log.Info("quarantine: suspect is sound after all", "suspect", survival.Suspect, "host", host)
			c.quarantineChanged = true
		}
	}
	for _, w := range report.Crashes {
		for _, suspect := range c.detector.RecordCrash(now, w.crash(now)) {
			ends, survived := c.detector.Weighed(suspect)
			c.log.Warn("quarantine: targets crash under this suspect; hosts refuse requests with it", "suspect", suspect,
				"target", w.Target, "request", w.Request, "ended", ends, "survived", survived)
			c.quarantineChanged = true
			c.excuseLoads(c.detector.Ended(suspect))
		}
		for _, suspect := range w.Suspects {
			if survival, ok := c.detector.LastSurvival(now, suspect); ok {
				survival.Count, survival.Earlier = 0, 0
				survived = append(survived, survival)
			}
		}
	}
	if c.quarantineChanged {
		c.wake()
	}
	return survived
}

// since returns the time since an instant in milliseconds, at least one.
func since(now, at time.Time) int64 { return max(1, now.Sub(at).Milliseconds()) }

// ago returns the instant some milliseconds before.
func ago(now time.Time, ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }

func newWireCrash(crash quarantine.Crash, now time.Time) wireCrash {
	return wireCrash{
		Target: crash.Target, Start: crash.Start, Request: crash.Request, Suspects: crash.Suspects,
		Ago: now.Sub(crash.At).Milliseconds(), Took: crash.Took.Milliseconds(), Unanswered: crash.Unanswered,
	}
}

func (w wireCrash) crash(now time.Time) quarantine.Crash {
	return quarantine.Crash{
		Target: w.Target, Start: w.Start, Request: w.Request, Suspects: w.Suspects,
		At: ago(now, w.Ago), Took: time.Duration(w.Took) * time.Millisecond, Unanswered: w.Unanswered,
	}
}

func newWireQuarantine(q quarantine.Quarantine, now time.Time) wireQuarantine {
	w := wireQuarantine{Suspect: q.Suspect, Left: q.Until.Sub(now).Milliseconds()}
	if !q.Since.IsZero() {
		w.Since = since(now, q.Since)
	}
	for _, end := range q.Ended {
		w.Ended = append(w.Ended, wireEnd{Target: end.Target, Start: end.Start})
	}
	return w
}

func (w wireQuarantine) quarantine(now time.Time) quarantine.Quarantine {
	q := quarantine.Quarantine{Suspect: w.Suspect, Until: now.Add(time.Duration(w.Left) * time.Millisecond)}
	if w.Since > 0 {
		q.Since = ago(now, w.Since)
	}
	for _, end := range w.Ended {
		q.Ended = append(q.Ended, quarantine.End{Target: end.Target, Start: end.Start})
	}
	return q
}

func newWireSurvivals(survivals []quarantine.Survival, now time.Time) (wire []wireSurvival, sound []quarantine.Suspect) {
	for _, s := range survivals {
		wire = append(wire, wireSurvival{Suspect: s.Suspect, Ago: now.Sub(s.Sent).Milliseconds(), Complete: s.Complete, Count: s.Count, Earlier: s.Earlier})
		if s.Complete {
			sound = append(sound, s.Suspect)
		}
	}
	return wire, sound
}

// unknownAge is taken for the age of survivals that a build states without one. It is as long as survivals
// are known, so that they outweigh no crash.
const unknownAge = 10 * time.Minute

// survivals returns what targets have survived, of which builds that don't state it name the suspects.
func survivals(wire []wireSurvival, sound []quarantine.Suspect, now time.Time) []quarantine.Survival {
	var list []quarantine.Survival
	for _, w := range wire {
		list = append(list, quarantine.Survival{Suspect: w.Suspect, Sent: ago(now, w.Ago), Complete: w.Complete, Count: w.Count, Earlier: w.Earlier})
	}
	if len(wire) > 0 {
		return list
	}
	for _, suspect := range sound {
		list = append(list, quarantine.Survival{Suspect: suspect, Sent: now.Add(-unknownAge), Complete: true, Count: 1})
	}
	return list
}

// wireQuarantined returns the quarantined suspects.
func (c *Coordinator) wireQuarantined(now time.Time) []wireQuarantine {
	var wire []wireQuarantine
	for _, q := range c.detector.List(now) {
		wire = append(wire, newWireQuarantine(q, now))
	}
	return wire
}

// addEvidence adds this host's evidence to a report.
func (c *Client) addEvidence(report *wireReport) {
	now := c.clock.Now()
	evidence := c.screen.Take(report.Fence)
	report.Survived, report.Sound = newWireSurvivals(evidence.Survived, now)
	report.Survivals = evidence.Survivals
	for _, crash := range evidence.Crashes {
		report.Crashes = append(report.Crashes, newWireCrash(crash, now))
	}
	for _, q := range evidence.Quarantined {
		report.Quarantined = append(report.Quarantined, newWireQuarantine(q, now))
	}
}

// adoptQuarantined applies the quarantined suspects in a view.
func (c *Client) adoptQuarantined(view wireView) {
	now := c.clock.Now()
	var list []quarantine.Quarantine
	for _, w := range view.Quarantined {
		list = append(list, w.quarantine(now))
	}
	c.screen.Adopt(view.Fence, list, view.Answer, survivals(view.Survived, view.Sound, now))
}

// excuseLoads forgets loads that failed on engines that a quarantined suspect has crashed.
func (c *Coordinator) excuseLoads(ends []quarantine.End) {
	engines := make([]target.ID, 0, len(ends))
	for _, end := range ends {
		engines = append(engines, end.Target)
	}
	for _, name := range c.failedLoads.Excuse(engines) {
		c.log.Info("coordinator: model is no longer held back, since its loads failed for another reason", "model", name)
		c.detector.Release(c.clock.Now(), quarantine.ModelSuspect(name))
	}
}

// recordFailedLoad records that an engine ended while it loaded a model, or didn't have it
// after the load. The model is held back once that has happened on several engines, unless
// they ended under a quarantined suspect.
func (c *Coordinator) recordFailedLoad(name model.Name, engine target.ID, start roster.StartID) {
	now := c.clock.Now()
	if c.detector.Explained(engine, start) {
		c.log.Info("coordinator: load failed on an engine that crashed under a request", "engine", engine, "model", name)
		return
	}
	hold := c.failedLoads.RecordFailure(now, name, engine)
	c.log.Warn("coordinator: load failed", "engine", engine, "model", name, "held-for", hold)
	if hold > 0 {
		c.detector.Hold(now, quarantine.ModelSuspect(name), hold)
		c.quarantineChanged = true
		c.wake()
	}
}

// recordLoaded records that an engine has loaded a model.
func (c *Coordinator) recordLoaded(name model.Name) {
	now := c.clock.Now()
	c.failedLoads.RecordLoaded(now, name)
	if c.detector.Release(now, quarantine.ModelSuspect(name)) {
		c.log.Info("coordinator: model is no longer held back, since an engine has loaded it", "model", name)
		c.quarantineChanged = true
	}
}

// heldModels returns the models that must not be loaded now.
func (c *Coordinator) heldModels(now time.Time) map[model.Name]bool {
	held := map[model.Name]bool{}
	for _, q := range c.detector.List(now) {
		if name, ok := q.Suspect.Model(); ok {
			held[name] = true
		}
	}
	return held
}
