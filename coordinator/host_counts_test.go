package coordinator_test

import (
	"fmt"
	"time"

	"hawthornway/coordinator"
)

// A fleet of eight hosts changes its coordinator, which has heard of two hosts so far.
func ExampleHostCounts() {
	start := time.Unix(1e9, 0)
	var counts coordinator.HostCounts
	counts.Record(8, start)
	counts.Record(1, start.Add(time.Second))
	counts.Record(2, start.Add(2*time.Second))
	for _, now := range []time.Duration{3 * time.Second, 11 * time.Second, time.Minute} {
		fmt.Println(counts.Largest(start.Add(now - 10*time.Second)))
	}
	// Output:
	// 8
	// 2
	// 2
}
