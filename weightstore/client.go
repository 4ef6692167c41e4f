// Package weightstore is a client for the platform's weight store, from which
// engines load models and adapters.
package weightstore

import (
	"context"
	"time"

	"hawthornway/jsonhttp"
)

// DefaultTimeout is the timeout of a call.
const DefaultTimeout = time.Second

// State is the weight store's load.
type State struct {
	// RatePerSecond is the maximum number of model loads started per second.
	RatePerSecond float64
	// Slots is the number of model loads that can run at full speed at a time.
	Slots int
	// InFlight is the number of running model loads.
	InFlight int
	// Waiting is the number of requested model loads that have not started.
	Waiting int
	// AdaptersInFlight is the number of running adapter loads.
	AdaptersInFlight int
}

// Client reads the weight store's load.
type Client interface {
	// State returns the load. It fails with jsonhttp.ErrNotSent,
	// jsonhttp.ErrUnanswered or a *jsonhttp.StatusError.
	State(ctx context.Context) (State, error)
}

type client struct {
	http *jsonhttp.Client
}

// NewClient returns a new Client for the weight store at address, an IP address
// and port.
func NewClient(address string) Client {
	return &client{http: jsonhttp.NewClient(address)}
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
	err := c.http.Get(ctx, "/v1/state", nil, DefaultTimeout, &wire)
	return State(wire), err
}
