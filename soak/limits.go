package soak

import (
	"fmt"
	"strings"
	"time"

	"hawthornway/platform/platformtest"
)

// Figures count what the platform allows up to some number.
type Figures struct {
	// Repeats is the largest part of the allowed repeats that was used in a window.
	Repeats float64
	// OverAttempts are the calls that ran on more targets than their route allows.
	OverAttempts int
	// LateRepeats are the requests that were sent once more late, and Overtimed those that were
	// told more time than was left.
	LateRepeats, Overtimed int
	// Unanswered are the calls on kept connections that had reached a sound target and ended
	// without an answer, although the host was in touch.
	Unanswered int
	// Resets are the calls that ended without an answer in all.
	Resets int
	// PeakMemory is the largest resident memory of a host, in bytes.
	PeakMemory int64
}

// String formats the figures as text.
func (f Figures) String() string {
	return fmt.Sprintf("repeats at most %.2f of what is allowed, %d calls over their attempts, %d told too much time (%d late repeats), %d unanswered on kept connections (%d resets), %d MB at most",
		f.Repeats, f.OverAttempts, f.Overtimed, f.LateRepeats, f.Unanswered, f.Resets, f.PeakMemory/1e6)
}

// The platform's limits.
const (
	// departureDelay is how long hosts may use a target that has left, once they have been in touch
	// with a sound store for contactTime: two seconds in which a lapsed registration may be renewed,
	// and two to learn of the removal.
	departureDelay  = 4 * time.Second
	maxOverAttempts = 3
	maxUnanswered   = 3
	maxOvertimed    = 20
	overtimedShare  = 0.2
	// overtime is how much more than the time left a target may be told, and also how much
	// later than the first a repeat has to arrive to be compared with it.
	overtime = 500 * time.Millisecond
	// lossSlack is how long after its last byte a request may end without an answer that wasn't
	// passed on.
	lossSlack = 200 * time.Millisecond
)

// evidence is what the checks of single calls know of the run.
type evidence struct {
	// arrivals are those at all targets, by call and in order of time.
	arrivals map[string][]platformtest.Arrival
	// ended and faulty report whether a target was gone or cut off, or answered wrongly, at some
	// time in a span.
	ended, faulty func(target string, from, to time.Time) bool
	// inTouch reports whether a host was in touch in a whole span. Store reports that the store
	// was too.
	inTouch func(host string, from, to time.Time) bool
	store   func(from, to time.Time) bool
	// calm reports whether there was no unplanned fault in a span or shortly before it.
	calm func(from, to time.Time) bool
}

// overAttempts reports whether a call ran on more targets than its route allows. Targets that
// ended or were cut off meanwhile don't count.
func (e evidence) overAttempts(c call) bool {
	targets := map[string]bool{}
	for _, a := range e.arrivals[c.id] {
		if a.Ran && !e.ended(a.Engine, a.At, c.endedAt) {
			targets[a.Engine] = true
		}
	}
	return len(targets) > c.kind.attempts
}

// timeLeft counts the requests of a call that were sent once more late, and those that told a
// target more time than was left.
func (e evidence) timeLeft(c call) (late, overtimed int) {
	if c.kind.stream {
		return 0, 0
	}
	end := c.sentAt.Add(c.kind.timeout)
	var first platformtest.Arrival
	for i, a := range e.arrivals[c.id] {
		if i == 0 {
			first = a
		}
		if !e.inTouch(c.host, a.At, a.At) || e.ended(a.Engine, a.At.Add(-contactTime), a.At) {
			continue
		}
		isLate := a.At.Sub(first.At) > overtime
		if isLate {
			late++
		}
		stated := a.At.Add(a.TimeLeft)
		beyond := isLate && stated.Sub(first.At.Add(first.TimeLeft)) > overtime && stated.Sub(end) > overtime
		if a.TimeLeft == 0 || a.TimeLeft > c.kind.timeout+overtime || beyond {
			overtimed++
		}
	}
	return late, overtimed
}

// describeArrivals tells when a call arrived at targets, after it was sent, and what they were told.
func (e evidence) describeArrivals(c call) string {
	var text strings.Builder
	for _, a := range e.arrivals[c.id] {
		fmt.Fprintf(&text, "; %s after %v, told %v, ran %t", a.Engine, a.At.Sub(c.sentAt).Round(time.Millisecond), a.TimeLeft, a.Ran)
	}
	return text.String()
}

// unanswered reports whether a call on a kept connection reached a sound target and ended without
// an answer at a host in touch. Disruptions of the store don't excuse calls without a key.
func (e evidence) unanswered(c call) bool {
	if !c.kept || c.status != 0 || c.endedAt.Sub(c.sentAt) >= c.kind.timeout || c.left || !e.inTouch(c.host, c.sentAt, c.endedAt) {
		return false
	}
	if !c.kind.open && !e.store(c.sentAt, c.endedAt) {
		return false
	}
	for _, a := range e.arrivals[c.id] {
		if !e.ended(a.Engine, c.sentAt, c.endedAt) && !e.faulty(a.Engine, c.sentAt, c.endedAt) {
			return true
		}
	}
	return false
}

// afterDeparture counts the connections to a target that left at an instant, which hosts opened
// although all of them should have known that. Sound reports whether the store and all hosts were in
// touch in a whole span.
func afterDeparture(left time.Time, connections []time.Time, sound func(from, to time.Time) bool) int {
	n := 0
	for _, at := range connections {
		if from := at.Add(-departureDelay); from.After(left) && sound(from, at) {
			n++
		}
	}
	return n
}

// lost reports whether a call that was read whole ended without a complete answer around planned
// work, without any unplanned fault.
func (e evidence) lost(c call) bool {
	if !e.calm(c.sentAt, c.endedAt) || c.left {
		return false
	}
	if c.cut(len(e.arrivals[c.id]) > 0) {
		return true
	}
	return c.status == 0 && c.kept && !c.wholeAt.IsZero() && c.endedAt.Sub(c.wholeAt) > lossSlack && c.endedAt.Sub(c.sentAt) < c.kind.timeout
}
