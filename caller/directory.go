package caller

import (
	"hawthornway/config"
	"hawthornway/model"
	"hawthornway/outcome"
	"hawthornway/team"
)

// Directory is the configuration in force, as the filters read it.
type Directory interface {
	Team(id team.ID) (config.Team, bool)
	Model(name model.Name) (config.Model, bool)
	Adapter(name model.Name) (config.Adapter, bool)
	// RouteFor returns the route with the longest path that is a prefix of path.
	RouteFor(path string) (config.Route, bool)
}

// Keys checks callers' keys.
type Keys interface {
	// Check returns the team of a key, and a channel that is closed when the
	// key is withdrawn, or why the key is refused.
	Check(presented string) (team.ID, <-chan struct{}, *outcome.NotRun)
}
