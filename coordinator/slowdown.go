package coordinator

import (
	"math"
	"slices"
	"strings"
	"time"

	"hawthornway/slowdown"
	"hawthornway/target"
)

// recordGaps records the gaps between events that a host has seen.
func (c *Coordinator) recordGaps(gaps []wireGaps, now time.Time) {
	for _, g := range gaps {
		e, ok := c.engines[g.Target]
		if !ok || e.start != g.Start {
			continue
		}
		estimator, ok := c.slowdowns[e.target.Pool]
		if !ok {
			estimator = slowdown.NewEstimator()
			c.slowdowns[e.target.Pool] = estimator
		}
		estimator.Record(slowdown.Gaps{Target: g.Target, Start: g.Start, Sum: time.Duration(g.Sum) * time.Microsecond, Count: g.Count}, now)
	}
}

// maxLoadsAge is how long the loads are used that one answer was given. All hosts report within a
// second, and counting the requests of all hosts takes long in a large fleet.
const maxLoadsAge = 250 * time.Millisecond

// loads returns the loads of the engines in pools of which gaps are known. Hosts see only a few of
// the requests at an engine, and learn of it late what others send there.
func (c *Coordinator) loads(now time.Time) []wireLoad {
	if len(c.slowdowns) == 0 {
		return nil
	}
	if now.Sub(c.loadsAt) < maxLoadsAge {
		return c.lastLoads
	}
	running := c.runningRequests(now)
	var loads []wireLoad
	for id, e := range c.engines {
		estimator, ok := c.slowdowns[e.target.Pool]
		if !ok {
			continue
		}
		factor := estimator.Factor(id, e.start, now)
		loads = append(loads, wireLoad{Target: id, Running: running[runningKey{target: id}], Slowdown: int(math.Round(100 * float64(factor)))})
	}
	slices.SortFunc(loads, func(a, b wireLoad) int { return strings.Compare(string(a.Target), string(b.Target)) })
	c.loadsAt, c.lastLoads = now, loads
	return loads
}

// adoptLoads passes on the loads of targets in the answer to a report.
func (c *Client) adoptLoads(view wireView) {
	for _, l := range view.Loads {
		c.updateLoad(l.Target, l.Running)
		c.updateSlowdown(l.Target, slowdown.Factor(l.Slowdown)/100)
	}
}

// slowdownsOf holds what is known of each pool's targets.
type slowdownsOf map[target.Pool]*slowdown.Estimator
