package hawthornway

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornway/call"
	"hawthornway/model"
	"hawthornway/openai"
	"hawthornway/outcome"
	"hawthornway/replica"
	"hawthornway/retry"
	"hawthornway/route"
	"hawthornway/service"
	"hawthornway/target"
)

// maxPicks bounds how often a target is picked that turns out to be going.
const maxPicks = 8

// enginePlacer finds replicas for generations.
type enginePlacer struct {
	router   route.Router
	replicas replica.Controller
	clock    clockwork.Clock
	priority func(c *call.Call) int
}

// Place picks a ready replica, or waits for one to be loaded.
func (p *enginePlacer) Place(ctx context.Context, c *call.Call, gen *call.Generation, tried []target.ID) (openai.Place, *outcome.NotRun) {
	if choice, ok := p.pick(c, gen, tried); ok {
		return p.place(choice, false), nil
	}
	if len(tried) > 0 {
		if choice, ok := p.pick(c, gen, nil); ok {
			return p.place(choice, false), nil
		}
	}
	for range maxPicks {
		refused := p.ensure(ctx, c, gen.Model)
		if refused != nil {
			return openai.Place{}, refused
		}
		if choice, ok := p.pick(c, gen, nil); ok {
			return p.place(choice, true), nil
		}
	}
	return openai.Place{}, &outcome.NotRun{
		Reason:     outcome.ReasonNoTarget,
		RetryAfter: time.Second,
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
	return pickAndSend(p.router, request)
}

// pickAndSend picks targets until one takes the attempt.
func pickAndSend(router route.Router, request route.Request) (route.Choice, bool) {
	for range maxPicks {
		choice, ok := router.Pick(request)
		if !ok {
			return route.Choice{}, false
		}
		if router.Sent(&choice) {
			return choice, true
		}
		request.Exclude = append(request.Exclude[:len(request.Exclude):len(request.Exclude)], choice.Target)
	}
	return route.Choice{}, false
}

func (p *enginePlacer) place(choice route.Choice, cold bool) openai.Place {
	return openai.Place{
		Target:  choice.Target,
		Domain:  choice.Domain,
		Address: choice.Address,
		Cold:    cold,
		Done:    func(result retry.Result) { p.router.Done(choice, result) },
	}
}

func (p *enginePlacer) ensure(ctx context.Context, c *call.Call, name model.Name) *outcome.NotRun {
	_, refused := p.replicas.Ensure(ctx, replica.Want{
		Model:    name,
		Team:     c.Team,
		Deadline: c.Deadline,
	})
	return refused
}

// servicePlacer finds plain services for routes.
type servicePlacer struct {
	router route.Router
}

// Place picks a service of the route's pool that was not tried yet.
func (p *servicePlacer) Place(_ context.Context, _ *call.Call, s *call.Service, tried []target.ID) (service.Place, *outcome.NotRun) {
	choice, ok := pickAndSend(p.router, route.Request{Pool: s.Route.Pool, Exclude: tried})
	if !ok {
		return service.Place{}, &outcome.NotRun{
			Reason: outcome.ReasonNoTarget,
			Detail: "no target of the route takes the call",
		}
	}
	return service.Place{
		Target:  choice.Target,
		Domain:  choice.Domain,
		Address: choice.Address,
		Done:    func(result retry.Result) { p.router.Done(choice, result) },
	}, nil
}
