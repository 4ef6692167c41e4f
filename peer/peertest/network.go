// Package peertest joins meshes in memory, with the faults that real networks
// have. It uses the time package only, so that it runs in virtual time inside
// a testing/synctest bubble.
package peertest

import (
	"math/rand/v2"
	"sync"
	"time"

	"hawthornway/fleet"
	"hawthornway/peer"
)

// The times after which a real mesh closes a silent link and dials anew.
const (
	silenceDeadline = 3 * time.Second
	redialAfter     = time.Second
)

// Network is a set of meshes in memory. All links are there from the start.
type Network struct {
	mu       sync.Mutex
	rng      *rand.Rand
	nodes    map[fleet.HostID]*Mesh
	wires    map[wire]*wireState
	minDelay time.Duration
	maxDelay time.Duration
	counts   map[peer.Kind]Count
	lost     map[peer.Kind]bool
}

// Count is the traffic of one kind of message.
type Count struct {
	Messages int
	Bytes    int
}

// wire is one direction of a link.
type wire struct {
	from, to fleet.HostID
}

type wireState struct {
	cut bool
	// deadSince is when frames began to be lost; zero for a working wire.
	deadSince time.Time
	// silentUntil is when a silent link has been replaced by a new one.
	silentUntil time.Time
	// lastArrival keeps frames in order.
	lastArrival time.Time
}

// NewNetwork returns a new Network whose random choices follow the seed.
func NewNetwork(seed uint64) *Network {
	return &Network{
		rng:    rand.New(rand.NewPCG(seed, 1)),
		nodes:  map[fleet.HostID]*Mesh{},
		wires:  map[wire]*wireState{},
		counts: map[peer.Kind]Count{},
		lost:   map[peer.Kind]bool{},
	}
}

// Join returns the mesh of a new member. A mesh with the same host that joined
// earlier can no longer be reached.
func (n *Network) Join(self fleet.Member) *Mesh {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := newMesh(n, self)
	n.nodes[self.Host] = m
	return m
}

// SetDelay sets the range of the time that a message takes.
func (n *Network) SetDelay(least, most time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.minDelay, n.maxDelay = least, most
}

// CutOneWay loses all messages from one host to another until Heal.
func (n *Network) CutOneWay(from, to fleet.HostID) {
	n.mu.Lock()
	w := n.wire(from, to)
	w.cut = true
	if w.deadSince.IsZero() {
		w.deadSince = time.Now()
	}
	n.mu.Unlock()
	n.breakLater(from, to)
}

// Cut loses all messages between two hosts until Heal.
func (n *Network) Cut(a, b fleet.HostID) {
	n.CutOneWay(a, b)
	n.CutOneWay(b, a)
}

// Heal ends a cut between two hosts.
func (n *Network) Heal(a, b fleet.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range []*wireState{n.wire(a, b), n.wire(b, a)} {
		w.cut = false
		w.deadSince = time.Time{}
		w.silentUntil = time.Time{}
	}
}

// HealAll ends all cuts and silences.
func (n *Network) HealAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range n.wires {
		w.cut = false
		w.deadSince = time.Time{}
		w.silentUntil = time.Time{}
	}
}

// Silence loses all messages on the present link between two hosts. A new link
// takes its place after the silence was noticed.
func (n *Network) Silence(a, b fleet.HostID) {
	n.mu.Lock()
	now := time.Now()
	for _, w := range []*wireState{n.wire(a, b), n.wire(b, a)} {
		w.silentUntil = now.Add(silenceDeadline + redialAfter)
		if w.deadSince.IsZero() {
			w.deadSince = now
		}
	}
	n.mu.Unlock()
	n.breakLater(a, b)
}

// Lose loses all messages of some kinds, and the answers to them, from now on.
func (n *Network) Lose(kinds ...peer.Kind) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, kind := range kinds {
		n.lost[kind] = true
	}
}

// Pause stops a host: what arrives is held until Thaw.
func (n *Network) Pause(host fleet.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if m := n.nodes[host]; m != nil && m.frozenSince.IsZero() {
		m.frozenSince = time.Now()
	}
}

