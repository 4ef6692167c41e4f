package replica

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// recordedStep is one step of a group with its effects.
type recordedStep struct {
	at      time.Time
	in      Input
	effects []Effect
}

// TestGroupReplaysExactly records the events of one host's group in a run with
// faults and replays them on a new group, which must return the same effects.
func TestGroupReplaysExactly(t *testing.T) {
	var mu sync.Mutex
	var steps []recordedStep
	var key GroupKey
	run := &faultRun{rng: rand.New(rand.NewPCG(5, 7))}
	synctest.Test(t, func(t *testing.T) {
		run.simulation = newSimulation(t, 3, run.randomConfig(), withBufferedLog(false), func(sim *simulation) {
			sim.observeStep = func(h *testHost, in Input, effects []Effect) {
				if h.member.Host != "h0" {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				steps = append(steps, recordedStep{time.Now(), in, effects})
			}
		})
		defer run.close()
		key = run.hosts[0].ownRunners()[0].key
		run.run(time.Minute)
	})
	g := NewGroup(key, run.hosts[0].member)
	must.Greater(t, 1000, len(steps))
	for _, step := range steps {
		must.Eq(t, step.effects, g.Step(step.at, step.in))
	}
}
