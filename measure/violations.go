package measure

import (
	"hawthornway/config"
	"hawthornway/loadgen"
	"hawthornway/workload"
)

// Violations counts violations of the system's guarantees. Each count must be
// zero. The field names are part of the table written by WriteTable.
type Violations struct {
	// OvercommitOrders counts load orders that exceed an engine's memory.
	OvercommitOrders int64 `json:"overcommit-orders"`
	// KeysSeen counts requests that reached a target with a caller's API key.
	KeysSeen int64 `json:"keys-seen"`
	// WrongAnswers counts served answers that were incomplete or belonged to
	// another request.
	WrongAnswers int `json:"wrong-answers"`
	// Dropped counts requests without any answer, except at killed hosts.
	Dropped int `json:"dropped"`
	// UntrueNotRun counts requests reported as not run although a target ran
	// them.
	UntrueNotRun int `json:"untrue-not-run"`
	// RunTwice counts non-idempotent calls that ran more than once.
	RunTwice int `json:"run-twice"`
	// OverRate counts teams that were served more than their rate and burst
	// allow.
	OverRate int `json:"teams-over-rate"`
	// LateWork counts requests that reached a target after its draining period.
	LateWork int64 `json:"late-work"`
}

// Any reports whether there was any violation.
func (v Violations) Any() bool { return v != Violations{} }

func (r Run) violations() Violations {
	v := Violations{KeysSeen: r.ServiceKeysSeen}
	for _, e := range r.Engines {
		v.OvercommitOrders += e.Counts.OvercommitOrders
		v.KeysSeen += e.Counts.KeysSeen
		v.LateWork += e.Counts.RefusedAfterGrace
	}
	for _, result := range r.Results {
		r.checkResult(result, &v)
	}
	for _, t := range r.Config.Teams {
		if r.exceedsRate(t) {
			v.OverRate++
		}
	}
	return v
}

func (r Run) checkResult(result loadgen.Result, v *Violations) {
	if result.Wrong {
		v.WrongAnswers++
	}
	if result.Outcome == loadgen.OutcomeNone && !r.KilledHosts[result.Arrival.Host] {
		v.Dropped++
	}
	runs := 0
	if id := callID(result); id != "" {
		runs = r.Executions[id]
	}
	if result.Outcome == loadgen.OutcomeNotRun && runs > 0 {
		v.UntrueNotRun++
	}
	work, isCall := result.Arrival.Work.(workload.ServiceCall)
	if isCall && !work.Idempotent && runs > 1 {
		v.RunTwice++
	}
}

// callID returns the ID under which targets count executions of the call.
func callID(result loadgen.Result) string {
	if work, isCall := result.Arrival.Work.(workload.ServiceCall); isCall && work.IdempotencyKey != "" {
		return work.IdempotencyKey
	}
	return result.RequestID
}

// exceedsRate reports whether a team was served more than its limit allows. It
// replays the tokens used by each request, at its planned time, against a token
// bucket with the team's rate and burst.
func (r Run) exceedsRate(t config.Team) bool {
	b := newTokenBucket(t)
	for _, result := range r.resultsByArrival(t.Name) {
		b.refill(result.Arrival.At)
		if result.Served() {
			b.tokens -= usedTokens(result)
		}
		if b.tokens < 0 {
			return true
		}
	}
	return false
}

// usedTokens returns the number of tokens consumed by a served request.
func usedTokens(result loadgen.Result) float64 {
	work, isCompletion := result.Arrival.Work.(workload.Completion)
	if !isCompletion {
		return float64(result.Arrival.Charge)
	}
	return float64(len([]rune(work.Prompt))/runesPerToken + result.Tokens)
}
