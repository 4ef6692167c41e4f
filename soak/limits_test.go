package soak

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/platform/platformtest"
)

// newEvidence returns the evidence of a run in which a call r reached targets. Nothing was
// disrupted.
func newEvidence(arrivals ...platformtest.Arrival) evidence {
	never := func(string, time.Time, time.Time) bool { return false }
	always := func(time.Time, time.Time) bool { return true }
	return evidence{
		arrivals: map[string][]platformtest.Arrival{"r": arrivals},
		ended:    never, faulty: never, store: always, calm: always,
		inTouch: func(string, time.Time, time.Time) bool { return true },
	}
}

var runStart = time.Unix(1e9, 0)

// newCall returns a call that was sent at the start and lasted for some time.
func newCall(k kind, lasted time.Duration) call {
	return call{id: "r", kind: k, host: "h", sentAt: runStart, wholeAt: runStart, endedAt: runStart.Add(lasted), kept: true}
}

// Calls that ran on more targets than their route allows must be found.
func TestOverAttempts(t *testing.T) {
	ran := func(engine string) platformtest.Arrival {
		return platformtest.Arrival{At: runStart, ID: "r", Engine: engine, Ran: true}
	}
	cases := []struct {
		name     string
		arrivals []platformtest.Arrival
		ended    string
		over     bool
	}{
		{"within", []platformtest.Arrival{ran("a"), ran("b")}, "", false},
		{"beyond", []platformtest.Arrival{ran("a"), ran("b"), ran("c")}, "", true},
		{"one turned it away", []platformtest.Arrival{ran("a"), {At: runStart, ID: "r", Engine: "b"}, ran("c")}, "", false},
		{"twice on one", []platformtest.Arrival{ran("a"), ran("a"), ran("c")}, "", false},
		{"one ended", []platformtest.Arrival{ran("a"), ran("b"), ran("c")}, "a", false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			e := newEvidence(tc.arrivals...)
			e.ended = func(target string, _, _ time.Time) bool { return target == tc.ended }
			must.Eq(t, tc.over, e.overAttempts(newCall(deskRead, time.Second)))
		})
	}
}

// Requests that tell targets more time than is left must be found.
func TestTimeLeft(t *testing.T) {
	at := func(after, left time.Duration) platformtest.Arrival {
		return platformtest.Arrival{At: runStart.Add(after), ID: "r", Engine: "a", TimeLeft: left}
	}
	const ms = time.Millisecond
	cases := []struct {
		name            string
		arrivals        []platformtest.Arrival
		late, overtimed int
	}{
		{"what is left", []platformtest.Arrival{at(10*ms, 1490*ms), at(900*ms, 600*ms)}, 1, 0},
		{"none stated", []platformtest.Arrival{at(10*ms, 0)}, 0, 1},
		{"longer than the caller's", []platformtest.Arrival{at(10*ms, 2010*ms)}, 0, 1},
		{"a late repeat ends later than the first", []platformtest.Arrival{at(10*ms, 1490*ms), at(900*ms, 1200*ms)}, 1, 1},
		{"an early repeat", []platformtest.Arrival{at(10*ms, 1490*ms), at(400*ms, 1400*ms)}, 0, 0},
		{"a late repeat ends a little later", []platformtest.Arrival{at(10*ms, 1490*ms), at(900*ms, 1000*ms)}, 1, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			late, overtimed := newEvidence(tc.arrivals...).timeLeft(newCall(deskRead, 1500*ms))
			must.Eq(t, tc.late, late)
			must.Eq(t, tc.overtimed, overtimed)
			e := newEvidence(tc.arrivals...)
			e.inTouch = func(string, time.Time, time.Time) bool { return false }
			_, overtimed = e.timeLeft(newCall(deskRead, 1500*ms))
			must.Zero(t, overtimed)
		})
	}
}

