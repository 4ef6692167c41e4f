// Package peer implements messaging between hosts over WebSocket links with CBOR
// frames: heartbeats, calls with responses, and one-way notices.
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

// Handler handles one message. Body is the CBOR-encoded request, and the returned
// value is encoded as the response. The value returned for a notice is ignored.
type Handler func(ctx context.Context, from fleet.Member, body []byte) (any, error)

// Mesh is the set of links from this host to its peers.
type Mesh interface {
	// Self returns this host as a member.
	Self() fleet.Member
	// Handle registers the handler of a kind. It must be called before the mesh runs.
	Handle(kind Kind, handler Handler)
	// Call sends a request to a peer and decodes the result into response. It
	// fails with ErrNotSent if the request can't have reached the peer, and
	// with ErrUnanswered if the peer may have acted on it. An error of the peer's
	// handler is returned as a *RemoteError.
	Call(ctx context.Context, to fleet.HostID, kind Kind, request, response any) error
	// Notify sends a one-way message. It returns ErrNotSent if that is not possible.
	Notify(to fleet.HostID, kind Kind, message any) error
	// Peers returns the peers with an open link, ordered by host.
	Peers() []Peer
}

// The transport errors of calls and notices.
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
