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

	release func()
	attempt *attempt
}

// Router chooses targets and follows what this host has sent to them.
type Router interface {
	// Pick chooses a target, or returns false if there is none to choose.
	Pick(request Request) (Choice, bool)
	// Sent counts the attempt at its target. It returns false if the target
	// takes no new work any more; the attempt must not be made then.
	Sent(choice *Choice) bool
	// Done ends an attempt that Sent counted.
	Done(choice Choice, result retry.Result)
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

// WithLeaving adds a source that tells which targets are leaving.
func WithLeaving(leaving func(target.ID) bool) Option {
	return func(r *router) { r.draining = append(r.draining, leaving) }
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
	// maxExcessLoad is how far, in requests per slot, a drawn target may be
	// loaded beyond the least loaded one and be chosen all the same.
	maxExcessLoad = 0.5
	// affinityGain is the load, in requests per slot, that a cached prefix
	// outweighs.
	affinityGain = 0.25
	// crossDomainCost is the load that another domain must save to be chosen.
	crossDomainCost = 0.75
	// defaultLoad is taken for targets whose load is not known here.
	defaultLoad = 0.5
	// failureCost is added for a target that failed lately.
	failureCost = 4
	// sampledServices is the number of plain services that are drawn for a request.
	sampledServices = 4
)

type router struct {
	config   func() *config.Config
	replicas Replicas
	domain   fleet.DomainID
	draining []func(target.ID) bool
	clock    clockwork.Clock

	targets *targets
	pools   atomic.Pointer[poolIndex]
	seeds   atomic.Uint64
}

// candidate is a candidate with its place in the draw and its cost.
type candidate struct {
	Choice
	score uint64
	cost  float64
}

// Pick chooses a target. Of this domain's targets it takes the better of the two
// that the prefix draws, or, if that one is loaded beyond the bound, the next
// in the draw that is not; so that neither one cache nor the emptiest target
// gets all. A target of another domain is chosen if it saves more than the way.
func (r *router) Pick(request Request) (Choice, bool) {
	var buffer [16]candidate
	local, remote := splitByDomain(r.candidates(request, buffer[:0]), r.domain)
	best, ok := pickByScore(local)
	if !ok {
		best, ok = pickByScore(remote)
		return best.Choice, ok
	}
	if other, found := leastCost(remote); found && other.cost+crossDomainCost < best.cost {
		best = other
	}
	return best.Choice, true
}

// split moves the candidates of a domain to the front, and returns those and
// the others.
func splitByDomain(candidates []candidate, domain fleet.DomainID) (local, remote []candidate) {
	n := 0
	for i := range candidates {
		if candidates[i].Domain == domain {
			candidates[n], candidates[i] = candidates[i], candidates[n]
			n++
		}
	}
	return candidates[:n], candidates[n:]
}

// leastCost returns the candidate of least cost.
func leastCost(candidates []candidate) (candidate, bool) {
	if len(candidates) == 0 {
		return candidate{}, false
	}
	least := 0
	for i := range candidates {
		if candidates[i].cost < candidates[least].cost {
			least = i
		}
	}
	return candidates[least], true
}

// pickByScore takes the better of the two candidates that are drawn first, unless
// it is loaded beyond the bound.
func pickByScore(candidates []candidate) (candidate, bool) {
	least, ok := leastCost(candidates)
	if !ok {
		return candidate{}, false
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.score > b.score {
			return -1
		}
		return 1
	})
	best := candidates[0]
	if len(candidates) > 1 && candidates[1].cost+affinityGain < best.cost {
		best = candidates[1]
	}
	if best.cost <= least.cost+maxExcessLoad {
		return best, true
	}
	for _, c := range candidates {
		if c.cost <= least.cost+maxExcessLoad {
			return c, true
		}
	}
	return least, true
}

// candidates appends the targets that take the request, with their costs.
func (r *router) candidates(request Request, dst []candidate) []candidate {
	seed := uint64(request.Prefix)
	if seed == 0 {
		seed = mix(r.seeds.Add(1))
	}
	if request.Model == "" {
		return r.appendServices(request, seed, dst)
	}
	for _, rep := range r.replicas.Ready(request.Model) {
		c := Choice{Target: rep.Target, Address: rep.Address, Domain: rep.Domain, Ref: rep.Ref}
		dst = r.appendCandidate(c, request, seed, dst)
	}
	return dst
}

// services draws some plain services of this domain, and adds all others only if
// none of them takes the request.
func (r *router) appendServices(request Request, seed uint64, dst []candidate) []candidate {
	p := r.currentPools().byPool[request.Pool]
	if p == nil {
		return dst
	}
	local := p.local
	if len(local) > sampledServices {
		for i := range uint64(sampledServices) {
			c := local[mix(seed+i)%uint64(len(local))]
			if !containsTarget(dst, c.Target) {
				dst = r.appendCandidate(c, request, seed, dst)
			}
		}
		if len(dst) > 0 {
			return dst
		}
	}
	for _, c := range local {
		dst = r.appendCandidate(c, request, seed, dst)
	}
	for _, c := range p.remote {
		dst = r.appendCandidate(c, request, seed, dst)
	}
	return dst
}

func containsTarget(list []candidate, id target.ID) bool {
	return slices.ContainsFunc(list, func(c candidate) bool { return c.Target == id })
}

// weigh appends a candidate with its cost, unless it takes no new work.
func (r *router) appendCandidate(c Choice, request Request, seed uint64, dst []candidate) []candidate {
	if slices.Contains(request.Exclude, c.Target) {
		return dst
	}
	for _, leaving := range r.draining {
		if leaving(c.Target) {
			return dst
		}
	}
	load, known := r.replicas.Load(c.Target)
	if known && load.Leaving {
		return dst
	}
	now := r.clock.Now()
	state := r.targets.state(c.Target, load.TakenAt, now)
	if state.draining || state.missingModel == request.Model && request.Model != "" {
		return dst
	}
	score := mix(seed ^ xxhash.Sum64String(string(c.Target)))
	return append(dst, candidate{Choice: c, score: score, cost: cost(load, known, state, request.Priority)})
}

// cost returns a target's requests per slot: those of its report and those sent
// since. Requests with a higher priority pass half of the queue.
func cost(load replica.Load, known bool, state localState, priority int) float64 {
	slots := float64(max(1, load.Slots))
	c := float64(load.Running+state.sentSinceReport) / slots
	queued := float64(load.Queued) / slots
	if priority > 0 {
		queued /= 2
	}
	if !known {
		c = defaultLoad + float64(state.sentSinceReport)/4
	}
	return c + queued + failureCost*state.recentFailure
}

// mix spreads the bits of a number.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Sent counts the attempt at its target.
func (r *router) Sent(choice *Choice) bool {
	if choice.Ref.Name != "" {
		end, ok := r.replicas.Begin(choice.Target, choice.Ref.Name)
		if !ok {
			return false
		}
		choice.release = end
	}
	choice.attempt = r.targets.startAttempt(choice.Target, r.clock.Now())
	return true
}

// Done ends an attempt that Sent counted, and learns from its result.
func (r *router) Done(choice Choice, result retry.Result) {
	if choice.release != nil {
		choice.release()
	}
	r.targets.endAttempt(choice, result, r.clock.Now())
}
