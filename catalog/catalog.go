// Package catalog holds one version of the operators' configuration: routes,
// pools of targets, models and teams, indexed for the lookups of a request.
package catalog

import (
	"slices"
	"strings"
	"time"

	"hawthornway/model"
	"hawthornway/target"
	"hawthornway/team"
)

// Version orders configurations. A later one has a higher version.
type Version int64

// RouteName names a route.
type RouteName string

// Key is the secret that a caller presents.
type Key string

// Catalog is one version of the configuration. It doesn't change once made.
type Catalog struct {
	Version Version
	Bounds  Bounds

	routes map[string][]Route // by host name, longest prefix first
	pools  map[target.Pool]Pool
	teams  map[team.ID]Team
	keys   map[Key]team.ID
}

// Bounds bound what callers may send.
type Bounds struct {
	HeaderBytes int
	BodyBytes   int64
}

// Route maps requests of one host name and path prefix to pools of targets.
type Route struct {
	Name   RouteName
	Host   string
	Prefix string
	// Delivery says what may be repeated.
	Delivery Delivery
	// Timeout bounds how long a caller waits.
	Timeout time.Duration
	// Objective is the time to the answer, or to a stream's first event, that
	// operators aim for.
	Objective time.Duration
	// Priority is the rank of the route, 0 first.
	Priority int
	// Targets are the pools that share the route's requests by weight.
	Targets []WeightedPool
	// MaxTargets bounds how many targets one request may be sent to.
	MaxTargets int
	// Open routes need no key.
	Open bool
	// Sticky routes gain from reaching a target that has seen the session.
	Sticky bool
}

// WeightedPool is a pool's part in a route's requests.
type WeightedPool struct {
	Pool   target.Pool
	Weight float64
}

// Delivery is one of Idempotent, AtMostOnce and Stream.
type Delivery interface{ sealed() }

// Idempotent requests may run more than once.
type Idempotent struct{}

// AtMostOnce requests run once at most.
type AtMostOnce struct{}

// Stream requests are answered with a series of events. They run once at most
// unless they are resumable.
type Stream struct {
	Resumable bool
	// MaxGap is the longest pause between events that is still on time.
	MaxGap time.Duration
	// Patience is the silence after which callers leave a stream, also before its
	// first event. Zero stands for no bound.
	Patience time.Duration
}

func (Idempotent) sealed() {}
func (AtMostOnce) sealed() {}
func (Stream) sealed()     {}

// Repeatable reports whether a request that may have run can be sent again.
func (r Route) Repeatable() bool {
	switch d := r.Delivery.(type) {
	case Idempotent:
		return true
	case Stream:
		return d.Resumable
	default:
		return false
	}
}

// Pool is a set of targets that serve the same requests.
type Pool struct {
	Name           target.Pool
	MaxConnections int
	// Engines describes the pool's targets if they are model engines.
	Engines *Engines
}

// Engines describes the model engines of one pool, which are alike.
type Engines struct {
	Slots        int
	Memory       model.Bytes
	AdapterSlots int
	// LoadsPerSecond bounds loads from the weight store over all engines.
	LoadsPerSecond float64
	Models         map[model.Name]Model
}

// Model describes the weights of one model and the time that loading takes.
type Model struct {
	Name        model.Name
	Size        model.Bytes
	AdapterSize model.Bytes
	// Store, Disk and Memory are the times of a load from the weight store, from
	// the engine's disk and from the memory of its machine.
	Store, Disk, Memory time.Duration
}

// Team is a tenant with its limit.
type Team struct {
	ID team.ID
	// Priority is the rank of the team, which goes before the route's. Nil
	// leaves it to the route.
	Priority *int
	// Limit is nil for a team without one.
	Limit *Limit
	Keys  []Key
}

// Limit bounds what a team may use over all hosts together.
type Limit struct {
	// ByTokens says that rate and burst count tokens; otherwise, requests.
	ByTokens bool
	Rate     team.TokensPerSecond
	Burst    team.Tokens
	// Unstated is what a request counts that doesn't state its tokens.
	Unstated team.Tokens
}

// Content is what a Catalog is made of.
type Content struct {
	Version Version
	Bounds  Bounds
	Routes  []Route
	Pools   []Pool
	Teams   []Team
}

// New returns a new Catalog.
func New(content Content) *Catalog {
	c := &Catalog{
		Version: content.Version,
		Bounds:  content.Bounds,
		routes:  map[string][]Route{},
		pools:   map[target.Pool]Pool{},
		teams:   map[team.ID]Team{},
		keys:    map[Key]team.ID{},
	}
	for _, r := range content.Routes {
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], r)
	}
	for _, routes := range c.routes {
		slices.SortStableFunc(routes, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, p := range content.Pools {
		c.pools[p.Name] = p
	}
	for _, t := range content.Teams {
		c.teams[t.ID] = t
		for _, k := range t.Keys {
			c.keys[k] = t.ID
		}
	}
	return c
}

// Route returns the route with the longest prefix of path among those of the
// host name.
func (c *Catalog) Route(host, path string) (Route, bool) {
	for _, r := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Holder returns the team that holds a key.
func (c *Catalog) Holder(key Key) (Team, bool) {
	id, ok := c.keys[key]
	return c.teams[id], ok
}

// Keyed reports whether the configuration has teams, so that callers need keys.
func (c *Catalog) Keyed() bool { return len(c.teams) > 0 }

// Team returns the team of an id.
func (c *Catalog) Team(id team.ID) (Team, bool) {
	t, ok := c.teams[id]
	return t, ok
}

// Pool returns the pool of a name.
func (c *Catalog) Pool(name target.Pool) (Pool, bool) {
	p, ok := c.pools[name]
	return p, ok
}

// Pools returns the pools, ordered by name.
func (c *Catalog) Pools() []Pool {
	pools := make([]Pool, 0, len(c.pools))
	for _, p := range c.pools {
		pools = append(pools, p)
	}
	slices.SortFunc(pools, func(a, b Pool) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return pools
}

// Model returns the description of a model that a pool's engines may hold.
func (c *Catalog) Model(pool target.Pool, name model.Name) (Model, bool) {
	p, ok := c.pools[pool]
	if !ok || p.Engines == nil {
		return Model{}, false
	}
	m, ok := p.Engines.Models[name]
	return m, ok
}

// PoolFor returns the pool of a route for a draw between 0 and 1.
func (r Route) PoolFor(draw float64) target.Pool {
	sum := 0.0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	remaining := draw * sum
	for _, t := range r.Targets {
		if remaining < t.Weight {
			return t.Pool
		}
		remaining -= t.Weight
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Pool
}
