// Package limit keeps every team within its rate and burst over all hosts together.
//
// The record limit/<team> in the platform's key-value service divides a team's limit
// among the failure domains. In each domain one host runs the team's ledger, a token
// bucket that lends tokens to hosts for a short time. A host whose own domain's ledger
// has too few tokens asks the ledgers of other domains.
package limit

import (
	"context"
	"time"

	"hawthornway/outcome"
	"hawthornway/team"
)

// Limiter admits requests within the rates and bursts of their teams.
type Limiter interface {
	// Reserve charges a request with the maximum number of tokens that it may use.
	// It returns the charge, or the reason why the request is not admitted. It waits
	// at most a second for tokens that are about to come in, and longer for a ledger
	// that is being handed over to another host.
	Reserve(ctx context.Context, id team.ID, maxTokens team.Tokens) (Charge, *Refusal)
}

// Charge holds the tokens that an admitted request was charged.
type Charge interface {
	// Settle refunds what the request did not use. Only the first call has an effect.
	Settle(used team.Tokens)
}

// Limit is a team's limit over the whole fleet.
type Limit struct {
	Rate  team.TokensPerSecond
	Burst team.Tokens
}

// Limits returns the limit of a team in the configuration that is in force at this
// host, or false if there is no such team.
type Limits func(id team.ID) (Limit, bool)

// Refusal is the reason why a request was not admitted.
type Refusal struct {
	Reason outcome.Reason
	// RetryAfter is the time after which the team is expected to have the tokens.
	// Zero means that a retry won't help.
	RetryAfter time.Duration
	// Detail is an explanation for the caller.
	Detail string
	// notLeased is set when a missing ledger is being handed over to another host.
	notLeased bool
}

// Outcome returns the refusal as the request's outcome.
func (r *Refusal) Outcome() outcome.NotRun {
	return outcome.NotRun{Reason: r.Reason, RetryAfter: r.RetryAfter, Detail: r.Detail}
}
