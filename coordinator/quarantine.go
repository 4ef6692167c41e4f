package coordinator

import (
	"time"

	"hawthornway/fleet"
	"hawthornway/quarantine"
)

// recordEvidence records a host's evidence of which parts of prompts crash engines. It
// returns the parts of the host's crashes that are known to be sound.
func (c *Coordinator) recordEvidence(host fleet.HostID, report wireReport, now time.Time) (sound []quarantine.Part) {
	for _, w := range report.Quarantined {
		c.detector.Adopt(now, quarantine.Quarantine{Part: w.Part, Until: now.Add(time.Duration(w.Left) * time.Millisecond)})
	}
	for _, part := range report.Sound {
		if c.detector.RecordSound(now, part) {
			c.log.Info("quarantine: a part of prompts is sound after all", "part", part, "host", host)
			c.quarantineChanged = true
		}
	}
	for _, w := range report.Crashes {
		crash := quarantine.Crash{Target: w.Target, Start: w.Start, Request: w.Request, Parts: w.Parts, At: now.Add(-time.Duration(w.Ago) * time.Millisecond)}
		for _, part := range c.detector.RecordCrash(now, crash) {
			c.log.Warn("quarantine: a part of prompts crashes engines; hosts refuse requests with it", "part", part, "target", w.Target, "request", w.Request)
			c.quarantineChanged = true
		}
		for _, part := range w.Parts {
			if c.detector.Sound(now, part) {
				sound = append(sound, part)
			}
		}
	}
	if c.quarantineChanged {
		c.wake()
	}
	return sound
}

// wireQuarantined returns the quarantined parts.
func (c *Coordinator) wireQuarantined(now time.Time) []wireQuarantine {
	var wire []wireQuarantine
	for _, q := range c.detector.List(now) {
		wire = append(wire, wireQuarantine{Part: q.Part, Left: q.Until.Sub(now).Milliseconds()})
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
			Target: crash.Target, Start: crash.Start, Request: crash.Request, Parts: crash.Parts, Ago: now.Sub(crash.At).Milliseconds(),
		})
	}
	for _, q := range evidence.Quarantined {
		report.Quarantined = append(report.Quarantined, wireQuarantine{Part: q.Part, Left: q.Until.Sub(now).Milliseconds()})
	}
}

// adoptQuarantined applies the quarantined parts in a view.
func (c *Client) adoptQuarantined(view wireView) {
	now := c.clock.Now()
	var list []quarantine.Quarantine
	for _, w := range view.Quarantined {
		list = append(list, quarantine.Quarantine{Part: w.Part, Until: now.Add(time.Duration(w.Left) * time.Millisecond)})
	}
	c.screen.Adopt(view.Fence, list, view.Answer, view.Sound)
}
