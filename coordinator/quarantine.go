package coordinator

import (
	"time"

	"hawthornway/fleet"
	"hawthornway/model"
	"hawthornway/quarantine"
	"hawthornway/target"
)

// recordEvidence records a host's evidence of what crashes targets. It returns the suspects
// of the host's crashes that are known to be sound.
func (c *Coordinator) recordEvidence(host fleet.HostID, report wireReport, now time.Time) (sound []quarantine.Suspect) {
	for _, w := range report.Quarantined {
		c.detector.Adopt(now, quarantine.Quarantine{Suspect: w.Suspect, Until: now.Add(time.Duration(w.Left) * time.Millisecond)})
	}
	for _, suspect := range report.Sound {
		if c.detector.RecordSound(now, suspect) {
			c.log.Info("quarantine: suspect is sound after all", "suspect", suspect, "host", host)
			c.quarantineChanged = true
		}
	}
	for _, w := range report.Crashes {
		crash := quarantine.Crash{Target: w.Target, Start: w.Start, Request: w.Request, Suspects: w.Suspects, At: now.Add(-time.Duration(w.Ago) * time.Millisecond)}
		for _, suspect := range c.detector.RecordCrash(now, crash) {
			c.log.Warn("quarantine: targets crash under this suspect; hosts refuse requests with it", "suspect", suspect, "target", w.Target, "request", w.Request)
			c.quarantineChanged = true
		}
		for _, suspect := range w.Suspects {
			if c.detector.Sound(now, suspect) {
				sound = append(sound, suspect)
			}
		}
	}
	if c.quarantineChanged {
		c.wake()
	}
	return sound
}

// wireQuarantined returns the quarantined suspects.
func (c *Coordinator) wireQuarantined(now time.Time) []wireQuarantine {
	var wire []wireQuarantine
	for _, q := range c.detector.List(now) {
		wire = append(wire, wireQuarantine{Suspect: q.Suspect, Left: q.Until.Sub(now).Milliseconds()})
	}
	return wire
}

// addEvidence adds this host's evidence to a report.
func (c *Client) addEvidence(report *wireReport) {
	now := c.clock.Now()
	evidence := c.screen.Take(report.Fence)
	report.Sound = evidence.Sound
	for _, crash := range evidence.Crashes {
		report.Crashes = append(report.Crashes, wireCrash{
			Target: crash.Target, Start: crash.Start, Request: crash.Request, Suspects: crash.Suspects, Ago: now.Sub(crash.At).Milliseconds(),
		})
	}
	for _, q := range evidence.Quarantined {
		report.Quarantined = append(report.Quarantined, wireQuarantine{Suspect: q.Suspect, Left: q.Until.Sub(now).Milliseconds()})
	}
}

// adoptQuarantined applies the quarantined suspects in a view.
func (c *Client) adoptQuarantined(view wireView) {
	now := c.clock.Now()
	var list []quarantine.Quarantine
	for _, w := range view.Quarantined {
		list = append(list, quarantine.Quarantine{Suspect: w.Suspect, Until: now.Add(time.Duration(w.Left) * time.Millisecond)})
	}
	c.screen.Adopt(view.Fence, list, view.Answer, view.Sound)
}

// recordFailedLoad records that an engine ended while it loaded a model, or didn't have it
// after the load. The model is held back once that has happened on several engines.
func (c *Coordinator) recordFailedLoad(name model.Name, engine target.ID) {
	now := c.clock.Now()
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
