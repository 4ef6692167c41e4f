package peer

import (
	"context"
	"log/slog"
	"net/http"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"hawthornway/fleet"
)

// Links is the set of WebSocket links of this host. It implements Mesh.
type Links struct {
	self   fleet.Member
	secret []byte
	clock  clockwork.Clock
	log    *slog.Logger
}

// New returns a new Links. WithSelf and WithSecret are required.
func New(opts ...Option) *Links {
	l := &Links{
		clock: clockwork.NewRealClock(),
		log:   slog.Default(),
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Run keeps the links until the context ends.
func (l *Links) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// ServeHTTP takes the links that other hosts dial. It is mounted at /peer.
func (l *Links) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "no links yet", http.StatusServiceUnavailable)
}

// SetPeers replaces the members that links are kept to. A member without a host
// is an address to dial first.
func (l *Links) SetPeers(_ []fleet.Member) {}

// Self returns this host's own membership.
func (l *Links) Self() fleet.Member { return l.self }

// Handle registers the handler of a kind, before Run.
func (l *Links) Handle(_ Kind, _ Handler) {}

// Call sends a request to a peer and decodes its answer into response.
func (l *Links) Call(_ context.Context, _ fleet.HostID, _ Kind, _, _ any) error {
	return trace.Wrap(ErrNotSent)
}

// Notify sends a one-way message.
func (l *Links) Notify(_ fleet.HostID, _ Kind, _ any) error {
	return trace.Wrap(ErrNotSent)
}

// Peers returns the peers with a live link, ordered by host.
func (l *Links) Peers() []Peer { return nil }
