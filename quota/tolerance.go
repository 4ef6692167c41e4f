package quota

import (
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
