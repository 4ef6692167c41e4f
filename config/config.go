// Package config manages the operators' configuration: domains, targets,
// models, adapters, teams, routes and objectives. It merges a folder of YAML
// files in the order of their names, validates the result, and accepts it by
// one compare-and-swap of a head key in the platform's key-value service. Hosts
// watch that key and spread new revisions to each other.
package config

import (
	"time"

	"hawthornway/fleet"
	"hawthornway/model"
	"hawthornway/target"
	"hawthornway/team"
)

// Config is a complete, merged configuration.
type Config struct {
	Domains    []Domain    `yaml:"domains" json:"domains"`
	Targets    []Target    `yaml:"targets" json:"targets"`
	Models     []Model     `yaml:"models" json:"models"`
	Adapters   []Adapter   `yaml:"adapters" json:"adapters"`
	Teams      []Team      `yaml:"teams" json:"teams"`
	Routes     []Route     `yaml:"routes" json:"routes"`
	Objectives []Objective `yaml:"objectives" json:"objectives"`
	// Evacuations lists the failure domains whose targets are to get no requests.
	Evacuations []Evacuation `yaml:"evacuations" json:"evacuations"`
}

// Evacuation keeps requests from the targets of a failure domain.
type Evacuation struct {
	Domain fleet.DomainID `yaml:"domain" json:"domain"`
}

// Domain is a failure domain, which has its own hosts and targets.
type Domain struct {
	Name fleet.DomainID `yaml:"name" json:"name"`
	// Region groups domains that are close to each other.
	Region fleet.RegionID `yaml:"region" json:"region"`
}

// Target is a back end: an engine or a service.
type Target struct {
	Name   target.ID      `yaml:"name" json:"name"`
	Kind   target.Kind    `yaml:"kind" json:"kind"`
	Domain fleet.DomainID `yaml:"domain" json:"domain"`
	Pool   target.Pool    `yaml:"pool" json:"pool"`
	// Address is an IP address and port.
	Address string `yaml:"address" json:"address"`
	// ChecksFence is set if the target refuses orders with an outdated fence.
	ChecksFence bool `yaml:"checks-fence" json:"checks-fence"`
	// Memory is the accelerator memory of an engine.
	Memory model.Bytes `yaml:"memory" json:"memory"`
	// Slots is the number of requests that the target runs concurrently.
	Slots int `yaml:"slots" json:"slots"`
}

// Model is a model that engines of a pool can load.
type Model struct {
	Name    model.Name    `yaml:"name" json:"name"`
	Version model.Version `yaml:"version" json:"version"`
	Pool    target.Pool   `yaml:"pool" json:"pool"`
	Memory  model.Bytes   `yaml:"memory" json:"memory"`
	// LoadTime is the expected time to load the model from the weight store at
	// full speed.
	LoadTime time.Duration `yaml:"load-time" json:"load-time"`
	// IdleAfter is the time without requests after which a replica may be
	// unloaded.
	IdleAfter       time.Duration `yaml:"idle-after" json:"idle-after"`
	MinReplicas     int           `yaml:"min-replicas" json:"min-replicas"`
	MaxReplicas     int           `yaml:"max-replicas" json:"max-replicas"`
	MaxOutputTokens team.Tokens   `yaml:"max-output-tokens" json:"max-output-tokens"`
}

// Adapter is an adapter for a base model, loaded next to it on the same engine.
type Adapter struct {
	Name     model.Name    `yaml:"name" json:"name"`
	Version  model.Version `yaml:"version" json:"version"`
	Base     model.Name    `yaml:"base" json:"base"`
	Memory   model.Bytes   `yaml:"memory" json:"memory"`
	LoadTime time.Duration `yaml:"load-time" json:"load-time"`
}

// CutOffPolicy selects what a host does with a team's requests while the host is
// cut off, that is, while it may have missed that a key was withdrawn.
type CutOffPolicy string

// The policies for a host that is cut off.
const (
	// CutOffRefuse refuses the requests.
	CutOffRefuse CutOffPolicy = "refuse"
	// CutOffServe goes on serving with the last known keys.
	CutOffServe CutOffPolicy = "serve"
)

// Team is an organisation that calls the gateway, with its limits.
type Team struct {
	Name team.ID `yaml:"name" json:"name"`
	// Rate is the number of tokens per second over the whole fleet.
	Rate team.TokensPerSecond `yaml:"rate" json:"rate"`
	// Burst is the number of tokens that may be used at once.
	Burst team.Tokens `yaml:"burst" json:"burst"`
	// Weight is the team's relative share of scarce capacity.
	Weight float64 `yaml:"weight" json:"weight"`
	// Priority is passed to engines, which run higher priorities first.
	Priority int `yaml:"priority" json:"priority"`
	// Models lists the models and adapters that the team may use.
	Models []model.Name `yaml:"models" json:"models"`
	// Routes lists the routes that the team may use.
	Routes []RouteName `yaml:"routes" json:"routes"`
	// Homes lists the regions in which the team's requests may run. Without it, they may run
	// anywhere.
	Homes      []fleet.RegionID `yaml:"homes" json:"homes"`
	WhenCutOff CutOffPolicy     `yaml:"when-cut-off" json:"when-cut-off"`
	// QueueEntries and QueueBytes limit the number and the total size of the team's
	// requests that wait in one pool's queue on a host.
	QueueEntries int   `yaml:"queue-entries" json:"queue-entries"`
	QueueBytes   int64 `yaml:"queue-bytes" json:"queue-bytes"`
	// Streams is the maximum number of calls that the team has in progress on a host.
	Streams int `yaml:"streams" json:"streams"`
}

// RouteName is the name of a route.
type RouteName string

// Route forwards requests under a path prefix to a pool of services.
type Route struct {
	Name RouteName `yaml:"name" json:"name"`
	// Path is the prefix, by whole segments, of the paths that the route serves.
	Path    string      `yaml:"path" json:"path"`
	Methods []string    `yaml:"methods" json:"methods"`
	Pool    target.Pool `yaml:"pool" json:"pool"`
	// Idempotent is set if requests may be retried.
	Idempotent bool `yaml:"idempotent" json:"idempotent"`
	// Open is set if requests need no key.
	Open bool `yaml:"open" json:"open"`
	// Cost is the number of tokens that a request takes from the team's rate.
	Cost     team.Tokens   `yaml:"cost" json:"cost"`
	Deadline time.Duration `yaml:"deadline" json:"deadline"`
	// BodyBytes is the maximum size of a request's body.
	BodyBytes int64 `yaml:"body-bytes" json:"body-bytes"`
	// Homes lists the regions in which the route's requests may run. Without it, they may run
	// anywhere.
	Homes []fleet.RegionID `yaml:"homes" json:"homes"`
}

// Objective is a service-level objective for a team and a model. An empty team
// or model means all of them.
type Objective struct {
	Name          string        `yaml:"name" json:"name"`
	Team          team.ID       `yaml:"team" json:"team"`
	Model         model.Name    `yaml:"model" json:"model"`
	FirstToken    time.Duration `yaml:"first-token" json:"first-token"`
	BetweenTokens time.Duration `yaml:"between-tokens" json:"between-tokens"`
	// Share is the fraction of requests that must meet the objective, above 0
	// and below 1.
	Share float64 `yaml:"share" json:"share"`
	// Window is the period over which Share is measured.
	Window time.Duration `yaml:"window" json:"window"`
}
