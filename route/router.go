// Package route chooses the target of a request: by what the target has cached,
// by load, by domain and by whether it is leaving.
package route

import (
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"hawthornway/config"
	"hawthornway/fleet"
	"hawthornway/model"
	"hawthornway/replica"
	"hawthornway/retry"
	"hawthornway/target"
)

// PrefixHash is the hash of the first part of a prompt.
type PrefixHash uint64

// HashPrefix returns the hash of the first part of a prompt.
func HashPrefix(prompt []byte) PrefixHash {
	return PrefixHash(xxhash.Sum64(prompt))
}

// Request says what a target is wanted for.
type Request struct {
	// Model names a model or an adapter. It is empty for plain services.
	Model model.Name
	// Pool names the plain services of a route. It is empty for models.
	Pool target.Pool
	// Prefix draws the candidates, so that equal prompts meet the same cache.
	Prefix PrefixHash
	// Priority is the request's; higher goes first at engines.
	Priority int
	// Exclude lists the targets that were tried already.
	Exclude []target.ID
}

// Choice is the target of one attempt.
type Choice struct {
	Target  target.ID
	Address string
	Domain  fleet.DomainID
	// Ref is the replica's model, or zero for a plain service.
	Ref model.Ref

	end  func()
	sent *attempt
}

// Router chooses targets and follows what this host has sent to them.
type Router interface {
	// Pick chooses a target, or returns false if there is none to choose.
	Pick(request Request) (Choice, bool)
	// StartAttempt counts the attempt at its target. It returns false if the target
	// takes no new work any more; the attempt must not be made then.
	StartAttempt(choice *Choice) bool
	// EndAttempt ends an attempt that Sent counted.
	EndAttempt(choice Choice, result retry.Result)
}

// Replicas tells where replicas are and how loaded targets are.
type Replicas interface {
	Ready(name model.Name) []replica.Replica
	Load(id target.ID) (replica.Load, bool)
	Begin(id target.ID, name model.Name) (end func(), ok bool)
}

// Option sets an option of a Router.
type Option func(*router)

// WithConfig sets the source of the configuration. It must not return nil.
func WithConfig(current func() *config.Config) Option {
	return func(r *router) { r.config = current }
}

// WithReplicas sets the source of replicas and loads.
func WithReplicas(replicas Replicas) Option {
	return func(r *router) { r.replicas = replicas }
}

// WithDomain sets the failure domain of this host.
func WithDomain(domain fleet.DomainID) Option {
	return func(r *router) { r.domain = domain }
}

// WithDraining adds a source that tells which targets are leaving.
func WithDraining(leaving func(target.ID) bool) Option {
	return func(r *router) { r.leaving = append(r.leaving, leaving) }
}

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(r *router) { r.clock = clock }
}

