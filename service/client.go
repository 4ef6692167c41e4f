package service

import (
	"context"
	"time"

	"hawthornway/jsonhttp"
)

// DefaultTimeout is the timeout for reading a service's load.
const DefaultTimeout = time.Second

// Report is a plain service's load.
type Report struct {
	Running  int
	Slots    int
	Draining bool
}

// Client reads a service's load.
type Client interface {
	// Report returns the load. It fails with jsonhttp.ErrNotSent,
	// jsonhttp.ErrUnanswered or a *jsonhttp.StatusError.
	Report(ctx context.Context) (Report, error)
}

type client struct {
	http *jsonhttp.Client
}

// NewClient returns a new Client of the service at address, an IP address with a
// port.
func NewClient(address string) Client {
	c := &client{http: jsonhttp.NewClient(address)}
	c.http.SetMaxBody(jsonhttp.MaxReportBytes)
	return c
}

type wireReport struct {
	Running  int  `json:"running"`
	Slots    int  `json:"slots"`
	Draining bool `json:"leaving"`
}

// Report returns the load.
func (c *client) Report(ctx context.Context) (Report, error) {
	var wire wireReport
	err := c.http.Get(ctx, "/report", nil, DefaultTimeout, &wire)
	return Report(wire), err
}
