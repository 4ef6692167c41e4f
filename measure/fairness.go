package measure

import (
	"cmp"
	"slices"
	"time"

	"hawthornway/config"
	"hawthornway/loadgen"
	"hawthornway/standin/engine"
	"hawthornway/team"
	"hawthornway/workload"
)

// TeamShare compares what a team was served with its fair share, in tokens as
// charged on admission.
type TeamShare struct {
	Team      team.ID     `json:"team"`
	Offered   team.Tokens `json:"offered"`
	FairShare team.Tokens `json:"owed"`
	Served    team.Tokens `json:"served"`
	// Share is Served divided by FairShare, at most 1.
	Share float64 `json:"share"`
}

// shares returns the share of each team, lowest first.
func (r Run) shares() []TeamShare {
	byTeam := make(map[team.ID]*TeamShare)
	for _, result := range r.measuredResults() {
		share := byTeam[result.Arrival.Team]
		if share == nil {
			share = &TeamShare{Team: result.Arrival.Team}
			byTeam[result.Arrival.Team] = share
		}
		share.Offered += result.Arrival.Charge
		if result.Served() {
			share.Served += result.Arrival.Charge
		}
	}
	fairShares := r.fairShares(byTeam)
	var shares []TeamShare
	for name, share := range byTeam {
		share.FairShare = team.Tokens(fairShares[name])
		share.Share = 1
		if share.FairShare > 0 {
			share.Share = min(1, float64(share.Served)/float64(share.FairShare))
		}
		shares = append(shares, *share)
	}
	slices.SortFunc(shares, func(a, b TeamShare) int {
		return cmp.Or(cmp.Compare(a.Share, b.Share), cmp.Compare(a.Team, b.Team))
	})
	return shares
}

// fairShares divides the engines' capacity among the teams by weighted max-min
// fairness. A team's share is capped by what it offered and by what its limit
// admits over the run.
func (r Run) fairShares(offered map[team.ID]*TeamShare) map[team.ID]float64 {
	var demands []demand
	for _, t := range r.Config.Teams {
		share := offered[t.Name]
		if share == nil {
			continue
		}
		limit := float64(t.Rate)*r.Duration.Seconds() + float64(t.Burst)
		demands = append(demands, demand{team: t.Name, weight: t.Weight, amount: min(float64(share.Offered), limit)})
	}
	return maxMin(demands, r.tokenCapacity())
}

// demand is the maximum that can be allocated to one team.
type demand struct {
	team   team.ID
	weight float64
	amount float64
}

// maxMin returns the weighted max-min fair allocation of a capacity.
func maxMin(demands []demand, capacity float64) map[team.ID]float64 {
	demands = slices.Clone(demands)
	slices.SortFunc(demands, func(a, b demand) int { return cmp.Compare(a.amount/a.weight, b.amount/b.weight) })
	weights := 0.0
	for _, d := range demands {
		weights += d.weight
	}
	allocations := make(map[team.ID]float64)
	for _, d := range demands {
		allocation := min(d.amount, capacity*d.weight/weights)
		allocations[d.team] = allocation
		capacity -= allocation
		weights -= d.weight
	}
	return allocations
}

// tokenCapacity returns the engines' capacity over the run in charged tokens.
// Generated tokens are converted at the ratio of the offered requests.
func (r Run) tokenCapacity() float64 {
	step := r.Engine.StepTime.Seconds() + float64(r.Engine.Slots-1)*r.Engine.StepPerRequest.Seconds()
	generated := float64(r.Engine.Slots) / step * r.Duration.Seconds() * float64(len(r.Engines))
	return generated * r.chargePerGeneratedToken()
}

func (r Run) chargePerGeneratedToken() float64 {
	var charged, generated float64
	for _, result := range r.measuredResults() {
		work, isCompletion := result.Arrival.Work.(workload.Completion)
		if !isCompletion {
			continue
		}
		_, tokens, err := engine.ExpectedAnswer(work.Body(), r.Engine.MeanAnswer)
		if err != nil {
			continue
		}
		charged += float64(result.Arrival.Charge)
		generated += float64(tokens)
	}
	if generated == 0 {
		return 1
	}
	return charged / generated
}

// Refusals counts the requests that were refused although they were within the
// rate of their team.
type Refusals struct {
	// InsideRate is the number of requests within the rate, Wrongful the number
	// of those that were refused, and WrongfulShare their share.
	InsideRate    int            `json:"inside-rate"`
	Wrongful      int            `json:"wrongful"`
	WrongfulShare float64        `json:"share"`
	ByReason      map[string]int `json:"by-reason"`
}

// refusals replays the requests of each team against a token bucket with the
// team's rate and burst. A request that was not run consumes no tokens. Requests
// for which skip returns true are not counted.
func (r Run) refusals(skip func(loadgen.Result) bool) Refusals {
	refusals := Refusals{ByReason: make(map[string]int)}
	for _, t := range r.Config.Teams {
		r.countRefusals(t, skip, &refusals)
	}
	if refusals.InsideRate > 0 {
		refusals.WrongfulShare = float64(refusals.Wrongful) / float64(refusals.InsideRate)
	}
	return refusals
}

func (r Run) countRefusals(t config.Team, skip func(loadgen.Result) bool, refusals *Refusals) {
	b := newTokenBucket(t)
	for _, result := range r.resultsByArrival(t.Name) {
		b.refill(result.Arrival.At)
		charge := float64(result.Arrival.Charge)
		insideRate := b.tokens >= charge
		if result.Outcome != loadgen.OutcomeNotRun {
			b.tokens = max(0, b.tokens-charge)
		}
		if !insideRate || result.Arrival.At < 0 || skip(result) {
			continue
		}
		refusals.InsideRate++
		if result.Outcome == loadgen.OutcomeNotRun {
			refusals.Wrongful++
			refusals.ByReason[string(result.Reason)]++
		}
	}
}

// resultsByArrival returns the results of a team, ordered by planned time.
func (r Run) resultsByArrival(name team.ID) []loadgen.Result {
	var results []loadgen.Result
	for _, result := range r.Results {
		if result.Arrival.Team == name {
			results = append(results, result)
		}
	}
	slices.SortStableFunc(results, func(a, b loadgen.Result) int { return cmp.Compare(a.Arrival.At, b.Arrival.At) })
	return results
}

// tokenBucket is a token bucket with the rate and burst of a team.
type tokenBucket struct {
	team       config.Team
	tokens     float64
	lastRefill time.Duration
}

func newTokenBucket(t config.Team) *tokenBucket {
	return &tokenBucket{team: t, tokens: float64(t.Burst)}
}

// refill adds the tokens accrued since the last refill.
func (b *tokenBucket) refill(at time.Duration) {
	gained := max(0, (at-b.lastRefill).Seconds()) * float64(b.team.Rate)
	b.tokens = min(float64(b.team.Burst), b.tokens+gained)
	b.lastRefill = at
}
