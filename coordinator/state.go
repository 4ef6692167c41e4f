package coordinator

import (
	"math"
	"time"

	"hawthornway/catalog"
	"hawthornway/model"
	"hawthornway/placement"
	"hawthornway/target"
)

// decayed returns the rate at a later time.
func (r *rate) decayed(now time.Time) rate {
	part := math.Exp(-now.Sub(r.at).Seconds() / rateMemory.Seconds())
	return rate{requests: r.requests * part, prompt: r.prompt * part, at: now, adapters: r.adapters}
}

// lateAdapters counts the adapters that were asked for of late.
func (r *rate) lateAdapters(now time.Time) int {
	for name, at := range r.adapters {
		if now.Sub(at) > rateMemory {
			delete(r.adapters, name)
		}
	}
	return len(r.adapters)
}

// state describes a pool to the planner.
func (c *Coordinator) state(pool catalog.Pool) placement.State {
	now := c.clock.Now()
	s := placement.State{
		Now:            now,
		Models:         pool.Engines.Models,
		Rates:          map[model.Name]float64{},
		PromptRates:    map[model.Name]float64{},
		RecentAdapters: map[model.Name]int{},
		AdapterSlots:   pool.Engines.AdapterSlots,
		MinResidency:   reportPeriod(c.ledgerHosts()) + settleMargin,
		StoreLoads:     c.storeLoads(pool.Name),
		StoreBudget:    c.storeBudget(pool, now),
	}
	for name, r := range c.rates {
		if _, ok := pool.Engines.Models[name]; ok {
			late := r.decayed(now)
			s.Rates[name], s.PromptRates[name] = late.requests, late.prompt
			s.RecentAdapters[name] = r.lateAdapters(now)
		}
	}
	for key, w := range c.wants {
		if key.pool != pool.Name {
			continue
		}
		want := placement.LoadRequest{Model: key.model, Priority: w.priority, Since: w.since}
		for _, h := range w.heard {
			want.Waiting += h.waiting
			want.OnTime += h.onTime
		}
		s.LoadRequests = append(s.LoadRequests, want)
	}
	running := c.running(now)
	for _, e := range c.engines {
		if e.target.Pool == pool.Name && e.usable() {
			s.Engines = append(s.Engines, e.describe(pool, running, now))
		}
	}
	sortEngines(s.Engines)
	return s
}

type runningKey struct {
	target target.ID
	model  model.Name
}

// running counts the hosts' requests at each engine by model, and under no model
// all of them.
func (c *Coordinator) running(now time.Time) map[runningKey]int {
	sum := map[runningKey]int{}
	for _, h := range c.hosts {
		if now.Sub(h.at) > reportMemory {
			continue
		}
		for _, r := range h.running {
			sum[runningKey{r.Target, r.Model}] += r.Count
			sum[runningKey{target: r.Target}] += r.Count
		}
	}
	return sum
}

// storeLoads counts the loads from the weight store in progress.
func (c *Coordinator) storeLoads(pool target.Pool) int {
	n := 0
	for _, e := range c.engines {
		if e.target.Pool == pool && e.job != nil && e.job.Source == placement.SourceStore {
			n++
		}
	}
	return n
}

// storeBudget returns how many loads from the weight store may begin now.
func (c *Coordinator) storeBudget(pool catalog.Pool, now time.Time) int {
	window := c.bounds.LoadWindow
	allowed := int(pool.Engines.LoadsPerSecond*window.Seconds()*max(1, c.bounds.LoadOvershoot)) + ceilingSlack
	recent := c.loads[:0]
	for _, began := range c.loads {
		if now.Sub(began) <= window {
			recent = append(recent, began)
		}
	}
	c.loads = recent
	return max(0, min(allowed-len(recent), storeStreams-c.storeLoads(pool.Name)))
}
