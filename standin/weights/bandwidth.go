package weights

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// sharedBandwidth runs transfers concurrently. Up to its number of slots they run
// at full speed; with more, all of them slow down in proportion.
type sharedBandwidth struct {
	clock clockwork.Clock
	slots int

	mu       sync.Mutex
	running  int
	slowdown float64
	// progress is the full-speed time, in nanoseconds, that a transfer running
	// since the creation would have completed.
	progress float64
	updated  time.Time
	changed  chan struct{}
}

func newSharedBandwidth(clock clockwork.Clock, slots int) *sharedBandwidth {
	return &sharedBandwidth{
		clock:    clock,
		slots:    slots,
		slowdown: 1,
		updated:  clock.Now(),
		changed:  make(chan struct{}),
	}
}

// run blocks until a transfer that takes work at full speed is complete, given
// the load of the other transfers.
func (s *sharedBandwidth) run(ctx context.Context, work time.Duration) error {
	end := s.add(work)
	defer s.remove()
	for {
		wait, changed := s.remaining(end)
		if wait <= 0 {
			return nil
		}
		timer := s.clock.NewTimer(wait)
		select {
		case <-timer.Chan():
		case <-changed:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}

// add adds a transfer and returns the progress at which it is complete.
func (s *sharedBandwidth) add(work time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	s.running++
	s.notify()
	return s.progress + float64(work)
}

func (s *sharedBandwidth) remove() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	s.running--
	s.notify()
}

// remaining returns the time left at the current speed, and a channel that is
// closed when the speed changes.
func (s *sharedBandwidth) remaining(end float64) (time.Duration, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	wait := time.Duration((end - s.progress) / s.speed())
	if wait > 0 {
		// Without this, rounding of the progress could cause a series of ever
		// shorter waits.
		wait += time.Nanosecond
	}
	return wait, s.changed
}

func (s *sharedBandwidth) setSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	s.slowdown = factor
	s.notify()
}

func (s *sharedBandwidth) inFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

func (s *sharedBandwidth) advance() {
	now := s.clock.Now()
	s.progress += float64(now.Sub(s.updated)) * s.speed()
	s.updated = now
}

func (s *sharedBandwidth) speed() float64 {
	speed := 1 / s.slowdown
	if s.running > s.slots {
		speed *= float64(s.slots) / float64(s.running)
	}
	return speed
}

func (s *sharedBandwidth) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
