// Package route chooses the target of a request: by what the target has cached,
// by load, by domain and by whether it is leaving.
package route

import (
	"math"
	"sync"

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

	end func()
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
	return func(r *router) { r.leaving = append(r.leaving, leaving) }
}

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(r *router) { r.clock = clock }
}

// New returns a new Router. Configuration and replicas must be given.
func New(opts ...Option) Router {
	r := &router{clock: clockwork.NewRealClock(), sent: make(map[target.ID]int)}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

type router struct {
	config   func() *config.Config
	replicas Replicas
	domain   fleet.DomainID
	leaving  []func(target.ID) bool
	clock    clockwork.Clock

	mu   sync.Mutex
	sent map[target.ID]int
}

// Pick chooses the target with the least work per slot.
func (r *router) Pick(request Request) (Choice, bool) {
	best, bestLoad := Choice{}, math.Inf(1)
	for _, candidate := range r.candidates(request) {
		if r.skipped(candidate.Target, request.Exclude) {
			continue
		}
		if load := r.work(candidate.Target); load < bestLoad {
			best, bestLoad = candidate, load
		}
	}
	return best, !math.IsInf(bestLoad, 1)
}

func (r *router) candidates(request Request) []Choice {
	var choices []Choice
	if request.Model != "" {
		for _, rep := range r.replicas.Ready(request.Model) {
			choices = append(choices, Choice{Target: rep.Target, Address: rep.Address, Domain: rep.Domain, Ref: rep.Ref})
		}
		return choices
	}
	for _, t := range r.config().Targets {
		if t.Pool == request.Pool {
			choices = append(choices, Choice{Target: t.Name, Address: t.Address, Domain: t.Domain})
		}
	}
	return choices
}

// skipped reports whether a target takes no new work or was tried already.
func (r *router) skipped(id target.ID, exclude []target.ID) bool {
	for _, e := range exclude {
		if e == id {
			return true
		}
	}
	for _, leaving := range r.leaving {
		if leaving(id) {
			return true
		}
	}
	load, ok := r.replicas.Load(id)
	return ok && load.Leaving
}

// work returns a target's requests per slot.
func (r *router) work(id target.ID) float64 {
	load, _ := r.replicas.Load(id)
	r.mu.Lock()
	defer r.mu.Unlock()
	return float64(load.Running+load.Queued+r.sent[id]) / float64(max(1, load.Slots))
}

// Sent counts the attempt at its target.
func (r *router) Sent(choice *Choice) bool {
	if choice.Ref.Name != "" {
		end, ok := r.replicas.Begin(choice.Target, choice.Ref.Name)
		if !ok {
			return false
		}
		choice.end = end
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[choice.Target]++
	return true
}

// Done ends an attempt that Sent counted.
func (r *router) Done(choice Choice, _ retry.Result) {
	if choice.end != nil {
		choice.end()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[choice.Target]--
}
