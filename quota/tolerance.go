package quota

import (
	"math"
	"time"

	"hawthornway/catalog"
	"hawthornway/team"
)

// Tolerance is how much more than their rate and burst allow teams may use in any window
// of a given length. The platform's users accept it for changes of coordinators.
type Tolerance struct {
	Window time.Duration
	// Share is a fraction of what rate and burst allow in a window, and Slack a fixed
	// number of tokens. The tolerance is their sum.
	Share float64
	Slack team.Tokens
}

// initialToleranceShare is the fraction of the tolerance with which a ledger starts.
// Several coordinators may follow each other within a window, and hosts without a ledger
// use a part too.
const initialToleranceShare = 1.0 / 10

// cachedToleranceShare is the fraction of the tolerance that all hosts together may
// cache of a team's tokens: the team can spend it after its burst has been refilled.
const cachedToleranceShare = 1.0 / 4

// reserveToleranceShare is the fraction of the tolerance that all hosts together may spend as
// soon as they lose the ledger.
const reserveToleranceShare = 0.3

// overdraftDeviations is the number of standard deviations by which the overdrafts of all hosts
// may differ from their mean within overdraftToleranceShare of the tolerance.
const (
	overdraftDeviations     = 3
	overdraftToleranceShare = 0.3
)

// reserveStart returns what a host that loses the ledger may spend at once, by the fraction of
// all reserves that it has.
func (t Tolerance) reserveStart(limit catalog.Limit, fraction float64) team.Tokens {
	if t.Window == 0 {
		return limit.Burst
	}
	return team.Tokens(reserveToleranceShare * t.extra(limit) * fraction)
}

// maxOverdraft returns the length of the longest requests for which a host may overdraw its
// reserve at random, in tokens. Each host's overdraft deviates by half of a request at most.
func (t Tolerance) maxOverdraft(limit catalog.Limit, hosts int) team.Tokens {
	if t.Window == 0 {
		return 0
	}
	deviations := overdraftDeviations * math.Sqrt(float64(max(1, hosts))) / 2
	return team.Tokens(overdraftToleranceShare * t.extra(limit) / deviations)
}

// maxReserve returns what a host may save up while it has no ledger. All hosts may spend what
// they have saved within a window in which their reserves go on growing.
func (t Tolerance) maxReserve(limit catalog.Limit, fraction float64) team.Tokens {
	if t.Window == 0 {
		return limit.Burst
	}
	spare := (1-TotalReserveShare)*float64(limit.Rate)*t.Window.Seconds() + float64(limit.Burst)
	return team.Tokens(spare * fraction)
}

// maxCached returns the maximum number of a team's tokens that each host may cache.
func (t Tolerance) maxCached(limit catalog.Limit, hosts int) team.Tokens {
	if t.Window == 0 {
		return limit.Burst
	}
	return team.Tokens(cachedToleranceShare * t.extra(limit) / float64(max(1, hosts)))
}

// extra returns the number of tokens that a team may use beyond its limit in a window.
func (t Tolerance) extra(limit catalog.Limit) float64 {
	allowed := float64(limit.Rate)*t.Window.Seconds() + float64(limit.Burst)
	return t.Share*allowed + float64(t.Slack)
}

// initialLevel returns the level that a ledger starts with, by the time since its
// predecessor ended.
func (t Tolerance) initialLevel(limit catalog.Limit, since time.Duration) team.Tokens {
	level := initialToleranceShare*t.extra(limit) + float64(limit.Rate)*since.Seconds()
	return min(limit.Burst, team.Tokens(level))
}
