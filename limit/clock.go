package limit

import "time"

// minElapsed returns a lower bound of the time between two moments: the smaller of the
// differences by the monotonic and the wall clock.
func minElapsed(from, to time.Time) time.Duration {
	return min(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// maxElapsed returns an upper bound of the time between two moments: the larger of the
// differences by the monotonic and the wall clock.
func maxElapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
