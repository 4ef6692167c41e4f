package relay

import (
	"net/http"
	"time"

	"hawthornway/catalog"
	"hawthornway/exchange"
	"hawthornway/fleet"
	"hawthornway/model"
	"hawthornway/outcome"
	"hawthornway/pace"
	"hawthornway/quarantine"
	"hawthornway/roster"
	"hawthornway/slowdown"
	"hawthornway/target"
	"hawthornway/team"
)

// RequestID identifies one request of a caller. A caller that repeats a request
// uses another ID. Targets echo it in their responses.
type RequestID string

// EventID numbers the events of a stream. Zero means none.
type EventID int64

// Request is a caller's request.
type Request struct {
	ID RequestID
	// Key is empty if the caller sent none.
	Key catalog.Key
	// Timeout is how long the caller waits. Zero means unspecified.
	Timeout time.Duration
	// Model is empty for requests to plain services.
	Model   model.Name
	Adapter model.Name
	// Tokens holds the size of the prompt and the maximum number of tokens to
	// generate. It is nil if the caller does not state them.
	Tokens *Tokens
	// Session identifies the session of the request. It is the last part of the
	// prompt prefix, which only requests of one session have in common.
	Session string
	// PromptParts lists the parts of the prompt, in order. The last one belongs to the request or
	// its session.
	PromptParts []quarantine.Suspect
	// LastEventID is the last event that the caller received of an interrupted
	// stream, and Resumes the request that brought its first event. Both are zero for a new
	// stream.
	LastEventID EventID
	Resumes     RequestID

	Method string
	URI    string
	Host   string
	Path   string
	Header http.Header
	Body   []byte
}

// Tokens holds the token count of a prompt and the maximum number of tokens to
// generate.
type Tokens struct {
	Prompt    team.Tokens
	Generated team.Tokens
}

// promptTokens returns the size of the prompt, or zero if it is not stated.
func (r Request) promptTokens() team.Tokens {
	if r.Tokens == nil {
		return 0
	}
	return r.Tokens.Prompt
}

// Attempt describes one attempt to run a request at a target.
type Attempt struct {
	Target target.ID
	// TimeLeft is the time until the caller's deadline.
	TimeLeft time.Duration
	// Team is empty on open routes.
	Team team.ID
	// Priority is the rank of the request; 0 goes first. It is negative for
	// targets without priorities.
	Priority int
	// LastEventID is the last event that the caller has. Zero starts the stream.
	LastEventID EventID
}

// ResponseInfo is the information in the headers of a target's response.
type ResponseInfo struct {
	// NotRun is set if the target did not run the request.
	NotRun bool
	// Replaced is set if another target now has this address.
	Replaced bool
	// NotLoaded is set if the target has not loaded the model or adapter.
	NotLoaded bool
	// Signed is set if the response carries a target's signature.
	Signed bool
	// Load is nil if the target does not report its load.
	Load *TargetLoad
	// Leaving is set if the target says that it leaves.
	Leaving bool
	// Pause is how long the target wants no requests from this host, or zero.
	Pause time.Duration
	// Limit is the number of requests a second that the target takes from all hosts, or nil
	// if it states none.
	Limit *pace.Rate
	// Brittle is set if the target says that it can't bear turning many requests away.
	Brittle bool
	// Cold is how long the target says that it stays cold, or zero.
	Cold time.Duration
}

// TargetLoad is the number of requests at a target and its slots.
type TargetLoad struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is how long work takes on the target's machine at this moment, or zero if the
	// target doesn't state it.
	Slowdown slowdown.Factor
}

// Dialect translates between requests and the headers of callers and targets.
type Dialect interface {
	// ParseRequest reads the request from its headers. It leaves the body
	// unread.
	ParseRequest(r *http.Request) (Request, error)
	// TargetHeader returns the headers to send to a target.
	TargetHeader(req Request, attempt Attempt) http.Header
	// Belonging tells whether a response with these headers belongs to the request.
	Belonging(req Request, header http.Header) exchange.Belonging
	// ParseResponse reads the response headers of a target.
	ParseResponse(id target.ID, status int, header http.Header) ResponseInfo
	// CallerHeader returns the headers of a target's response that the caller
	// gets.
	CallerHeader(header http.Header) http.Header
}

// PlacementRequest describes the target that a request needs.
type PlacementRequest struct {
	Pool    target.Pool
	Model   model.Name
	Adapter model.Name
	// Version is the version of the target, or empty if any will do.
	Version target.Version
	// Homes are the regions in which the request may run.
	Homes   fleet.RegionSet
	Session string
	// PromptTokens is the size of the prompt.
	PromptTokens team.Tokens
	// Avoid holds targets that have failed the request.
	Avoid    map[target.ID]bool
	Priority int
	// Due is the time up to which the response, or the first event of a stream,
	// is on time.
	Due time.Time
	// Deadline is the time when the caller stops waiting.
	Deadline time.Time
	// Repeatable is set if the caller may send the request again after any failure.
	Repeatable bool
	// Refusal returns a refusal if it has become known that the request must not be sent.
	// The placer asks it while the request waits.
	Refusal func() *outcome.NotRun
	// Begun is set if a target was sent the request before, or the caller has a part of the stream.
	Begun bool
	Team  team.ID
	ID    RequestID
}

// Placement is a target chosen for one attempt.
type Placement struct {
	Target roster.Target
	// Notice, unless it is nil, must be called with what the target says of itself, as
	// soon as its response begins.
	Notice func(Notice)
	// Done must be called exactly once, with the result of the attempt.
	Done func(Result)
}

// Notice is what a target says of itself beside a response: Leaving, Paused, Limited,
// Unlimited, Cold, Loaded or FirstEvent.
type Notice interface{ notice() }

// Leaving means that the target leaves and wants no further requests.
type Leaving struct{}

// Paused means that the target wants no requests from this host for some time.
type Paused struct{ For time.Duration }

// Limited means that the target takes a number of requests a second from all hosts together,
// unless Rate is zero, or that it can't bear turning many requests away, if Brittle is set.
type Limited struct {
	Rate    pace.Rate
	Brittle bool
}

// Unlimited means that the target states no limit.
type Unlimited struct{}

// Cold means that the target bears few requests for some time.
type Cold struct{ For time.Duration }

// Loaded is the load of a target that also states how long work takes there.
type Loaded struct{ TargetLoad }

// FirstEvent means that the first event of a stream has arrived.
type FirstEvent struct{}

func (Loaded) notice()     {}
func (Cold) notice()       {}
func (FirstEvent) notice() {}
func (Leaving) notice()    {}
func (Paused) notice()     {}
func (Limited) notice()    {}
func (Unlimited) notice()  {}

// Result is the result of an attempt for the placer: Served, Refused, Failed or
// Abandoned.
type Result interface{ sealed() }

// Served means that the target responded.
type Served struct{ Load *TargetLoad }

// Refused means that the target did not run the request.
type Refused struct {
	Load *TargetLoad
	// NotLoaded is set if the target has not loaded the model or adapter.
	NotLoaded bool
}

// Failed means that the target was unreachable, interrupted its response, or
// responded incorrectly.
type Failed struct {
	// Unreachable is set if no connection could be opened.
	Unreachable bool
}

// Abandoned means that the caller left or the deadline passed, which says
// nothing about the target.
type Abandoned struct{}

func (Served) sealed()    {}
func (Refused) sealed()   {}
func (Failed) sealed()    {}
func (Abandoned) sealed() {}
