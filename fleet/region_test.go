package fleet_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"hawthornway/fleet"
)

// Guards against sets of the same regions that differ, so that requests with the same homes would
// be counted as different ones.
func TestRegionSet(t *testing.T) {
	must.Eq(t, fleet.NewRegionSet("west", "east"), fleet.NewRegionSet("east", "west", "east"))
	must.False(t, fleet.NewRegionSet().Limited())
	must.True(t, fleet.NewRegionSet().Includes("north"))
	set := fleet.NewRegionSet("west", "east")
	must.True(t, set.Limited())
	must.True(t, set.Includes("east"))
	must.False(t, set.Includes("north"))
	must.False(t, set.Includes(""))
}
