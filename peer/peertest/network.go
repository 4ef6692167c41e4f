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
	silenceTimeout = 3 * time.Second
	redialDelay    = time.Second
)

// Network is a set of meshes in memory. All links are there from the start.
type Network struct {
	mu           sync.Mutex
	rng          *rand.Rand
	meshes       map[fleet.HostID]*Mesh
	directions   map[direction]*directionState
	minDelay     time.Duration
	maxDelay     time.Duration
	counts       map[peer.Kind]Count
	droppedKinds map[peer.Kind]bool
}

// Count is the traffic of one kind of message.
type Count struct {
	Messages int
	Bytes    int
}

// direction is one direction of a link.
type direction struct {
	from, to fleet.HostID
}

type directionState struct {
	cut bool
	// lossSince is when frames began to be lost; zero for a working wire.
	lossSince time.Time
	// silenceUntil is when a silent link has been replaced by a new one.
	silenceUntil time.Time
	// lastArrival keeps frames in order.
	lastArrival time.Time
}

// NewNetwork returns a new Network whose random choices follow the seed.
func NewNetwork(seed uint64) *Network {
	return &Network{
		rng:          rand.New(rand.NewPCG(seed, 1)),
		meshes:       map[fleet.HostID]*Mesh{},
		directions:   map[direction]*directionState{},
		counts:       map[peer.Kind]Count{},
		droppedKinds: map[peer.Kind]bool{},
	}
}

// Join returns the mesh of a new member. A mesh with the same host that joined
// earlier can no longer be reached.
func (n *Network) Join(self fleet.Member) *Mesh {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := newMesh(n, self)
	n.meshes[self.Host] = m
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
	w := n.direction(from, to)
	w.cut = true
	if w.lossSince.IsZero() {
		w.lossSince = time.Now()
	}
	n.mu.Unlock()
	n.failCallsAfterSilence(from, to)
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
	for _, w := range []*directionState{n.direction(a, b), n.direction(b, a)} {
		w.cut = false
		w.lossSince = time.Time{}
		w.silenceUntil = time.Time{}
	}
}

// HealAll ends all cuts and silences.
func (n *Network) HealAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range n.directions {
		w.cut = false
		w.lossSince = time.Time{}
		w.silenceUntil = time.Time{}
	}
}

// Silence loses all messages on the present link between two hosts. A new link
// takes its place after the silence was noticed.
func (n *Network) Silence(a, b fleet.HostID) {
	n.mu.Lock()
	now := time.Now()
	for _, w := range []*directionState{n.direction(a, b), n.direction(b, a)} {
		w.silenceUntil = now.Add(silenceTimeout + redialDelay)
		if w.lossSince.IsZero() {
			w.lossSince = now
		}
	}
	n.mu.Unlock()
	n.failCallsAfterSilence(a, b)
}

// Lose loses all messages of some kinds, and the answers to them, from now on.
func (n *Network) Lose(kinds ...peer.Kind) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, kind := range kinds {
		n.droppedKinds[kind] = true
	}
}

// Freeze stops a host: what arrives is held until Thaw.
func (n *Network) Freeze(host fleet.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if m := n.meshes[host]; m != nil && m.pausedSince.IsZero() {
		m.pausedSince = time.Now()
	}
}

// Thaw lets a frozen host go on: it gets all messages that were held.
func (n *Network) Thaw(host fleet.HostID) {
	n.mu.Lock()
	m := n.meshes[host]
	if m == nil {
		n.mu.Unlock()
		return
	}
	pending := m.pending
	m.pending = nil
	m.pausedSince = time.Time{}
	n.mu.Unlock()
	for i, deliver := range pending {
		time.AfterFunc(time.Duration(i+1), deliver)
	}
}

// Kill ends a host for good. Its links close at once.
func (n *Network) Kill(host fleet.HostID) {
	n.mu.Lock()
	m := n.meshes[host]
	if m != nil {
		m.killed = true
		m.pending = nil
	}
	n.mu.Unlock()
	if m != nil {
		n.failCalls(func(c *call) bool { return c.to == m || c.from == m })
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

func (n *Network) direction(from, to fleet.HostID) *directionState {
	key := direction{from, to}
	if n.directions[key] == nil {
		n.directions[key] = &directionState{}
	}
	return n.directions[key]
}

// drops reports whether a wire loses a frame sent now.
func (w *directionState) drops(now time.Time) bool {
	return w.cut || now.Before(w.silenceUntil)
}

// refresh ends a silence whose time is over.
func (w *directionState) refresh(now time.Time) {
	if !w.drops(now) {
		w.lossSince = time.Time{}
	}
}

// isLive reports whether the link between two meshes is taken for live. A link is
// closed when either direction or either host was silent for the deadline.
func (n *Network) isLive(a, b *Mesh, now time.Time) bool {
	if a.killed || b.killed || n.meshes[b.self.Host] != b {
		return false
	}
	return now.Sub(n.lastReceived(a, b, now)) < silenceTimeout
}

// lastReceived returns the time of the last frame that passed both ways.
func (n *Network) lastReceived(a, b *Mesh, now time.Time) time.Time {
	oldest := now
	for _, w := range []*directionState{n.direction(a.self.Host, b.self.Host), n.direction(b.self.Host, a.self.Host)} {
		w.refresh(now)
		oldest = earlier(oldest, w.lossSince)
	}
	oldest = earlier(oldest, a.pausedSince)
	return earlier(oldest, b.pausedSince)
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
	if !n.isLive(from, to, now) {
		return false
	}
	count := n.counts[kind]
	n.counts[kind] = Count{Messages: count.Messages + 1, Bytes: count.Bytes + size}
	w := n.direction(from.self.Host, to.self.Host)
	if w.drops(now) || n.droppedKinds[kind] {
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
	if !to.pausedSince.IsZero() {
		to.pending = append(to.pending, deliver)
		n.mu.Unlock()
		return
	}
	n.mu.Unlock()
	deliver()
}

// failCallsAfterSilence ends the calls between two hosts if their link is still silent
// after the deadline.
func (n *Network) failCallsAfterSilence(a, b fleet.HostID) {
	time.AfterFunc(silenceTimeout, func() {
		n.failCalls(func(c *call) bool {
			between := c.isBetween(a, b) || c.isBetween(b, a)
			return between && !n.isLive(c.from, c.to, time.Now())
		})
	})
}

func (n *Network) failCalls(broken func(*call) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.meshes {
		for c := range m.calls {
			if broken(c) {
				c.complete(answer{err: peer.ErrUnanswered})
			}
		}
	}
}
