package replica

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// step is one step of a group with what came of it.
type step struct {
	at      time.Time
	in      Input
	effects []Effect
}

// TestGroupReplaysExactly feeds the facts that a host's group was given in a run
// with faults to a new group, which must want the same to be done.
func TestGroupReplaysExactly(t *testing.T) {
	var mu sync.Mutex
	var steps []step
	var key GroupKey
	m := &mix{rng: rand.New(rand.NewPCG(5, 7))}
	synctest.Test(t, func(t *testing.T) {
		m.world = newWorld(t, 3, m.mixedConfig(), withQuiet(false), func(w *world) {
			w.onStep = func(h *testHost, in Input, effects []Effect) {
				if h.member.Host != "h0" {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				steps = append(steps, step{time.Now(), in, effects})
			}
		})
		defer m.close()
		key = m.hosts[0].ownRunners()[0].key
		m.run(time.Minute)
	})
	g := NewGroup(key, m.hosts[0].member)
	must.Greater(t, 1000, len(steps))
	for _, s := range steps {
		must.Eq(t, s.effects, g.Step(s.at, s.in))
	}
}
