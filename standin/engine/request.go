package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"unicode/utf8"

	"hawthornway/engine"
	"hawthornway/model"
	"hawthornway/standin/wire"
)

// Simulated token sizes.
const (
	runesPerToken = 4
	prefixTokens  = engine.PrefixRunes / runesPerToken
)

// Headers that hosts send to engines.
const (
	headerRequest  = "X-Request-Id"
	headerAttempt  = "X-Attempt"
	headerPriority = "X-Priority"
	headerResume   = "X-Resume-From"
)

// identity identifies a response: the request, the attempt and the generated
// answer.
type identity struct {
	id      string
	attempt string
	answer  answer
}

// request is a parsed completion request.
type request struct {
	id           string
	attempt      string
	priority     int
	resumeFrom   int
	model        model.Name
	prompt       string
	seed         int64
	maxTokens    int
	ignoreEOS    bool
	stream       bool
	includeUsage bool
}

func (r request) answer(meanTokens int) answer {
	return newAnswer(r.model, r.prompt, r.seed, meanTokens, r.maxTokens, r.ignoreEOS)
}

// promptTokens returns the number of tokens in the prompt, at least one.
func (r request) promptTokens() int {
	return max(1, (utf8.RuneCountInString(r.prompt)+runesPerToken-1)/runesPerToken)
}

// wireRequest holds the fields of the OpenAI request body that the stand-in
// supports.
type wireRequest struct {
	Model               model.Name        `json:"model"`
	Messages            []wireMessage     `json:"messages"`
	Prompt              json.RawMessage   `json:"prompt"`
	MaxTokens           int               `json:"max_tokens"`
	MaxCompletionTokens int               `json:"max_completion_tokens"`
	Seed                int64             `json:"seed"`
	Stream              bool              `json:"stream"`
	StreamOptions       wireStreamOptions `json:"stream_options"`
	IgnoreEOS           bool              `json:"ignore_eos"`
}

type wireMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type wireStreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type wireContentPart struct {
	Text string `json:"text"`
}

func readRequest(w http.ResponseWriter, r *http.Request) (request, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBodyBytes))
	if err != nil {
		return request{}, err
	}
	req, err := parseBody(body)
	if err != nil {
		return request{}, err
	}
	req.id = r.Header.Get(headerRequest)
	req.attempt = r.Header.Get(headerAttempt)
	if req.priority, err = headerNumber(r, headerPriority); err != nil {
		return request{}, err
	}
	if req.resumeFrom, err = headerNumber(r, headerResume); err != nil {
		return request{}, err
	}
	if req.resumeFrom < 0 {
		return request{}, fmt.Errorf("%s is negative", headerResume)
	}
	return req, nil
}

func parseBody(content []byte) (request, error) {
	var body wireRequest
	if err := json.Unmarshal(content, &body); err != nil {
		return request{}, err
	}
	prompt, err := body.text()
	return request{
		model:        body.Model,
		prompt:       prompt,
		seed:         body.Seed,
		maxTokens:    max(body.MaxTokens, body.MaxCompletionTokens),
		ignoreEOS:    body.IgnoreEOS,
		stream:       body.Stream,
		includeUsage: body.StreamOptions.IncludeUsage,
	}, err
}

// ExpectedAnswer returns the text that every engine generates for a request
// body, and its number of tokens. meanTokens is the engines'
// Settings.MeanAnswer.
func ExpectedAnswer(body []byte, meanTokens int) (string, int, error) {
	req, err := parseBody(body)
	if err != nil {
		return "", 0, err
	}
	a := req.answer(meanTokens)
	var text strings.Builder
	for index := range a.length {
		text.WriteString(a.token(index))
	}
	return text.String(), a.length, nil
}

func headerNumber(r *http.Request, name string) (int, error) {
	text := r.Header.Get(name)
	if text == "" {
		return 0, nil
	}
	return strconv.Atoi(text)
}

// text returns the prompt, or the messages joined into one text.
func (b wireRequest) text() (string, error) {
	if b.Prompt != nil {
		return promptText(b.Prompt)
	}
	if len(b.Messages) == 0 {
		return "", errors.New("no messages and no prompt")
	}
	var text strings.Builder
	for _, m := range b.Messages {
		content, err := contentText(m.Content)
		if err != nil {
			return "", err
		}
		text.WriteString(m.Role + ": " + content + "\n")
	}
	return text.String(), nil
}

func promptText(raw json.RawMessage) (string, error) {
	var single string
	if json.Unmarshal(raw, &single) == nil {
		return single, nil
	}
	var list []string
	if err := json.Unmarshal(raw, &list); err != nil {
		return "", errors.New("prompt is neither a string nor a list of strings")
	}
	return strings.Join(list, "\n"), nil
}

func contentText(raw json.RawMessage) (string, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return "", nil
	}
	var single string
	if json.Unmarshal(raw, &single) == nil {
		return single, nil
	}
	var parts []wireContentPart
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", errors.New("content is neither a string nor a list of parts")
	}
	var text strings.Builder
	for _, part := range parts {
		text.WriteString(part.Text)
	}
	return text.String(), nil
}
