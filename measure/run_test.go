package measure

import (
	"bytes"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/config"
	"hawthornway/loadgen"
	"hawthornway/model"
	"hawthornway/outcome"
	"hawthornway/standin/engine"
	"hawthornway/standin/weights"
	"hawthornway/target"
	"hawthornway/team"
	"hawthornway/workload"
)

const gib = model.Bytes(1 << 30)

var start = time.UnixMilli(1_000_000)

func newRun(results ...loadgen.Result) Run {
	engineSettings := engine.DefaultSettings()
	engineSettings.PrefillPerToken = 0
	return Run{
		Start:    start,
		Duration: 100 * time.Second,
		Config: config.Config{
			Models:   []config.Model{{Name: "m", Memory: 2 * gib}, {Name: "n", Memory: 2 * gib}},
			Adapters: []config.Adapter{{Name: "x", Base: "m", Memory: gib}},
			Teams:    []config.Team{{Name: "a", Rate: 10, Burst: 100, Weight: 1}},
		},
		Weights: weights.Settings{RatePerSecond: 1, ModelBytesPerSecond: gib, AdapterBytesPerSecond: gib},
		Engine:  engineSettings,
		Results: results,
		Engines: map[target.ID]EngineRecord{"e": {}},
	}
}

func completion(at time.Duration, name model.Name, first time.Duration) loadgen.Result {
	work := workload.Completion{Model: name, Prompt: "hello", MaxTokens: 4}
	return loadgen.Result{
		Arrival:    workload.Arrival{At: at, Team: "a", Work: work, Charge: 50},
		Outcome:    loadgen.OutcomeServed,
		FirstToken: first,
		Duration:   first + time.Second,
		Tokens:     4,
	}
}

func TestMaxMin(t *testing.T) {
	cases := []struct {
		name     string
		demands  []demand
		capacity float64
		want     map[team.ID]float64
	}{
		{name: "enough", demands: []demand{{"a", 1, 3}, {"b", 1, 4}}, capacity: 10, want: map[team.ID]float64{"a": 3, "b": 4}},
		{name: "scarce", demands: []demand{{"a", 1, 2}, {"b", 1, 9}, {"c", 1, 9}}, capacity: 10, want: map[team.ID]float64{"a": 2, "b": 4, "c": 4}},
		{name: "weighted", demands: []demand{{"a", 3, 90}, {"b", 1, 90}}, capacity: 8, want: map[team.ID]float64{"a": 6, "b": 2}},
	}
	for _, c := range cases {
		must.Eq(t, c.want, maxMin(c.demands, c.capacity), must.Sprint(c.name))
	}
}

func TestColdStartLowerBounds(t *testing.T) {
	interrupted := completion(500*time.Millisecond, "m", 2*time.Second)
	interrupted.Outcome = loadgen.OutcomeUnknown // a stream that broke off later
	run := newRun(
		interrupted,
		completion(0, "m", 2500*time.Millisecond),
		completion(time.Second, "m", 1400*time.Millisecond),
		completion(0, "n", 4*time.Second),
		completion(10*time.Second, "m", 20*time.Millisecond),
	)
	run.Engines["e"] = EngineRecord{Loads: []engine.LoadRecord{
		{Model: "m", Source: engine.SourceRemote, ReadyMS: start.UnixMilli() + 2300},
		{Model: "n", Source: engine.SourceRemote, ReadyMS: start.UnixMilli() + 3900},
	}}
	var bounds []time.Duration
	for _, c := range run.coldRequests() {
		bounds = append(bounds, c.bound)
	}
	step := run.Engine.StepTime
	slices.Sort(bounds)
	// The weight store starts one load per second, so the second load may start a
	// second after the first.
	must.Eq(t, []time.Duration{time.Second + step, 2*time.Second + step, 3*time.Second + step}, bounds)
	must.Len(t, 1, run.warmFirstTokens(run.coldRequests()))
}

func TestMinIdleMemoryTimeKeepsCheapestGaps(t *testing.T) {
	run := newRun(
		completion(0, "m", 15*time.Millisecond),
		completion(10*time.Second, "x", 15*time.Millisecond),
		completion(50*time.Second, "m", 15*time.Millisecond),
	)
	run.Engines["e"] = EngineRecord{Loads: []engine.LoadRecord{{Model: "m"}, {Model: "m"}, {Model: "x"}}}
	// Two model loads for three busy intervals: the model stays loaded through the
	// gap of about nine seconds.
	must.InDelta(t, float64(2*gib)*8.985, run.minIdleMemoryTime(), float64(gib)/10)
}

func TestRefusalsInsideRate(t *testing.T) {
	refused := completion(3*time.Second, "m", 0)
	refused.Outcome, refused.Reason = loadgen.OutcomeNotRun, outcome.ReasonRate
	afterRefill := refused
	afterRefill.Arrival.At = 60 * time.Second
	run := newRun(completion(0, "m", 1), completion(time.Second, "m", 1), refused, afterRefill)
	got := run.refusals(func(loadgen.Result) bool { return false })
	// The first two requests use up the burst. The third is outside the rate; the
	// last one comes after a refill.
	must.Eq(t, Refusals{InsideRate: 3, Wrongful: 1, WrongfulShare: 1.0 / 3, ByReason: map[string]int{"rate": 1}}, got)
}

func TestViolations(t *testing.T) {
	ranAnyway := completion(0, "m", 0)
	ranAnyway.Outcome, ranAnyway.RequestID = loadgen.OutcomeNotRun, "r1"
	wrong := completion(0, "m", 1)
	wrong.Wrong = true
	dropped := completion(0, "m", 0)
	dropped.Outcome = loadgen.OutcomeNone
	faulted := dropped
	faulted.Arrival.Host = 1
	ranTwice := completion(0, "m", 0)
	ranTwice.Arrival.Work = workload.ServiceCall{IdempotencyKey: "k"}
	run := newRun(ranAnyway, wrong, dropped, faulted, ranTwice)
	run.KilledHosts = map[int]bool{1: true}
	run.Executions = map[string]int{"r1": 1, "k": 2}
	run.Engines["e"] = EngineRecord{Counts: engine.Counts{OvercommitOrders: 3, KeysSeen: 4}}
	run.ServiceKeysSeen = 1
	must.Eq(t, Violations{OvercommitOrders: 3, KeysSeen: 5, WrongAnswers: 1, Dropped: 1, UntrueNotRun: 1, RunTwice: 1}, run.violations())
}

func TestReportTableAndPlots(t *testing.T) {
	run := newRun(completion(0, "m", 2500*time.Millisecond), completion(time.Second, "m", 2*time.Second))
	run.Deployment, run.Case, run.System = "d", "steady", "s"
	run.Samples = []Sample{{At: time.Second}, {At: 2 * time.Second, Held: 5}}
	var text bytes.Buffer
	must.NoError(t, WriteTable(&text, []Report{NewReport(run)}))
	must.StrContains(t, text.String(), "worst team")
	must.False(t, strings.Contains(text.String(), "NaN"))
	must.NoError(t, run.WritePlots(t.TempDir()))
}
