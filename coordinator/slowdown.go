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

// recordStated records how long work takes at targets, as these have told a host.
func (c *Coordinator) recordStated(stated []wireStated, now time.Time) {
	for _, s := range stated {
		e, ok := c.engines[s.Target]
		if !ok || e.start != s.Start {
			continue
		}
		estimator, ok := c.slowdowns[e.target.Pool]
		if !ok {
			estimator = slowdown.NewEstimator()
			c.slowdowns[e.target.Pool] = estimator
		}
		estimator.Record(slowdown.Statements{Target: s.Target, Start: s.Start, Sum: slowdown.Factor(s.Sum) / percent, Count: s.Count}, now)
	}
}

// percent is the number of units of a factor on the wire.
const percent = 100

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
	// goneRetention is how long hosts are told that an engine has left. It is many times the
	// interval of their reports.
	goneRetention = 30 * time.Second
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
	// goneAt is when the engine was found to have left.
	goneAt time.Time
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
	t.change(versionedLoad{load: load})
}

// remove replaces the load of an engine that has left by the statement that it is gone, which is
// forgotten once all hosts that report know it.
func (t *loadTable) remove(id target.ID, now time.Time) {
	switch known, ok := t.current[id]; {
	case !ok:
	case !known.load.Gone:
		t.change(versionedLoad{load: wireLoad{Target: id, Gone: true}, goneAt: now})
	case now.Sub(known.goneAt) > goneRetention:
		delete(t.current, id)
	}
}

// change records the changed load of an engine.
func (t *loadTable) change(changed versionedLoad) {
	t.version++
	changed.version = t.version
	load := changed.load
	t.current[load.Target] = changed
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

// updateLoads computes the loads of the engines in pools whose targets state how long work takes.
// Hosts see only a few of the requests at an engine, and learn late what others send there.
func (c *Coordinator) updateLoads(now time.Time) {
	if len(c.slowdowns) == 0 || now.Sub(c.loads.computedAt) < loadsInterval {
		return
	}
	c.loads.computedAt = now
	running := c.runningRequests(now)
	for id := range c.loads.current {
		if _, ok := c.engines[id]; !ok {
			c.loads.remove(id, now)
		}
	}
	for id, e := range c.engines {
		estimator, ok := c.slowdowns[e.target.Pool]
		if !ok {
			continue
		}
		factor := estimator.Factor(id, e.start, now)
		c.loads.set(wireLoad{Target: id, Running: running[runningKey{target: id}], Slowdown: int(math.Round(percent * float64(factor)))})
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
			if l.Gone {
				delete(c.loads, l.Target)
			} else {
				c.loads[l.Target] = l
			}
		}
	}
	loads := slices.Collect(maps.Values(c.loads))
	c.mu.Unlock()
	for _, l := range loads {
		c.updateLoad(l.Target, l.Running)
		c.updateSlowdown(l.Target, slowdown.Factor(l.Slowdown)/percent)
	}
}

// slowdownsOf holds what is known of each pool's targets.
type slowdownsOf map[target.Pool]*slowdown.Estimator
