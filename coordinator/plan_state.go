package coordinator

import (
	"math"
	"time"

	"hawthornway/catalog"
	"hawthornway/fleet"
	"hawthornway/model"
	"hawthornway/placement"
	"hawthornway/target"
)

// decayed returns the rate as of a later time.
func (r *rate) decayed(now time.Time) rate {
	factor := math.Exp(-now.Sub(r.updatedAt).Seconds() / rateDecayTime.Seconds())
	return rate{requests: r.requests * factor, promptTokens: r.promptTokens * factor, updatedAt: now, adapterLastUsed: r.adapterLastUsed}
}

// recentAdapters removes the adapters not requested within rateDecayTime, and
// returns the number of the others.
func (r *rate) recentAdapters(now time.Time) int {
	for name, at := range r.adapterLastUsed {
		if now.Sub(at) > rateDecayTime {
			delete(r.adapterLastUsed, name)
		}
	}
	return len(r.adapterLastUsed)
}

// planState returns the state of a pool as input for the planner.
func (c *Coordinator) planState(pool catalog.Pool) placement.State {
	now := c.clock.Now()
	s := placement.State{
		Now:               now,
		Models:            pool.Engines.Models,
		Held:              c.heldModels(now),
		FailedOn:          c.failedLoads.FailedOn(),
		Rates:             map[model.Name]float64{},
		PromptRates:       map[model.Name]float64{},
		RecentAdapters:    map[model.Name]int{},
		AdapterSlots:      pool.Engines.AdapterSlots,
		HostMemory:        pool.Engines.HostMemory,
		MinResidency:      reportInterval(c.ledgerHosts()) + settleMargin,
		WeightStoreLoads:  c.weightStoreLoads(pool.Name),
		WeightStoreBudget: c.weightStoreBudget(pool, now),
	}
	for name, r := range c.rates {
		if _, ok := pool.Engines.Models[name]; ok {
			recent := r.decayed(now)
			s.Rates[name], s.PromptRates[name] = recent.requests, recent.promptTokens
			s.RecentAdapters[name] = r.recentAdapters(now)
		}
	}
	for key, pending := range c.loadRequests {
		if key.Pool != pool.Name {
			continue
		}
		if s.Held[key.Model] {
			continue
		}
		request := placement.LoadRequest{Model: key.Model, Version: key.Version, Domains: c.domainsIn(key.Homes), Priority: pending.priority, Since: pending.since}
		for _, h := range pending.byHost {
			request.Waiting += h.waiting
			request.OnTime += h.onTime
		}
		s.LoadRequests = append(s.LoadRequests, request)
	}
	running := c.runningRequests(now)
	for _, e := range c.engines {
		if e.target.Pool != pool.Name || !e.usable() {
			continue
		}
		engine := e.plannerEngine(pool, running, now)
		engine.Limited = c.limited(e)
		if _, stated := c.slowdowns[pool.Name]; stated {
			engine.ReadSpeed, _ = c.readSpeed(e, now)
		}
		if c.mayLoad(e) {
			s.Engines = append(s.Engines, engine)
		} else {
			s.Evacuated = append(s.Evacuated, engine)
		}
	}
	sortEngines(s.Engines)
	return s
}

// domainsIn returns the failure domains in a set of regions, or nil if it has all.
func (c *Coordinator) domainsIn(homes fleet.RegionSet) map[fleet.DomainID]bool {
	if !homes.Limited() {
		return nil
	}
	domains := map[fleet.DomainID]bool{}
	for domain, region := range c.regions {
		if homes.Includes(region) {
			domains[domain] = true
		}
	}
	return domains
}

// runningKey identifies a model at an engine, or the whole engine if model is empty.
type runningKey struct {
	target target.ID
	model  model.Name
}

// runningRequests counts the hosts' requests at each engine by model. The count under
// the empty model is the engine's total.
func (c *Coordinator) runningRequests(now time.Time) map[runningKey]int {
	sum := map[runningKey]int{}
	for _, h := range c.hosts {
		if now.Sub(h.receivedAt) > maxHostReportAge {
			continue
		}
		for _, r := range h.running {
			sum[runningKey{r.Target, r.Model}] += r.Count
			sum[runningKey{target: r.Target}] += r.Count
		}
	}
	return sum
}

// weightStoreLoads counts a pool's loads from the weight store in progress.
func (c *Coordinator) weightStoreLoads(pool target.Pool) int {
	n := 0
	for _, e := range c.engines {
		if e.target.Pool == pool && e.job != nil && e.job.Source == placement.SourceWeightStore {
			n++
		}
	}
	return n
}

// weightStoreBudget returns the number of loads from the weight store that may start now
// within the rate limit of the pool and the streams of the weight store.
func (c *Coordinator) weightStoreBudget(pool catalog.Pool, now time.Time) int {
	window := c.bounds.LoadWindow
	allowed := int(pool.Engines.LoadsPerSecond*window.Seconds()*max(1, c.bounds.LoadOvershoot)) + weightStoreLoadSlack
	recent := c.weightStoreLoadTimes[:0]
	for _, startedAt := range c.weightStoreLoadTimes {
		if now.Sub(startedAt) <= window {
			recent = append(recent, startedAt)
		}
	}
	c.weightStoreLoadTimes = recent
	return max(0, min(allowed-len(recent), placement.WeightStoreStreams-c.weightStoreLoads(pool.Name)))
}
