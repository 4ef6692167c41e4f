package caller

import (
	"hawthornway/config"
	"hawthornway/model"
	"hawthornway/outcome"
	"hawthornway/team"
)

// Directory is the filters' view of the active configuration.
type Directory interface {
	Team(id team.ID) (config.Team, bool)
	Model(name model.Name) (config.Model, bool)
	Adapter(name model.Name) (config.Adapter, bool)
	// RouteFor returns the route with the longest path prefix of path.
	RouteFor(path string) (config.Route, bool)
}

// Keys validates callers' keys.
type Keys interface {
	// Check returns the team of a key and a channel that is closed when the
	// key is withdrawn, or the reason why the key is refused.
	Check(key string) (team.ID, <-chan struct{}, *outcome.NotRun)
}
