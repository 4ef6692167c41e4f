// Package workload plans seeded, open-loop traffic for a configuration: idle
// models that wake in bursts at many hosts, quick questions and long reviews in
// Arabic and English, calls to plain services, and a team beyond its rate.
package workload

import (
	"encoding/json"
	"time"

	"hawthornway/model"
	"hawthornway/openai"
	"hawthornway/team"
)

// Arrival is one request of a plan.
type Arrival struct {
	// At is the time since the start of the plan.
	At   time.Duration
	Team team.ID
	// Host is the index of the host that gets the request.
	Host int
	Work Work
	// Charge is the number of tokens taken from the team's rate on admission.
	Charge team.Tokens
}

// Work is a Completion or a ServiceCall.
type Work interface{ sealed() }

// Completion asks a model for a streamed chat completion.
type Completion struct {
	Model     model.Name
	Prompt    string
	MaxTokens team.Tokens
	Seed      int64
}

// ServiceCall calls a plain service.
type ServiceCall struct {
	Method string
	Path   string
	Body   string
	// Key is the Idempotency-Key, or empty.
	Key string
	// Idempotent says that the route's calls may be repeated.
	Idempotent bool
}

func (Completion) sealed()  {}
func (ServiceCall) sealed() {}

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

// Body returns the request's body.
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
		panic("a request body can't be encoded: " + err.Error())
	}
	return body
}

// charge returns what a host takes from the team's rate for the completion.
func (c Completion) charge() team.Tokens {
	noLimit := func(model.Name) team.Tokens { return 0 }
	generation, err := openai.ParseGeneration(openai.PathChat, c.Body(), noLimit)
	if err != nil {
		panic("a planned request is refused: " + err.Error())
	}
	return generation.PromptTokens + generation.MaxTokens
}