// Resume lets a frozen host go on: it gets all messages that were held.
func (n *Network) Resume(host fleet.HostID) {
	n.mu.Lock()
	m := n.nodes[host]
	if m == nil {
		n.mu.Unlock()
		return
	}
	held := m.held
	m.held = nil
	m.frozenSince = time.Time{}
	n.mu.Unlock()
	for i, deliver := range held {
		time.AfterFunc(time.Duration(i+1), deliver)
	}
}

// Kill ends a host for good. Its links close at once.
func (n *Network) Kill(host fleet.HostID) {
	n.mu.Lock()
	m := n.nodes[host]
	if m != nil {
		m.killed = true
		m.held = nil
	}
	n.mu.Unlock()
	if m != nil {
		n.breakCalls(func(c *call) bool { return c.to == m || c.from == m })
	}
}

// Counts returns the traffic so far by kind.
func (n *Network) Counts() map[peer.Kind]Count {
	n.mu.Lock()
	defer n.mu.Unlock()
	counts := make(map[peer.Kind]Count, len(n.counts))
	for kind, count := range n.counts {
		counts[kind] = count
	}
	return counts
}

func (n *Network) wire(from, to fleet.HostID) *wireState {
	key := wire{from, to}
	if n.wires[key] == nil {
		n.wires[key] = &wireState{}
	}
	return n.wires[key]
}

// loses reports whether a wire loses a frame sent now.
func (w *wireState) loses(now time.Time) bool {
	return w.cut || now.Before(w.silentUntil)
}

// refresh ends a silence whose time is over.
func (w *wireState) refresh(now time.Time) {
	if !w.loses(now) {
		w.deadSince = time.Time{}
	}
}

// live reports whether the link between two meshes is taken for live. A link is
// closed when either direction or either host was silent for the deadline.
func (n *Network) live(a, b *Mesh, now time.Time) bool {
	if a.killed || b.killed || n.nodes[b.self.Host] != b {
		return false
	}
	return now.Sub(n.quietSince(a, b, now)) < silenceDeadline
}

// quietSince returns the time of the last frame that passed both ways.
func (n *Network) quietSince(a, b *Mesh, now time.Time) time.Time {
	quiet := now
	for _, w := range []*wireState{n.wire(a.self.Host, b.self.Host), n.wire(b.self.Host, a.self.Host)} {
		w.refresh(now)
		quiet = earlier(quiet, w.deadSince)
	}
	quiet = earlier(quiet, a.frozenSince)
	return earlier(quiet, b.frozenSince)
}

func earlier(a, b time.Time) time.Time {
	if !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// send passes a frame on, or loses it. It reports whether the link was live.
func (n *Network) send(from, to *Mesh, kind peer.Kind, size int, deliver func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if !n.live(from, to, now) {
		return false
	}
	count := n.counts[kind]
	n.counts[kind] = Count{Messages: count.Messages + 1, Bytes: count.Bytes + size}
	w := n.wire(from.self.Host, to.self.Host)
	if w.loses(now) || n.lost[kind] {
		return true
	}
	arrival := now.Add(n.delay())
	if !arrival.After(w.lastArrival) {
		arrival = w.lastArrival.Add(1)
	}
	w.lastArrival = arrival
	time.AfterFunc(arrival.Sub(now), func() { n.arrive(to, deliver) })
	return true
}

func (n *Network) delay() time.Duration {
	if n.maxDelay <= n.minDelay {
		return n.minDelay
	}
	return n.minDelay + time.Duration(n.rng.Int64N(int64(n.maxDelay-n.minDelay)))
}

// arrive runs a delivery, or holds it while the host is frozen.
func (n *Network) arrive(to *Mesh, deliver func()) {
	n.mu.Lock()
	if to.killed {
		n.mu.Unlock()
		return
	}
	if !to.frozenSince.IsZero() {
		to.held = append(to.held, deliver)
		n.mu.Unlock()
		return
	}
	n.mu.Unlock()
	deliver()
}

// breakLater ends the calls between two hosts if their link is still silent
// after the deadline.
func (n *Network) breakLater(a, b fleet.HostID) {
	time.AfterFunc(silenceDeadline, func() {
		n.breakCalls(func(c *call) bool {
			between := c.joins(a, b) || c.joins(b, a)
			return between && !n.live(c.from, c.to, time.Now())
		})
	})
}

func (n *Network) breakCalls(broken func(*call) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.nodes {
		for c := range m.calls {
			if broken(c) {
				c.end(answer{err: peer.ErrUnanswered})
			}
		}
	}
}
