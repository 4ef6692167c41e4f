package outdated_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/boottime"
	"hawthornway/outdated"
)

// Hosts are told of changes at random times within a second and have them in force at
// random times after that, or never. None may use its configuration once a later one has to be
// in force.
func TestTrackerAtRandom(t *testing.T) {
	const maxDelay = 3 * time.Second
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 1))
		clock := boottime.NewFakeClock(1)
		known := outdated.NewTracker[int](clock, maxDelay)
		known.Apply(1)
		type change struct {
			version           int
			at, told, inForce boottime.Instant
		}
		var changes []change
		at := clock.Now()
		for version := 2; version < 8; version++ {
			at = at.Add(time.Duration(random.Int64N(int64(2 * time.Second))))
			told := at.Add(time.Duration(random.Int64N(int64(time.Second))))
			changes = append(changes, change{version, at, told, told.Add(time.Duration(random.Int64N(int64(4 * time.Second))))})
		}
		version := 1
		for range 400 {
			clock.Advance(50 * time.Millisecond)
			now := clock.Now()
			due := 1
			for _, c := range changes {
				if !now.Before(c.told) {
					known.Learn(c.version)
				}
				if !now.Before(c.inForce) && c.version > version {
					version = c.version
					known.Apply(version)
				}
				if now.Sub(c.at) > maxDelay {
					due = c.version
				}
			}
			if version < due {
				must.Eq(t, outdated.Overdue, known.State(), must.Sprintf("seed %d, %s: version %d, due %d", seed, time.Duration(now), version, due))
			}
			if version == changes[len(changes)-1].version {
				must.Eq(t, outdated.Newest, known.State(), must.Sprintf("seed %d", seed))
			}
		}
	}
}