// Calls without an answer on kept connections, at hosts and targets that are sound, must be found.
func TestUnansweredCalls(t *testing.T) {
	cases := []struct {
		name       string
		change     func(*call, *evidence)
		unanswered bool
	}{
		{"no answer", func(*call, *evidence) {}, true},
		{"answered", func(c *call, _ *evidence) { c.status = 502 }, false},
		{"new connection", func(c *call, _ *evidence) { c.kept = false }, false},
		{"its time was over", func(c *call, _ *evidence) { c.endedAt = runStart.Add(c.kind.timeout) }, false},
		{"the caller left", func(c *call, _ *evidence) { c.left = true }, false},
		{"not passed on", func(_ *call, e *evidence) { e.arrivals = nil }, false},
		{"the target answers wrongly", func(_ *call, e *evidence) { e.faulty = func(string, time.Time, time.Time) bool { return true } }, false},
		{"the host is out of touch", func(_ *call, e *evidence) { e.inTouch = func(string, time.Time, time.Time) bool { return false } }, false},
		{"the store is down", func(_ *call, e *evidence) { e.store = func(time.Time, time.Time) bool { return false } }, false},
		{"the store is down, without a key", func(c *call, e *evidence) {
			c.kind, e.store = deskOpen, func(time.Time, time.Time) bool { return false }
		}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c, e := newCall(deskBook, time.Second), newEvidence(platformtest.Arrival{At: runStart, ID: "r", Engine: "a"})
			tc.change(&c, &e)
			must.Eq(t, tc.unanswered, e.unanswered(c))
		})
	}
}

// Calls that are lost while all faults are planned must be found.
func TestLostCalls(t *testing.T) {
	cases := []struct {
		name   string
		change func(*call, *evidence)
		lost   bool
	}{
		{"passed on", func(*call, *evidence) {}, true},
		{"read whole and closed late", func(_ *call, e *evidence) { e.arrivals = nil }, true},
		{"crossed the close", func(c *call, e *evidence) { e.arrivals, c.endedAt = nil, runStart.Add(lossSlack) }, false},
		{"not sent whole", func(c *call, e *evidence) { e.arrivals, c.wholeAt = nil, time.Time{} }, false},
		{"answered", func(c *call, _ *evidence) { c.status, c.complete = 503, true }, false},
		{"a stream cut at the end of its time", func(c *call, _ *evidence) { c.status, c.endedAt = 200, runStart.Add(c.kind.timeout) }, true},
		{"the caller left", func(c *call, _ *evidence) { c.left = true }, false},
		{"an unplanned fault", func(_ *call, e *evidence) { e.calm = func(time.Time, time.Time) bool { return false } }, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c, e := newCall(deskBook, time.Second), newEvidence(platformtest.Arrival{At: runStart, ID: "r", Engine: "a"})
			tc.change(&c, &e)
			must.Eq(t, tc.lost, e.lost(c))
		})
	}
}

// A disruption counts in its whole span, and until contact is regained after it.
func TestDisruptions(t *testing.T) {
	d := disruptions{spans: []span{{runStart, runStart.Add(time.Second)}, {from: runStart.Add(time.Minute)}}}
	cases := []struct {
		name         string
		from, to     time.Duration
		within, calm bool
	}{
		{"before", -2 * time.Second, -time.Second, false, true},
		{"begins in it", 500 * time.Millisecond, 2 * time.Second, true, false},
		{"around it", -time.Second, 2 * time.Second, true, false},
		{"shortly after", 2 * time.Second, 3 * time.Second, false, false},
		{"long after", time.Second + contactTime + 1, 5 * time.Second, false, true},
		{"goes on", 2 * time.Minute, 3 * time.Minute, true, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			must.Eq(t, tc.within, d.within(runStart.Add(tc.from), runStart.Add(tc.to)))
			must.Eq(t, tc.calm, d.calm(runStart.Add(tc.from), runStart.Add(tc.to)))
		})
	}
}

// Targets that are used long after they left must be found.
func TestAfterDeparture(t *testing.T) {
	cases := []struct {
		name  string
		after time.Duration // of the connection, after the departure
		sound bool
		found int
	}{
		{"at once", time.Second, true, 0},
		{"before hosts have to know", departureDelay, true, 0},
		{"later", departureDelay + time.Second, true, 1},
		{"in an outage", departureDelay + time.Second, false, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			sound := func(time.Time, time.Time) bool { return tc.sound }
			must.Eq(t, tc.found, afterDeparture(runStart, []time.Time{runStart.Add(tc.after)}, sound))
		})
	}
}