// New returns a new Router. Configuration and replicas must be given.
func New(opts ...Option) Router {
	r := &router{clock: clockwork.NewRealClock(), targets: newTargets()}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

const (
	// boundOverLeast is how far, in requests per slot, a drawn target may be
	// loaded beyond the least loaded one and be chosen all the same.
	boundOverLeast = 0.5
	// affinityWorth is the load, in requests per slot, that a cached prefix
	// outweighs.
	affinityWorth = 0.25
	// wayCost is the load that another domain must save to be chosen.
	wayCost = 0.75
	// unknownLoad is taken for targets whose load is not known here.
	unknownLoad = 0.5
	// failedCost is added for a target that failed lately.
	failedCost = 4
	// drawn is the number of plain services that are drawn for a request.
	drawn = 4
)

type router struct {
	config   func() *config.Config
	replicas Replicas
	domain   fleet.DomainID
	leaving  []func(target.ID) bool
	clock    clockwork.Clock

	targets *targets
	pools   atomic.Pointer[pools]
	draws   atomic.Uint64
}

// weighed is a candidate with its place in the draw and its cost.
type weighed struct {
	Choice
	score uint64
	cost  float64
}

// Pick chooses a target. Of this domain's targets it takes the better of the two
// that the prefix draws, or, if that one is loaded beyond the bound, the next
// in the draw that is not; so that neither one cache nor the emptiest target
// gets all. A target of another domain is chosen if it saves more than the way.
func (r *router) Pick(request Request) (Choice, bool) {
	var room [16]weighed
	near, far := split(r.candidates(request, room[:0]), r.domain)
	best, ok := pickDrawn(near)
	if !ok {
		best, ok = pickDrawn(far)
		return best.Choice, ok
	}
	if other, found := leastOf(far); found && other.cost+wayCost < best.cost {
		best = other
	}
	return best.Choice, true
}

// split moves the candidates of a domain to the front, and returns those and
// the others.
func split(candidates []weighed, domain fleet.DomainID) (near, far []weighed) {
	n := 0
	for i := range candidates {
		if candidates[i].Domain == domain {
			candidates[n], candidates[i] = candidates[i], candidates[n]
			n++
		}
	}
	return candidates[:n], candidates[n:]
}

// leastOf returns the candidate of least cost.
func leastOf(candidates []weighed) (weighed, bool) {
	if len(candidates) == 0 {
		return weighed{}, false
	}
	least := 0
	for i := range candidates {
		if candidates[i].cost < candidates[least].cost {
			least = i
		}
	}
	return candidates[least], true
}

// pickDrawn takes the better of the two candidates that are drawn first, unless
// it is loaded beyond the bound.
func pickDrawn(candidates []weighed) (weighed, bool) {
	least, ok := leastOf(candidates)
	if !ok {
		return weighed{}, false
	}
	slices.SortFunc(candidates, func(a, b weighed) int {
		if a.score > b.score {
			return -1
		}
		return 1
	})
	best := candidates[0]
	if len(candidates) > 1 && candidates[1].cost+affinityWorth < best.cost {
		best = candidates[1]
	}
	if best.cost <= least.cost+boundOverLeast {
		return best, true
	}
	for _, c := range candidates {
		if c.cost <= least.cost+boundOverLeast {
			return c, true
		}
	}
	return least, true
}

// candidates appends the targets that take the request, with their costs.
func (r *router) candidates(request Request, to []weighed) []weighed {
	draw := uint64(request.Prefix)
	if draw == 0 {
		draw = mix(r.draws.Add(1))
	}
	if request.Model == "" {
		return r.services(request, draw, to)
	}
	for _, rep := range r.replicas.Ready(request.Model) {
		c := Choice{Target: rep.Target, Address: rep.Address, Domain: rep.Domain, Ref: rep.Ref}
		to = r.weigh(c, request, draw, to)
	}
	return to
}

// services draws some plain services of this domain, and adds all others only if
// none of them takes the request.
func (r *router) services(request Request, draw uint64, to []weighed) []weighed {
	p := r.currentPools().byPool[request.Pool]
	if p == nil {
		return to
	}
	near := p.near
	if len(near) > drawn {
		for i := range uint64(drawn) {
			c := near[mix(draw+i)%uint64(len(near))]
			if !containsTarget(to, c.Target) {
				to = r.weigh(c, request, draw, to)
			}
		}
		if len(to) > 0 {
			return to
		}
	}
	for _, c := range near {
		to = r.weigh(c, request, draw, to)
	}
	for _, c := range p.far {
		to = r.weigh(c, request, draw, to)
	}
	return to
}

func containsTarget(list []weighed, id target.ID) bool {
	return slices.ContainsFunc(list, func(w weighed) bool { return w.Target == id })
}

// weigh appends a candidate with its cost, unless it takes no new work.
func (r *router) weigh(c Choice, request Request, draw uint64, to []weighed) []weighed {
	if slices.Contains(request.Exclude, c.Target) {
		return to
	}
	for _, leaving := range r.leaving {
		if leaving(c.Target) {
			return to
		}
	}
	load, known := r.replicas.Load(c.Target)
	if known && load.Draining {
		return to
	}
	now := r.clock.Now()
	own := r.targets.read(c.Target, load.TakenAt, now)
	if own.leaving || own.lacks == request.Model && request.Model != "" {
		return to
	}
	score := mix(draw ^ xxhash.Sum64String(string(c.Target)))
	return append(to, weighed{Choice: c, score: score, cost: cost(load, known, own, request.Priority)})
}

// cost returns a target's requests per slot: those of its report and those sent
// since. Requests with a higher priority pass half of the queue.
func cost(load replica.Load, known bool, own ownState, priority int) float64 {
	slots := float64(max(1, load.Slots))
	c := float64(load.Running+own.since) / slots
	queued := float64(load.Queued) / slots
	if priority > 0 {
		queued /= 2
	}
	if !known {
		c = unknownLoad + float64(own.since)/4
	}
	return c + queued + failedCost*own.failed
}

// mix spreads the bits of a number.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// StartAttempt counts the attempt at its target.
func (r *router) StartAttempt(choice *Choice) bool {
	if choice.Ref.Name != "" {
		end, ok := r.replicas.Begin(choice.Target, choice.Ref.Name)
		if !ok {
			return false
		}
		choice.end = end
	}
	choice.sent = r.targets.sent(choice.Target, r.clock.Now())
	return true
}

// EndAttempt ends an attempt that Sent counted, and learns from its result.
func (r *router) EndAttempt(choice Choice, result retry.Result) {
	if choice.end != nil {
		choice.end()
	}
	r.targets.done(choice, result, r.clock.Now())
}
