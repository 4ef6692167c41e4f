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

// partialMesh is a mesh in which only the hosts in answers respond. It is also the
// election of a host without access to the store, which learns of coordinators only from
// other hosts, and a ViewReceiver that ignores all views.
type partialMesh struct {
	mu      sync.Mutex
	leader  election.Leader
	answers map[fleet.HostID]func(kind peer.Kind, response any) error
}

func (*partialMesh) Self() fleet.Member             { return fleet.Member{Host: "h", Domain: "d"} }
func (*partialMesh) Handle(peer.Kind, peer.Handler) {}
func (*partialMesh) Peers() []peer.Peer             { return nil }
func (*partialMesh) SetPeers([]fleet.Member)        {}

func (*partialMesh) Notify(fleet.HostID, peer.Kind, any) error { return peer.ErrNotSent }

func (m *partialMesh) Call(_ context.Context, to fleet.HostID, kind peer.Kind, _, response any) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	answer, ok := m.answers[to]
	if !ok {
		return peer.ErrNotSent
	}
	return answer(kind, response)
}

func (m *partialMesh) Leader() (election.Leader, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leader, true
}

func (*partialMesh) Prefer(fleet.HostID) {}

func (m *partialMesh) Learn(leader election.Leader) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leader = leader
}

func (*partialMesh) StoreChanges() (int, keyvalue.Revision) { return 0, 0 }
func (*partialMesh) UpdateEvacuations(roster.Evacuations)   {}
func (*partialMesh) UpdateTargets(roster.Changes)           {}
func (*partialMesh) Digests() roster.Digests                { return roster.Digests{} }

func (*partialMesh) Lapses() int                                                         { return 0 }
func (*partialMesh) SetModels(target.ID, roster.StartID, []roster.Resident)              {}
func (*partialMesh) ConfirmCurrent(catalog.Version, keyvalue.Revision, boottime.Instant) {}

// answerAsCoordinator returns a handler that answers reports as the coordinator with
// the given fence.
func answerAsCoordinator(fence target.Fence) func(peer.Kind, any) error {
	return func(kind peer.Kind, response any) error {
		view, ok := response.(*wireView)
		if !ok {
			return &peer.RemoteError{Kind: kind}
		}
		*view = wireView{Fence: fence, Version: 1, Answer: true, Neighbours: []wireMember{{Host: "turned-away"}, {Host: "neighbour"}}}
		return nil
	}
}

// recentlyConfirmed reports whether the coordinator has recently relayed the store's
// state to a client.
func recentlyConfirmed(c *Client) bool {
	age, ok := c.RelayedStateAge()
	return ok && age < 3*time.Second
}

// If the store refuses a third of all hosts including the coordinator, the other hosts
// elect a new coordinator. The refused hosts must learn of it from a neighbour, or they
// would refuse their callers.
func TestClientLearnsNewCoordinatorFromNeighbour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mesh := &partialMesh{leader: election.Leader{Host: "first", Fence: 1}, answers: map[fleet.HostID]func(peer.Kind, any) error{"first": answerAsCoordinator(1)}}
		log := slog.New(slog.DiscardHandler)
		local := New(WithMesh(mesh), WithLogger(log))
		c := NewClient(mesh, mesh, local, mesh, func() Usage { return Usage{} }, func(target.ID, int) {}, clockwork.NewRealClock(), boottime.SystemClock{}, log)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { _ = c.Run(ctx) })
		time.Sleep(time.Second)
		must.True(t, recentlyConfirmed(c))

		mesh.mu.Lock()
		mesh.answers = map[fleet.HostID]func(peer.Kind, any) error{
			"second": answerAsCoordinator(2),
			"neighbour": func(_ peer.Kind, response any) error {
				*response.(*wireLeader) = wireLeader{wireMember{Host: "second"}, 2}
				return nil
			},
		}
		mesh.mu.Unlock()
		time.Sleep(2 * time.Second)
		must.True(t, recentlyConfirmed(c))
		time.Sleep(3 * time.Second)
		must.True(t, recentlyConfirmed(c))
		cancel()
		running.Wait()
	})
}

// Each host gets the same number of neighbours, and no host is the neighbour of too
// many others.
func TestNeighboursAreDistributed(t *testing.T) {
	var peers []peer.Peer
	for i := range 80 {
		peers = append(peers, peer.Peer{Member: fleet.Member{Host: fleet.HostID(rune('0' + i))}})
	}
	counts := map[fleet.HostID]int{}
	for _, p := range peers {
		neighbours := chooseNeighbours(p.Host, peers)
		must.SliceLen(t, neighbourCount, neighbours)
		for _, n := range neighbours {
			must.NotEq(t, p.Host, n.Host)
			counts[n.Host]++
		}
	}
	for host, n := range counts {
		must.LessEq(t, 4*neighbourCount, n, must.Sprint(host))
	}
}
