package gateway

import (
	"testing"

	"github.com/shoenig/test/must"

	"hawthornway/platform"
)

// Load: all hosts of a large fleet restart, and are told of all targets. Guards against a coordinator
// whose link takes tens of seconds for that while hosts with a fast one are there.
func TestWeakHosts(t *testing.T) {
	cases := []struct {
		name string
		cpus float64
		link platform.BitRate
		want bool
	}{
		{"unknown", 0, 0, false},
		{"strong", 0.8, 200 * platform.Megabit, false},
		{"few cores", 0.12, 200 * platform.Megabit, true},
		{"slow link", 0.48, 25 * platform.Megabit, true},
		{"cores unknown, slow link", 0, 10 * platform.Megabit, true},
		{"link unknown", 0.4, 0, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			must.Eq(t, tc.want, isWeak(platform.Settings{CPUs: tc.cpus, Link: tc.link}))
		})
	}
}
