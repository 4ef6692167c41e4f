package config

import (
	"net/http"
	"time"

	"hawthornway/model"
	"hawthornway/target"
)

const (
	defaultVersion         model.Version = "1"
	defaultTargetSlots                   = 16
	defaultLoadTime                      = 10 * time.Second
	defaultAdapterLoadTime               = 20 * time.Millisecond
	defaultIdleAfter                     = 5 * time.Minute
	defaultMaxReplicas                   = 4
	defaultMaxOutputTokens               = 1024
	defaultWeight                        = 1
	defaultQueueEntries                  = 256
	defaultQueueBytes                    = 16 << 20
	defaultStreams                       = 256
	defaultCost                          = 1
	defaultRouteDeadline                 = 30 * time.Second
	defaultRouteBodyBytes                = 1 << 20
	defaultShare                         = 0.99
	defaultObjectiveWindow               = 30 * 24 * time.Hour
)

// SetDefaults sets the fields that a file may leave out.
func (t *Target) SetDefaults() {
	t.Kind = target.KindEngine
	t.Slots = defaultTargetSlots
}

// SetDefaults sets the fields that a file may leave out.
func (m *Model) SetDefaults() {
	m.Version = defaultVersion
	m.LoadTime = defaultLoadTime
	m.IdleAfter = defaultIdleAfter
	m.MaxReplicas = defaultMaxReplicas
	m.MaxOutputTokens = defaultMaxOutputTokens
}

// SetDefaults sets the fields that a file may leave out.
func (a *Adapter) SetDefaults() {
	a.Version = defaultVersion
	a.LoadTime = defaultAdapterLoadTime
}

// SetDefaults sets the fields that a file may leave out.
func (t *Team) SetDefaults() {
	t.Weight = defaultWeight
	t.WhenCutOff = CutOffRefuse
	t.QueueEntries = defaultQueueEntries
	t.QueueBytes = defaultQueueBytes
	t.Streams = defaultStreams
}

// SetDefaults sets the fields that a file may leave out.
func (r *Route) SetDefaults() {
	r.Methods = []string{http.MethodGet, http.MethodPost}
	r.Cost = defaultCost
	r.Deadline = defaultRouteDeadline
	r.BodyBytes = defaultRouteBodyBytes
}

// SetDefaults sets the fields that a file may leave out.
func (o *Objective) SetDefaults() {
	o.Share = defaultShare
	o.Window = defaultObjectiveWindow
}
