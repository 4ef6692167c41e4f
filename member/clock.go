package member

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// instant is a moment on the monotonic and the wall clock of the host, each as
// the time since the start of the controller. The monotonic clock can stop while
// the host is suspended; the wall clock can be set.
type instant struct {
	mono time.Duration
	wall time.Duration
}

// minSince returns the shortest time that can have passed since an earlier
// instant. It is used to wait until a promise made to others has expired.
func (i instant) minSince(earlier instant) time.Duration {
	return i.mono - earlier.mono
}

// maxSince returns the longest time that can have passed since an earlier
// instant. It is used to stop relying on the promises of others in time.
func (i instant) maxSince(earlier instant) time.Duration {
	return max(i.mono-earlier.mono, i.wall-earlier.wall)
}

// clockPair reads the monotonic and the wall clock at the same moment.
type clockPair struct {
	clock clockwork.Clock
	start time.Time
}

func newClockPair(clock clockwork.Clock) clockPair {
	return clockPair{clock: clock, start: clock.Now()}
}

func (c clockPair) now() instant {
	now := c.clock.Now()
	return instant{
		mono: now.Sub(c.start),
		wall: now.Round(0).Sub(c.start.Round(0)),
	}
}
