package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/platform/platformtest"
)

// Histories that contradict the answers of calls must be found.
func TestCheckCall(t *testing.T) {
	whole := expectedBody(call{id: "r1", kind: chat})
	cases := []struct {
		name   string
		call   call
		runs   int
		broken int
	}{
		{"served once", call{id: "r1", kind: deskBook, status: 200, complete: true, body: "answer to r1"}, 1, 0},
		{"ran twice", call{id: "r1", kind: deskBook, status: 200, complete: true, body: "answer to r1"}, 2, 1},
		{"stream ran twice", call{id: "r1", kind: onceCheck, status: 502, complete: true}, 2, 1},
		{"refused and ran", call{id: "r1", kind: deskBook, status: 503, complete: true}, 1, 1},
		{"refused and ran twice", call{id: "r1", kind: deskBook, status: 429, complete: true}, 2, 2},
		{"timed out at the host and ran", call{id: "r1", kind: deskBook, status: 504, complete: true}, 1, 0},
		{"refused", call{id: "r1", kind: deskBook, status: 503, complete: true}, 0, 0},
		{"may be repeated", call{id: "r1", kind: deskRead, status: 503, complete: true}, 2, 0},
		{"answer of another", call{id: "r1", kind: deskRead, status: 200, complete: true, body: "answer to r2"}, 1, 1},
		{"whole stream", call{id: "r1", kind: chat, status: 200, complete: true, body: whole}, 2, 0},
		{"stream ends early as if whole", call{id: "r1", kind: chat, status: 200, complete: true, body: whole[:len(whole)/2]}, 1, 1},
		{"stream breaks off", call{id: "r1", kind: chat, status: 200, body: whole[:len(whole)/2]}, 1, 0},
		{"error within a stream", call{id: "r1", kind: chat, status: 200, body: "id: 1\n500 Internal"}, 1, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			must.Eq(t, tc.broken, len(checkCall(tc.call, tc.runs)))
		})
	}
}

// Repeats beyond the share of the requests and the slack must be found in any span.
func TestCheckRepeats(t *testing.T) {
	start := time.Unix(1e9, 0)
	cases := []struct {
		name     string
		requests int
		repeats  []time.Duration // when one repeat each arrives
		broken   bool
	}{
		{"none", 20, nil, false},
		{"within the slack", 0, []time.Duration{0, 1, 2}, false},
		{"beyond the slack", 0, []time.Duration{0, 1, 2, 3}, true},
		{"within the share of the requests", 5, []time.Duration{0, 1, 2, 3}, false},
		{"in two spans", 0, []time.Duration{0, 9 * time.Second, 10 * time.Second, 11 * time.Second, 12 * time.Second}, true},
		{"in spans apart", 0, []time.Duration{0, 1, 2, 10*time.Second + 3, 10*time.Second + 4, 10*time.Second + 5}, false},
		{"across the boundary of two tens of seconds", 0, []time.Duration{8 * time.Second, 9 * time.Second, 11 * time.Second, 12 * time.Second}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var h history
			for i := range tc.requests {
				h.sent = append(h.sent, start.Add(-time.Duration(i)*time.Millisecond))
			}
			h.arrivals = append(h.arrivals, platformtest.Arrival{At: start.Add(-time.Second), ID: "r"})
			for i := range tc.requests {
				h.arrivals = append(h.arrivals, platformtest.Arrival{At: start, ID: fmt.Sprint("first-", i)})
			}
			for _, at := range tc.repeats {
				h.arrivals = append(h.arrivals, platformtest.Arrival{At: start.Add(at), ID: "r"})
			}
			worst, used := checkRepeats(h, 3)
			must.Eq(t, tc.broken, worst != "")
			must.Eq(t, tc.broken, used > 1)
		})
	}
}

// Only calls that were sent early in a stop and cut at its end are excused.
func TestStopExcusesCut(t *testing.T) {
	stop := time.Unix(1e9, 0)
	cases := []struct {
		name      string
		sent, cut time.Duration // after the signal to stop
		excused   bool
	}{
		{"before the stop, cut at its end", -time.Second, 3400 * time.Millisecond, true},
		{"early in the stop, cut at its end", 2 * time.Second, 3900 * time.Millisecond, true},
		{"late in the stop", 3100 * time.Millisecond, 3900 * time.Millisecond, false},
		{"cut too soon", time.Second, 3 * time.Second, false},
		{"cut long after it", time.Second, 6 * time.Second, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := &host{stops: []time.Time{stop}}
			must.Eq(t, tc.excused, h.excusesCut(call{sentAt: stop.Add(tc.sent), endedAt: stop.Add(tc.cut)}))
		})
	}
}

// Answers that break off and calls without an answer must be found.
func TestCutCalls(t *testing.T) {
	start := time.Unix(1e9, 0)
	cases := []struct {
		name    string
		call    call
		lasted  time.Duration
		reached bool
		cut     bool
	}{
		{"whole", call{status: 200, complete: true}, time.Second, true, false},
		{"refused", call{status: 503, complete: true}, time.Second, false, false},
		{"broke off", call{status: 200}, time.Second, true, true},
		{"broke off at the end of its time", call{status: 200}, deskBook.timeout, true, true},
		{"no answer", call{}, time.Second, true, true},
		{"no answer in its time", call{}, deskBook.timeout, true, false},
		{"not passed on", call{}, time.Second, false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			tc.call.kind, tc.call.sentAt, tc.call.endedAt = deskBook, start, start.Add(tc.lasted)
			must.Eq(t, tc.cut, tc.call.cut(tc.reached))
		})
	}
}

// A name that is no fault must not pass for a run that held.
func TestChooseFaults(t *testing.T) {
	cases := []struct {
		name    string
		options Options
		faults  int
		fails   bool
	}{
		{"all", Options{}, len(plannedFaults) + len(unplannedFaults), false},
		{"planned", Options{PlannedOnly: true}, len(plannedFaults), false},
		{"named", Options{Faults: []string{"kill", "reload"}}, 2, false},
		{"unknown", Options{Faults: []string{"kil"}}, 0, true},
		{"not planned", Options{PlannedOnly: true, Faults: []string{"kill"}}, 0, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			faults, err := tc.options.chooseFaults()
			must.Eq(t, tc.fails, err != nil)
			must.Len(t, tc.faults, faults)
		})
	}
	for _, m := range []string{"engine turns requests away and repeats answers", "engine answers busy after runs", "engine breaks off and empties resumptions", "service is full", "kill half"} {
		_, err := Options{Faults: []string{m}}.chooseFaults()
		must.NoError(t, err)
	}
}

// Statements of one engine must not overlap: a check of the first would go on after the second ended
// both.
func TestLimitsOfOneEngineDoNotOverlap(t *testing.T) {
	s := &soak{stating: map[string]bool{}}
	must.True(t, s.beginLimit("i-1"))
	must.False(t, s.beginLimit("i-1"))
	must.True(t, s.beginLimit("i-2"))
	s.recordLimit(statedLimit{engine: &platformtest.Engine{ID: "i-1"}})
	must.True(t, s.beginLimit("i-1"))
}
