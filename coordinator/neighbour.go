package coordinator

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"hawthornway/election"
	"hawthornway/fleet"
	"hawthornway/peer"
	"hawthornway/target"
)

// A host normally learns of coordinators from the store. While the store refuses its
// requests, it asks its neighbours instead: a few other hosts that the last
// coordinator named.
const (
	// neighbourCount is the number of neighbours of a host. If the store refuses a
	// third of all hosts, it refuses all four neighbours of one host in 80.
	neighbourCount = 4
	// neighbourInterval is the interval at which hosts are sent their neighbours, which
	// change as hosts join and leave.
	neighbourInterval = 3 * time.Second
	// minNeighbourInterval is that interval while hosts join or leave.
	minNeighbourInterval = 500 * time.Millisecond
	// searchDelay is the time without a coordinator after which neighbours are asked. The
	// store normally shows a new coordinator sooner.
	searchDelay = 500 * time.Millisecond
	// neighbourTimeout limits a call to a neighbour, including opening the link.
	neighbourTimeout = 300 * time.Millisecond
)

// wireMember identifies a host and how to connect to it.
type wireMember struct {
	Host        fleet.HostID      `cbor:"host"`
	Incarnation fleet.Incarnation `cbor:"incarnation"`
	Address     string            `cbor:"address"`
}

// wireLeader is the coordinator that the answering host is connected to.
type wireLeader struct {
	wireMember
	Fence target.Fence `cbor:"fence"`
}

// sentNeighbours is when a host was last sent its neighbours, and how many other hosts there
// were then.
type sentNeighbours struct {
	at    time.Time
	peers int
}

// dueNeighbours returns a host's neighbours if neighbourInterval has passed since
// they were last sent, or if hosts have joined or left.
func (c *Coordinator) dueNeighbours(host fleet.HostID, now time.Time) []wireMember {
	peers := c.mesh.Peers()
	last := c.neighboursSent[host]
	if now.Sub(last.at) < neighbourInterval && (last.peers == len(peers) || now.Sub(last.at) < minNeighbourInterval) {
		return nil
	}
	c.neighboursSent[host] = sentNeighbours{now, len(peers)}
	var wire []wireMember
	for _, m := range chooseNeighbours(host, peers) {
		wire = append(wire, wireMember{m.Host, m.Incarnation, m.PeerAddress})
	}
	return wire
}

// chooseNeighbours returns the peers with the lowest hashes of the two host names, so
// that the neighbours differ between hosts and no peer is asked by all.
func chooseNeighbours(host fleet.HostID, peers []peer.Peer) []fleet.Member {
	var members []fleet.Member
	for _, p := range peers {
		if p.Host != host {
			members = append(members, p.Member)
		}
	}
	rank := func(m fleet.Member) uint64 { return xxhash.Sum64String(string(host) + "\x00" + string(m.Host)) }
	slices.SortFunc(members, func(a, b fleet.Member) int { return cmp.Compare(rank(a), rank(b)) })
	return members[:min(neighbourCount, len(members))]
}

// leaderSearch is the state of a host's search for a coordinator. It is guarded by
// the client's lock.
type leaderSearch struct {
	neighbours []fleet.Member
	// lostAt is when the coordinator stopped answering, or zero while it answers.
	lostAt   time.Time
	askCount int
}

// markLost records that the coordinator didn't answer.
func (s *leaderSearch) markLost(now time.Time) {
	if s.lostAt.IsZero() {
		s.lostAt = now
	}
}

// nextNeighbour returns the next neighbour in turn if the search is due.
func (s *leaderSearch) nextNeighbour(now time.Time) (fleet.Member, bool) {
	if s.lostAt.IsZero() || now.Sub(s.lostAt) < searchDelay || len(s.neighbours) == 0 {
		return fleet.Member{}, false
	}
	s.askCount++
	return s.neighbours[s.askCount%len(s.neighbours)], true
}

// Neighbours returns the hosts that the last coordinator named, and its own host.
func (c *Client) Neighbours() []fleet.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	neighbours := slices.Clone(c.search.neighbours)
	leader := c.peerMember(c.leader)
	known := slices.ContainsFunc(neighbours, func(m fleet.Member) bool { return m.Host == leader.Host })
	if leader.Host != "" && leader.Host != c.mesh.Self().Host && !known {
		neighbours = append(neighbours, leader)
	}
	return neighbours
}

// askNeighbour asks a neighbour for the coordinator if the known one has not answered
// for searchDelay.
func (c *Client) askNeighbour(ctx context.Context) {
	c.mu.Lock()
	neighbour, ok := c.search.nextNeighbour(c.clock.Now())
	known := c.leader
	c.mu.Unlock()
	if !ok {
		return
	}
	c.mesh.SetPeers([]fleet.Member{c.peerMember(known), neighbour})
	ctx, cancel := context.WithTimeout(ctx, neighbourTimeout)
	defer cancel()
	var wire wireLeader
	if err := c.mesh.Call(ctx, neighbour.Host, kindLeader, struct{}{}, &wire); err != nil {
		c.log.Debug("coordinator: neighbour returned no coordinator", "neighbour", neighbour.Host, "error", err)
		return
	}
	if wire.Fence <= known.Fence {
		return
	}
	c.log.Info("coordinator: learned a new coordinator from a neighbour", "neighbour", neighbour.Host, "coordinator", wire.Host, "fence", wire.Fence)
	c.leaders.Learn(election.Leader{Host: wire.Host, Incarnation: wire.Incarnation, Address: wire.Address, Fence: wire.Fence})
	c.followCoordinator()
}

// handleLeader answers a host that searches for the coordinator with the one that this
// host is connected to.
func (c *Client) handleLeader(context.Context, fleet.Member, []byte) (any, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader.Host == "" || !c.search.lostAt.IsZero() {
		return nil, trace.NotFound("no coordinator is reached")
	}
	return wireLeader{wireMember{c.leader.Host, c.leader.Incarnation, c.leader.Address}, c.leader.Fence}, nil
}
