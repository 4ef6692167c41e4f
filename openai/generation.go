package openai

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"hawthornway/call"
	"hawthornway/model"
	"hawthornway/team"
)

// The paths of the callers' protocol.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
	PathModels      = "/v1/models"
)

const (
	// defaultMaxTokens is the most that is generated where neither the caller
	// nor the model's configuration says so.
	defaultMaxTokens team.Tokens = 1024
	// prefixBytes is the length of the prompt's beginning that decides cache
	// affinity.
	prefixBytes = 1024
	// maxNesting bounds the nesting of a request's JSON.
	maxNesting = 64
)

// request holds the fields of a body that hawthornway reads. The others are
// passed on as they came.
type request struct {
	Model               *string          `json:"model"`
	Messages            *json.RawMessage `json:"messages"`
	Prompt              *json.RawMessage `json:"prompt"`
	Stream              *bool            `json:"stream"`
	StreamOptions       *streamOptions   `json:"stream_options"`
	MaxTokens           *int64           `json:"max_tokens"`
	MaxCompletionTokens *int64           `json:"max_completion_tokens"`
	N                   *int64           `json:"n"`
	Seed                *int64           `json:"seed"`
	Tools               *json.RawMessage `json:"tools"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// ParseGeneration reads a request body of one of the generation paths. Limit
// gives the most tokens that the named model may generate, or zero.
func ParseGeneration(path string, body []byte, limit func(model.Name) team.Tokens) (*call.Generation, error) {
	if err := checkJSON(body); err != nil {
		return nil, err
	}
	var req request
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, typeError(err)
	}
	prompt, err := req.prompt(path)
	if err != nil {
		return nil, err
	}
	most, err := req.maxTokens()
	if err != nil {
		return nil, err
	}
	name := model.Name(*req.Model)
	if bound := limit(name); bound > 0 && (most == 0 || most > bound) {
		most = bound
	}
	if most == 0 {
		most = defaultMaxTokens
	}
	gen := &call.Generation{
		Model:        name,
		Path:         path,
		Stream:       req.Stream != nil && *req.Stream,
		Usage:        req.StreamOptions != nil && req.StreamOptions.IncludeUsage,
		PromptTokens: estimateTokens(prompt),
		MaxTokens:    most,
		Prefix:       xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)]),
	}
	gen.EngineBody, err = engineBody(body, &req, most)
	return gen, err
}

func (r *request) prompt(path string) ([]byte, error) {
	if r.Model == nil || *r.Model == "" {
		return nil, errors.New(`field "model" is missing`)
	}
	if r.N != nil && *r.N != 1 {
		return nil, errors.New(`field "n" must be 1`)
	}
	if r.Tools != nil && (r.Stream == nil || !*r.Stream) {
		return nil, errors.New(`field "tools" needs "stream": true`)
	}
	field, prompt := "messages", r.Messages
	if path == PathCompletions {
		field, prompt = "prompt", r.Prompt
	}
	if prompt == nil {
		return nil, fmt.Errorf("field %q is missing", field)
	}
	return *prompt, checkPrompt(path, *prompt)
}

func checkPrompt(path string, prompt []byte) error {
	if path == PathCompletions {
		var text string
		if err := json.Unmarshal(prompt, &text); err != nil {
			return errors.New(`field "prompt" must be a string`)
		}
		return nil
	}
	var messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if err := json.Unmarshal(prompt, &messages); err != nil {
		return errors.New(`field "messages" must be a list of objects`)
	}
	if len(messages) == 0 {
		return errors.New(`field "messages" is empty`)
	}
	for i, message := range messages {
		if message.Role == "" {
			return fmt.Errorf(`field "messages[%d].role" is missing`, i)
		}
	}
	return nil
}

func (r *request) maxTokens() (team.Tokens, error) {
	for field, value := range map[string]*int64{
		"max_tokens":            r.MaxTokens,
		"max_completion_tokens": r.MaxCompletionTokens,
	} {
		if value != nil && *value < 1 {
			return 0, fmt.Errorf("field %q must be at least 1", field)
		}
	}
	switch {
	case r.MaxCompletionTokens != nil:
		return team.Tokens(*r.MaxCompletionTokens), nil
	case r.MaxTokens != nil:
		return team.Tokens(*r.MaxTokens), nil
	default:
		return 0, nil
	}
}

// estimateTokens bounds a prompt's tokens: half a token for each ASCII byte,
// one for each other character. What an engine counts above it is charged when
// the call ends.
func estimateTokens(prompt []byte) team.Tokens {
	characters := utf8.RuneCount(prompt)
	ascii := 0
	for _, b := range prompt {
		if b < utf8.RuneSelf {
			ascii++
		}
	}
	return team.Tokens(characters - ascii + (ascii+1)/2)
}

// engineBody returns the body for engines: always a stream with usage, with a
// seed, so that a broken stream can be continued elsewhere.
func engineBody(body []byte, req *request, most team.Tokens) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, typeError(err)
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	delete(fields, "max_completion_tokens")
	fields["max_tokens"], _ = json.Marshal(most)
	if req.Seed == nil {
		fields["seed"], _ = json.Marshal(rand.Int64N(1 << 31))
	}
	return json.Marshal(fields)
}

func typeError(err error) error {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) && wrong.Field != "" {
		return fmt.Errorf("field %q must not be a %s", wrong.Field, wrong.Value)
	}
	return fmt.Errorf("body is not a JSON object: %w", err)
}

// checkJSON refuses deep nesting and, in the outermost object, duplicate
// fields, which could be read differently by an engine.
func checkJSON(body []byte) error {
	if !utf8.Valid(body) {
		return errors.New("body is not valid UTF-8")
	}
	depth := 0
	inString, escaped := false, false
	for _, b := range body {
		switch {
		case escaped:
			escaped = false
		case inString && b == '\\':
			escaped = true
		case b == '"':
			inString = !inString
		case inString:
		case b == '{' || b == '[':
			depth++
		case b == '}' || b == ']':
			depth--
		}
		if depth > maxNesting {
			return fmt.Errorf("body is nested deeper than %d levels", maxNesting)
		}
	}
	return checkDuplicates(body)
}
