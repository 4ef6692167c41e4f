package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/catalog"
	"hawthornway/model"
	"hawthornway/placement"
)

func ExampleHostMemory_Use() {
	models := map[model.Name]catalog.Model{"a": {Size: 70e9}, "b": {Size: 70e9}, "c": {Size: 70e9}}
	cache := placement.HostMemory{"a", "b"}
	fmt.Println(cache.Use("a", models, 150e9))
	fmt.Println(cache.Use("c", models, 150e9))
	fmt.Println(cache.Use("c", models, 0))
	// Output:
	// [b a]
	// [b c]
	// [a b c]
}

func ExampleHostMemory_Merge() {
	cache := placement.HostMemory{"a", "b"}
	fmt.Println(cache.Merge([]model.Name{"c", "b", "a"}), cache.Merge([]model.Name{"b"}))
	// Output: [c a b] [b]
}

// A rare model was unloaded a moment ago and is asked for again. Its weights are still in
// the engine's host memory, but the unload that makes room for it evicts them, unless the
// model to unload is cached there too.
func TestReturningModelIsLoadedFromWhereTheUnloadLeavesIt(t *testing.T) {
	cases := []struct {
		name       string
		hostMemory model.Bytes
		inMemory   placement.HostMemory
		// busyRate is the rate of requests for m2.
		busyRate   float64
		wantSource placement.Source
		wantEvict  model.Name
	}{
		{"evicted by any other unload", 2 * size, placement.HostMemory{"m3", "m2"}, 0, placement.SourceMemory, "m2"},
		{"unload of a model in demand costs more", 2 * size, placement.HostMemory{"m3", "m2"}, 1, placement.SourceDisk, "m0"},
		{"used last", 2 * size, placement.HostMemory{"m2", "m3"}, 0, placement.SourceMemory, "m0"},
		{"larger cache", 3 * size, placement.HostMemory{"m3", "m2"}, 0, placement.SourceMemory, "m0"},
		{"unknown size", 0, placement.HostMemory{"m3", "m2"}, 0, placement.SourceMemory, "m0"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newState(4, 1)
			s.HostMemory = tc.hostMemory
			s.Engines[0].InMemory = tc.inMemory
			s.Engines[0].OnDisk["m3"] = true
			if tc.busyRate > 0 {
				s.Rates["m2"] = tc.busyRate
			}
			s.LoadRequests = []placement.LoadRequest{{Model: "m3", Waiting: 1, OnTime: 1, Since: now.Add(-100 * time.Millisecond)}}
			jobs := placement.Plan(s)
			must.Len(t, 1, jobs)
			must.Eq(t, tc.wantSource, jobs[0].Source)
			must.Eq(t, []model.Name{tc.wantEvict}, jobs[0].Evict)
		})
	}
}
