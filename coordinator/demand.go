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

// Need is a model, or an adapter of it, that requests wait for.
type Need struct {
	Pool    target.Pool
	Model   model.Name
	Adapter model.Name
	// Version is the version of the engines that can serve the requests, or empty if any
	// engine can.
	Version target.Version
	// Homes are the regions of the engines that may serve the requests.
	Homes fleet.RegionSet
}

// servedBy reports whether an engine can serve the requests once it holds the model.
func (n Need) servedBy(t roster.Target, regions fleet.Regions) bool {
	return t.Pool == n.Pool && (n.Version == "" || n.Version == t.Version) && n.Homes.Includes(regions[t.Domain])
}

// loadRequest combines the load requests of all hosts for one model or adapter.
type loadRequest struct {
	since time.Time
	// loggedAt is when the request was last logged as pending.
	loggedAt time.Time
	// keepUntil is until when the request is kept although no host repeats it, since
	// callers were told to come back.
	keepUntil time.Time
	byHost    map[fleet.HostID]hostLoadRequest
	priority  int
}

type hostLoadRequest struct {
	receivedAt time.Time
	waiting    int
	onTime     int
}

// rate is the recent demand for a model, as exponentially decaying averages.
type rate struct {
	requests     float64 // requests per second
	promptTokens float64 // tokens per second
	updatedAt    time.Time
	// adapterLastUsed is when each adapter was last requested.
	adapterLastUsed map[model.Name]time.Time
}

// hostReport is the last report of a host's running requests.
type hostReport struct {
	receivedAt time.Time
	running    []wireRunning
	unread     []wireUnread
	weak       bool
}

// expireLoadRequests removes the load requests that hosts no longer repeat.
func (c *Coordinator) expireLoadRequests() {
	now := c.clock.Now()
	for key, request := range c.loadRequests {
		for host, h := range request.byHost {
			if now.Sub(h.receivedAt) > loadRequestTTL && now.After(request.keepUntil) {
				delete(request.byHost, host)
			}
		}
		if len(request.byHost) == 0 {
			delete(c.loadRequests, key)
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

// report records a host's report and returns what has changed since the newest
// view that the host has.
func (c *Coordinator) report(host fleet.HostID, report wireReport) (wireView, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if fence, _, leads := c.terms.Term(); !c.leading || !leads || fence != c.fence {
		return wireView{}, errNotLeading
	}
	c.ledger.RecordReport(host, report.Hosts, report.ReserveShares.list())
	c.recordConfig(host, report.Config)
	now := c.clock.Now()
	c.hosts[host] = hostReport{receivedAt: now, running: report.Running, unread: report.Unread, weak: report.Weak}
	for _, demand := range report.Demand {
		c.addDemand(demand, now)
		c.admission.recordDemand(demand, now)
	}
	for _, r := range report.Running {
		if e, ok := c.engines[r.Target]; ok {
			e.recordUse(r.Model, r.Adapter, now)
		}
	}
	for _, w := range report.Leaving {
		if c.roster.SetLeaving(w.Target, w.Start) {
			c.log.Info("coordinator: target leaves", "target", w.Target, "start", w.Start, "host", host)
			c.wake()
		}
	}
	c.recordLimits(host, report.Limits)
	c.recordStated(report.Stated, now)
	c.admission.recordReadings(report.Readings, now)
	survived := c.recordEvidence(host, report, now)
	since := report.Since
	if report.Fence != c.fence {
		since = 0
	}
	view := c.newView()
	view.Since = since
	view.Answer = true
	view.Survived, view.Sound = newWireSurvivals(survived, now)
	c.addLimits(report, &view)
	c.addLoads(report, &view, now)
	c.addAdmission(&view, now)
	view.Neighbours = c.dueNeighbours(host, now)
	switch {
	case since > 0 && len(report.Targets) == roster.Buckets:
		c.registered.addChangedSince(since, &view)
		c.registered.addDiffering(report.Targets, since, &view)
	case since > 0:
		c.registered.addChangedSince(since, &view)
	case c.version == 0 || len(report.Targets) != roster.Buckets:
		// The coordinator hasn't read the targets yet, or the host didn't send its
		// digests because it wasn't aware of the new term.
		view.Version, view.More = 0, true
		return view, nil
	default:
		c.registered.addDiffering(report.Targets, 0, &view)
	}
	c.addEnginesSince(since, &view)
	return view, nil
}

// enginesPerView is the approximate maximum number of engines in one view, which
// makes about 10 kB. A host that needs more engines gets them in several views.
const enginesPerView = 200

// addEnginesSince adds the engines that changed after the given version to a view, up
// to its size limit. Engines of the same version are never split between views.
func (c *Coordinator) addEnginesSince(version uint64, view *wireView) {
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
		if i >= enginesPerView && e.version > changed[i-1].version {
			view.Version, view.More = changed[i-1].version, true
			return
		}
		view.Engines = append(view.Engines, e.wire(now))
	}
}

// addDemand adds reported requests to a model's rate.
func (c *Coordinator) addDemand(demand wireDemand, now time.Time) {
	r, ok := c.rates[demand.Model]
	if !ok {
		r = &rate{updatedAt: now, adapterLastUsed: map[model.Name]time.Time{}}
		c.rates[demand.Model] = r
	}
	*r = r.decayed(now)
	r.requests += float64(demand.Count) / rateDecayTime.Seconds()
	r.promptTokens += float64(demand.Prompt) / rateDecayTime.Seconds()
	if demand.Adapter != "" {
		r.adapterLastUsed[demand.Adapter] = now
	}
}

func (c *Coordinator) handleLoadRequest(_ context.Context, from fleet.Member, body []byte) (any, error) {
	var request wireLoadRequest
	if err := peer.Decode(body, &request); err != nil {
		return nil, trace.Wrap(err)
	}
	c.recordLoadRequest(from.Host, request)
	return nil, nil
}

// recordLoadRequest records that requests at a host wait for a model.
func (c *Coordinator) recordLoadRequest(host fleet.HostID, request wireLoadRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leading {
		return
	}
	key := Need{request.Pool, request.Model, request.Adapter, request.TargetVersion, request.Homes}
	entry, ok := c.loadRequests[key]
	if !ok {
		entry = &loadRequest{since: c.clock.Now(), byHost: map[fleet.HostID]hostLoadRequest{}, priority: request.Priority}
		c.loadRequests[key] = entry
	}
	if c.clock.Since(entry.since) >= minDoubtAge {
		c.doubtHolders(request.Model, request.Adapter)
	}
	entry.keepUntil = time.Time{}
	entry.byHost[host] = hostLoadRequest{receivedAt: c.clock.Now(), waiting: request.Waiting, onTime: request.OnTime}
	entry.priority = min(entry.priority, request.Priority)
	c.wake()
}

// doubtHolders polls the engines that should hold a model or adapter that requests wait
// for. They may be out of reach or have restarted.
func (c *Coordinator) doubtHolders(name, adapter model.Name) {
	for _, e := range c.engines {
		if !e.usable() || !e.has(name, adapter) || c.clock.Since(e.polledAt) < minDoubtAge {
			continue
		}
		select {
		case e.doubted <- struct{}{}:
		default: // a poll is due already
		}
	}
}
