package burn

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"hawthornway/config"
	"hawthornway/fleet"
	"hawthornway/outcome"
	"hawthornway/peer/peertest"
)

var objective = config.Objective{
	Name: "brief", Team: "rafiq", Model: "m", Share: 0.9, Window: 720 * time.Hour,
	FirstToken: time.Second, BetweenTokens: 100 * time.Millisecond,
}

func served(first, between time.Duration, cold bool) Event {
	return Event{Team: "rafiq", Model: "m", Cold: cold, FirstToken: first, BetweenTokens: between, Outcome: outcome.Served{}}
}

func notRun(reason outcome.Reason, cold bool) Event {
	return Event{Team: "rafiq", Model: "m", Cold: cold, Outcome: outcome.NotRun{Reason: reason}}
}

func TestClassify(t *testing.T) {
	failed := Event{Outcome: outcome.Unknown{Reason: outcome.ReasonTargetFailed}}
	cases := []struct {
		name   string
		event  Event
		counts bool
		missed Cause
	}{
		{"in time", served(time.Second, 100*time.Millisecond, true), true, ""},
		{"late and cold", served(2*time.Second, 0, true), true, CauseColdStart},
		{"late and warm", served(2*time.Second, 0, false), true, CauseSlow},
		{"slow stream", served(0, time.Second, true), true, CauseSlow},
		{"rate", notRun(outcome.ReasonRate, false), true, CauseLimit},
		{"cut off", notRun(outcome.ReasonCutOff, true), true, CauseCutOff},
		{"deadline while loading", notRun(outcome.ReasonDeadline, true), true, CauseColdStart},
		{"no target", notRun(outcome.ReasonNoTarget, false), true, CauseTargetFailure},
		{"host drains", notRun(outcome.ReasonDraining, false), true, CauseHost},
		{"target failed", failed, true, CauseTargetFailure},
		{"caller's fault", notRun(outcome.ReasonBadRequest, false), false, ""},
		{"caller left", Event{Outcome: outcome.Unknown{Reason: outcome.ReasonCallerLeft}}, false, ""},
		{"no outcome", Event{}, false, ""},
	}
	for _, tc := range cases {
		counts, missed := tc.event.classify(objective)
		must.EqOp(t, tc.counts, counts, must.Sprint(tc.name))
		must.EqOp(t, tc.missed, missed, must.Sprint(tc.name))
	}
}

func TestWindowsAndAlerts(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := NewRecorder("a1", clock)
	r.SetObjectives([]config.Objective{objective})
	steps := []struct {
		name     string
		advance  time.Duration
		good     int
		bad      int
		rates    []float64
		severity Severity
	}{
		{"nothing", 0, 0, 0, []float64{0, 0, 0, 0}, SeverityNone},
		{"all missed", time.Minute, 0, 10, []float64{10, 10, 10, 10}, SeverityPage},
		{"good for the short window", 5 * time.Minute, 90, 0, []float64{0, 1, 1, 1}, SeverityTicket},
		{"an hour later", time.Hour, 0, 0, []float64{0, 0, 1, 1}, SeverityTicket},
		{"a day later", 24 * time.Hour, 0, 0, []float64{0, 0, 0, 1}, SeverityNone},
		{"four days later", 96 * time.Hour, 0, 0, []float64{0, 0, 0, 0}, SeverityNone},
	}
	for _, step := range steps {
		clock.Advance(step.advance)
		for range step.good {
			r.Record(served(0, 0, false))
		}
		for range step.bad {
			r.Record(served(time.Hour, 0, true))
		}
		r.Record(Event{Team: "other", Model: "m", Outcome: outcome.Served{}})
		o := r.Report().Objectives[0]
		for i, length := range Windows {
			must.InDelta(t, step.rates[i], o.RateOver(length), 1e-9, must.Sprint(step.name, length))
		}
		must.EqOp(t, step.severity, o.Severity(), must.Sprint(step.name))
	}
	changed := objective
	changed.Share = 0.99
	r.SetObjectives([]config.Objective{changed})
	must.EqOp(t, 0, r.Report().Objectives[0].longest().Total)
}

func TestCollect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := peertest.NewNetwork(1)
		hosts := []fleet.HostID{"a1", "a2", "b1", "b2", "c1", "c2"}
		var first *Collector
		for _, host := range hosts {
			mesh := network.Join(fleet.Member{Host: host, Domain: fleet.DomainID(host[:1])})
			recorder := NewRecorder(host, clockwork.NewRealClock())
			recorder.SetObjectives([]config.Objective{objective})
			recorder.Record(served(0, 0, false))
			recorder.Record(served(time.Minute, 0, true))
			c := NewCollector(recorder, mesh, func() []fleet.HostID { return hosts })
			if first == nil {
				first = c
			}
		}
		// b1 is unreachable, so b2 responds for its domain.
		network.Cut("a1", "b1")
		network.Kill("c1")
		network.Kill("c2")
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		report := first.Collect(ctx)
		must.Eq(t, []fleet.HostID{"c1", "c2"}, report.Missing)
		must.Len(t, 4, report.Hosts)
		must.EqOp(t, 8, report.Objectives[0].longest().Total)
		must.EqOp(t, 4, report.Objectives[0].longest().Missed[CauseColdStart])
		must.EqOp(t, 4, report.Objectives[0].Points[pointCount-1].Bad())
	})
}

func TestRendering(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := NewRecorder("a1", clock)
	hostile := objective
	hostile.Name = "<script>"
	r.SetObjectives([]config.Objective{hostile})
	for i := range 20 {
		r.Record(served(time.Duration(i)*100*time.Millisecond, 0, i%2 == 0))
	}
	report := Merge(clock.Now(), []Report{r.Report()}, []fleet.HostID{"a1", "z9"})
	var text, page bytes.Buffer
	must.NoError(t, WriteText(&text, report))
	for _, want := range []string{"z9", "rafiq", "cold-start 44%, slow 56%", "4.50"} {
		must.StrContains(t, text.String(), want)
	}
	must.NoError(t, WriteHTML(&page, report))
	must.StrContains(t, page.String(), "cold-start: 4 of 20 requests")
	must.StrNotContains(t, page.String(), "<script>")
	must.EqOp(t, 1, strings.Count(page.String(), "<svg "))
}

func BenchmarkRecord(b *testing.B) {
	for _, size := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(size, " objectives"), func(b *testing.B) {
			r := NewRecorder("a1", clockwork.NewRealClock())
			objectives := make([]config.Objective, size)
			for i := range objectives {
				objectives[i] = objective
				objectives[i].Name = fmt.Sprint(i)
				objectives[i].Model = "other"
			}
			objectives[0].Model = "m"
			r.SetObjectives(objectives)
			b.ReportAllocs()
			for b.Loop() {
				r.Record(served(0, 0, false))
			}
		})
	}
}
