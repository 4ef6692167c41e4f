// Package catalog holds one version of the operators' configuration: routes,
// pools of targets, models and teams, indexed for the lookups that a request
// needs.
package catalog

import (
	"slices"
	"strings"
	"time"

	"hawthornway/fleet"
	"hawthornway/model"
	"hawthornway/target"
	"hawthornway/team"
)

// Version is the version of a configuration. Later configurations have higher
// versions.
type Version int64

// RouteName names a route.
type RouteName string

// Key is the secret that authenticates a caller.
type Key string

// Catalog is one version of the configuration. It is immutable.
type Catalog struct {
	Version Version
	Bounds  Bounds

	routes map[string][]Route // by host name, longest prefix first
	pools  map[target.Pool]Pool
	teams  map[team.ID]Team
	keys   map[Key]team.ID
}

// Bounds limits the size of callers' requests.
type Bounds struct {
	HeaderBytes int
	BodyBytes   int64
}

// Route maps requests of one host name and path prefix to pools of targets.
type Route struct {
	Name   RouteName
	Host   string
	Prefix string
	// Delivery determines which requests may be repeated.
	Delivery Delivery
	// Timeout limits how long a caller waits.
	Timeout time.Duration
	// Objective is the latency objective of a response, or of the first event
	// of a stream.
	Objective time.Duration
	// Priority is the rank of the route; 0 goes first.
	Priority int
	// Pools lists the pools among which the route's requests are split by
	// weight.
	Pools []WeightedPool
	// MaxTargets limits how many targets one request may be sent to.
	MaxTargets int
	// Open routes need no key.
	Open bool
	// Sticky routes benefit from sending a session's requests to the same
	// target.
	Sticky bool
	// Homes lists the regions in which the route's requests may run. Empty means anywhere.
	Homes []fleet.RegionID
	// Invalid routes have settings that can't be used. Their requests are refused, and not
	// handled as those of a route with a shorter prefix.
	Invalid bool
}

// WeightedPool is a pool with its share of a route's requests.
type WeightedPool struct {
	Pool   target.Pool
	Weight float64
}

// Delivery is the delivery guarantee of a route's requests: Idempotent,
// AtMostOnce or Stream.
type Delivery interface{ sealed() }

// Idempotent requests may run more than once.
type Idempotent struct{}

// AtMostOnce requests must not run more than once.
type AtMostOnce struct{}

// Stream requests get a stream of events as their response. They must not run more
// than once unless they are resumable.
type Stream struct {
	Resumable bool
	// MaxGap is the longest gap between events that counts as on time.
	MaxGap time.Duration
	// MaxSilence is the silence after which callers give up on a stream,
	// including the wait for its first event. Zero means no limit.
	MaxSilence time.Duration
}

func (Idempotent) sealed() {}
func (AtMostOnce) sealed() {}
func (Stream) sealed()     {}

// Repeatable reports whether a request that may have run may be sent again.
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
	Name target.Pool
	// Engines describes the pool's targets if they are model engines, and is
	// nil otherwise.
	Engines *Engines
	// Warming is what the pool's targets bear while they are cold, or nil if they bear as much
	// as ever.
	Warming *Warming
}

// Warming describes targets that are cold for some time.
type Warming struct {
	// Rate is the number of requests per second that a cold target bears.
	Rate float64
	// Duration is the time for which a target is cold after its start.
	Duration time.Duration
}

// Engines describes the model engines of a pool, which are identical.
type Engines struct {
	// Slots is the number of requests that an engine can run at the same time, and
	// AdapterSlots the number of adapters that it can hold.
	Slots        int
	Memory       model.Bytes
	AdapterSlots int
	// HostMemory is the size of an engine's cache of weights in host memory. Zero means
	// unknown.
	HostMemory model.Bytes
	// LoadsPerSecond limits the loads from the weight store over all engines.
	LoadsPerSecond float64
	Models         map[model.Name]Model
}

// Model describes the weights of a model and the time to load them.
type Model struct {
	Name        model.Name
	Size        model.Bytes
	AdapterSize model.Bytes
	// StoreLoadTime, DiskLoadTime and MemoryLoadTime are the times to load the
	// model from the weight store, from the engine's disk and from the memory
	// of the engine's machine.
	StoreLoadTime, DiskLoadTime, MemoryLoadTime time.Duration
}

