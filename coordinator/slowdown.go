package coordinator

import (
	"cmp"
	"maps"
	"math"
	"slices"
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

// The loads of engines that hosts are sent.
const (
	// loadsInterval is the interval at which the loads are computed. All hosts report within a
	// second, and counting the requests of all hosts takes long in a large fleet.
	loadsInterval = 250 * time.Millisecond
	// maxLoadsPerAnswer bounds the answers to reports, so that the bytes that a host is sent
	// don't grow with the number of engines. The rest follows with the next answers.
	maxLoadsPerAnswer = 100
	// loadStep and slowdownStep are the steps in which loads and slowdowns, in percent, are sent.
	// Smaller changes don't matter for the choice of an engine.
	loadStep     = 4
	slowdownStep = 10
)

// loadTable holds the loads of engines in the order of their last changes.
type loadTable struct {
	computedAt time.Time
	version    uint64
	current    map[target.ID]versionedLoad
	// changes lists all changes by version. Those that a later one of the same engine has
	// replaced are removed now and then.
	changes []loadChange
}

type versionedLoad struct {
	load    wireLoad
	version uint64
}

type loadChange struct {
	target  target.ID
	version uint64
}

func newLoadTable() *loadTable { return &loadTable{current: map[target.ID]versionedLoad{}} }

// set sets the load of an engine.
func (t *loadTable) set(load wireLoad) {
	load.Running = (load.Running + loadStep/2) / loadStep * loadStep
	load.Slowdown = (load.Slowdown + slowdownStep/2) / slowdownStep * slowdownStep
	if known, ok := t.current[load.Target]; ok && known.load == load {
		return
	}
	t.version++
	t.current[load.Target] = versionedLoad{load, t.version}
	t.changes = append(t.changes, loadChange{load.Target, t.version})
	if len(t.changes) > 2*len(t.current)+maxLoadsPerAnswer {
		t.changes = slices.DeleteFunc(t.changes, t.replaced)
	}
}

// replaced reports whether a later change of the same engine has replaced a change.
func (t *loadTable) replaced(c loadChange) bool { return t.current[c.target].version != c.version }

// since returns the loads that have changed after a version, up to maxLoadsPerAnswer of them, and
// the version up to which they go.
func (t *loadTable) since(version uint64) (loads []wireLoad, upTo uint64) {
	first, _ := slices.BinarySearchFunc(t.changes, version+1, func(c loadChange, v uint64) int { return cmp.Compare(c.version, v) })
	upTo = version
	for _, c := range t.changes[first:] {
		if len(loads) == maxLoadsPerAnswer {
			return loads, upTo
		}
		if upTo = c.version; !t.replaced(c) {
			loads = append(loads, t.current[c.target].load)
		}
	}
	return loads, upTo
}

// updateLoads computes the loads of the engines in pools of which gaps are known. Hosts see only a
// few of the requests at an engine, and learn of it late what others send there.
func (c *Coordinator) updateLoads(now time.Time) {
	if len(c.slowdowns) == 0 || now.Sub(c.loads.computedAt) < loadsInterval {
		return
	}
	c.loads.computedAt = now
	running := c.runningRequests(now)
	for id, e := range c.engines {
		estimator, ok := c.slowdowns[e.target.Pool]
		if !ok {
			continue
		}
		factor := estimator.Factor(id, e.start, now)
		c.loads.set(wireLoad{Target: id, Running: running[runningKey{target: id}], Slowdown: int(math.Round(100 * float64(factor)))})
	}
}

// addLoads adds the loads that have changed since a host's last answer to the answer to its report.
func (c *Coordinator) addLoads(report wireReport, view *wireView, now time.Time) {
	c.updateLoads(now)
	seen := report.LoadsSeen
	if report.Fence != c.fence {
		seen = 0
	}
	view.Loads, view.LoadsVersion = c.loads.since(seen)
}

// adoptLoads passes on the loads of targets, with those of earlier answers.
func (c *Client) adoptLoads(view wireView) {
	if !view.Answer {
		return
	}
	c.mu.Lock()
	if c.loadsFence != view.Fence {
		c.loadsFence, c.loadsSeen, c.loads = view.Fence, 0, map[target.ID]wireLoad{}
	}
	if view.LoadsVersion > c.loadsSeen {
		c.loadsSeen = view.LoadsVersion
		for _, l := range view.Loads {
			c.loads[l.Target] = l
		}
	}
	loads := slices.Collect(maps.Values(c.loads))
	c.mu.Unlock()
	for _, l := range loads {
		c.updateLoad(l.Target, l.Running)
		c.updateSlowdown(l.Target, slowdown.Factor(l.Slowdown)/100)
	}
}

// slowdownsOf holds what is known of each pool's targets.
type slowdownsOf map[target.Pool]*slowdown.Estimator
