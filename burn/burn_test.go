package burn

import (
	"bytes"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"hawthornway/config"
	"hawthornway/fleet"
	"hawthornway/outcome"
)

var objective = config.Objective{
	Name: "briefs", Team: "escorts", Model: "brief", FirstToken: time.Second,
	BetweenTokens: 25 * time.Millisecond, Share: 0.95, Window: 720 * time.Hour,
}

func TestMissesAndTheirCauses(t *testing.T) {
	fine := Call{Team: "escorts", Model: "brief", FirstToken: time.Second, SlowestGap: 20 * time.Millisecond, Outcome: outcome.Served{}}
	with := func(f func(*Call)) Call { c := fine; f(&c); return c }
	cases := []struct {
		name   string
		call   Call
		cause  Cause
		counts bool
	}{
		{"kept", fine, causeNone, true},
		{"cold and late", with(func(c *Call) { c.Cold, c.FirstToken = true, 2*time.Second }), CauseColdStart, true},
		{"warm and late", with(func(c *Call) { c.FirstToken = 2 * time.Second }), CauseSlow, true},
		{"stalled", with(func(c *Call) { c.SlowestGap = time.Second }), CauseSlow, true},
		{"refused by the rate", with(func(c *Call) { c.Outcome = outcome.NotRun{Reason: outcome.ReasonRate} }), CauseLimit, true},
		{"cut off", with(func(c *Call) { c.Outcome = outcome.NotRun{Reason: outcome.ReasonCutOff} }), CauseCut, true},
		{"broken off", with(func(c *Call) { c.Outcome = outcome.Unknown{Reason: outcome.ReasonShortAnswer} }), CauseTarget, true},
		{"bad request", with(func(c *Call) { c.Outcome = outcome.NotRun{Reason: outcome.ReasonBadRequest} }), CauseNotTheirs, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			cause, counts := missed(objective, tc.call)
			must.EqOp(t, tc.cause, cause)
			must.EqOp(t, tc.counts, counts)
		})
	}
}

func TestBurnOverWindowsAndHosts(t *testing.T) {
	clock := clockwork.NewFakeClock()
	objectives := func() []config.Objective { return []config.Objective{objective} }
	first, second := NewKeeper("h1", objectives, clock), NewKeeper("h2", objectives, clock)
	late := Call{Team: "escorts", Model: "brief", FirstToken: 2 * time.Second, Outcome: outcome.Served{}}
	fine := Call{Team: "escorts", Model: "brief", Outcome: outcome.Served{}}
	first.Count(late)
	clock.Advance(30 * time.Minute) // the late call leaves the shortest window
	for range 9 {
		second.Count(fine)
	}
	second.Count(Call{Team: "others", Model: "brief", Outcome: outcome.Served{}})
	report := Merge(clock.Now(), objectives(), []Part{second.Part(), first.Part()}, nil)
	windows := report.Objectives[0].Windows
	must.EqOp(t, 9, windows[0].Calls)
	must.EqOp(t, 0, windows[0].Rate)
	must.EqOp(t, 10, windows[1].Calls)
	must.InDelta(t, 2, windows[1].Rate, 1e-9) // 10% missed of 5% allowed
	must.EqOp(t, AlertNone, report.Objectives[0].Alert)
}

func TestAlertNeedsTwoWindows(t *testing.T) {
	rates := func(rates ...float64) []WindowBurn {
		var all []WindowBurn
		for _, rate := range rates {
			all = append(all, WindowBurn{Rate: rate})
		}
		return all
	}
	cases := []struct {
		name    string
		windows []WindowBurn
		want    Alert
	}{
		{"fine", rates(1, 1, 1, 1), AlertNone},
		{"a short peak", rates(20, 3, 1, 1), AlertNone},
		{"fast", rates(20, 15, 1, 1), AlertPage},
		{"fast but over", rates(0, 15, 5, 1), AlertNone},
		{"slow", rates(7, 7, 7, 1), AlertTicket},
	}
	for _, tc := range cases {
		must.EqOp(t, tc.want, alertOf(tc.windows), must.Sprint(tc.name))
	}
}

func TestReportNamesSilentHosts(t *testing.T) {
	report := Merge(time.Unix(0, 0), []config.Objective{objective}, []Part{{Host: "h1"}}, []fleet.HostID{"h3", "h2"})
	var text, html bytes.Buffer
	must.NoError(t, report.WriteText(&text))
	must.NoError(t, report.WriteHTML(&html))
	must.StrContains(t, text.String(), "1 hosts answered; no answer, so missing here: [h2 h3]")
	must.StrContains(t, text.String(), "BURN 5m")
	must.StrContains(t, text.String(), "BURN 3d")
	must.StrContains(t, html.String(), "No answer from h2 h3")
	must.StrContains(t, html.String(), "95% first token 1s gap 25ms")
}
