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

// directory gives the other parts access to the active configuration. It is
// empty until the first configuration is known.
type directory struct{ configs *config.Store }

var emptySnapshot = config.NewSnapshot(0, config.Config{})

func (d directory) current() *config.Snapshot {
	if snapshot := d.configs.Current(); snapshot != nil {
		return snapshot
	}
	return emptySnapshot
}

// Config returns the whole configuration.
func (d directory) Config() *config.Config { return d.current().Config() }

// Team returns the configuration of a team.
func (d directory) Team(id team.ID) (config.Team, bool) { return d.current().Team(id) }

// Model returns the configuration of a model.
func (d directory) Model(name model.Name) (config.Model, bool) { return d.current().Model(name) }

// Adapter returns the configuration of an adapter.
func (d directory) Adapter(name model.Name) (config.Adapter, bool) { return d.current().Adapter(name) }

// RouteFor returns the route with the longest path prefix of path.
func (d directory) RouteFor(path string) (config.Route, bool) { return d.current().RouteFor(path) }

// Limit returns the rate and burst of a team.
func (d directory) Limit(id team.ID) (limit.Limit, bool) {
	teamConfig, ok := d.current().Team(id)
	return limit.Limit{Rate: teamConfig.Rate, Burst: teamConfig.Burst}, ok
}

// Domains returns the configured failure domains.
func (d directory) Domains() []fleet.DomainID {
	var ids []fleet.DomainID
	for _, domain := range d.Config().Domains {
		ids = append(ids, domain.Name)
	}
	return ids
}

// Teams returns the configured teams.
func (d directory) Teams() []team.ID {
	var ids []team.ID
	for _, teamConfig := range d.Config().Teams {
		ids = append(ids, teamConfig.Name)
	}
	return ids
}

// Queue returns a team's weight and limits in queues.
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
	base, _ := snapshot.Model(name)
	return base.Pool
}
