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

	mu       sync.Mutex
	handlers map[peer.Kind]peer.Handler
	peers    []fleet.Member

	// The following fields are guarded by the network's lock.
	killed      bool
	pausedSince time.Time
	pending     []func()
	calls       map[*call]bool
}

type call struct {
	from, to *Mesh
	result   chan response
}

type response struct {
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

// Self returns this host as a member.
func (m *Mesh) Self() fleet.Member { return m.self }

// Handle registers the handler of a kind.
func (m *Mesh) Handle(kind peer.Kind, handler peer.Handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handlers[kind] = handler
}

// SetPeers records the members. It has no other effect, since a Network links all
// meshes.
func (m *Mesh) SetPeers(members []fleet.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peers = slices.Clone(members)
}

// LastPeers returns the members of the last call of SetPeers.
func (m *Mesh) LastPeers() []fleet.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.peers)
}

// Call sends a request and decodes the result into response.
func (m *Mesh) Call(ctx context.Context, to fleet.HostID, kind peer.Kind, request, response any) error {
	body, err := peer.Encode(request)
	if err != nil {
		return trace.Wrap(peer.ErrNotSent, err.Error())
	}
	c, err := m.startCall(to)
	if err != nil {
		return trace.Wrap(err)
	}
	defer m.endCall(c)
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
	remote := m.network.meshOf(to)
	if remote == nil {
		return trace.Wrap(peer.ErrNotSent)
	}
	deliver := func() { _, _ = remote.handle(context.Background(), m.self, kind, body) }
	if !m.network.send(m, remote, kind, len(body), deliver) {
		return trace.Wrap(peer.ErrNotSent)
	}
	return nil
}

// Peers returns the peers with an open link, ordered by host.
func (m *Mesh) Peers() []peer.Peer {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	now := time.Now()
	var peers []peer.Peer
	for _, remote := range m.network.meshes {
		if remote == m || !m.network.isLive(m, remote, now) {
			continue
		}
		received := m.network.lastReceived(m, remote, now)
		peers = append(peers, peer.Peer{Member: remote.self, LastReceived: received})
	}
	slices.SortFunc(peers, func(a, b peer.Peer) int { return cmp.Compare(a.Host, b.Host) })
	return peers
}

func (n *Network) meshOf(host fleet.HostID) *Mesh {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.meshes[host]
}

func (m *Mesh) startCall(to fleet.HostID) (*call, error) {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	remote := m.network.meshes[to]
	if remote == nil || remote.killed {
		return nil, peer.ErrNotSent
	}
	c := &call{from: m, to: remote, result: make(chan response, 1)}
	m.calls[c] = true
	return c, nil
}

func (m *Mesh) endCall(c *call) {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	delete(m.calls, c)
}

// serve runs the handler of a request and sends its response.
func (m *Mesh) serve(ctx context.Context, c *call, kind peer.Kind, body []byte) {
	ctx = context.WithoutCancel(ctx)
	result, err := m.handle(ctx, c.from.self, kind, body)
	r := response{err: err}
	if err != nil {
		r.err = &peer.RemoteError{Host: m.self.Host, Kind: kind, Message: trace.UserMessage(err)}
	} else {
		r.body, r.err = peer.Encode(result)
	}
	m.network.send(m, c.from, kind, len(r.body), func() { c.complete(r) })
}

func (m *Mesh) handle(ctx context.Context, from fleet.Member, kind peer.Kind, body []byte) (any, error) {
	m.mu.Lock()
	handler := m.handlers[kind]
	m.mu.Unlock()
	if handler == nil {
		return nil, trace.NotFound("kind %q is unknown", kind)
	}
	return handler(ctx, from, body)
}

func (c *call) isBetween(from, to fleet.HostID) bool {
	return c.from.self.Host == from && c.to.self.Host == to
}

// complete passes a response to the call. Further responses are dropped.
func (c *call) complete(r response) {
	select {
	case c.result <- r:
	default:
	}
}

func (c *call) wait(ctx context.Context, response any) error {
	select {
	case r := <-c.result:
		if r.err != nil || response == nil {
			return r.err
		}
		return peer.Decode(r.body, response)
	case <-ctx.Done():
		return peer.ErrUnanswered
	}
}
