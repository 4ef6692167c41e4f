package gateway

import (
	"time"

	"hawthornway/catalog"
	"hawthornway/fleet"
	"hawthornway/pace"
	"hawthornway/roster"
)

// Shares of the time within which an evacuated domain has to be empty.
const (
	// evacuationGraceShare is the share for which its targets still get requests that no other
	// target can run, while models are loaded elsewhere.
	evacuationGraceShare = 0.2
	// evacuationEndShare is the share up to which the grace lasts at most, counted from the
	// earliest moment at which the evacuation may have begun. The rest is for requests on their
	// way.
	evacuationEndShare = 0.5
)

// evacuationGrace returns for how long the targets of a domain still get requests if this host has
// just learned that the domain is evacuated. Age is the time since this host knew that it wasn't.
func evacuationGrace(maxDelay, age time.Duration) time.Duration {
	grace := time.Duration(evacuationGraceShare * float64(maxDelay))
	left := time.Duration(evacuationEndShare*float64(maxDelay)) - age
	return max(0, min(grace, left))
}

// Evacuated implements platform.Listener. Targets of a domain that is taken back may be cold, which
// their next registrations show. Until then they are taken for cold.
func (g *gateway) Evacuated(e roster.Evacuations) {
	known := g.roster.Evacuations()
	if e.At > known.At {
		for _, domain := range known.Domains {
			if !e.Includes(domain) {
				g.assumeCold(domain, pace.Period(e.At))
			}
		}
	}
	g.UpdateEvacuations(e)
}

// Evacuations implements platform.Listener.
func (g *gateway) Evacuations() roster.Evacuations { return g.roster.Evacuations() }

// UpdateEvacuations implements coordinator.ViewReceiver.
func (g *gateway) UpdateEvacuations(e roster.Evacuations) {
	grace := evacuationGrace(g.settings.Bounds.MaxEvacuationDelay, g.freshness.age())
	begun, ended := g.roster.SetEvacuations(e, grace)
	for _, domain := range begun {
		g.log.Info("gateway: domain is evacuated", "domain", domain, "revision", e.At, "grace", grace)
	}
	for _, domain := range ended {
		g.log.Info("gateway: domain is no longer evacuated", "domain", domain, "revision", e.At)
	}
	if len(begun)+len(ended) > 0 {
		g.metrics.Scope().Gauge("evacuated_domains").Update(float64(len(e.Domains)))
	}
}

// assumeCold takes the targets of a domain for cold.
func (g *gateway) assumeCold(domain fleet.DomainID, period pace.Period) {
	for _, t := range g.roster.All() {
		warming := g.warmingOf(t)
		if t.Domain != domain || warming == nil {
			continue
		}
		g.limits.RecordWarming(pace.Warming{
			Key: pace.KeyOf(t), Period: period, Rate: pace.Rate(warming.Rate), Until: g.bootClock.Now().Add(warming.Duration), Assumed: true,
		})
	}
}

// warmingOf returns what a target bears while it is cold, or nil if it bears as much as ever.
func (g *gateway) warmingOf(t roster.Target) *catalog.Warming {
	current := g.catalog.Load()
	if current == nil {
		return nil
	}
	pool, _ := current.Pool(t.Pool)
	return pool.Warming
}

// observeWarming records for how long a target stays cold, as its registration says.
func (g *gateway) observeWarming(t roster.Target) {
	warming := g.warmingOf(t)
	if warming == nil {
		return
	}
	if g.limits.Observe(pace.KeyOf(t), pace.Period(t.Revision), pace.Rate(warming.Rate), t.ColdLeft) {
		g.log.Info("gateway: target has turned cold or warm", "target", t.ID, "start", t.Start, "cold", t.ColdLeft, "requests-per-second", warming.Rate)
		g.recordColdTargets()
	}
}

// recordColdTargets updates the metric of cold targets.
func (g *gateway) recordColdTargets() {
	g.metrics.Scope().Gauge("cold_targets").Update(float64(g.limits.Cold()))
}

// hearCold records that a target has said in an answer for how long it stays cold.
func (g *gateway) hearCold(t roster.Target, left time.Duration) {
	warming := g.warmingOf(t)
	if warming == nil || !g.limits.Hear(pace.KeyOf(t), pace.Period(t.Revision), pace.Rate(warming.Rate), left) {
		return
	}
	g.log.Info("gateway: target says that it is cold", "target", t.ID, "start", t.Start, "cold", left, "requests-per-second", warming.Rate)
	g.recordColdTargets()
}

// coldOf returns those targets that have no limit beside being cold.
func (g *gateway) coldOf(limited []roster.Target) []roster.Target {
	var cold []roster.Target
	for _, t := range limited {
		if !g.limits.Stated(pace.KeyOf(t)) {
			cold = append(cold, t)
		}
	}
	return cold
}

// atHome returns the targets in the home regions of a request.
func atHome(targets []roster.Target, homes fleet.RegionSet, regions fleet.Regions) []roster.Target {
	if !homes.Limited() {
		return targets
	}
	var home []roster.Target
	for _, t := range targets {
		if homes.Includes(regions[t.Domain]) {
			home = append(home, t)
		}
	}
	return home
}

// admitsDetour reports whether requests to an address may pass through a host. Requests with homes
// must not pass through other regions, and any request may share a connection with them.
func (g *gateway) admitsDetour(address string, through fleet.Member) bool {
	for _, t := range g.roster.At(address) {
		if g.settings.Regions[t.Domain] != g.settings.Regions[through.Domain] {
			return false
		}
	}
	return true
}
