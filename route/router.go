// Package route chooses the target of a request by cached prefixes, load,
// failure domain and whether the target is draining.
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

// PrefixHash is a hash of the beginning of a prompt.
type PrefixHash uint64

// HashPrefix returns the hash of the beginning of a prompt.
func HashPrefix(prompt []byte) PrefixHash {
	return PrefixHash(xxhash.Sum64(prompt))
}

// Request describes the target that a request needs.
type Request struct {
	// Model names a model or an adapter. It is empty for plain services.
	Model model.Name
	// Pool is the pool of a route to plain services. It is empty for models.
	Pool target.Pool
	// Prefix selects the preferred targets, so that prompts with equal prefixes
	// reach the same cache.
	Prefix PrefixHash
	// Priority is the request's priority; higher goes first at engines.
	Priority int
	// Homes reports whether the request may run in a failure domain. If it is nil, it may run
	// in any.
	Homes func(fleet.DomainID) bool
	// Exclude lists the targets that were already tried.
	Exclude []target.ID
}

// Choice is the target of one attempt.
type Choice struct {
	Target  target.ID
	Address string
	Domain  fleet.DomainID
	// Ref is the model of the replica, or zero for a plain service.
	Ref model.Ref

	release func()
	attempt *attempt
}

// Router chooses targets and tracks this host's attempts at them.
type Router interface {
	// Pick chooses a target. It returns false if there is none.
	Pick(request Request) (Choice, bool)
	// StartAttempt records the start of an attempt. It returns false if the
	// target no longer accepts requests; the attempt must not be made then.
	StartAttempt(choice *Choice) bool
	// EndAttempt records the result of a started attempt.
	EndAttempt(choice Choice, result retry.Result)
}

// Replicas is the source of replicas and of the load of targets.
type Replicas interface {
	Ready(name model.Name) []replica.Replica
	Load(id target.ID) (replica.TargetLoad, bool)
	Begin(id target.ID, name model.Name) (release func(), ok bool)
}

// Option sets an option of a Router.
type Option func(*router)

// WithConfig sets the source of the configuration, which must not return nil.
// Required.
func WithConfig(current func() *config.Config) Option {
	return func(r *router) { r.config = current }
}

// WithReplicas sets the source of replicas and loads. Required.
func WithReplicas(replicas Replicas) Option {
	return func(r *router) { r.replicas = replicas }
}

// WithDomain sets the failure domain of this host.
func WithDomain(domain fleet.DomainID) Option {
	return func(r *router) { r.domain = domain }
}

// WithDraining adds a function that reports whether a target is draining.
func WithDraining(draining func(target.ID) bool) Option {
	return func(r *router) { r.draining = append(r.draining, draining) }
}

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(r *router) { r.clock = clock }
}

// New returns a new Router.
func New(opts ...Option) Router {
	r := &router{clock: clockwork.NewRealClock(), targets: newTargets()}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

const (
	// maxExcessLoad is how much higher than the lowest cost, in requests per
	// slot, the cost of a target preferred by the prefix may be.
	maxExcessLoad = 0.5
	// affinityGain is the load, in requests per slot, that a cached prefix
	// outweighs.
	affinityGain = 0.25
	// crossDomainCost is the difference in cost, in requests per slot, above
	// which a target of another domain is chosen.
	crossDomainCost = 0.75
	// defaultLoad is assumed for targets whose load is not known at this host.
	defaultLoad = 0.5
	// failureCost is added for a target that has just failed. It decays over
	// failureDecayTime.
	failureCost = 4
	// sampledServices is the number of plain services sampled for a request.
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
	// seeds numbers the requests without a prefix, so that each gets its own
	// random scores.
	seeds atomic.Uint64
}

// candidate is a target that can take the request. Higher scores rank first by
// rendezvous hashing; lower costs are better.
type candidate struct {
	Choice
	score uint64
	cost  float64
}

// Pick implements Router. Among this domain's targets, it takes the better of
// the two with the highest scores, or the next one in order of score that is
// not overloaded. So equal prefixes share a cache, but no single cache and no
// idle target gets all requests. It chooses a target of another domain only if
// this domain has none or the difference in cost exceeds crossDomainCost.
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

// splitByDomain moves the candidates of a domain to the front. It returns those
// and the others.
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

// leastCost returns the candidate with the lowest cost.
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

// pickByScore returns the better of the two candidates with the highest scores,
// or the first in order of score that is not overloaded.
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

// candidates appends the targets that can take the request.
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

// appendServices appends a sample of this domain's plain services. It appends
// all services of all domains if the pool is small or none in the sample can
// take the request.
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

// appendCandidate appends a target with its score and cost, unless it was
// already tried or accepts no requests.
func (r *router) appendCandidate(c Choice, request Request, seed uint64, dst []candidate) []candidate {
	if slices.Contains(request.Exclude, c.Target) || request.Homes != nil && !request.Homes(c.Domain) {
		return dst
	}
	for _, draining := range r.draining {
		if draining(c.Target) {
			return dst
		}
	}
	load, known := r.replicas.Load(c.Target)
	if known && load.Draining {
		return dst
	}
	now := r.clock.Now()
	state := r.targets.state(c.Target, load.TakenAt, now)
	if state.draining || state.notLoadedModel == request.Model && request.Model != "" {
		return dst
	}
	score := mix(seed ^ xxhash.Sum64String(string(c.Target)))
	return append(dst, candidate{Choice: c, score: score, cost: cost(load, known, state, request.Priority)})
}

// cost returns a target's requests per slot, as last reported and sent since,
// plus the cost of recent failures. For requests with a priority, queued
// requests count half, since such requests overtake part of the queue. If the
// load is not known, defaultLoad and four slots are assumed.
func cost(load replica.TargetLoad, known bool, state localState, priority int) float64 {
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

// mix scrambles the bits of x. It is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// StartAttempt implements Router.
func (r *router) StartAttempt(choice *Choice) bool {
	if choice.Ref.Name != "" {
		release, ok := r.replicas.Begin(choice.Target, choice.Ref.Name)
		if !ok {
			return false
		}
		choice.release = release
	}
	choice.attempt = r.targets.startAttempt(choice.Target, r.clock.Now())
	return true
}

// EndAttempt implements Router.
func (r *router) EndAttempt(choice Choice, result retry.Result) {
	if choice.release != nil {
		choice.release()
	}
	r.targets.endAttempt(choice, result, r.clock.Now())
}
