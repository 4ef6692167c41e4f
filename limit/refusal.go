package limit

import (
	"fmt"
	"slices"
	"time"

	"hawthornway/outcome"
	"hawthornway/team"
)

// unavailableRetryDelay is the retry delay while ledgers that a request needs are
// unavailable.
const unavailableRetryDelay = 3 * time.Second

// retryMargin is added to the time at which the tokens are expected, since the last
// reports may still be in flight.
const retryMargin = 10 * time.Millisecond

func refuseUnknownTeam() *Refusal {
	return &Refusal{Reason: outcome.ReasonNotAllowed, Detail: "the team is not configured"}
}

func refuseTooLarge(maxTokens, burst team.Tokens) *Refusal {
	return &Refusal{
		Reason: outcome.ReasonTooLarge,
		Detail: fmt.Sprintf("the request may use %d tokens, which is more than the team's burst of %d", maxTokens, burst),
	}
}

func refuseDeadline() *Refusal {
	return &Refusal{
		Reason:     outcome.ReasonDeadline,
		RetryAfter: time.Second,
		Detail:     "the deadline came before the team's limit was checked",
	}
}

// refuse returns a refusal with the time at which the available ledgers are expected to
// have the tokens that a request needs.
func (c *controller) refuse(cache *tokenCache, accounts []*ledgerAccount, maxTokens MicroTokens) *Refusal {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	now := c.clock.Now()
	wait, ok := timeUntil(now, accounts, float64(maxTokens))
	if !ok {
		return &Refusal{
			Reason:     outcome.ReasonLedgerMissing,
			RetryAfter: unavailableRetryDelay,
			Detail:     "the part of the team's limit that can be reached is too small for the request",
			notLeased:  slices.ContainsFunc(accounts, func(a *ledgerAccount) bool { return a.view.notLeased }),
		}
	}
	return &Refusal{
		Reason:     outcome.ReasonRate,
		RetryAfter: wait + retryMargin,
		Detail:     "the team's rate and burst are used up",
	}
}

// timeUntil returns the time until the ledgers together have n tokens if nobody borrows
// any, by bisection to a millisecond. It returns false if they don't have them within
// a day.
func timeUntil(now time.Time, accounts []*ledgerAccount, n float64) (time.Duration, bool) {
	sumAt := func(at time.Time) float64 {
		sum := 0.0
		for _, a := range accounts {
			sum += a.levelAt(at)
		}
		return sum
	}
	const maxWait = 24 * time.Hour
	if sumAt(now.Add(maxWait)) < n-float64(len(accounts)) {
		return 0, false
	}
	low, high := time.Duration(0), maxWait
	for high-low > time.Millisecond {
		middle := (low + high) / 2
		if sumAt(now.Add(middle)) >= n {
			high = middle
			continue
		}
		low = middle
	}
	return high, true
}
