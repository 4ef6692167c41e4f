package coordinator

import (
	"log/slog"
	"testing"

	"github.com/shoenig/test/must"

	"hawthornway/fleet"
	"hawthornway/peer"
	"hawthornway/peer/peertest"
)

// All hosts are restarted in turn. The coordinator's successor must be one that has been
// restarted already, and not a weak one if that can be helped.
func TestSuccessorDuringRollingRestartWasRestartedLast(t *testing.T) {
	cases := []struct {
		name string
		// started holds when each peer was started.
		started map[fleet.HostID]fleet.Incarnation
		weak    []fleet.HostID
		want    fleet.HostID
	}{
		{"alone", nil, nil, ""},
		{"restarted last", map[fleet.HostID]fleet.Incarnation{"a": 1, "b": 90, "c": 70}, nil, "b"},
		{"restarted last is weak", map[fleet.HostID]fleet.Incarnation{"a": 1, "b": 90, "c": 70}, []fleet.HostID{"b"}, "c"},
		{"all weak", map[fleet.HostID]fleet.Incarnation{"a": 1, "b": 90}, []fleet.HostID{"a", "b"}, "b"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var peers []peer.Peer
			for host, at := range tc.started {
				peers = append(peers, peer.Peer{Member: fleet.Member{Host: host, Incarnation: at}})
			}
			weak := func(host fleet.HostID) bool {
				for _, w := range tc.weak {
					if w == host {
						return true
					}
				}
				return false
			}
			got, ok := chooseSuccessor(peers, weak)
			must.Eq(t, tc.want, got)
			must.Eq(t, tc.want != "", ok)
		})
	}
}

// The host that was started last may not have reported yet.
func TestHostWithoutReportMayBeWeak(t *testing.T) {
	c := New(WithMesh(peertest.NewNetwork(1).Join(fleet.Member{Host: "h"})), WithLogger(slog.New(slog.DiscardHandler)))
	c.hosts["strong"] = hostReport{}
	c.hosts["weak"] = hostReport{weak: true}
	must.False(t, c.mayBeWeak("strong"))
	must.True(t, c.mayBeWeak("weak"))
	must.True(t, c.mayBeWeak("new"))
}
