// Package peertest provides an in-memory network of meshes with fault injection.
// It takes time only from package time, so that it runs in virtual time inside a
// testing/synctest bubble.
package peertest

import (
	"math/rand/v2"
	"sync"
	"time"

	"hawthornway/fleet"
	"hawthornway/peer"
)

// The delays after which a real mesh closes a silent link and dials again.
const (
	silenceTimeout = 3 * time.Second
	redialDelay    = time.Second
)

// Network is a set of in-memory meshes. All of them are linked from the start.
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

// direction identifies one direction of a link.
type direction struct {
	from, to fleet.HostID
}

type directionState struct {
	cut bool
	// lossSince is when frames began to be lost. It is zero if none are lost.
	lossSince time.Time
	// silenceUntil is when a new link replaces a silent one.
	silenceUntil time.Time
	// lastArrival is the arrival time of the last frame. Later frames arrive after it.
	lastArrival time.Time
}

// NewNetwork returns a new Network whose random choices are determined by seed.
func NewNetwork(seed uint64) *Network {
	return &Network{
		rng:          rand.New(rand.NewPCG(seed, 1)),
		meshes:       map[fleet.HostID]*Mesh{},
		directions:   map[direction]*directionState{},
		counts:       map[peer.Kind]Count{},
		droppedKinds: map[peer.Kind]bool{},
	}
}

// Join adds a member and returns its mesh. An earlier mesh of the same host is no
// longer reachable.
func (n *Network) Join(self fleet.Member) *Mesh {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := newMesh(n, self)
	n.meshes[self.Host] = m
	return m
}

// SetDelay sets the range of message delays.
func (n *Network) SetDelay(minDelay, maxDelay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.minDelay, n.maxDelay = minDelay, maxDelay
}

// CutOneWay drops all messages from one host to another until Heal.
func (n *Network) CutOneWay(from, to fleet.HostID) {
	n.mu.Lock()
	d := n.direction(from, to)
	d.cut = true
	if d.lossSince.IsZero() {
		d.lossSince = time.Now()
	}
	n.mu.Unlock()
	n.failCallsAfterSilence(from, to)
}

// Cut drops all messages between two hosts until Heal.
func (n *Network) Cut(a, b fleet.HostID) {
	n.CutOneWay(a, b)
	n.CutOneWay(b, a)
}

// Heal ends a cut between two hosts.
func (n *Network) Heal(a, b fleet.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range []*directionState{n.direction(a, b), n.direction(b, a)} {
		d.cut = false
		d.lossSince = time.Time{}
		d.silenceUntil = time.Time{}
	}
}

// HealAll ends all cuts and silences.
func (n *Network) HealAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range n.directions {
		d.cut = false
		d.lossSince = time.Time{}
		d.silenceUntil = time.Time{}
	}
}

// Silence drops all messages on the current link between two hosts. Once the
// silence is detected, a new link replaces it.
func (n *Network) Silence(a, b fleet.HostID) {
	n.mu.Lock()
	now := time.Now()
	for _, d := range []*directionState{n.direction(a, b), n.direction(b, a)} {
		d.silenceUntil = now.Add(silenceTimeout + redialDelay)
		if d.lossSince.IsZero() {
			d.lossSince = now
		}
	}
	n.mu.Unlock()
	n.failCallsAfterSilence(a, b)
}

// Lose drops all further messages of the given kinds and the responses to them.
func (n *Network) Lose(kinds ...peer.Kind) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, kind := range kinds {
		n.droppedKinds[kind] = true
	}
}

// Pause pauses a host. Messages to it are queued until Resume.
func (n *Network) Pause(host fleet.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if m := n.meshes[host]; m != nil && m.pausedSince.IsZero() {
		m.pausedSince = time.Now()
	}
}

// Resume lets a paused host continue and delivers the queued messages.
func (n *Network) Resume(host fleet.HostID) {
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
		time.AfterFunc(time.Duration(i+1), deliver) // different times keep the order
	}
}

// Kill stops a host permanently. Its links close immediately.
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

// drops reports whether a frame that is sent now is lost.
func (d *directionState) drops(now time.Time) bool {
	return d.cut || now.Before(d.silenceUntil)
}

// resetLossAfterSilence resets lossSince once a silence is over.
func (d *directionState) resetLossAfterSilence(now time.Time) {
	if !d.drops(now) {
		d.lossSince = time.Time{}
	}
}

// isLive reports whether the link between two meshes is open. A link is closed when
// either direction or either host was silent for silenceTimeout.
func (n *Network) isLive(a, b *Mesh, now time.Time) bool {
	if a.killed || b.killed || n.meshes[b.self.Host] != b {
		return false
	}
	return now.Sub(n.lastReceived(a, b, now)) < silenceTimeout
}

// lastReceived returns the time until which frames passed in both directions and
// neither host was paused.
func (n *Network) lastReceived(a, b *Mesh, now time.Time) time.Time {
	oldest := now
	for _, d := range []*directionState{n.direction(a.self.Host, b.self.Host), n.direction(b.self.Host, a.self.Host)} {
		d.resetLossAfterSilence(now)
		oldest = earlier(oldest, d.lossSince)
	}
	oldest = earlier(oldest, a.pausedSince)
	return earlier(oldest, b.pausedSince)
}

// earlier returns the earlier of two times. It ignores b if it is zero.
func earlier(a, b time.Time) time.Time {
	if !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// send delivers or drops a frame. It reports whether the link was open.
func (n *Network) send(from, to *Mesh, kind peer.Kind, size int, deliver func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if !n.isLive(from, to, now) {
		return false
	}
	count := n.counts[kind]
	n.counts[kind] = Count{Messages: count.Messages + 1, Bytes: count.Bytes + size}
	d := n.direction(from.self.Host, to.self.Host)
	if d.drops(now) || n.droppedKinds[kind] {
		return true
	}
	arrival := now.Add(n.delay())
	if !arrival.After(d.lastArrival) {
		arrival = d.lastArrival.Add(1)
	}
	d.lastArrival = arrival
	time.AfterFunc(arrival.Sub(now), func() { n.arrive(to, deliver) })
	return true
}

func (n *Network) delay() time.Duration {
	if n.maxDelay <= n.minDelay {
		return n.minDelay
	}
	return n.minDelay + time.Duration(n.rng.Int64N(int64(n.maxDelay-n.minDelay)))
}

// arrive delivers a frame, or queues it while the host is paused.
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

// failCallsAfterSilence fails the calls between two hosts if their link is still
// silent after silenceTimeout.
func (n *Network) failCallsAfterSilence(a, b fleet.HostID) {
	time.AfterFunc(silenceTimeout, func() {
		n.failCalls(func(c *call) bool {
			between := c.isBetween(a, b) || c.isBetween(b, a)
			return between && !n.isLive(c.from, c.to, time.Now())
		})
	})
}

func (n *Network) failCalls(matches func(*call) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.meshes {
		for c := range m.calls {
			if matches(c) {
				c.complete(response{err: peer.ErrUnanswered})
			}
		}
	}
}
