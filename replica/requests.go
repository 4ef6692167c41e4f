package replica

import (
	"cmp"
	"slices"
	"time"

	"hawthornway/outcome"
)

// pendingRequest is a load request that has not been answered.
type pendingRequest struct {
	LoadRequest
	id            RequestID
	waitForMemory bool
}

// handleRequest handles a load request. It is answered at once if a replica is
// ready, and refused at once if none can be ready by its deadline.
func (g *Group) handleRequest(in LoadRequested) {
	r := &pendingRequest{LoadRequest: in.Request, id: in.ID, waitForMemory: in.WaitForMemory}
	item := g.catalog.Item(in.Request.Model)
	g.requests[r.id] = r
	switch {
	case item == nil:
		g.refuse(r, outcome.ReasonUnknownModel, 0)
		return
	case !g.acceptsLoads():
		g.refuse(r, outcome.ReasonStarting, retryInterval)
		return
	}
	if rep := g.servingReplica(r); rep != nil {
		g.answer(r, rep, SourceNone)
		return
	}
	g.requestsByModel[r.Model] = append(g.requestsByModel[r.Model], r)
	g.enqueue(r)
	g.startLoads()
	g.refuseIfUnmeetable(r)
}

// acceptsLoads reports whether any engine of the group accepts loads.
func (g *Group) acceptsLoads() bool {
	return slices.ContainsFunc(g.engines, func(e *engineState) bool { return e.acceptsLoads() && g.mayOrder(e) })
}

// servingReplica returns a ready replica of a request's model, or else a
// draining one after cancelling its drain. It returns nil if there is neither.
func (g *Group) servingReplica(r *pendingRequest) *placedReplica {
	var draining *placedReplica
	for _, rep := range g.replicas[r.Model] {
		if rep.engine.report.Draining || rep.engine.removed {
			continue
		}
		if rep.serving() && rep.engine.failedReports < maxFailedReports {
			return rep
		}
		if rep.state == replicaDraining {
			draining = rep
		}
	}
	if draining != nil {
		g.cancelDrain(draining)
		if !draining.serving() {
			return nil
		}
	}
	return draining
}

// enqueue queues the load of a request's model, unless a replica of it is
// loading.
func (g *Group) enqueue(r *pendingRequest) {
	if g.pendingReplica(r.LoadRequest) != nil {
		return
	}
	if queued := g.queue.find(r.Model); queued != nil {
		g.queue.advance(queued, r.Deadline)
		return
	}
	load := &queuedLoad{name: r.Model, team: r.Team, deadline: r.Deadline}
	g.queue.push(load, g.catalog.TeamWeight(r.Team))
}

// pendingReplica returns a decided or loading replica of a request's model at
// an engine that answers, or nil.
func (g *Group) pendingReplica(r LoadRequest) *placedReplica {
	for _, rep := range g.replicas[r.Model] {
		if rep.pending() && rep.engine.failedReports < maxFailedReports && !rep.engine.removed {
			return rep
		}
	}
	return nil
}

// refuseIfUnmeetable refuses a request that can't be met in time.
func (g *Group) refuseIfUnmeetable(r *pendingRequest) {
	if g.requests[r.id] == nil {
		return
	}
	queued := g.queue.find(r.Model)
	if queued != nil && !r.waitForMemory && queued.blockedFor(g.now) >= blockedTimeout {
		g.removeFromRequestsByModel(r)
		g.refuse(r, outcome.ReasonNoMemory, g.expectedReadyTime(r.LoadRequest).Sub(g.now))
		g.dequeueIfUnneeded(queued)
		return
	}
	if readyAt := g.expectedReadyTime(r.LoadRequest); readyAt.After(r.Deadline) {
		g.refuseLate(r, readyAt)
	}
}

// refuseLate refuses a request whose replica would not be ready before readyAt.
// If the load alone takes longer than the caller waits, the load proceeds, so
// that the replica is ready when the caller retries. If only the loads ahead of
// it make it late, it is not started, since it would delay others; the retry
// delay then ends when a request with the same wait would be met.
func (g *Group) refuseLate(r *pendingRequest, readyAt time.Time) {
	g.removeFromRequestsByModel(r)
	item := g.catalog.Item(r.Model)
	if g.now.Add(g.loadTimes.expect(item, g.fastestSource(item))).After(r.Deadline) {
		g.refuse(r, outcome.ReasonDeadline, readyAt.Sub(g.now))
		g.keepQueuedForRetry(r.LoadRequest, readyAt)
		return
	}
	g.refuse(r, outcome.ReasonDeadline, max(readyAt.Sub(r.Deadline), minRetryAfter))
	if queued := g.queue.find(r.Model); queued != nil {
		g.dequeueIfUnneeded(queued)
	}
}

