// Package hostlist reads the platform's list of live and leaving hosts and
// targets, which lags behind.
package hostlist

import (
	"context"
	"time"

	"hawthornway/fleet"
	"hawthornway/jsonhttp"
)

// DefaultTimeout bounds a call.
const DefaultTimeout = time.Second

// Kind tells hosts from targets.
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
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Entry is one machine of the list. Name is a fleet.HostID or a target.ID, by
// Kind.
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
	caller *jsonhttp.Client
}

// NewClient returns a new Client of the host list at address, an IP number and
// port.
func NewClient(address string) Client {
	return &client{caller: jsonhttp.NewClient(address)}
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
	if err := c.caller.Get(ctx, "/v1/hosts", nil, DefaultTimeout, &wire); err != nil {
		return nil, err
	}
	entries := make([]Entry, 0, len(wire.Hosts))
	for _, w := range wire.Hosts {
		entries = append(entries, Entry(w))
	}
	return entries, nil
}
