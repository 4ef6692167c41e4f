// Package boottime reads the time since the machine was started, which goes on
// while the machine is suspended. Go's monotonic clock stops then, so that it
// can't bound the age of what another machine relies on.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time since the start of the machine. Instants of different
// machines can't be compared.
type Instant time.Duration

// Clock tells the time since the start of the machine.
type Clock interface {
	Now() Instant
}

// Sub returns the time from other to i.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Before reports whether i is before other.
func (i Instant) Before(other Instant) bool { return i < other }

// SystemClock is the machine's own clock.
type SystemClock struct{}

// Now returns the present instant. Where the kernel lacks the clock, it falls
// back to the time since the process was started.
func (SystemClock) Now() Instant {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return Instant(time.Since(started))
	}
	return Instant(now.Nano())
}

var started = time.Now()

// FakeClock is a clock for tests that stands still between calls of Advance.
type FakeClock struct{ now Instant }

// NewFakeClock returns a clock that shows now.
func NewFakeClock(now Instant) *FakeClock { return &FakeClock{now: now} }

// Now returns the instant that the clock shows.
func (f *FakeClock) Now() Instant { return f.now }

// Advance moves the clock on by d.
func (f *FakeClock) Advance(d time.Duration) { f.now = f.now.Add(d) }
