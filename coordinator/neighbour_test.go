package coordinator

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"hawthornway/boottime"
	"hawthornway/catalog"
	"hawthornway/election"
	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/peer"
	"hawthornway/roster"
	"hawthornway/target"
)

// hosts is a mesh of which some hosts answer. The store of its host is gone, so
// that it knows what it learns from others only.
type hosts struct {
	mu      sync.Mutex
	leader  election.Leader
	answers map[fleet.HostID]func(kind peer.Kind, response any) error
}

func (*hosts) Self() fleet.Member             { return fleet.Member{Host: "h", Domain: "d"} }
func (*hosts) Handle(peer.Kind, peer.Handler) {}
func (*hosts) Peers() []peer.Peer             { return nil }
func (*hosts) SetPeers([]fleet.Member)        {}

func (*hosts) Notify(fleet.HostID, peer.Kind, any) error { return peer.ErrNotSent }

func (h *hosts) Call(_ context.Context, to fleet.HostID, kind peer.Kind, _, response any) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	answer, ok := h.answers[to]
	if !ok {
		return peer.ErrNotSent
	}
	return answer(kind, response)
}

func (h *hosts) Leader() (election.Leader, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leader, true
}

func (h *hosts) Learn(leader election.Leader) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leader = leader
}

func (*hosts) UpdateTargets([]roster.Target, []target.ID, []target.ID, []roster.Bucket) {}
func (*hosts) Digests() roster.Digests                                                  { return roster.Digests{} }
func (*hosts) SetModels(target.ID, roster.Start, []roster.Resident)                     {}
func (*hosts) ConfirmCurrent(catalog.Version, keyvalue.Revision, boottime.Instant)      {}

// coordinating answers reports as the coordinator of a fence.
func coordinating(fence target.Fence) func(peer.Kind, any) error {
	return func(kind peer.Kind, response any) error {
		view, ok := response.(*wireView)
		if !ok {
			return &peer.RemoteError{Kind: kind}
		}
		*view = wireView{Fence: fence, Version: 1, Answer: true, Neighbours: []wireMember{{Host: "turned-away"}, {Host: "neighbour"}}}
		return nil
	}
}

// covered reports whether the coordinator has told a client of late what the store
// says.
func covered(c *Client) bool {
	age, ok := c.RelayedStateAge()
	return ok && age < 3*time.Second
}

// Pattern: the store turns a third of all hosts away, with the coordinator. The
// others elect the next one, and those that were turned away learn of it from a
// neighbour instead of refusing their callers.
func TestNeighbourTellsOfTheNextCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mesh := &hosts{leader: election.Leader{Host: "first", Fence: 1}, answers: map[fleet.HostID]func(peer.Kind, any) error{"first": coordinating(1)}}
		log := slog.New(slog.DiscardHandler)
		local := New(WithMesh(mesh), WithLogger(log))
		c := NewClient(mesh, mesh, local, mesh, func() Usage { return Usage{} }, func(target.ID, int) {}, clockwork.NewRealClock(), boottime.SystemClock{}, log)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { _ = c.Run(ctx) })
		time.Sleep(time.Second)
		must.True(t, covered(c))

		mesh.mu.Lock()
		mesh.answers = map[fleet.HostID]func(peer.Kind, any) error{
			"second": coordinating(2),
			"neighbour": func(_ peer.Kind, response any) error {
				*response.(*wireLeader) = wireLeader{wireMember{Host: "second"}, 2}
				return nil
			},
		}
		mesh.mu.Unlock()
		time.Sleep(2 * time.Second)
		must.True(t, covered(c))
		time.Sleep(3 * time.Second)
		must.True(t, covered(c))
		cancel()
		running.Wait()
	})
}

// Each host has few neighbours, and not the same ones as all others.
func TestNeighboursAreSpread(t *testing.T) {
	var peers []peer.Peer
	for i := range 80 {
		peers = append(peers, peer.Peer{Member: fleet.Member{Host: fleet.HostID(rune('0' + i))}})
	}
	asked := map[fleet.HostID]int{}
	for _, p := range peers {
		neighbours := chooseNeighbours(p.Host, peers)
		must.SliceLen(t, neighbourCount, neighbours)
		for _, n := range neighbours {
			must.NotEq(t, p.Host, n.Host)
			asked[n.Host]++
		}
	}
	for host, n := range asked {
		must.LessEq(t, 4*neighbourCount, n, must.Sprint(host))
	}
}
