package limit

import "time"

// leastPassed returns the time that has surely passed: the smaller of what the
// monotonic and the wall clock say.
func leastPassed(from, to time.Time) time.Duration {
	return min(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// mostPassed returns the time that may have passed: the larger of what the
// monotonic and the wall clock say.
func mostPassed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
