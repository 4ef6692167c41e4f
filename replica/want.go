package replica

import (
	"cmp"
	"slices"
	"time"

	"hawthornway/outcome"
)

// want is a want that was not answered yet.
type want struct {
	LoadRequest
	id   WantID
	stay bool
}

// wanted takes in a want. It is answered at once if a replica is ready, and
// refused at once if none can be ready by its deadline.
func (g *Group) wanted(in Wanted) {
	w := &want{LoadRequest: in.Want, id: in.ID, stay: in.Stay}
	item := g.catalog.Item(in.Want.Model)
	g.wants[w.id] = w
	switch {
	case item == nil:
		g.refuse(w, outcome.ReasonUnknownModel, 0)
		return
	case !g.open():
		g.refuse(w, outcome.ReasonStarting, retryEvery)
		return
	}
	if en := g.servingEntry(w); en != nil {
		g.answer(w, en, SourceNone)
		return
	}
	g.waits[w.Model] = append(g.waits[w.Model], w)
	g.lineUp(w)
	g.startLoads()
	g.judge(w)
}

// open reports whether any engine is acted for.
func (g *Group) open() bool {
	return slices.ContainsFunc(g.engines, func(e *engineState) bool { return e.takes() && g.acting(e) })
}

// servingEntry returns a ready replica of a want's model, or one whose drain
// can be called off.
func (g *Group) servingEntry(w *want) *entry {
	var draining *entry
	for _, en := range g.entries[w.Model] {
		if en.engine.report.Draining || en.engine.gone {
			continue
		}
		if en.serving() && en.engine.unreached < unreachedLimit {
			return en
		}
		if en.state == entryDraining {
			draining = en
		}
	}
	if draining != nil {
		g.callOffDrain(draining)
		if !draining.serving() {
			return nil
		}
	}
	return draining
}

// lineUp puts the model of a want in the line, unless it is on its way.
func (g *Group) lineUp(w *want) {
	if g.comingEntry(w.LoadRequest) != nil {
		return
	}
	if waits := g.line.find(w.Model); waits != nil {
		g.line.hasten(waits, w.Deadline)
		return
	}
	item := &waiting{name: w.Model, team: w.Team, deadline: w.Deadline}
	g.line.push(item, g.catalog.Weight(w.Team))
}

// comingEntry returns a replica of a want's model that is on its way at an
// engine that answers, or nil.
func (g *Group) comingEntry(w LoadRequest) *entry {
	for _, en := range g.entries[w.Model] {
		if en.coming() && en.engine.unreached < unreachedLimit && !en.engine.gone {
			return en
		}
	}
	return nil
}

// judge refuses a want that can't be met in time.
func (g *Group) judge(w *want) {
	if g.wants[w.id] == nil {
		return
	}
	waits := g.line.find(w.Model)
	if waits != nil && !w.stay && waits.blockedFor(g.now) >= blockedPatience {
		g.unlist(w)
		g.refuse(w, outcome.ReasonNoMemory, g.expectedEnd(w.LoadRequest).Sub(g.now))
		g.dropUnwanted(waits)
		return
	}
	if end := g.expectedEnd(w.LoadRequest); end.After(w.Deadline) {
		g.refuseLate(w, end)
	}
}

// refuseLate refuses a want whose replica would be ready only at end. If the
// load alone takes longer than the caller waits, it goes on, so that the caller
// finds the replica when it returns. If only those ahead made it late, it is not
// begun, since it would hold up others; a repeat that waits as long is expected
// to be met once it would no longer be late.
func (g *Group) refuseLate(w *want, end time.Time) {
	g.unlist(w)
	item := g.catalog.Item(w.Model)
	if g.now.Add(g.speed.expect(item, g.bestSource(item))).After(w.Deadline) {
		g.refuse(w, outcome.ReasonDeadline, end.Sub(g.now))
		g.keepForReturn(w.LoadRequest, end)
		return
	}
	g.refuse(w, outcome.ReasonDeadline, max(end.Sub(w.Deadline), leastReturn))
	if waits := g.line.find(w.Model); waits != nil {
		g.dropUnwanted(waits)
	}
}

// keepForReturn lets a model whose last want was refused for time wait on until
// it is loaded, behind those with wants.
func (g *Group) keepForReturn(w LoadRequest, end time.Time) {
	waits := g.line.find(w.Model)
	if waits == nil || len(g.waits[w.Model]) > 0 {
		return
	}
	g.line.postpone(waits, end)
	waits.expires = end.Add(returnPatience)
}

// dropUnwanted takes a model out of the line that nobody waits for.
func (g *Group) dropUnwanted(waits *waiting) {
	if len(g.waits[waits.name]) == 0 && !waits.extra {
		g.line.remove(waits)
	}
}

// expectedEnd returns when a replica of a want's model is expected to be ready.
func (g *Group) expectedEnd(w LoadRequest) time.Time {
	item := g.catalog.Item(w.Model)
	if en := g.comingEntry(w); en != nil {
		return g.entryEnd(en)
	}
	start := g.now
	if item.Ref.IsAdapter() {
		start = g.baseEnd(w, item)
	}
	source := g.bestSource(item)
	delay := time.Duration(0)
	if source == SourceRemote && !item.Ref.IsAdapter() {
		ahead := g.line.ahead(w.Team, g.catalog.Weight(w.Team), w.Deadline)
		delay = queueDelay(g.weights, g.fetching(), ahead, g.line.meanLoad())
	}
	if waits := g.line.find(w.Model); waits != nil && (waits.plan != "" || waits.blocked) {
		delay += drainExpected
	}
	return start.Add(delay + g.speed.expect(item, source))
}

