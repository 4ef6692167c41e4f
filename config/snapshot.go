package config

import (
	"slices"
	"strings"
	"time"

	"hawthornway/fleet"
	"hawthornway/model"
	"hawthornway/target"
	"hawthornway/team"
)

// Revision numbers the accepted configurations from one. Zero means none.
type Revision uint64

// Snapshot is an immutable accepted configuration, indexed for lookups while
// requests are served.
type Snapshot struct {
	revision   Revision
	acceptedAt time.Time
	author     Author
	config     Config
	files      []File

	domains  map[fleet.DomainID]Domain
	targets  map[target.ID]Target
	pools    map[target.Pool][]Target
	models   map[model.Name]Model
	adapters map[model.Name]Adapter
	teams    map[team.ID]Team
	routes   map[string]Route
	// evacuated holds the domains that are evacuated, and regions the regions of all domains.
	evacuated map[fleet.DomainID]bool
	regions   fleet.Regions
}

// NewSnapshot indexes a merged configuration.
func NewSnapshot(revision Revision, c Config) *Snapshot {
	s := &Snapshot{
		revision: revision,
		config:   c,
		domains:  indexBy(c.Domains, func(d Domain) fleet.DomainID { return d.Name }),
		targets:  indexBy(c.Targets, func(t Target) target.ID { return t.Name }),
		pools:    map[target.Pool][]Target{},
		models:   indexBy(c.Models, func(m Model) model.Name { return m.Name }),
		adapters: indexBy(c.Adapters, func(a Adapter) model.Name { return a.Name }),
		teams:    indexBy(c.Teams, func(t Team) team.ID { return t.Name }),
		routes:   indexBy(c.Routes, func(r Route) string { return strings.TrimRight(r.Path, "/") }),
	}
	s.evacuated, s.regions = map[fleet.DomainID]bool{}, fleet.Regions{}
	for _, e := range c.Evacuations {
		s.evacuated[e.Domain] = true
	}
	for _, d := range c.Domains {
		s.regions[d.Name] = d.Region
	}
	for _, t := range c.Targets {
		s.pools[t.Pool] = append(s.pools[t.Pool], t)
	}
	return s
}

func indexBy[K comparable, E any](list []E, key func(E) K) map[K]E {
	index := make(map[K]E, len(list))
	for _, e := range list {
		index[key(e)] = e
	}
	return index
}

// Revision returns the configuration's revision.
func (s *Snapshot) Revision() Revision { return s.revision }

// AcceptedAt returns when the configuration was accepted.
func (s *Snapshot) AcceptedAt() time.Time { return s.acceptedAt }

// Author returns who applied the configuration.
func (s *Snapshot) Author() Author { return s.author }

// Config returns the whole configuration. The caller must not modify it.
func (s *Snapshot) Config() *Config { return &s.config }

// Files returns the files that the configuration was merged from.
func (s *Snapshot) Files() []File { return slices.Clone(s.files) }

// Domain returns a failure domain.
func (s *Snapshot) Domain(name fleet.DomainID) (Domain, bool) {
	d, ok := s.domains[name]
	return d, ok
}

// Target returns a target.
func (s *Snapshot) Target(id target.ID) (Target, bool) {
	t, ok := s.targets[id]
	return t, ok
}

// Evacuated reports whether the targets of a failure domain are to get no requests.
func (s *Snapshot) Evacuated(domain fleet.DomainID) bool { return s.evacuated[domain] }

// Regions returns the regions of the failure domains. The caller must not modify them.
func (s *Snapshot) Regions() fleet.Regions { return s.regions }

// Pool returns the targets of a pool. The caller must not modify them.
func (s *Snapshot) Pool(name target.Pool) []Target { return s.pools[name] }

// Model returns a model.
func (s *Snapshot) Model(name model.Name) (Model, bool) {
	m, ok := s.models[name]
	return m, ok
}

// Adapter returns an adapter.
func (s *Snapshot) Adapter(name model.Name) (Adapter, bool) {
	a, ok := s.adapters[name]
	return a, ok
}

// Team returns a team.
func (s *Snapshot) Team(id team.ID) (Team, bool) {
	t, ok := s.teams[id]
	return t, ok
}

// RouteFor returns the route with the longest path that is a prefix of the
// given path, by whole segments.
func (s *Snapshot) RouteFor(path string) (Route, bool) {
	for {
		if r, ok := s.routes[path]; ok {
			return r, true
		}
		cut := strings.LastIndexByte(path, '/')
		if cut < 0 {
			return Route{}, false
		}
		path = path[:cut]
	}
}
