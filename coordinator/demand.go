package coordinator

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"hawthornway/fleet"
	"hawthornway/model"
	"hawthornway/peer"
	"hawthornway/roster"
	"hawthornway/target"
)

type wantKey struct {
	pool    target.Pool
	model   model.Name
	adapter model.Name
}

type want struct {
	since time.Time
	// told is when it was last logged that the want is not met.
	told     time.Time
	heard    map[fleet.HostID]wantHeard
	priority int
}

type wantHeard struct {
	at      time.Time
	waiting int
	onTime  int
}

// rate is the demand for a model of late.
type rate struct {
	requests float64 // a second
	prompt   float64 // tokens a second
	at       time.Time
	// adapters are those that were asked for, and when they last were.
	adapters map[model.Name]time.Time
}

type hostReport struct {
	at      time.Time
	running []wireRunning
}

// expire forgets wants that no host repeats.
func (c *Coordinator) expire() {
	now := c.clock.Now()
	for key, w := range c.wants {
		for host, h := range w.heard {
			if now.Sub(h.at) > wantMemory {
				delete(w.heard, host)
			}
		}
		if len(w.heard) == 0 {
			delete(c.wants, key)
		}
	}
}

func (c *Coordinator) handleReport(_ context.Context, from fleet.Member, body []byte) (any, error) {
	var report wireReport
	if err := peer.Decode(body, &report); err != nil {
		return nil, trace.Wrap(err)
	}
	return c.report(from.Host, report)
}

// report takes a host's report and returns what changed since the view that it
// has.
func (c *Coordinator) report(host fleet.HostID, report wireReport) (wireView, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leading {
		return wireView{}, errNotLeading
	}
	c.ledger.RecordReport(host, report.Hosts)
	now := c.clock.Now()
	c.hosts[host] = hostReport{at: now, running: report.Running}
	for _, asked := range report.Asked {
		c.asked(asked, now)
	}
	for _, r := range report.Running {
		if e, ok := c.engines[r.Target]; ok {
			e.touch(r.Model, r.Adapter, now)
		}
	}
	since := report.Since
	if report.Fence != c.fence {
		since = 0
	}
	view := c.newView()
	view.Since = since
	view.Answer = true
	view.Neighbours = c.introduce(host, now)
	switch {
	case since > 0:
		c.registered.since(since, &view)
	case c.version == 0 || len(report.Targets) != roster.Buckets:
		// This coordinator has yet to read the targets, or the host to learn of the
		// term.
		view.Version, view.More = 0, true
		return view, nil
	default:
		c.registered.compare(report.Targets, &view)
	}
	c.enginesSince(since, &view)
	return view, nil
}

// viewEngines is about the number of engines in one view, which takes some ten
// kilobytes then. A host that has yet to learn of many gets them in several.
const viewEngines = 200

// enginesSince adds to a view the engines that have changed after a version, as
// many as fit.
func (c *Coordinator) enginesSince(version uint64, view *wireView) {
	var changed []*engine
	for _, e := range c.engines {
		if e.version > version {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *engine) int {
		return cmp.Or(cmp.Compare(a.version, b.version), cmp.Compare(a.target.ID, b.target.ID))
	})
	now := c.clock.Now()
	for i, e := range changed {
		if i >= viewEngines && e.version > changed[i-1].version {
			view.Version, view.More = changed[i-1].version, true
			return
		}
		view.Engines = append(view.Engines, e.wire(now))
	}
}

// asked counts requests for a model.
func (c *Coordinator) asked(a wireAsked, now time.Time) {
	r, ok := c.rates[a.Model]
	if !ok {
		r = &rate{at: now, adapters: map[model.Name]time.Time{}}
		c.rates[a.Model] = r
	}
	*r = r.decayed(now)
	r.requests += float64(a.Count) / rateMemory.Seconds()
	r.prompt += float64(a.Prompt) / rateMemory.Seconds()
	if a.Adapter != "" {
		r.adapters[a.Adapter] = now
	}
}

func (c *Coordinator) handleWant(_ context.Context, from fleet.Member, body []byte) (any, error) {
	var w wireWant
	if err := peer.Decode(body, &w); err != nil {
		return nil, trace.Wrap(err)
	}
	c.want(from.Host, w)
	return nil, nil
}

// want takes note that requests of a host wait for a model.
func (c *Coordinator) want(host fleet.HostID, w wireWant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leading {
		return
	}
	key := wantKey{w.Pool, w.Model, w.Adapter}
	known, ok := c.wants[key]
	if !ok {
		known = &want{since: c.clock.Now(), heard: map[fleet.HostID]wantHeard{}, priority: w.Priority}
		c.wants[key] = known
	}
	known.heard[host] = wantHeard{at: c.clock.Now(), waiting: w.Waiting, onTime: w.OnTime}
	known.priority = min(known.priority, w.Priority)
	c.wake()
}
