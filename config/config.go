// Package config holds the operators' configuration: domains, targets, models,
// adapters, teams, routes and objectives. It is merged from a folder of small
// files in the order of their names, checked whole, and accepted by one
// compare-and-swap.
package config

import (
	"time"

	"hawthornway/fleet"
	"hawthornway/model"
	"hawthornway/target"
	"hawthornway/team"
)

// Config is one whole, merged configuration.
type Config struct {
	Domains    []Domain    `yaml:"domains" json:"domains"`
	Targets    []Target    `yaml:"targets" json:"targets"`
	Models     []Model     `yaml:"models" json:"models"`
	Adapters   []Adapter   `yaml:"adapters" json:"adapters"`
	Teams      []Team      `yaml:"teams" json:"teams"`
	Routes     []Route     `yaml:"routes" json:"routes"`
	Objectives []Objective `yaml:"objectives" json:"objectives"`
}

// Domain is a failure domain with its own hosts and targets.
type Domain struct {
	Name fleet.DomainID `yaml:"name" json:"name"`
	// Region groups domains that are near each other.
	Region string `yaml:"region" json:"region"`
}

// Target is a back end.
type Target struct {
	Name   target.ID      `yaml:"name" json:"name"`
	Kind   target.Kind    `yaml:"kind" json:"kind"`
	Domain fleet.DomainID `yaml:"domain" json:"domain"`
	Pool   target.Pool    `yaml:"pool" json:"pool"`
	// Address is an IP number and port.
	Address string `yaml:"address" json:"address"`
	// ChecksFence says that the target refuses orders with an old fence.
	ChecksFence bool `yaml:"checks-fence" json:"checks-fence"`
	// Memory is the accelerator memory of an engine.
	Memory model.Bytes `yaml:"memory" json:"memory"`
	// Slots is the number of requests that the target runs at once.
	Slots int `yaml:"slots" json:"slots"`
}

// Model is a model that engines of a pool can load.
type Model struct {
	Name    model.Name    `yaml:"name" json:"name"`
	Version model.Version `yaml:"version" json:"version"`
	Pool    target.Pool   `yaml:"pool" json:"pool"`
	Memory  model.Bytes   `yaml:"memory" json:"memory"`
	// LoadTime is the expected time of a load from the weight store at full
	// speed.
	LoadTime time.Duration `yaml:"load-time" json:"load-time"`
	// IdleAfter is the time without requests after which a replica may go.
	IdleAfter       time.Duration `yaml:"idle-after" json:"idle-after"`
	MinReplicas     int           `yaml:"min-replicas" json:"min-replicas"`
	MaxReplicas     int           `yaml:"max-replicas" json:"max-replicas"`
	MaxOutputTokens team.Tokens   `yaml:"max-output-tokens" json:"max-output-tokens"`
}

// Adapter is a small addition to a model, loaded beside it.
type Adapter struct {
	Name     model.Name    `yaml:"name" json:"name"`
	Version  model.Version `yaml:"version" json:"version"`
	Base     model.Name    `yaml:"base" json:"base"`
	Memory   model.Bytes   `yaml:"memory" json:"memory"`
	LoadTime time.Duration `yaml:"load-time" json:"load-time"`
}

// CutOffPolicy says what a host that may not hear of withdrawn keys does with
// a team's requests.
type CutOffPolicy string

// The policies for a host that is cut off.
const (
	// CutOffRefuse refuses requests while a withdrawal could go unheard.
	CutOffRefuse CutOffPolicy = "refuse"
	// CutOffServe serves on with the keys last known.
	CutOffServe CutOffPolicy = "serve"
)

// Team is a caller's organisation, with its limits.
type Team struct {
	Name team.ID `yaml:"name" json:"name"`
	// Rate is the number of tokens a second over the whole fleet.
	Rate team.TokensPerSecond `yaml:"rate" json:"rate"`
	// Burst is the number of tokens that may be used at once.
	Burst team.Tokens `yaml:"burst" json:"burst"`
	// Weight is the team's part in a fair division of scarce capacity.
	Weight float64 `yaml:"weight" json:"weight"`
	// Priority is passed to engines; higher goes first.
	Priority int `yaml:"priority" json:"priority"`
	// Models lists the models and adapters that the team may use.
	Models []model.Name `yaml:"models" json:"models"`
	// Routes lists the routes that the team may use.
	Routes       []RouteName  `yaml:"routes" json:"routes"`
	WhenCutOff   CutOffPolicy `yaml:"when-cut-off" json:"when-cut-off"`
	QueueEntries int          `yaml:"queue-entries" json:"queue-entries"`
	QueueBytes   int64        `yaml:"queue-bytes" json:"queue-bytes"`
	Streams      int          `yaml:"streams" json:"streams"`
}

// RouteName names a route to plain services.
type RouteName string

// Route passes requests under a path on to a pool of plain services.
type Route struct {
	Name RouteName `yaml:"name" json:"name"`
	// Path is the prefix of the paths that the route takes.
	Path    string      `yaml:"path" json:"path"`
	Methods []string    `yaml:"methods" json:"methods"`
	Pool    target.Pool `yaml:"pool" json:"pool"`
	// Idempotent says that calls may be repeated.
	Idempotent bool `yaml:"idempotent" json:"idempotent"`
	// Open says that no key is needed.
	Open bool `yaml:"open" json:"open"`
	// Cost is the number of tokens that one call takes from the team's rate.
	Cost     team.Tokens   `yaml:"cost" json:"cost"`
	Deadline time.Duration `yaml:"deadline" json:"deadline"`
	// BodyBytes bounds a request's body.
	BodyBytes int64 `yaml:"body-bytes" json:"body-bytes"`
}

// Objective is a service-level objective of one team and model. An empty team
// or model stands for all.
type Objective struct {
	Name          string        `yaml:"name" json:"name"`
	Team          team.ID       `yaml:"team" json:"team"`
	Model         model.Name    `yaml:"model" json:"model"`
	FirstToken    time.Duration `yaml:"first-token" json:"first-token"`
	BetweenTokens time.Duration `yaml:"between-tokens" json:"between-tokens"`
	// Share is the part of requests that must keep the objective, below one.
	Share float64 `yaml:"share" json:"share"`
	// Window is the time over which Share is counted.
	Window time.Duration `yaml:"window" json:"window"`
}
