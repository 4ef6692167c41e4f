package peertest

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"hawthornway/fleet"
	"hawthornway/peer"
)

// Mesh is one host's end of a Network. It implements peer.Mesh.
type Mesh struct {
	network *Network
	self    fleet.Member

	handlersMu sync.Mutex
	handlers   map[peer.Kind]peer.Handler
	peers      []fleet.Member

	// These are guarded by the network's lock.
	killed      bool
	frozenSince time.Time
	held        []func()
	calls       map[*call]bool
}

type call struct {
	from, to *Mesh
	answered chan answer
}

type answer struct {
	body []byte
	err  error
}

func newMesh(network *Network, self fleet.Member) *Mesh {
	return &Mesh{
		network:  network,
		self:     self,
		handlers: map[peer.Kind]peer.Handler{},
		calls:    map[*call]bool{},
	}
}

// Self returns this host's own membership.
func (m *Mesh) Self() fleet.Member { return m.self }

// Handle registers the handler of a kind.
func (m *Mesh) Handle(kind peer.Kind, handler peer.Handler) {
	m.handlersMu.Lock()
	defer m.handlersMu.Unlock()
	m.handlers[kind] = handler
}

// SetPeers notes the members; all links are there without it.
func (m *Mesh) SetPeers(members []fleet.Member) {
	m.handlersMu.Lock()
	defer m.handlersMu.Unlock()
	m.peers = slices.Clone(members)
}

// Wanted returns the members that SetPeers was given last.
func (m *Mesh) Wanted() []fleet.Member {
	m.handlersMu.Lock()
	defer m.handlersMu.Unlock()
	return slices.Clone(m.peers)
}

// Call sends a request and decodes its answer into response.
func (m *Mesh) Call(ctx context.Context, to fleet.HostID, kind peer.Kind, request, response any) error {
	body, err := peer.Encode(request)
	if err != nil {
		return trace.Wrap(peer.ErrNotSent, err.Error())
	}
	c, err := m.begin(to)
	if err != nil {
		return trace.Wrap(err)
	}
	defer m.finish(c)
	sent := m.network.send(m, c.to, kind, len(body), func() { c.to.serve(ctx, c, kind, body) })
	if !sent {
		return trace.Wrap(peer.ErrNotSent)
	}
	return trace.Wrap(c.wait(ctx, response))
}

// Notify sends a one-way message.
func (m *Mesh) Notify(to fleet.HostID, kind peer.Kind, message any) error {
	body, err := peer.Encode(message)
	if err != nil {
		return trace.Wrap(peer.ErrNotSent, err.Error())
	}
	node := m.network.node(to)
	if node == nil {
		return trace.Wrap(peer.ErrNotSent)
	}
	deliver := func() { _, _ = node.handle(context.Background(), m.self, kind, body) }
	if !m.network.send(m, node, kind, len(body), deliver) {
		return trace.Wrap(peer.ErrNotSent)
	}
	return nil
}

// Peers returns the peers with a live link, ordered by host.
func (m *Mesh) Peers() []peer.Peer {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	now := time.Now()
	var peers []peer.Peer
	for _, node := range m.network.nodes {
		if node == m || !m.network.live(m, node, now) {
			continue
		}
		heard := m.network.quietSince(m, node, now)
		peers = append(peers, peer.Peer{Member: node.self, LastReceived: heard})
	}
	slices.SortFunc(peers, func(a, b peer.Peer) int { return cmp.Compare(a.Host, b.Host) })
	return peers
}

func (n *Network) node(host fleet.HostID) *Mesh {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[host]
}

func (m *Mesh) begin(to fleet.HostID) (*call, error) {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	node := m.network.nodes[to]
	if node == nil || node.killed {
		return nil, peer.ErrNotSent
	}
	c := &call{from: m, to: node, answered: make(chan answer, 1)}
	m.calls[c] = true
	return c, nil
}

func (m *Mesh) finish(c *call) {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	delete(m.calls, c)
}

// serve runs the handler of a request and sends the answer back.
func (m *Mesh) serve(ctx context.Context, c *call, kind peer.Kind, body []byte) {
	ctx = context.WithoutCancel(ctx)
	result, err := m.handle(ctx, c.from.self, kind, body)
	a := answer{err: err}
	if err != nil {
		a.err = &peer.RemoteError{Host: m.self.Host, Kind: kind, Message: trace.UserMessage(err)}
	} else {
		a.body, a.err = peer.Encode(result)
	}
	m.network.send(m, c.from, kind, len(a.body), func() { c.end(a) })
}

func (m *Mesh) handle(ctx context.Context, from fleet.Member, kind peer.Kind, body []byte) (any, error) {
	m.handlersMu.Lock()
	handler := m.handlers[kind]
	m.handlersMu.Unlock()
	if handler == nil {
		return nil, trace.NotFound("kind %q is unknown", kind)
	}
	return handler(ctx, from, body)
}

func (c *call) joins(from, to fleet.HostID) bool {
	return c.from.self.Host == from && c.to.self.Host == to
}

// end gives the call its answer; a second one is dropped.
func (c *call) end(a answer) {
	select {
	case c.answered <- a:
	default:
	}
}

func (c *call) wait(ctx context.Context, response any) error {
	select {
	case a := <-c.answered:
		if a.err != nil || response == nil {
			return a.err
		}
		return peer.Decode(a.body, response)
	case <-ctx.Done():
		return peer.ErrUnanswered
	}
}
