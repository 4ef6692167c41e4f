package hawthornway

import (
	"context"
	"log/slog"
	"net/http"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"hawthornway/call"
	"hawthornway/caller"
	"hawthornway/claim"
	"hawthornway/config"
	"hawthornway/fleet"
	"hawthornway/key"
	"hawthornway/limit"
	"hawthornway/member"
	"hawthornway/metric"
	"hawthornway/openai"
	"hawthornway/peer"
	"hawthornway/replica"
	"hawthornway/retry"
	"hawthornway/route"
	"hawthornway/service"
	"hawthornway/settings"
)

// parts are the controllers and the front of one host.
type parts struct {
	log      *slog.Logger
	links    *peer.Links
	members  *member.Controller
	configs  *config.Store
	keys     key.Ring
	limiter  limit.Controller
	replicas replica.Controller
	router   route.Router
	claims   claim.Claims
	metrics  metric.Metrics
	front    *caller.Front
	admin    http.Handler
}

func newParts(self fleet.Member, s settings.Settings, o *options) *parts {
	p := &parts{log: o.log, metrics: metric.New()}
	p.links = peer.New(
		peer.WithSelf(self),
		peer.WithSecret([]byte(s.Secrets.Cluster)),
		peer.WithClock(o.clock),
		peer.WithLogger(o.log),
	)
	p.members = member.New(
		member.WithSelf(self),
		member.WithStore(o.store),
		member.WithLinks(p.links),
		member.WithClock(o.clock),
		member.WithLogger(o.log),
	)
	p.addState(self, o)
	p.addPlacement(self, o)
	p.addFront(s, o)
	return p
}

// addPlacement joins what decides where requests go.
func (p *parts) addPlacement(self fleet.Member, o *options) {
	p.replicas = replica.New(
		replica.WithConfig(p.config),
		replica.WithMesh(p.links),
		replica.WithOwnership(p.members),
		replica.WithStore(o.store),
		replica.WithEngines(newEngines()),
		replica.WithClock(o.clock),
	)
	p.router = route.New(
		route.WithConfig(p.config),
		route.WithReplicas(p.replicas),
		route.WithDomain(self.Domain),
		route.WithClock(o.clock),
	)
}


// addFront joins the callers' chain of filters.
func (p *parts) addFront(s settings.Settings, o *options) {
	directory := directory{p.configs}
	budget := retry.NewBudget(o.clock)
	priority := func(c *call.Call) int {
		owner, _ := directory.Team(c.Team)
		return owner.Priority
	}
	engines := &enginePlacer{router: p.router, replicas: p.replicas, clock: o.clock, priority: priority}
	generator := openai.NewGenerator(engines, budget, o.clock, priority)
	forwarder := service.NewForwarder(&servicePlacer{router: p.router}, budget, o.clock)
	entries := []call.Entry{
		{Priority: call.PriorityPath, Filter: caller.PathFilter(directory)},
		{Priority: call.PriorityKey, Filter: caller.KeyFilter(ringKeys{p.keys})},
		{Priority: call.PriorityStream, Filter: caller.StreamFilter(directory)},
		{Priority: call.PriorityBody, Filter: caller.BodyFilter(s.Limits.BodyBytes)},
		{Priority: call.PriorityBody, Filter: caller.LeakFilter()},
		{Priority: call.PriorityResolve, Filter: caller.ResolveFilter(directory)},
		{Priority: call.PriorityLimit, Filter: caller.LimitFilter(p.limiter)},
		{Priority: call.PriorityClaim, Filter: caller.ClaimFilter(p.claims, o.log)},
	}
	last := caller.Dispatch(directory, generator, forwarder)
	p.front = caller.NewFront(entries, last, o.clock, o.log, p.metrics)
}

// runner is a controller that works until its context ends.
type runner struct {
	name string
	run  func(ctx context.Context) error
}

// start runs the controllers. One that fails ends the host.
func (p *parts) start(ctx context.Context, group *errgroup.Group) {
	runners := []runner{
		{"peer", p.links.Run},
		{"member", p.members.Run},
		{"config", p.configs.Run},
		{"key", p.keys.Run},
		{"limit", p.limiter.Run},
		{"replica", p.replicas.Run},
		{"claim", p.claims.Run},
	}
	for _, r := range runners {
		group.Go(func() error {
			err := r.run(ctx)
			if ctx.Err() != nil {
				return nil
			}
			return trace.Wrap(err, "%s", r.name)
		})
	}
}

// leave hands the host's duties over.
func (p *parts) leave(ctx context.Context) error {
	return trace.Wrap(p.members.Leave(ctx))
}
