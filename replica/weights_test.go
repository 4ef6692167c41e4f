package replica

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// fakeWeights is a weight store that starts loads in the order of their coming,
// at its rate and in its slots.
type fakeWeights struct {
	rate  float64
	slots int

	mu      sync.Mutex
	next    time.Time
	running int
	waiting []func()
}

// load runs a load and calls done at its end.
func (s *fakeWeights) load(took time.Duration, done func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = append(s.waiting, func() {
		time.AfterFunc(took, func() {
			s.ended()
			done()
		})
	})
	s.start()
}

// start starts the loads that have a slot; the lock is held.
func (s *fakeWeights) start() {
	for len(s.waiting) > 0 && s.running < s.slots {
		now := time.Now()
		if s.next.Before(now) {
			s.next = now
		}
		run := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running++
		time.AfterFunc(s.next.Sub(now), run)
		s.next = s.next.Add(time.Duration(float64(time.Second) / s.rate))
	}
}

func (s *fakeWeights) ended() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.start()
}

func (w *world) readWeights(context.Context) (WeightStoreState, error) {
	s := w.weights
	if s == nil {
		return WeightStoreState{}, trace.NotFound("there is no weight store")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return WeightStoreState{RatePerSecond: s.rate, Slots: s.slots, Running: s.running, Waiting: len(s.waiting)}, nil
}
