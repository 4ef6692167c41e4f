// Package call carries one caller's request through the chain of filters that
// admits, limits, queues and routes it.
package call

import (
	"context"
	"net/http"
	"time"

	"hawthornway/config"
	"hawthornway/fleet"
	"hawthornway/model"
	"hawthornway/outcome"
	"hawthornway/target"
	"hawthornway/team"
)

// RequestID names one request on its whole way.
type RequestID string

// Attempt counts the sendings of one request to targets, from 1.
type Attempt int

// Call is one caller's request.
type Call struct {
	ID       RequestID
	Writer   *Writer
	Request  *http.Request
	Received time.Time
	// Deadline is when the caller stops waiting for the first part of the
	// answer. Zero until a filter has set it.
	Deadline time.Time
	Body     []byte
	// Team is empty on open routes.
	Team team.ID
	// Presented is the caller's key. It is never logged or passed on.
	Presented string
	Subject   Subject
	// Answer is what a plain service answered, as far as it is kept.
	Answer Answer
	Trace  Trace
}

// Answer is the answer of a plain service.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Whole says that Body is the whole body.
	Whole bool
}

// Subject is what a call asks for: one of *Generation, *Service and *Listing.
type Subject interface{ subject() }

// Generation asks a model for an answer.
type Generation struct {
	Model model.Name
	// Path is the path of the engine's API.
	Path string
	// Stream says that the caller wants events.
	Stream bool
	// Usage says that the caller wants the usage as a last event.
	Usage bool
	// PromptTokens is an estimate made from the prompt's size.
	PromptTokens team.Tokens
	// MaxTokens is the most that may be generated.
	MaxTokens team.Tokens
	// Prefix is the hash of the prompt's beginning, for cache affinity.
	Prefix uint64
	// EngineBody is the body as sent to engines.
	EngineBody []byte
}

// Service asks a plain service under a route.
type Service struct {
	Route config.Route
	// Key is the caller's Idempotency-Key, or empty.
	Key string
}

// Listing asks for the models that the team may use.
type Listing struct{}

func (*Generation) subject() {}
func (*Service) subject()    {}
func (*Listing) subject()    {}

// Trace is what is known of a call when it ends, for metrics, logs and the
// service-level report.
type Trace struct {
	Target target.ID
	Domain fleet.DomainID
	// Attempts is the number of sendings to targets.
	Attempts Attempt
	// Cold says that the call waited for a load.
	Cold bool
	// FirstToken is when the first token was passed on, or zero.
	FirstToken time.Time
	// LastToken is when the last token was passed on, or zero.
	LastToken time.Time
	// GeneratedTokens is the number of tokens passed on.
	GeneratedTokens team.Tokens
	// PromptTokens is the number of prompt tokens that the engine counted.
	PromptTokens team.Tokens
	Ended        time.Time
}

// UsedTokens returns the tokens that the call took.
func (t *Trace) UsedTokens() team.Tokens { return t.PromptTokens + t.GeneratedTokens }

// Cost returns the most tokens that the call may take.
func (c *Call) Cost() team.Tokens {
	switch s := c.Subject.(type) {
	case *Generation:
		return s.PromptTokens + s.MaxTokens
	case *Service:
		return s.Route.Cost
	default:
		return 0
	}
}

// Handler serves a call and returns how it ended. A handler that returns
// outcome.NotRun has written nothing.
type Handler func(ctx context.Context, c *Call) outcome.Outcome

// RevokedError is the cause of a context that ended because the caller's key
// was withdrawn.
type RevokedError struct{}

// Error says that the key was withdrawn.
func (*RevokedError) Error() string { return "the key was withdrawn" }

// Sent notes that the call is sent to a target once more.
func (t *Trace) Sent(to target.ID, domain fleet.DomainID, number Attempt, cold bool) {
	t.Target = to
	t.Domain = domain
	t.Attempts = number
	t.Cold = t.Cold || cold
}
