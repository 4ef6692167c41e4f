package hawthornway

import (
	"context"
	"slices"
	"time"

	"hawthornway/call"
	"hawthornway/config"
	"hawthornway/fair"
	"hawthornway/fleet"
	"hawthornway/gate"
	"hawthornway/model"
	"hawthornway/openai"
	"hawthornway/outcome"
	"hawthornway/replica"
	"hawthornway/retry"
	"hawthornway/route"
	"hawthornway/service"
	"hawthornway/target"
	"hawthornway/team"
)

// maxPicks limits how many targets are picked for one attempt, and how often picking
// is repeated after waiting for a load. A picked target may turn out to be draining.
const maxPicks = 8

// enginePlacer finds replicas for generations.
type enginePlacer struct {
	router   route.Router
	replicas replica.Controller
	gate     gate.Gate
	// pool returns the pool whose engines serve a model or an adapter.
	pool     func(name model.Name) target.Pool
	priority func(c *call.Call) int
	// homes returns which failure domains a call may run in, or nil if any.
	homes func(c *call.Call) func(fleet.DomainID) bool
	// expectedSlotWait returns the expected time until a pool has a free slot.
	expectedSlotWait func(pool target.Pool) time.Duration
}

// RetryAfter returns the expected time until a retry of a refused generation is
// served.
func (p *enginePlacer) RetryAfter(gen *call.Generation) time.Duration {
	return p.expectedSlotWait(p.pool(gen.Model))
}

// Place picks a ready replica, or waits until one is loaded. Only the first
// attempt of a call waits in the pool's queue; retries don't queue again.
func (p *enginePlacer) Place(ctx context.Context, c *call.Call, gen *call.Generation, tried []target.ID) (openai.Placement, *outcome.NotRun) {
	homes := p.homes(c)
	cold := !slices.ContainsFunc(p.replicas.Ready(gen.Model), func(r replica.Replica) bool { return homes == nil || homes(r.Domain) })
	if cold {
		if refused := p.ensureLoaded(ctx, c, gen.Model); refused != nil {
			return openai.Placement{}, refused
		}
	}
	var ticket fair.Ticket = noTicket{}
	if len(tried) == 0 {
		var refused *outcome.NotRun
		if ticket, refused = p.enter(ctx, c, gen); refused != nil {
			return openai.Placement{}, refused
		}
	}
	choice, refused := p.choose(ctx, c, gen, tried)
	if refused != nil {
		ticket.Done(0)
		return openai.Placement{}, refused
	}
	return p.newPlacement(c, choice, cold, ticket), nil
}

// noTicket is the ticket of a retry, which doesn't wait in the queue.
type noTicket struct{}

// Done has no effect.
func (noTicket) Done(team.Tokens) {}

func (p *enginePlacer) enter(ctx context.Context, c *call.Call, gen *call.Generation) (fair.Ticket, *outcome.NotRun) {
	return p.gate.Enter(ctx, p.pool(gen.Model), fair.Entry{
		Team:     c.Team,
		Cost:     c.Cost(),
		Bytes:    int64(len(c.Body)),
		Deadline: c.Deadline,
	})
}

// choose picks a replica that was not tried yet. If there is none, it picks any
// replica, or waits until one is loaded. It gives up after maxPicks rounds.
func (p *enginePlacer) choose(ctx context.Context, c *call.Call, gen *call.Generation, tried []target.ID) (route.Choice, *outcome.NotRun) {
	if choice, ok := p.pick(c, gen, tried); ok {
		return choice, nil
	}
	for range maxPicks {
		if choice, ok := p.pick(c, gen, nil); ok {
			return choice, nil
		}
		if refused := p.ensureLoaded(ctx, c, gen.Model); refused != nil {
			return route.Choice{}, refused
		}
	}
	return route.Choice{}, &outcome.NotRun{
		Reason:     outcome.ReasonNoTarget,
		RetryAfter: p.RetryAfter(gen),
		Detail:     "the model's replicas are all leaving",
	}
}

func (p *enginePlacer) pick(c *call.Call, gen *call.Generation, tried []target.ID) (route.Choice, bool) {
	request := route.Request{
		Model:    gen.Model,
		Prefix:   route.PrefixHash(gen.PrefixHash),
		Priority: p.priority(c),
		Homes:    p.homes(c),
		Exclude:  tried,
	}
	return pickAndStart(p.router, request)
}

// pickAndStart picks targets until an attempt can be started on one.
func pickAndStart(router route.Router, request route.Request) (route.Choice, bool) {
	for range maxPicks {
		choice, ok := router.Pick(request)
		if !ok {
			return route.Choice{}, false
		}
		if router.StartAttempt(&choice) {
			return choice, true
		}
		request.Exclude = append(request.Exclude[:len(request.Exclude):len(request.Exclude)], choice.Target)
	}
	return route.Choice{}, false
}

func (p *enginePlacer) newPlacement(c *call.Call, choice route.Choice, cold bool, ticket fair.Ticket) openai.Placement {
	return openai.Placement{
		Target:  choice.Target,
		Domain:  choice.Domain,
		Address: choice.Address,
		Cold:    cold,
		Done: func(result retry.Result) {
			p.router.EndAttempt(choice, result)
			ticket.Done(c.Trace.UsedTokens())
		},
	}
}

func (p *enginePlacer) ensureLoaded(ctx context.Context, c *call.Call, name model.Name) *outcome.NotRun {
	_, refused := p.replicas.Ensure(ctx, replica.LoadRequest{
		Model:    name,
		Team:     c.Team,
		Deadline: c.Deadline,
		Homes:    p.homes(c),
	})
	return refused
}

// servicePlacer finds services for routes.
type servicePlacer struct {
	router route.Router
	// homes returns which failure domains a team's calls of a route may run in, or nil if any.
	homes func(id team.ID, route *config.Route) func(fleet.DomainID) bool
	// expectedSlotWait returns the expected time until a pool has a free slot.
	expectedSlotWait func(pool target.Pool) time.Duration
}

// Place picks a service of the route's pool that was not tried yet.
func (p *servicePlacer) Place(_ context.Context, c *call.Call, s *call.Service, tried []target.ID) (service.Placement, *outcome.NotRun) {
	homes := p.homes(c.Team, &s.Route)
	choice, ok := pickAndStart(p.router, route.Request{Pool: s.Route.Pool, Exclude: tried, Homes: homes})
	if !ok && homes != nil && len(tried) == 0 {
		return service.Placement{}, &outcome.NotRun{
			Reason: outcome.ReasonHomes, RetryAfter: p.expectedSlotWait(s.Route.Pool), Detail: "no target in the home regions takes the call",
		}
	}
	if !ok {
		return service.Placement{}, &outcome.NotRun{
			Reason:     outcome.ReasonNoTarget,
			RetryAfter: p.expectedSlotWait(s.Route.Pool),
			Detail:     "no target of the route takes the call",
		}
	}
	return service.Placement{
		Target:  choice.Target,
		Domain:  choice.Domain,
		Address: choice.Address,
		Done:    func(result retry.Result) { p.router.EndAttempt(choice, result) },
	}, nil
}
