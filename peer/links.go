package peer

import (
	"cmp"
	"context"
	"log/slog"
	"net/http"
	"slices"
	"sync"

	"github.com/coder/websocket"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"hawthornway/fleet"
)

// Path is the HTTP path at which hosts accept links.
const Path = "/peer"

// Links is the set of WebSocket links of this host. It implements Mesh.
type Links struct {
	self   fleet.Member
	secret []byte
	clock  clockwork.Clock
	log    *slog.Logger
	client *http.Client
	count  counter

	// ctx is the parent context of links and dials. Run cancels it on return.
	ctx      context.Context
	cancel   context.CancelFunc
	requests sync.WaitGroup
	wake     chan struct{}

	mu       sync.Mutex
	handlers map[Kind]Handler
	links    map[fleet.HostID]*link
	members  []fleet.Member
	desired  []fleet.Member
	dials    map[string]*dial
	backoffs map[string]dialBackoff
}

// New returns a new Links. WithSelf and WithSecret are required.
func New(opts ...Option) *Links {
	l := &Links{
		clock:    clockwork.NewRealClock(),
		log:      slog.Default(),
		client:   http.DefaultClient,
		wake:     make(chan struct{}, 1),
		handlers: map[Kind]Handler{},
		links:    map[fleet.HostID]*link{},
		dials:    map[string]*dial{},
		backoffs: map[string]dialBackoff{},
	}
	for _, opt := range opts {
		opt(l)
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

// Run maintains the links until the context is cancelled.
func (l *Links) Run(ctx context.Context) error {
	ticker := l.clock.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		l.dialMissing()
		select {
		case <-ctx.Done():
			l.shutDown()
			return nil
		case <-ticker.Chan():
		case <-l.wake:
		}
	}
}

func (l *Links) shutDown() {
	l.cancel()
	l.mu.Lock()
	links := make([]*link, 0, len(l.links))
	for _, ln := range l.links {
		links = append(links, ln)
	}
	l.mu.Unlock()
	for _, ln := range links {
		<-ln.done
	}
	l.requests.Wait()
}

// ServeHTTP accepts links from other hosts. It has to be mounted at Path, and
// returns when the link is closed.
func (l *Links) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, member, err := l.AcceptConn(w, r)
	if err != nil {
		l.log.Warn("peer: link refused", "from", r.RemoteAddr, "error", err)
		return
	}
	ln, err := l.addLink(newLink(l, conn, member, false))
	if err != nil {
		l.logRefused(r.RemoteAddr, err)
		_ = conn.CloseNow()
		return
	}
	<-ln.done
}

// AcceptConn accepts a WebSocket connection from another host, which has to be closed
// before the request's handler returns.
func (l *Links) AcceptConn(w http.ResponseWriter, r *http.Request) (*websocket.Conn, fleet.Member, error) {
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return nil, fleet.Member{}, trace.Wrap(err, "WebSocket upgrade")
	}
	conn.SetReadLimit(maxFrameBytes)
	ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	defer cancel()
	member, err := handshake{conn, l.self, l.secret}.accept(ctx)
	if err != nil {
		_ = conn.CloseNow()
		return nil, fleet.Member{}, trace.Wrap(err)
	}
	return conn, member, nil
}

// logRefused logs a refused link as a warning, or at debug level if the two hosts
// dialled each other at the same time, which is normal.
func (l *Links) logRefused(from string, err error) {
	if trace.IsAlreadyExists(err) {
		l.log.Debug("peer: link refused", "from", from, "error", err)
		return
	}
	l.log.Warn("peer: link refused", "from", from, "error", err)
}

// addLink makes a new link the current one to its peer. It refuses a link to an
// older incarnation of the peer. If both hosts dialled each other, the link of the
// host with the lower ID stays as long as frames arrive on it. In all other cases
// the new link replaces the old.
func (l *Links) addLink(ln *link) (*link, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ln.peer.Host == l.self.Host {
		return nil, trace.BadParameter("peer has this host's own name")
	}
	if l.ctx.Err() != nil {
		return nil, trace.Wrap(l.ctx.Err())
	}
	old := l.links[ln.peer.Host]
	if old != nil && old.outranks(ln) {
		return nil, trace.AlreadyExists("link to %v exists", ln.peer)
	}
	if old != nil {
		old.stop()
	}
	l.links[ln.peer.Host] = ln
	delete(l.backoffs, ln.peer.PeerAddress)
	ln.start(l.ctx)
	return ln, nil
}

// outranks reports whether the link is kept in favour of another to the same peer.
func (ln *link) outranks(other *link) bool {
	if ln.peer.Incarnation != other.peer.Incarnation {
		return ln.peer.Incarnation > other.peer.Incarnation
	}
	fresh := ln.sinceLastReceived() < 2*heartbeatInterval
	return fresh && ln.dialler() < other.dialler()
}

// removeLink removes a closed link.
func (l *Links) removeLink(ln *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links[ln.peer.Host] == ln {
		delete(l.links, ln.peer.Host)
	}
	l.wakeRun()
}

func (l *Links) wakeRun() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Self returns this host as a member.
func (l *Links) Self() fleet.Member { return l.self }

// Handle registers the handler of a kind. It must be called before Run.
func (l *Links) Handle(kind Kind, handler Handler) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handlers[kind] = handler
}

func (l *Links) handle(ctx context.Context, from fleet.Member, kind Kind, body []byte) (any, error) {
	l.mu.Lock()
	handler := l.handlers[kind]
	l.mu.Unlock()
	if handler == nil {
		return nil, trace.NotFound("kind %q is unknown", kind)
	}
	return handler(ctx, from, body)
}

// Call sends a request to a peer and decodes the result into response. It dials
// the peer if there is no link.
func (l *Links) Call(ctx context.Context, to fleet.HostID, kind Kind, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, defaultCallTimeout)
	defer cancel()
	body, err := Encode(request)
	if err != nil {
		return trace.Wrap(ErrNotSent, err.Error())
	}
	ln, err := l.linkTo(ctx, to)
	if err != nil {
		return trace.Wrap(ErrNotSent, err.Error())
	}
	responseBody, err := ln.call(ctx, kind, body)
	if err != nil || response == nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(Decode(responseBody, response))
}

// Notify sends a one-way message over an open link.
func (l *Links) Notify(to fleet.HostID, kind Kind, message any) error {
	body, err := Encode(message)
	if err != nil {
		return trace.Wrap(ErrNotSent, err.Error())
	}
	ln := l.link(to)
	if ln == nil {
		return trace.Wrap(ErrNotSent)
	}
	return trace.Wrap(ln.send(notice{kind, body}, nil))
}

// Peers returns the peers with an open link, ordered by host.
func (l *Links) Peers() []Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	peers := make([]Peer, 0, len(l.links))
	for _, ln := range l.links {
		ln.mu.Lock()
		peers = append(peers, Peer{Member: ln.peer, LastReceived: ln.lastReceived})
		ln.mu.Unlock()
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Host, b.Host) })
	return peers
}

// Counts returns the traffic of this host's links since the host started.
func (l *Links) Counts() Counts { return l.count.counts() }

func (l *Links) link(host fleet.HostID) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.links[host]
}
