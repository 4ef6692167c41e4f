package detour_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"hawthornway/detour"
	"hawthornway/fleet"
)

// Guards against a host that takes the trouble of one target, or of some, for its own, and
// against one that doesn't notice that it is cut off from all.
func TestHostKnowsThatItIsCutOff(t *testing.T) {
	type step struct {
		address string
		detour  bool
	}
	direct := func(address string) step { return step{address, false} }
	reached := func(address string) step { return step{address, true} }
	cases := []struct {
		name  string
		steps []step
		cut   bool
	}{
		{"all is well", []step{direct("a"), direct("b")}, false},
		{"one target is out of reach", []step{direct("a"), reached("b"), reached("b"), reached("b")}, false},
		{"some are, by turns", []step{reached("b"), direct("a"), reached("c"), direct("a"), reached("b")}, false},
		{"all are", []step{direct("a"), reached("a"), reached("b")}, true},
		{"the cut ends", []step{reached("a"), reached("b"), direct("c")}, false},
		{"it comes again", []step{reached("a"), reached("b"), direct("c"), reached("a"), reached("c")}, true},
		{"connections from before go on", []step{reached("a"), {"b", false}, reached("b")}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			p := detour.NewPaths(clock)
			for _, s := range tc.steps {
				clock.Advance(10 * time.Millisecond)
				if s.detour {
					p.RecordDetour(s.address)
				} else {
					p.RecordDirect(s.address)
				}
			}
			clock.Advance(10 * time.Millisecond)
			cut := p.CutOff()
			must.Eq(t, tc.cut, cut)
		})
	}
}

// Guards against callers who wait anew for each target that can't be reached directly.
func TestHeadStartOfDirectConnections(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := detour.NewPaths(clock)
	must.Positive(t, p.HeadStart("a"))
	p.RecordDetour("a")
	must.Zero(t, p.HeadStart("a"))
	must.Positive(t, p.HeadStart("b"))
	p.RecordDetour("b")
	must.Zero(t, p.HeadStart("c")) // cut off
	p.RecordDirect("a")
	must.Positive(t, p.HeadStart("a"))
	must.Positive(t, p.HeadStart("c"))
	must.Zero(t, p.HeadStart("b"))
	clock.Advance(time.Minute)
	must.Positive(t, p.HeadStart("b"))
}

// Guards against hosts that are asked again and again although they can't help, and against
// one that takes all detours while others take none.
func TestOrderOfNeighbours(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := detour.NewPaths(clock)
	neighbours := []fleet.Member{{Host: "a"}, {Host: "b"}, {Host: "c"}}
	order := func() (hosts []fleet.HostID) {
		for _, m := range p.Order(neighbours) {
			hosts = append(hosts, m.Host)
		}
		return hosts
	}
	must.Eq(t, []fleet.HostID{"a", "b", "c"}, order())
	closed := p.Opened("a")
	must.Eq(t, []fleet.HostID{"b", "c", "a"}, order())
	p.RecordRefusal("b")
	must.Eq(t, []fleet.HostID{"c", "a", "b"}, order())
	closed()
	closed()
	must.Eq(t, []fleet.HostID{"a", "c", "b"}, order())
	clock.Advance(2 * time.Second)
	must.Eq(t, []fleet.HostID{"a", "b", "c"}, order())
}
