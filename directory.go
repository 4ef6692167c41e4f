package hawthornway

import (
	"hawthornway/config"
	"hawthornway/fair"
	"hawthornway/fleet"
	"hawthornway/limit"
	"hawthornway/model"
	"hawthornway/target"
	"hawthornway/team"
)

// directory looks up entries of the current configuration. It is empty until the
// first configuration is loaded.
type directory struct{ configs *config.Store }

var emptySnapshot = config.NewSnapshot(0, config.Config{})

func (d directory) current() *config.Snapshot {
	if snapshot := d.configs.Current(); snapshot != nil {
		return snapshot
	}
	return emptySnapshot
}

// Config returns the whole current configuration.
func (d directory) Config() *config.Config { return d.current().Config() }

// Team returns the team with the given ID.
func (d directory) Team(id team.ID) (config.Team, bool) { return d.current().Team(id) }

// Model returns the model with the given name.
func (d directory) Model(name model.Name) (config.Model, bool) { return d.current().Model(name) }

// Adapter returns the adapter with the given name.
func (d directory) Adapter(name model.Name) (config.Adapter, bool) { return d.current().Adapter(name) }

// RouteFor returns the route that matches a path.
func (d directory) RouteFor(path string) (config.Route, bool) { return d.current().RouteFor(path) }

// Limit returns the rate and burst of a team.
func (d directory) Limit(id team.ID) (limit.Limit, bool) {
	teamConfig, ok := d.current().Team(id)
	return limit.Limit{Rate: teamConfig.Rate, Burst: teamConfig.Burst}, ok
}

// Domains returns the configured failure domains.
func (d directory) Domains() []fleet.DomainID {
	var names []fleet.DomainID
	for _, domain := range d.Config().Domains {
		names = append(names, domain.Name)
	}
	return names
}

// EvacuatedDomains returns the failure domains whose targets are to get no requests.
func (d directory) EvacuatedDomains() []fleet.DomainID {
	evacuated := []fleet.DomainID{}
	for _, e := range d.Config().Evacuations {
		evacuated = append(evacuated, e.Domain)
	}
	return evacuated
}

// Evacuated reports whether a target is in an evacuated failure domain.
func (d directory) Evacuated(id target.ID) bool {
	snapshot := d.current()
	t, ok := snapshot.Target(id)
	return ok && snapshot.Evacuated(t.Domain)
}

// Homes returns which failure domains the requests of a team may run in, on a route unless that is
// nil. It returns nil if they may run in any.
func (d directory) Homes(id team.ID, route *config.Route) func(fleet.DomainID) bool {
	snapshot := d.current()
	teamConfig, _ := snapshot.Team(id)
	teamHomes, routeHomes := fleet.NewRegionSet(teamConfig.Homes...), fleet.RegionSet("")
	if route != nil {
		routeHomes = fleet.NewRegionSet(route.Homes...)
	}
	if !teamHomes.Limited() && !routeHomes.Limited() {
		return nil
	}
	regions := snapshot.Regions()
	return func(domain fleet.DomainID) bool {
		return teamHomes.Includes(regions[domain]) && routeHomes.Includes(regions[domain])
	}
}

// Teams returns the configured teams.
func (d directory) Teams() []team.ID {
	var names []team.ID
	for _, teamConfig := range d.Config().Teams {
		names = append(names, teamConfig.Name)
	}
	return names
}

// Queue returns a team's weight and limits in the pools' queues.
func (d directory) Queue(id team.ID) fair.Settings {
	teamConfig, _ := d.Team(id)
	return fair.Settings{Weight: teamConfig.Weight, Entries: teamConfig.QueueEntries, Bytes: teamConfig.QueueBytes}
}

// PoolOf returns the pool whose engines serve a model or an adapter.
func (d directory) PoolOf(name model.Name) target.Pool {
	snapshot := d.current()
	if adapter, ok := snapshot.Adapter(name); ok {
		name = adapter.Base
	}
	baseModel, _ := snapshot.Model(name)
	return baseModel.Pool
}
