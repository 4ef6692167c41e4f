package hawthornway

import (
	"context"
	"time"

	"hawthornway/call"
	"hawthornway/fair"
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

// maxPickAttempts limits how often a target is picked again because the previous
// pick turned out to be unavailable.
const maxPickAttempts = 8

// enginePlacer selects replicas for generations.
type enginePlacer struct {
	router   route.Router
	replicas replica.Controller
	gate     gate.Gate
	// pool returns the pool whose engines serve a model or an adapter.
	pool     func(name model.Name) target.Pool
	priority func(c *call.Call) int
	// untilFree returns the expected time until a pool has a free slot.
	untilFree func(pool target.Pool) time.Duration
}

// RetryAfter returns the delay after which a retry of a refused generation is
// expected to succeed.
func (p *enginePlacer) RetryAfter(gen *call.Generation) time.Duration {
	return p.untilFree(p.pool(gen.Model))
}

// Place picks a ready replica, or waits for one to be loaded. Only the first
// attempt of a call queues at the gate of the pool.
func (p *enginePlacer) Place(ctx context.Context, c *call.Call, gen *call.Generation, tried []target.ID) (openai.Placement, *outcome.NotRun) {
	cold := len(p.replicas.Ready(gen.Model)) == 0
	if cold {
		if refused := p.ensure(ctx, c, gen.Model); refused != nil {
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
	return p.place(c, choice, cold, ticket), nil
}

// noTicket is the ticket of an attempt that doesn't queue.
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

// choose prefers a replica that was not tried yet, then accepts any ready one,
// and otherwise waits for one to be loaded.
func (p *enginePlacer) choose(ctx context.Context, c *call.Call, gen *call.Generation, tried []target.ID) (route.Choice, *outcome.NotRun) {
	if choice, ok := p.pick(c, gen, tried); ok {
		return choice, nil
	}
	for range maxPickAttempts {
		if choice, ok := p.pick(c, gen, nil); ok {
			return choice, nil
		}
		if refused := p.ensure(ctx, c, gen.Model); refused != nil {
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
		Prefix:   route.PrefixHash(gen.Prefix),
		Priority: p.priority(c),
		Exclude:  tried,
	}
	return pickAndStart(p.router, request)
}

// pickAndStart picks targets until the router starts an attempt at one.
func pickAndStart(router route.Router, request route.Request) (route.Choice, bool) {
	for range maxPickAttempts {
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

func (p *enginePlacer) place(c *call.Call, choice route.Choice, cold bool, ticket fair.Ticket) openai.Placement {
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

func (p *enginePlacer) ensure(ctx context.Context, c *call.Call, name model.Name) *outcome.NotRun {
	_, refused := p.replicas.Ensure(ctx, replica.LoadRequest{
		Model:    name,
		Team:     c.Team,
		Deadline: c.Deadline,
	})
	return refused
}

// servicePlacer selects targets of routes to plain services.
type servicePlacer struct {
	router route.Router
	// untilFree returns the expected time until a pool has a free slot.
	untilFree func(pool target.Pool) time.Duration
}

// Place picks a target of the route's pool that was not tried yet.
func (p *servicePlacer) Place(_ context.Context, _ *call.Call, s *call.Service, tried []target.ID) (service.Placement, *outcome.NotRun) {
	choice, ok := pickAndStart(p.router, route.Request{Pool: s.Route.Pool, Exclude: tried})
	if !ok {
		return service.Placement{}, &outcome.NotRun{
			Reason:     outcome.ReasonNoTarget,
			RetryAfter: p.untilFree(s.Route.Pool),
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