// keepQueuedForRetry keeps a load queued, behind those with requests, after its
// last request was refused because of its deadline.
func (g *Group) keepQueuedForRetry(r LoadRequest, readyAt time.Time) {
	queued := g.queue.find(r.Model)
	if queued == nil || len(g.requestsByModel[r.Model]) > 0 {
		return
	}
	g.queue.postpone(queued, readyAt)
	queued.expiresAt = readyAt.Add(callerRetryTimeout)
}

// dequeueIfUnneeded removes a load from the queue if no request waits for it.
func (g *Group) dequeueIfUnneeded(queued *queuedLoad) {
	if len(g.requestsByModel[queued.name]) == 0 && !queued.extra {
		g.queue.remove(queued)
	}
}

// expectedReadyTime returns the time at which a replica of a request's model is
// expected to be ready.
func (g *Group) expectedReadyTime(r LoadRequest) time.Time {
	item := g.catalog.Item(r.Model)
	if rep := g.pendingReplica(r); rep != nil {
		return g.replicaReadyTime(rep)
	}
	start := g.now
	if item.Ref.IsAdapter() {
		start = g.baseReadyTime(r, item)
	}
	source := g.fastestSource(item)
	delay := time.Duration(0)
	if source == SourceRemote && !item.Ref.IsAdapter() {
		loadsAhead := g.queue.ahead(r.Team, g.catalog.TeamWeight(r.Team), r.Deadline)
		delay = queueDelay(g.weightStore, g.weightStoreLoads(), loadsAhead, g.queue.meanLoadTime())
	}
	if queued := g.queue.find(r.Model); queued != nil && (queued.plannedEngine != "" || queued.blocked) {
		delay += expectedDrainTime
	}
	return start.Add(delay + g.loadTimes.expect(item, source))
}

// baseReadyTime returns the time at which the base model of an adapter is
// expected to be ready.
func (g *Group) baseReadyTime(r LoadRequest, item *Item) time.Time {
	for _, rep := range g.replicas[item.Ref.Base] {
		if rep.serving() {
			return g.now
		}
	}
	if g.catalog.Item(item.Ref.Base) == nil {
		return g.now
	}
	r.Model = item.Ref.Base
	return g.expectedReadyTime(r)
}

// replicaReadyTime returns the time at which a loading replica is expected to
// be ready.
func (g *Group) replicaReadyTime(rep *placedReplica) time.Time {
	readyAt := rep.loadStartedAt.Add(rep.expectedLoadTime)
	if earliest := g.now.Add(rep.expectedLoadTime / 10); readyAt.Before(earliest) {
		return earliest
	}
	return readyAt
}

// fastestSource returns the fastest source of a model's weights on any engine
// that accepts loads.
func (g *Group) fastestSource(item *Item) Source {
	best := SourceRemote
	for _, e := range g.engines {
		if !e.acceptsLoads() {
			continue
		}
		if s := e.source(item.Ref); g.loadTimes.factors[s] < g.loadTimes.factors[best] {
			best = s
		}
	}
	return best
}

// answerPending answers the requests for a model that became ready.
func (g *Group) answerPending(rep *placedReplica) {
	if !g.mayOrder(rep.engine) {
		return
	}
	for _, r := range slices.Clone(g.requestsByModel[rep.ref.Name]) {
		g.removeFromRequestsByModel(r)
		g.answer(r, rep, rep.source)
	}
	if queued := g.queue.find(rep.ref.Name); queued != nil && !queued.extra {
		g.queue.remove(queued)
	}
}

func (g *Group) answer(r *pendingRequest, rep *placedReplica, source Source) {
	delete(g.requests, r.id)
	rep.lastUse = g.now
	g.emit(Answer{ID: r.id, Replica: rep.toReplica(), Source: source})
}

// toReplica returns the replica as hosts see it.
func (rep *placedReplica) toReplica() Replica {
	cfg := rep.engine.cfg
	return Replica{Ref: rep.ref, Target: cfg.Name, Address: cfg.Address, Domain: cfg.Domain}
}

func (g *Group) refuse(r *pendingRequest, reason outcome.Reason, retryAfter time.Duration) {
	g.removeFromRequestsByModel(r)
	delete(g.requests, r.id)
	refusal := &outcome.NotRun{Reason: reason, RetryAfter: max(0, retryAfter), Detail: refusalDetail(reason)}
	g.emit(Answer{ID: r.id, Refusal: refusal})
}