// baseEnd returns when the model under an adapter is expected to be ready.
func (g *Group) baseEnd(w LoadRequest, item *Item) time.Time {
	for _, en := range g.entries[item.Ref.Base] {
		if en.serving() {
			return g.now
		}
	}
	if g.catalog.Item(item.Ref.Base) == nil {
		return g.now
	}
	w.Model = item.Ref.Base
	return g.expectedEnd(w)
}

// entryEnd returns when a replica that is on its way is expected to be ready.
func (g *Group) entryEnd(en *entry) time.Time {
	end := en.startedAt.Add(en.expected)
	if late := g.now.Add(en.expected / 10); end.Before(late) {
		return late
	}
	return end
}

// bestSource returns the fastest source of a model on any engine that takes
// loads.
func (g *Group) bestSource(item *Item) Source {
	best := SourceRemote
	for _, e := range g.engines {
		if !e.takes() {
			continue
		}
		if s := e.source(item.Ref); g.speed.factors[s] < g.speed.factors[best] {
			best = s
		}
	}
	return best
}

// answerReady answers the wants of a model that became ready.
func (g *Group) answerReady(en *entry) {
	if !g.acting(en.engine) {
		return
	}
	for _, w := range slices.Clone(g.waits[en.ref.Name]) {
		g.unlist(w)
		g.answer(w, en, en.source)
	}
	if waits := g.line.find(en.ref.Name); waits != nil && !waits.extra {
		g.line.remove(waits)
	}
}

func (g *Group) answer(w *want, en *entry, source Source) {
	delete(g.wants, w.id)
	en.lastUse = g.now
	g.emit(Answer{ID: w.id, Replica: en.replica(), Source: source})
}

// replica returns an entry as hosts see it.
func (en *entry) replica() Replica {
	cfg := en.engine.cfg
	return Replica{Ref: en.ref, Target: cfg.Name, Address: cfg.Address, Domain: cfg.Domain}
}

func (g *Group) refuse(w *want, reason outcome.Reason, retryAfter time.Duration) {
	g.unlist(w)
	delete(g.wants, w.id)
	refusal := &outcome.NotRun{Reason: reason, RetryAfter: max(0, retryAfter), Detail: refusalDetail(reason)}
	g.emit(Answer{ID: w.id, Refusal: refusal})
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

// left withdraws a want.
func (g *Group) left(id WantID) {
	w, ok := g.wants[id]
	if !ok {
		return
	}
	delete(g.wants, id)
	g.unlist(w)
	if waits := g.line.find(w.Model); waits != nil && waits.expires.IsZero() {
		g.dropUnwanted(waits)
	}
}

// unlist takes a want off its model's list.
func (g *Group) unlist(w *want) {
	rest := slices.DeleteFunc(g.waits[w.Model], func(o *want) bool { return o == w })
	if len(rest) == 0 {
		delete(g.waits, w.Model)
		return
	}
	g.waits[w.Model] = rest
}

// sortedWants returns all wants in the order of their ids.
func (g *Group) sortedWants() []*want {
	wants := make([]*want, 0, len(g.wants))
	for _, w := range g.wants {
		wants = append(wants, w)
	}
	slices.SortFunc(wants, func(a, b *want) int { return cmp.Compare(a.id, b.id) })
	return wants
}

// lineUpWants puts models back in the line whose load was lost, and refuses the
// wants that can't be met any more.
func (g *Group) lineUpWants() {
	for _, w := range g.sortedWants() {
		if g.comingEntry(w.LoadRequest) != nil || g.line.find(w.Model) != nil {
			continue
		}
		if en := g.servingEntry(w); en != nil {
			g.unlist(w)
			g.answer(w, en, en.source)
			continue
		}
		g.lineUp(w)
		g.startLoads()
		g.judge(w)
	}
}

// refuseBlocked refuses the wants that are not to wait for memory and for which
// there is none any more, so that their hosts ask another group.
func (g *Group) refuseBlocked() {
	for _, waits := range g.line.all() {
		if !waits.blocked {
			continue
		}
		for _, w := range slices.Clone(g.waits[waits.name]) {
			if !w.stay {
				g.judge(w)
			}
		}
	}
}

// endWants refuses the wants whose deadlines are reached, and drops the models
// that nobody returned for.
func (g *Group) endWants() {
	for _, w := range g.sortedWants() {
		if g.now.Before(w.Deadline.Add(-answerMargin)) {
			continue
		}
		end := g.expectedEnd(w.LoadRequest)
		g.refuse(w, outcome.ReasonDeadline, end.Sub(g.now))
		g.keepForReturn(w.LoadRequest, end)
	}
	for _, waits := range g.line.all() {
		if !waits.expires.IsZero() && g.now.After(waits.expires) && len(g.waits[waits.name]) == 0 {
			g.line.remove(waits)
		}
	}
}

// giveUpWants refuses all wants, since another member owns the group now.
func (g *Group) giveUpWants() {
	for _, w := range g.sortedWants() {
		g.refuse(w, outcome.ReasonStarting, 0)
	}
	for _, waits := range g.line.all() {
		g.line.remove(waits)
	}
}

const (
	// returnPatience is how long a model waits on to be loaded after the time at
	// which its callers were asked to return.
	returnPatience = 30 * time.Second
	// leastReturn is the shortest time after which a refused caller returns.
	leastReturn = 100 * time.Millisecond
	// blockedPatience is how long a want waits for memory at its first group
	// before it asks the next. Replicas are kept from eviction for shorter than
	// that after a request.
	blockedPatience = 2 * time.Second
	// drainExpected is the time that making memory free is expected to take.
	drainExpected = 1500 * time.Millisecond
)
