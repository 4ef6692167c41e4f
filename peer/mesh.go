// Package peer carries messages between hosts: WebSocket links with CBOR
// frames, heartbeats, calls with answers, and one-way notices.
package peer

import (
	"context"
	"errors"
	"time"

	"hawthornway/fleet"
)

// Kind names a kind of message, in kebab case.
type Kind string

// Peer is another host as this host sees it.
type Peer struct {
	fleet.Member
	// LastReceived is when the last frame arrived from the peer.
	LastReceived time.Time
}

// Handler answers one message. Body holds the CBOR of the request; the value
// returned is encoded as the answer. A notice's return value is dropped.
type Handler func(ctx context.Context, from fleet.Member, body []byte) (any, error)

// Mesh is the set of links from this host to its peers.
type Mesh interface {
	// Self returns this host's own membership.
	Self() fleet.Member
	// Handle registers the handler of a kind, before the mesh runs.
	Handle(kind Kind, handler Handler)
	// Call sends a request to a peer and decodes its answer into response. It
	// fails with ErrNotSent when the request can't have reached the peer, and
	// with ErrUnanswered when the peer may have acted on it. An error that the
	// peer's handler returned comes back as a *RemoteError.
	Call(ctx context.Context, to fleet.HostID, kind Kind, request, response any) error
	// Notify sends a one-way message, or returns ErrNotSent.
	Notify(to fleet.HostID, kind Kind, message any) error
	// Peers returns the peers with a live link, ordered by host.
	Peers() []Peer
}

// The ways in which a call can fail on its way.
var (
	ErrNotSent    = errors.New("message was not sent")
	ErrUnanswered = errors.New("message was sent and not answered")
)

// RemoteError is an error that a peer's handler returned.
type RemoteError struct {
	Host    fleet.HostID
	Kind    Kind
	Message string
}

// Error returns the peer, the kind and the peer's message.
func (e *RemoteError) Error() string {
	return "peer " + string(e.Host) + " refused " + string(e.Kind) + ": " + e.Message
}
