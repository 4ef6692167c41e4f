// Package boottime reads the time since the machine was booted, including the time
// during which it was suspended. Go's monotonic clock stops during suspension, so
// it can't measure how long another machine may rely on something, such as a lease.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time since the boot of the machine. Instants of different machines
// are not comparable.
type Instant time.Duration

// Clock reads the time since the boot of the machine.
type Clock interface {
	Now() Instant
}

// Sub returns the duration i-other.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// Add returns the instant i+d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Before reports whether i is before other.
func (i Instant) Before(other Instant) bool { return i < other }

// SystemClock is the machine's own clock.
type SystemClock struct{}

// Now returns the current instant. If the kernel doesn't support CLOCK_BOOTTIME, it
// returns the time since the start of the process.
func (SystemClock) Now() Instant {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return Instant(time.Since(processStart))
	}
	return Instant(now.Nano())
}

var processStart = time.Now()

// FakeClock is a Clock for tests that moves only when Advance is called.
type FakeClock struct{ now Instant }

// NewFakeClock returns a FakeClock set to now.
func NewFakeClock(now Instant) *FakeClock { return &FakeClock{now: now} }

// Now returns the current instant of the clock.
func (f *FakeClock) Now() Instant { return f.now }

// Advance moves the clock forward by d.
func (f *FakeClock) Advance(d time.Duration) { f.now = f.now.Add(d) }
