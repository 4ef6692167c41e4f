package catalog_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"hawthornway/catalog"
	"hawthornway/fleet"
)

// Guards against homes of a route or a team that don't bind beside those of the other.
func TestHomes(t *testing.T) {
	cases := []struct {
		route, team []fleet.RegionID
		want        fleet.RegionSet
		possible    bool
	}{
		{nil, nil, fleet.NewRegionSet(), true},
		{[]fleet.RegionID{"a"}, nil, fleet.NewRegionSet("a"), true},
		{nil, []fleet.RegionID{"b"}, fleet.NewRegionSet("b"), true},
		{[]fleet.RegionID{"a", "b"}, []fleet.RegionID{"b", "c"}, fleet.NewRegionSet("b"), true},
		{[]fleet.RegionID{"a"}, []fleet.RegionID{"b"}, "", false},
	}
	for _, c := range cases {
		got, possible := catalog.Homes(catalog.Route{Homes: c.route}, catalog.Team{Homes: c.team})
		must.Eq(t, c.possible, possible)
		must.Eq(t, c.want, got)
	}
}
