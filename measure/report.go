package measure

import (
	"time"

	"hawthornway/loadgen"
	"hawthornway/standin/engine"
	"hawthornway/workload"
)

// Report holds the measures of one run.
type Report struct {
	Deployment string         `json:"deployment"`
	Case       string         `json:"case"`
	System     string         `json:"system"`
	Seed       uint64         `json:"seed"`
	Seconds    float64        `json:"seconds"`
	Outcomes   map[string]int `json:"endings"`
	// Reasons counts the requests that were not served, by outcome and reason,
	// whether inside or outside their team's rate.
	Reasons map[string]int `json:"reasons"`
	// RefusalsByHost counts the refused requests by reason and host index.
	RefusalsByHost map[string]map[int]int `json:"refused-at"`
	ColdStarts     []ColdStarts           `json:"cold-starts"`
	Loads          []LoadTimes            `json:"loads"`
	WarmFirstToken Quantiles              `json:"warm-first-token"`
	Idle           IdleMemory             `json:"idle"`
	Shares         []TeamShare            `json:"shares"`
	Refusals       Refusals               `json:"refusals"`
	AddedLatency   *AddedLatency          `json:"added-latency,omitempty"`
	// PlatformCalls holds the calls per second to the key-value service by kind.
	PlatformCalls map[string]float64 `json:"platform-calls-per-second"`
	Violations    Violations         `json:"promises"`
	// SendDelay summarizes how late the load generator sent requests.
	SendDelay Quantiles `json:"sent-late"`
}

// LoadTimes summarizes the durations of the engines' loads from one source.
// Unused counts the loads that no request waited for.
type LoadTimes struct {
	Source engine.Source `json:"source"`
	Quantiles
	Unused int `json:"unused"`
}

// AddedLatency compares requests sent through a host with the same requests sent
// directly to the engine.
type AddedLatency struct {
	Pairs             int       `json:"pairs"`
	DirectFirstToken  Quantiles `json:"direct-first-token"`
	ViaHostFirstToken Quantiles `json:"through-first-token"`
	// The following fields are the differences, through a host minus direct.
	FirstTokenP50 Milliseconds `json:"added-first-token-p50-ms"`
	FirstTokenP99 Milliseconds `json:"added-first-token-p99-ms"`
	PerTokenP50   Milliseconds `json:"added-per-token-p50-ms"`
	PerTokenP99   Milliseconds `json:"added-per-token-p99-ms"`
}

// NewReport computes the report of a run.
func NewReport(r Run) Report {
	report := Report{
		Deployment:     r.Deployment,
		Case:           r.Case,
		System:         r.System,
		Seed:           r.Seed,
		Seconds:        r.Duration.Seconds(),
		Outcomes:       make(map[string]int),
		Reasons:        make(map[string]int),
		RefusalsByHost: r.refusalsByHost(),
		ColdStarts:     r.coldStarts(),
		Loads:          r.loadTimes(),
		WarmFirstToken: newQuantiles(r.warmFirstTokens(r.coldRequests())),
		Idle:           r.idleMemory(),
		Shares:         r.shares(),
		Refusals:       r.refusals(func(result loadgen.Result) bool { return r.FaultedHosts[result.Arrival.Host] }),
		AddedLatency:   r.addedLatency(),
		PlatformCalls:  r.platformRates(),
		Violations:     r.violations(),
	}
	var delays []time.Duration
	for _, result := range r.measuredResults() {
		report.Outcomes[string(result.Outcome)]++
		if !result.Served() {
			report.Reasons[string(result.Outcome)+"/"+string(result.Reason)]++
		}
		delays = append(delays, result.SendDelay)
	}
	report.SendDelay = newQuantiles(delays)
	return report
}

func (r Run) refusalsByHost() map[string]map[int]int {
	refused := make(map[string]map[int]int)
	for _, result := range r.measuredResults() {
		if result.Outcome != loadgen.OutcomeNotRun {
			continue
		}
		reason := string(result.Reason)
		if refused[reason] == nil {
			refused[reason] = make(map[int]int)
		}
		refused[reason][result.Arrival.Host]++
	}
	return refused
}

func (r Run) loadTimes() []LoadTimes {
	times := make(map[engine.Source][]time.Duration)
	unused := make(map[engine.Source]int)
	for _, list := range r.loadsWithRequests() {
		for _, l := range list {
			times[l.Source] = append(times[l.Source], time.Duration(l.ReadyMS-l.StartedMS)*time.Millisecond)
			if len(l.requests) == 0 {
				unused[l.Source]++
			}
		}
	}
	var all []LoadTimes
	for _, source := range []engine.Source{engine.SourceMemory, engine.SourceDisk, engine.SourceRemote} {
		all = append(all, LoadTimes{Source: source, Quantiles: newQuantiles(times[source]), Unused: unused[source]})
	}
	return all
}

func (r Run) platformRates() map[string]float64 {
	seconds := r.Duration.Seconds()
	return map[string]float64{
		"get":    float64(r.PlatformCalls.Gets) / seconds,
		"list":   float64(r.PlatformCalls.Lists) / seconds,
		"swap":   float64(r.PlatformCalls.Swaps) / seconds,
		"delete": float64(r.PlatformCalls.Deletes) / seconds,
		"watch":  float64(r.PlatformCalls.Watches) / seconds,
		"lease":  float64(r.PlatformCalls.Leases) / seconds,
	}
}

// addedLatency compares the direct requests with those through a host. It
// returns nil if the run has no probe results.
func (r Run) addedLatency() *AddedLatency {
	if len(r.Direct) == 0 || len(r.ViaHost) == 0 {
		return nil
	}
	direct, viaHost := newQuantiles(firstTokens(r.Direct)), newQuantiles(firstTokens(r.ViaHost))
	directInterval, viaHostInterval := newQuantiles(tokenIntervals(r.Direct)), newQuantiles(tokenIntervals(r.ViaHost))
	return &AddedLatency{
		Pairs:             len(r.ViaHost),
		DirectFirstToken:  direct,
		ViaHostFirstToken: viaHost,
		FirstTokenP50:     viaHost.P50 - direct.P50,
		FirstTokenP99:     viaHost.P99 - direct.P99,
		PerTokenP50:       viaHostInterval.P50 - directInterval.P50,
		PerTokenP99:       viaHostInterval.P99 - directInterval.P99,
	}
}

func firstTokens(results []loadgen.Result) []time.Duration {
	var times []time.Duration
	for _, result := range results {
		if result.FirstToken > 0 {
			times = append(times, result.FirstToken)
		}
	}
	return times
}

// tokenIntervals returns the mean time per token, after the first token, of each
// completion with more than one token.
func tokenIntervals(results []loadgen.Result) []time.Duration {
	var times []time.Duration
	for _, result := range results {
		if _, isCompletion := result.Arrival.Work.(workload.Completion); isCompletion && result.Tokens > 1 {
			times = append(times, (result.Duration-result.FirstToken)/time.Duration(result.Tokens))
		}
	}
	return times
}
