// Package weightstore reads the load of the platform's weight store, which
// engines load models and adapters from.
package weightstore

import (
	"context"
	"time"

	"hawthornway/jsonhttp"
)

// DefaultTimeout bounds a call.
const DefaultTimeout = time.Second

// State is the weight store's load.
type State struct {
	// RatePerSecond bounds the model loads that start in a second.
	RatePerSecond float64
	// Slots is the number of model loads that run at full speed.
	Slots int
	// InFlight is the number of model loads that run.
	InFlight int
	// Waiting is the number of model loads that have not started.
	Waiting int
	// AdaptersInFlight is the number of adapter loads that run.
	AdaptersInFlight int
}

// Client reads the weight store's load.
type Client interface {
	// State returns the load. It fails with jsonhttp.ErrNotSent,
	// jsonhttp.ErrUnanswered or a *jsonhttp.StatusError.
	State(ctx context.Context) (State, error)
}

type client struct {
	caller *jsonhttp.Client
}

// NewClient returns a new Client of the weight store at address, an IP number
// and port.
func NewClient(address string) Client {
	return &client{caller: jsonhttp.NewClient(address)}
}

type wireState struct {
	RatePerSecond    float64 `json:"rate-per-second"`
	Slots            int     `json:"slots"`
	InFlight         int     `json:"in-flight"`
	Waiting          int     `json:"waiting"`
	AdaptersInFlight int     `json:"adapters-in-flight"`
}

// State returns the load.
func (c *client) State(ctx context.Context) (State, error) {
	var wire wireState
	err := c.caller.Get(ctx, "/v1/state", nil, DefaultTimeout, &wire)
	return State(wire), err
}
