package replica

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// fakeWeightStore is a weight store that starts loads in order of arrival,
// limited by its rate and its slots.
type fakeWeightStore struct {
	rate  float64
	slots int

	mu        sync.Mutex
	nextStart time.Time
	running   int
	waiting   []func()
}

// load runs a load and calls done when it is complete.
func (s *fakeWeightStore) load(took time.Duration, done func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = append(s.waiting, func() {
		time.AfterFunc(took, func() {
			s.finish()
			done()
		})
	})
	s.start()
}

// start starts the loads for which there is a slot. The lock must be held.
func (s *fakeWeightStore) start() {
	for len(s.waiting) > 0 && s.running < s.slots {
		now := time.Now()
		if s.nextStart.Before(now) {
			s.nextStart = now
		}
		run := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running++
		time.AfterFunc(s.nextStart.Sub(now), run)
		s.nextStart = s.nextStart.Add(time.Duration(float64(time.Second) / s.rate))
	}
}

func (s *fakeWeightStore) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.start()
}

func (sim *simulation) readWeightStore(context.Context) (WeightStoreState, error) {
	s := sim.weightStore
	if s == nil {
		return WeightStoreState{}, trace.NotFound("there is no weight store")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return WeightStoreState{RatePerSecond: s.rate, Slots: s.slots, Running: s.running, Waiting: len(s.waiting)}, nil
}
