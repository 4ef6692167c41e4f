package gate

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestSlots(t *testing.T) {
	cases := []struct {
		name              string
		load              PoolLoad
		ownRunning, hosts int
		want              int
	}{
		{"no report yet", PoolLoad{}, 0, 9, 1},
		{"one host may use all idle engines", PoolLoad{Slots: 90}, 0, 9, 90},
		{"free slots add to the host's own", PoolLoad{Slots: 90, Running: 60}, 20, 9, 50},
		{"a host keeps its slots at full engines", PoolLoad{Slots: 90, Running: 90}, 40, 9, 40},
		{"a host without requests keeps its equal share", PoolLoad{Slots: 90, Running: 90}, 0, 9, 10},
		{"a host gives up its part of the queue", PoolLoad{Slots: 90, Running: 90, Queued: 30}, 60, 9, 45},
		{"a host keeps its equal share of a long queue", PoolLoad{Slots: 90, Running: 90, Queued: 300}, 12, 9, 10},
	}
	for _, tc := range cases {
		must.EqOp(t, tc.want, Slots(tc.load, tc.ownRunning, tc.hosts), must.Sprint(tc.name))
	}
}
