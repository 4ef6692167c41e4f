package member

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// instant is a moment as both clocks of the host show it, each since the start
// of the controller. The monotonic clock can stand still while the host is
// suspended; the wall clock can be set.
type instant struct {
	mono time.Duration
	wall time.Duration
}

// atLeast returns the least time that can have passed since an earlier instant.
// It is for waiting until a promise to others has run out.
func (i instant) atLeast(earlier instant) time.Duration {
	return i.mono - earlier.mono
}

// atMost returns the most time that can have passed since an earlier instant. It
// is for giving up what others have promised.
func (i instant) atMost(earlier instant) time.Duration {
	return max(i.mono-earlier.mono, i.wall-earlier.wall)
}

// twoClocks reads the monotonic and the wall clock together.
type twoClocks struct {
	clock clockwork.Clock
	start time.Time
}

func newTwoClocks(clock clockwork.Clock) twoClocks {
	return twoClocks{clock: clock, start: clock.Now()}
}

func (c twoClocks) now() instant {
	now := c.clock.Now()
	return instant{
		mono: now.Sub(c.start),
		wall: now.Round(0).Sub(c.start.Round(0)),
	}
}
