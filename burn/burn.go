// Package burn keeps the service-level burn report: how much of the error budget
// of each objective was used over several windows, and what used it.
package burn

import (
	"time"

	"hawthornway/config"
	"hawthornway/model"
	"hawthornway/outcome"
	"hawthornway/team"
)

// Cause says what made a call miss its objective.
type Cause string

// The causes of misses.
const (
	CauseColdStart Cause = "cold-start"
	CauseLimit     Cause = "limit"
	CauseTarget    Cause = "target-failure"
	CauseCut       Cause = "cut"
	CauseSlow      Cause = "slow"
	CauseCapacity  Cause = "capacity"
	CauseClaim     Cause = "claim"
	CauseNotTheirs Cause = "caller"
	causeNone      Cause = ""
)

// Call is what the report takes of an ended call.
type Call struct {
	Team  team.ID
	Model model.Name
	// FirstToken is the time to the first token, or zero if there was none.
	FirstToken time.Duration
	// SlowestGap is the longest time between two tokens.
	SlowestGap time.Duration
	Cold       bool
	Outcome    outcome.Outcome
}

// missed returns why a call missed an objective, or causeNone if it kept it. A
// call that failed by its own caller's fault counts for nothing: ok is false.
func missed(o config.Objective, c Call) (cause Cause, ok bool) {
	switch ended := c.Outcome.(type) {
	case outcome.NotRun:
		cause = causeOf(ended.Reason)
		return cause, cause != CauseNotTheirs
	case outcome.Unknown:
		cause = causeOf(ended.Reason)
		return cause, cause != CauseNotTheirs
	}
	switch {
	case o.FirstToken > 0 && c.FirstToken > o.FirstToken && c.Cold:
		return CauseColdStart, true
	case o.FirstToken > 0 && c.FirstToken > o.FirstToken:
		return CauseSlow, true
	case o.BetweenTokens > 0 && c.SlowestGap > o.BetweenTokens:
		return CauseSlow, true
	default:
		return causeNone, true
	}
}

// causes maps reasons to causes. A reason that is missing is the caller's.
var causes = map[outcome.Reason]Cause{
	outcome.ReasonRate:          CauseLimit,
	outcome.ReasonQueueFull:     CauseLimit,
	outcome.ReasonLedgerMissing: CauseLimit,
	outcome.ReasonDeadline:      CauseColdStart,
	outcome.ReasonNoMemory:      CauseCapacity,
	outcome.ReasonNoTarget:      CauseCapacity,
	outcome.ReasonCutOff:        CauseCut,
	outcome.ReasonStarting:      CauseCut,
	outcome.ReasonLeaving:       CauseCut,
	outcome.ReasonClaimUnsafe:   CauseClaim,
	outcome.ReasonTargetFailed:  CauseTarget,
	outcome.ReasonWrongAnswer:   CauseTarget,
	outcome.ReasonShortAnswer:   CauseTarget,
}

func causeOf(reason outcome.Reason) Cause {
	if cause, ok := causes[reason]; ok {
		return cause
	}
	return CauseNotTheirs
}

// applies reports whether an objective covers a call.
func applies(o config.Objective, c Call) bool {
	return (o.Team == "" || o.Team == c.Team) && (o.Model == "" || o.Model == c.Model)
}
