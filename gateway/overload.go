package gateway

import (
	"hawthornway/outcome"
	"hawthornway/overload"
	"hawthornway/relay"
	"hawthornway/target"
)

// setAllocations replaces the shares of requests that this host admits.
func (g *gateway) setAllocations(allocations map[target.Pool]overload.Allocation, early bool) {
	g.allocations.Set(allocations, early)
	g.metrics.Scope().Gauge("overloaded_flows").Update(float64(g.allocations.Len()))
}

// refuseIfOverloaded returns a refusal if the engines with the request's model get more prompts than
// they can read, and others go first. Requests that have begun are never refused: the work on them
// would be lost.
func (g *gateway) refuseIfOverloaded(request relay.PlacementRequest) *outcome.NotRun {
	if request.Begun || request.Model == "" {
		return nil
	}
	flow := overload.FlowID{Model: request.Model, Priority: request.Priority, Team: request.Team}
	admitted, retryAfter := g.allocations.Admit(request.Pool, flow, string(request.ID))
	if admitted {
		return nil
	}
	return &outcome.NotRun{
		Reason:     outcome.ReasonOverloaded,
		RetryAfter: retryAfter,
		Detail:     "the engines with the model get more prompts than they can read in time",
	}
}
