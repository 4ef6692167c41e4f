// Package hostlist is a client for the platform's list of hosts and targets. The
// list is eventually consistent: it lags behind the actual state.
package hostlist

import (
	"context"
	"time"

	"hawthornway/fleet"
	"hawthornway/jsonhttp"
)

// DefaultTimeout is the timeout of a call.
const DefaultTimeout = time.Second

// Kind distinguishes hosts from targets.
type Kind string

// The kinds of entry.
const (
	KindHost   Kind = "host"
	KindTarget Kind = "target"
)

// State is the state of a machine.
type State string

// The states of a machine.
const (
	StateLive State = "live"
	// StateLeaving means that the platform is about to remove the machine.
	StateLeaving State = "leaving"
)

// Entry is one machine of the list: a host or a target. Name is a fleet.HostID or
// a target.ID, depending on Kind.
type Entry struct {
	Name    string
	Kind    Kind
	Domain  fleet.DomainID
	Address string
	State   State
}

// Client reads the list.
type Client interface {
	// List returns all machines. It fails with jsonhttp.ErrNotSent,
	// jsonhttp.ErrUnanswered or a *jsonhttp.StatusError.
	List(ctx context.Context) ([]Entry, error)
}

type client struct {
	http *jsonhttp.Client
}

// NewClient returns a new Client for the host list at address, an IP address and
// port.
func NewClient(address string) Client {
	return &client{http: jsonhttp.NewClient(address)}
}

type wireList struct {
	Hosts []wireEntry `json:"hosts"`
}

type wireEntry struct {
	Name    string         `json:"name"`
	Kind    Kind           `json:"kind"`
	Domain  fleet.DomainID `json:"domain"`
	Address string         `json:"address"`
	State   State          `json:"state"`
}

// List returns all machines.
func (c *client) List(ctx context.Context) ([]Entry, error) {
	var wire wireList
	if err := c.http.Get(ctx, "/v1/hosts", nil, DefaultTimeout, &wire); err != nil {
		return nil, err
	}
	entries := make([]Entry, 0, len(wire.Hosts))
	for _, w := range wire.Hosts {
		entries = append(entries, Entry(w))
	}
	return entries, nil
}
