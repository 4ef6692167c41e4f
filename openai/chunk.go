package openai

import (
	"encoding/json"
	"fmt"

	"hawthornway/call"
	"hawthornway/team"
)

// chunk is one event of an engine's stream.
type chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *usage        `json:"usage,omitempty"`
	Error   *errorDetail  `json:"error,omitempty"`
}

type chunkChoice struct {
	Index        int             `json:"index"`
	Delta        *delta          `json:"delta,omitempty"`
	Text         *string         `json:"text,omitempty"`
	Logprobs     json.RawMessage `json:"logprobs,omitempty"`
	FinishReason *string         `json:"finish_reason"`
}

type delta struct {
	Role         string          `json:"role,omitempty"`
	Content      *string         `json:"content,omitempty"`
	Refusal      *string         `json:"refusal,omitempty"`
	ToolCalls    json.RawMessage `json:"tool_calls,omitempty"`
	FunctionCall json.RawMessage `json:"function_call,omitempty"`
}

type usage struct {
	PromptTokens     team.Tokens     `json:"prompt_tokens"`
	CompletionTokens team.Tokens     `json:"completion_tokens"`
	TotalTokens      team.Tokens     `json:"total_tokens"`
	PromptDetails    json.RawMessage `json:"prompt_tokens_details,omitempty"`
}

func parseChunk(data []byte) (chunk, error) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return chunk{}, fmt.Errorf("engine's event is not a chunk: %w", err)
	}
	return c, nil
}

// text returns the text in a chunk.
func (c *chunk) text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	choice := &c.Choices[0]
	switch {
	case choice.Text != nil:
		return *choice.Text
	case choice.Delta != nil && choice.Delta.Content != nil:
		return *choice.Delta.Content
	default:
		return ""
	}
}

// finishReason returns the finish reason, or an empty string.
func (c *chunk) finishReason() string {
	if len(c.Choices) == 0 || c.Choices[0].FinishReason == nil {
		return ""
	}
	return *c.Choices[0].FinishReason
}

// responseID returns the response ID that is sent to the caller.
func responseID(path string, id call.RequestID) string {
	if path == PathCompletions {
		return "cmpl-" + string(id)
	}
	return "chatcmpl-" + string(id)
}