// Team is a tenant.
type Team struct {
	ID team.ID
	// Priority is the rank of the team, which overrides the rank of the route.
	// If it is nil, the rank of the route applies.
	Priority *int
	// Limit is nil for a team without a limit.
	Limit *Limit
	Keys  []Key
	// Homes lists the regions in which the team's requests may run. Empty means anywhere.
	Homes []fleet.RegionID
	// Invalid teams have settings that can't be used. Their requests are refused.
	Invalid bool
}

// Limit limits a team's usage over all hosts together.
type Limit struct {
	// ByTokens is set if Rate and Burst count tokens. Otherwise, they count
	// requests.
	ByTokens bool
	Rate     team.TokensPerSecond
	Burst    team.Tokens
	// DefaultTokens is what a request counts if the caller does not state its
	// tokens.
	DefaultTokens team.Tokens
}

// Content holds the parts from which a Catalog is built.
type Content struct {
	Version Version
	Bounds  Bounds
	Routes  []Route
	Pools   []Pool
	Teams   []Team
}

// New returns a Catalog of the given content.
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

// Route returns the route with the longest matching path prefix among the
// routes of a host name.
func (c *Catalog) Route(host, path string) (Route, bool) {
	for _, r := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// LeastObjective returns the shortest latency objective of the routes that lead to a pool, or zero if
// none has any.
func (c *Catalog) LeastObjective(pool target.Pool) time.Duration {
	least := time.Duration(0)
	for _, routes := range c.routes {
		for _, r := range routes {
			leads := slices.ContainsFunc(r.Pools, func(p WeightedPool) bool { return p.Pool == pool })
			if leads && r.Objective > 0 && (least == 0 || r.Objective < least) {
				least = r.Objective
			}
		}
	}
	return least
}

// TeamByKey returns the team that owns a key.
func (c *Catalog) TeamByKey(key Key) (Team, bool) {
	id, ok := c.keys[key]
	return c.teams[id], ok
}

// RequiresKeys reports whether callers need keys, which is the case if there
// are teams.
func (c *Catalog) RequiresKeys() bool { return len(c.teams) > 0 }

// Team returns the team with an ID.
func (c *Catalog) Team(id team.ID) (Team, bool) {
	t, ok := c.teams[id]
	return t, ok
}

// Pool returns the pool with a name.
func (c *Catalog) Pool(name target.Pool) (Pool, bool) {
	p, ok := c.pools[name]
	return p, ok
}

// Pools returns the pools, sorted by name.
func (c *Catalog) Pools() []Pool {
	pools := make([]Pool, 0, len(c.pools))
	for _, p := range c.pools {
		pools = append(pools, p)
	}
	slices.SortFunc(pools, func(a, b Pool) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return pools
}

// Model returns the description of a model that the engines of a pool may load.
func (c *Catalog) Model(pool target.Pool, name model.Name) (Model, bool) {
	p, ok := c.pools[pool]
	if !ok || p.Engines == nil {
		return Model{}, false
	}
	m, ok := p.Engines.Models[name]
	return m, ok
}

// PoolFor returns the pool that a random number between 0 and 1 selects by
// weight. It returns an empty name if the route has no pools.
func (r Route) PoolFor(random float64) target.Pool {
	sum := 0.0
	for _, p := range r.Pools {
		sum += p.Weight
	}
	remaining := random * sum
	for _, p := range r.Pools {
		if remaining < p.Weight {
			return p.Pool
		}
		remaining -= p.Weight
	}
	if len(r.Pools) == 0 {
		return ""
	}
	return r.Pools[len(r.Pools)-1].Pool
}

// Homes returns the regions in which a team's requests on a route may run. It reports false if
// there are none, since the route and the team have homes, both bind, and no region is in both.
func Homes(r Route, t Team) (fleet.RegionSet, bool) {
	switch {
	case len(r.Homes) == 0:
		return fleet.NewRegionSet(t.Homes...), true
	case len(t.Homes) == 0:
		return fleet.NewRegionSet(r.Homes...), true
	}
	var both []fleet.RegionID
	for _, home := range r.Homes {
		if slices.Contains(t.Homes, home) {
			both = append(both, home)
		}
	}
	return fleet.NewRegionSet(both...), len(both) > 0
}
