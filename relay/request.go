package relay

import (
	"net/http"
	"time"

	"hawthornway/catalog"
	"hawthornway/model"
	"hawthornway/roster"
	"hawthornway/target"
	"hawthornway/team"
)

// RequestID names one try of a caller. Targets echo it.
type RequestID string

// EventID numbers the events of a stream. Zero stands for none.
type EventID int64

// Request is what a caller sent.
type Request struct {
	ID RequestID
	// Key is empty if the caller sent none.
	Key catalog.Key
	// Timeout is how long the caller waits; zero if it doesn't say.
	Timeout time.Duration
	// Model is empty for requests to plain services.
	Model   model.Name
	Adapter model.Name
	// Tokens is the prompt's size and the most tokens to be generated. It is nil
	// if the caller doesn't state them.
	Tokens *Tokens
	// Session names the last part of the prompt, which only requests of one
	// session share.
	Session string
	// LastEventID is the last event that the caller has of a stream that broke off.
	LastEventID EventID

	Method string
	URI    string
	Host   string
	Path   string
	Header http.Header
	Body   []byte
}

// Tokens are the sizes of a prompt and of its answer.
type Tokens struct {
	Prompt    team.Tokens
	Generated team.Tokens
}

// promptTokens returns the size of the prompt, or zero if it isn't stated.
func (r Request) promptTokens() team.Tokens {
	if r.Tokens == nil {
		return 0
	}
	return r.Tokens.Prompt
}

// Attempt is what a request is sent to a target with.
type Attempt struct {
	Target target.ID
	// TimeLeft is how long the caller still waits.
	TimeLeft time.Duration
	// Team is empty on open routes.
	Team team.ID
	// Priority is the rank of the request, 0 first. It is negative for targets
	// that know none.
	Priority int
	// LastEventID is the last event that is already passed on; zero starts the stream.
	LastEventID EventID
}

// ResponseInfo is what the headers of a target's answer say.
type ResponseInfo struct {
	// NotRun says that the target didn't run the request.
	NotRun bool
	// Replaced says that another target has the address.
	Replaced bool
	// NotLoaded says that the target lacks the model or the adapter.
	NotLoaded bool
	// Signed says that the answer bears a target's signature.
	Signed bool
	// Load is nil if the target doesn't tell its load.
	Load *Load
}

// Load is the work that a target has.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Dialect translates between requests and the headers of callers and targets.
type Dialect interface {
	// ParseRequest reads a request's headers. The body is read by the relay.
	ParseRequest(r *http.Request) (Request, error)
	// TargetHeader returns the headers for a target.
	TargetHeader(req Request, s Attempt) http.Header
	// IsResponseTo reports whether an answer is one to the request.
	IsResponseTo(req Request, answer http.Header) bool
	// ParseResponse reads the headers of an answer of the target of an id.
	ParseResponse(id target.ID, status int, answer http.Header) ResponseInfo
	// CallerHeader returns the headers of an answer that the caller gets.
	CallerHeader(answer http.Header) http.Header
}

// Ask asks for a target.
type Ask struct {
	Pool    target.Pool
	Model   model.Name
	Adapter model.Name
	Session string
	// Prompt is the size of the prompt.
	Prompt team.Tokens
	// Avoid are targets that have failed the request.
	Avoid    map[target.ID]bool
	Priority int
	// Due is when the answer, or a stream's first event, is still on time.
	Due time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	Team     team.ID
	ID       RequestID
}

// Place is a target that was chosen for one sending.
type Place struct {
	Target roster.Target
	// Done has to be called once, with what became of the sending.
	Done func(Result)
}

// Result is one of Served, Refused, Failed and Abandoned.
type Result interface{ sealed() }

// Served says that the target answered.
type Served struct{ Load *Load }

// Refused says that the target didn't run the request.
type Refused struct {
	Load *Load
	// Missing says that the target lacks the model or the adapter.
	Missing bool
}

// Failed says that the target couldn't be reached, broke off or was wrong.
type Failed struct {
	// Unreachable says that no connection could be opened.
	Unreachable bool
}

// Abandoned says that the caller left or the time ran out, which says nothing
// of the target.
type Abandoned struct{}

func (Served) sealed()    {}
func (Refused) sealed()   {}
func (Failed) sealed()    {}
func (Abandoned) sealed() {}
