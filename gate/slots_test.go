package gate

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestSlots(t *testing.T) {
	cases := []struct {
		name       string
		work       PoolLoad
		own, hosts int
		want       int
	}{
		{"nothing known yet", PoolLoad{}, 0, 9, 1},
		{"idle engines are one host's to take", PoolLoad{Slots: 90}, 0, 9, 90},
		{"free slots add to the host's own", PoolLoad{Slots: 90, Running: 60}, 20, 9, 50},
		{"full engines leave the host what it has", PoolLoad{Slots: 90, Running: 90}, 40, 9, 40},
		{"a quiet host keeps its equal part", PoolLoad{Slots: 90, Running: 90}, 0, 9, 10},
		{"a host gives up its part of the queue", PoolLoad{Slots: 90, Running: 90, Queued: 30}, 60, 9, 45},
		{"but not its equal part", PoolLoad{Slots: 90, Running: 90, Queued: 300}, 12, 9, 10},
	}
	for _, tc := range cases {
		must.EqOp(t, tc.want, Slots(tc.work, tc.own, tc.hosts), must.Sprint(tc.name))
	}
}
