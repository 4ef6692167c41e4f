// Package workload generates seeded, open-loop traffic for a configuration:
// bursts of requests for idle models at many hosts, short and long prompts in
// Arabic and English, calls to plain services, and a team that exceeds its rate.
package workload

import (
	"encoding/json"
	"time"

	"hawthornway/model"
	"hawthornway/openai"
	"hawthornway/team"
)

// Arrival is one planned request.
type Arrival struct {
	// At is the time since the start of the plan.
	At   time.Duration
	Team team.ID
	// Host is the index of the host that the request is sent to.
	Host int
	Work Work
	// Charge is the number of tokens charged to the team's limit on admission.
	Charge team.Tokens
}

// Work is the content of a request: a Completion or a ServiceCall.
type Work interface{ isWork() }

// Completion is a request for a streamed chat completion.
type Completion struct {
	Model     model.Name
	Prompt    string
	MaxTokens team.Tokens
	Seed      int64
}

// ServiceCall is a call to a plain service, a target that runs no models.
type ServiceCall struct {
	Method string
	Path   string
	Body   string
	// IdempotencyKey is the value of the Idempotency-Key header, or empty for
	// none.
	IdempotencyKey string
	// Idempotent is set if calls of the route may be repeated.
	Idempotent bool
}

func (Completion) isWork()  {}
func (ServiceCall) isWork() {}

type wireCompletion struct {
	Model         model.Name        `json:"model"`
	Messages      []wireMessage     `json:"messages"`
	MaxTokens     team.Tokens       `json:"max_tokens"`
	Seed          int64             `json:"seed"`
	Stream        bool              `json:"stream"`
	StreamOptions wireStreamOptions `json:"stream_options"`
}

type wireMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type wireStreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Body returns the JSON body of the request.
func (c Completion) Body() []byte {
	body, err := json.Marshal(wireCompletion{
		Model:         c.Model,
		Messages:      []wireMessage{{Role: "user", Content: c.Prompt}},
		MaxTokens:     c.MaxTokens,
		Seed:          c.Seed,
		Stream:        true,
		StreamOptions: wireStreamOptions{IncludeUsage: true},
	})
	if err != nil {
		panic("encode completion request: " + err.Error())
	}
	return body
}

// charge returns the number of tokens that a host charges to the team's limit on
// admission.
func (c Completion) charge() team.Tokens {
	noLimit := func(model.Name) team.Tokens { return 0 }
	generation, err := openai.ParseGeneration(openai.PathChat, c.Body(), noLimit)
	if err != nil {
		panic("planned completion request is invalid: " + err.Error())
	}
	return generation.PromptTokens + generation.MaxTokens
}
