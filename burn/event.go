// Package burn counts requests that meet or miss their service-level objectives,
// and reports the burn rates of the error budgets and their causes.
package burn

import (
	"slices"
	"time"

	"hawthornway/config"
	"hawthornway/model"
	"hawthornway/outcome"
	"hawthornway/team"
)

// Cause is the reason why a request missed its objective.
type Cause string

// The causes.
const (
	// CauseColdStart is a wait for a model load, or a refusal because the model
	// couldn't be loaded.
	CauseColdStart Cause = "cold-start"
	// CauseLimit is an exhausted rate limit or a full queue.
	CauseLimit Cause = "limit"
	// CauseTargetFailure is a failed target, or the lack of one.
	CauseTargetFailure Cause = "target-failure"
	// CauseCutOff is a lost connection to other domains or to the platform.
	CauseCutOff Cause = "cut"
	// CauseSlow is a late first token from a loaded model, or a slow stream.
	CauseSlow Cause = "slow"
	// CauseHost is a host that is starting or draining.
	CauseHost Cause = "host"
)

// Causes lists all causes, in the order of reports.
var Causes = []Cause{CauseColdStart, CauseLimit, CauseTargetFailure, CauseCutOff, CauseSlow, CauseHost}

// Event is one finished request.
type Event struct {
	Team  team.ID
	Model model.Name
	// Cold is set if the request waited for a model load.
	Cold bool
	// FirstToken is the time from the receipt of the request to the first token.
	FirstToken time.Duration
	// BetweenTokens is the mean time between tokens.
	BetweenTokens time.Duration
	Outcome       outcome.Outcome
}

// matches reports whether an objective covers the request.
func (e Event) matches(o config.Objective) bool {
	return (o.Team == "" || o.Team == e.Team) && (o.Model == "" || o.Model == e.Model)
}

// classify returns whether the request counts toward an objective, and the cause
// if it missed the objective. Requests that failed because of their caller don't
// count.
func (e Event) classify(o config.Objective) (counts bool, missed Cause) {
	switch ended := e.Outcome.(type) {
	case outcome.Served:
		return true, e.classifyLatency(o)
	case outcome.NotRun:
		return e.classifyReason(ended.Reason)
	case outcome.Unknown:
		return e.classifyReason(ended.Reason)
	default:
		return false, ""
	}
}

func (e Event) classifyLatency(o config.Objective) Cause {
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

// callerReasons are the refusals that the caller is responsible for.
var callerReasons = []outcome.Reason{
	outcome.ReasonBadRequest, outcome.ReasonNoKey, outcome.ReasonKeyWithdrawn, outcome.ReasonNotAllowed,
	outcome.ReasonUnknownModel, outcome.ReasonUnknownRoute, outcome.ReasonTooLarge, outcome.ReasonCallerLeft,
	outcome.ReasonClaimed,
}

func (e Event) classifyReason(reason outcome.Reason) (bool, Cause) {
	if slices.Contains(callerReasons, reason) {
		return false, ""
	}
	switch reason {
	case outcome.ReasonRate, outcome.ReasonQueueFull, outcome.ReasonLedgerMissing:
		return true, CauseLimit
	case outcome.ReasonCutOff, outcome.ReasonClaimUnsafe:
		return true, CauseCutOff
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
