package measure

import (
	"time"

	"hawthornway/loadgen"
	"hawthornway/standin/engine"
	"hawthornway/workload"
)

// Report is what one run measured.
type Report struct {
	Deployment string         `json:"deployment"`
	Case       string         `json:"case"`
	System     string         `json:"system"`
	Seed       uint64         `json:"seed"`
	Seconds    float64        `json:"seconds"`
	Endings    map[string]int `json:"endings"`
	// Reasons count the requests that were not served, in and out of the rate.
	Reasons map[string]int `json:"reasons"`
	// RefusedAt count the refused requests by reason and index of the host.
	RefusedAt  map[string]map[int]int `json:"refused-at"`
	ColdStarts []ColdStarts           `json:"cold-starts"`
	Loads      []LoadTimes            `json:"loads"`
	Warm       Quantiles              `json:"warm-first-token"`
	Idle       Idle                   `json:"idle"`
	Shares     []TeamShare            `json:"shares"`
	Refusals   Refusals               `json:"refusals"`
	Added      *Added                 `json:"added-latency,omitempty"`
	// Platform are the key-value service's calls a second, by kind.
	Platform map[string]float64 `json:"platform-calls-per-second"`
	Promises Promises           `json:"promises"`
	// SentLate is how late the load generator itself was.
	SentLate Quantiles `json:"sent-late"`
}

// LoadTimes sums up the engines' loads from one source. Unused loads ended
// without a request that had waited for them.
type LoadTimes struct {
	Source engine.Source `json:"source"`
	Quantiles
	Unused int `json:"unused"`
}

// Added compares requests through a host with the same requests at the engine.
type Added struct {
	Pairs             int       `json:"pairs"`
	DirectFirstToken  Quantiles `json:"direct-first-token"`
	ThroughFirstToken Quantiles `json:"through-first-token"`
	// FirstToken and PerToken are the differences.
	FirstTokenP50 MS `json:"added-first-token-p50-ms"`
	FirstTokenP99 MS `json:"added-first-token-p99-ms"`
	PerTokenP50   MS `json:"added-per-token-p50-ms"`
	PerTokenP99   MS `json:"added-per-token-p99-ms"`
}

// NewReport works out the report of a run.
func NewReport(r Run) Report {
	report := Report{
		Deployment: r.Deployment,
		Case:       r.Case,
		System:     r.System,
		Seed:       r.Seed,
		Seconds:    r.Length.Seconds(),
		Endings:    make(map[string]int),
		Reasons:    make(map[string]int),
		RefusedAt:  r.refusedAt(),
		ColdStarts: r.coldStarts(),
		Loads:      r.loadTimes(),
		Warm:       newQuantiles(r.warm(r.coldRequests())),
		Idle:       r.idle(),
		Shares:     r.shares(),
		Refusals:   r.refusals(func(result loadgen.Result) bool { return r.Faulted[result.Arrival.Host] }),
		Added:      r.added(),
		Platform:   r.platformRates(),
		Promises:   r.promises(),
	}
	var late []time.Duration
	for _, result := range r.measured() {
		report.Endings[string(result.Ending)]++
		if !result.Served() {
			report.Reasons[string(result.Ending)+"/"+string(result.Reason)]++
		}
		late = append(late, result.SentLate)
	}
	report.SentLate = newQuantiles(late)
	return report
}

func (r Run) refusedAt() map[string]map[int]int {
	refused := make(map[string]map[int]int)
	for _, result := range r.measured() {
		if result.Ending != loadgen.EndingNotRun {
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
	for _, list := range r.waitedLoads() {
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
	seconds := r.Length.Seconds()
	return map[string]float64{
		"get":    float64(r.Platform.Gets) / seconds,
		"list":   float64(r.Platform.Lists) / seconds,
		"swap":   float64(r.Platform.Swaps) / seconds,
		"delete": float64(r.Platform.Deletes) / seconds,
		"watch":  float64(r.Platform.Watches) / seconds,
		"lease":  float64(r.Platform.Leases) / seconds,
	}
}

// added compares the pairs of direct and through requests, or returns nil
// without any.
func (r Run) added() *Added {
	if len(r.Direct) == 0 || len(r.Through) == 0 {
		return nil
	}
	direct, through := newQuantiles(firstTokens(r.Direct)), newQuantiles(firstTokens(r.Through))
	directGap, throughGap := newQuantiles(tokenGaps(r.Direct)), newQuantiles(tokenGaps(r.Through))
	return &Added{
		Pairs:             len(r.Through),
		DirectFirstToken:  direct,
		ThroughFirstToken: through,
		FirstTokenP50:     through.P50 - direct.P50,
		FirstTokenP99:     through.P99 - direct.P99,
		PerTokenP50:       throughGap.P50 - directGap.P50,
		PerTokenP99:       throughGap.P99 - directGap.P99,
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

// tokenGaps returns each request's mean time between tokens.
func tokenGaps(results []loadgen.Result) []time.Duration {
	var times []time.Duration
	for _, result := range results {
		if _, isCompletion := result.Arrival.Work.(workload.Completion); isCompletion && result.Tokens > 1 {
			times = append(times, (result.End-result.FirstToken)/time.Duration(result.Tokens))
		}
	}
	return times
}