func refusalDetail(reason outcome.Reason) string {
	switch reason {
	case outcome.ReasonUnknownModel:
		return "The model does not exist."
	case outcome.ReasonNoMemory:
		return "No engine has memory for the model now."
	case outcome.ReasonDeadline:
		return "The model can't be loaded before the deadline."
	default:
		return "No engine takes loads yet."
	}
}

// handleWithdrawal removes a withdrawn request.
func (g *Group) handleWithdrawal(id RequestID) {
	r, ok := g.requests[id]
	if !ok {
		return
	}
	delete(g.requests, id)
	g.removeFromRequestsByModel(r)
	if queued := g.queue.find(r.Model); queued != nil && queued.expiresAt.IsZero() {
		g.dequeueIfUnneeded(queued)
	}
}

// removeFromRequestsByModel removes a request from its model's list.
func (g *Group) removeFromRequestsByModel(r *pendingRequest) {
	remaining := slices.DeleteFunc(g.requestsByModel[r.Model], func(o *pendingRequest) bool { return o == r })
	if len(remaining) == 0 {
		delete(g.requestsByModel, r.Model)
		return
	}
	g.requestsByModel[r.Model] = remaining
}

// sortedRequests returns all requests ordered by id.
func (g *Group) sortedRequests() []*pendingRequest {
	sorted := make([]*pendingRequest, 0, len(g.requests))
	for _, r := range g.requests {
		sorted = append(sorted, r)
	}
	slices.SortFunc(sorted, func(a, b *pendingRequest) int { return cmp.Compare(a.id, b.id) })
	return sorted
}

// requeueLostLoads queues lost loads again that requests still wait for, and
// refuses the requests that can no longer be met.
func (g *Group) requeueLostLoads() {
	for _, r := range g.sortedRequests() {
		if g.pendingReplica(r.LoadRequest) != nil || g.queue.find(r.Model) != nil {
			continue
		}
		if rep := g.servingReplica(r); rep != nil {
			g.removeFromRequestsByModel(r)
			g.answer(r, rep, rep.source)
			continue
		}
		g.enqueue(r)
		g.startLoads()
		g.refuseIfUnmeetable(r)
	}
}

// refuseBlocked refuses the requests that don't wait for memory and whose loads
// have been blocked for blockedTimeout, so that their hosts ask another group.
func (g *Group) refuseBlocked() {
	for _, queued := range g.queue.all() {
		if !queued.blocked {
			continue
		}
		for _, r := range slices.Clone(g.requestsByModel[queued.name]) {
			if !r.waitForMemory {
				g.refuseIfUnmeetable(r)
			}
		}
	}
}

// expireRequests refuses the requests whose deadlines are close, and drops the
// queued loads whose callers did not retry in time.
func (g *Group) expireRequests() {
	for _, r := range g.sortedRequests() {
		if g.now.Before(r.Deadline.Add(-answerMargin)) {
			continue
		}
		readyAt := g.expectedReadyTime(r.LoadRequest)
		g.refuse(r, outcome.ReasonDeadline, readyAt.Sub(g.now))
		g.keepQueuedForRetry(r.LoadRequest, readyAt)
	}
	for _, queued := range g.queue.all() {
		if !queued.expiresAt.IsZero() && g.now.After(queued.expiresAt) && len(g.requestsByModel[queued.name]) == 0 {
			g.queue.remove(queued)
		}
	}
}

// refuseAll refuses all requests because another member owns the group now.
func (g *Group) refuseAll() {
	for _, r := range g.sortedRequests() {
		g.refuse(r, outcome.ReasonStarting, 0)
	}
	for _, queued := range g.queue.all() {
		g.queue.remove(queued)
	}
}

const (
	// callerRetryTimeout is how long a load stays queued after the end of the
	// retry delay given to its callers.
	callerRetryTimeout = 30 * time.Second
	// minRetryAfter is the shortest retry delay given to a refused caller.
	minRetryAfter = 100 * time.Millisecond
	// blockedTimeout is how long a request waits for memory at its first group
	// before its host asks the next. It is longer than the time for which
	// replicas are kept from eviction after a request.
	blockedTimeout = 2 * time.Second
	// expectedDrainTime is the expected time to free memory by draining
	// replicas.
	expectedDrainTime = 1500 * time.Millisecond
)
