// Package burn counts how requests keep their service-level objectives, and
// reports how fast the error budgets burn and what burns them.
package burn

import (
	"slices"
	"time"

	"hawthornway/config"
	"hawthornway/model"
	"hawthornway/outcome"
	"hawthornway/team"
)

// Cause is what made a request miss its objective.
type Cause string

// The causes.
const (
	// CauseColdStart is waiting for a load, or a refusal because of one.
	CauseColdStart Cause = "cold-start"
	// CauseLimit is a full rate or queue.
	CauseLimit Cause = "limit"
	// CauseTargetFailure is a target that failed or was missing.
	CauseTargetFailure Cause = "target-failure"
	// CauseCut is a cut from other domains or the platform.
	CauseCut Cause = "cut"
	// CauseSlow is a warm answer that came too late or too slowly.
	CauseSlow Cause = "slow"
	// CauseHost is a host that starts or stops.
	CauseHost Cause = "host"
)

// Causes lists all causes, in the order of reports.
var Causes = []Cause{CauseColdStart, CauseLimit, CauseTargetFailure, CauseCut, CauseSlow, CauseHost}

// Event is one finished request.
type Event struct {
	Team  team.ID
	Model model.Name
	// Cold says that the request waited for a load.
	Cold bool
	// FirstToken is the time from the request to the first token.
	FirstToken time.Duration
	// BetweenTokens is the mean time from one token to the next.
	BetweenTokens time.Duration
	Outcome       outcome.Outcome
}

// matches reports whether an objective is about the request.
func (e Event) matches(o config.Objective) bool {
	return (o.Team == "" || o.Team == e.Team) && (o.Model == "" || o.Model == e.Model)
}

// judge returns whether the request counts for an objective and, if it missed
// it, why. What is the caller's own doing does not count.
func (e Event) judge(o config.Objective) (counts bool, missed Cause) {
	switch ended := e.Outcome.(type) {
	case outcome.Served:
		return true, e.judgeTimes(o)
	case outcome.NotRun:
		return e.judgeReason(ended.Reason)
	case outcome.Unknown:
		return e.judgeReason(ended.Reason)
	default:
		return false, ""
	}
}

func (e Event) judgeTimes(o config.Objective) Cause {
	lateFirst := o.FirstToken > 0 && e.FirstToken > o.FirstToken
	lateNext := o.BetweenTokens > 0 && e.BetweenTokens > o.BetweenTokens
	switch {
	case lateFirst && e.Cold:
		return CauseColdStart
	case lateFirst, lateNext:
		return CauseSlow
	default:
		return ""
	}
}

var callersOwn = []outcome.Reason{
	outcome.ReasonBadRequest, outcome.ReasonNoKey, outcome.ReasonKeyWithdrawn, outcome.ReasonNotAllowed,
	outcome.ReasonUnknownModel, outcome.ReasonUnknownRoute, outcome.ReasonTooLarge, outcome.ReasonCallerLeft,
	outcome.ReasonClaimed,
}

func (e Event) judgeReason(reason outcome.Reason) (bool, Cause) {
	if slices.Contains(callersOwn, reason) {
		return false, ""
	}
	switch reason {
	case outcome.ReasonRate, outcome.ReasonQueueFull, outcome.ReasonLedgerMissing:
		return true, CauseLimit
	case outcome.ReasonCutOff, outcome.ReasonClaimUnsafe:
		return true, CauseCut
	case outcome.ReasonStarting, outcome.ReasonDraining:
		return true, CauseHost
	case outcome.ReasonNoMemory:
		return true, CauseColdStart
	}
	if e.Cold {
		return true, CauseColdStart
	}
	return true, CauseTargetFailure
}
