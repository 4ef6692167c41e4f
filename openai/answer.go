package openai

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hawthornway/call"
)

// answer passes an engine's chunks on to the caller, as events or as one whole
// body. Its chunks may come from several attempts.
type answer struct {
	call    *call.Call
	gen     *call.Generation
	created int64
	// next is the number of the token that is expected next.
	next   int
	text   strings.Builder
	reason string
	usage  *usage
}

func newAnswer(c *call.Call, gen *call.Generation, now time.Time) *answer {
	return &answer{call: c, gen: gen, created: now.Unix()}
}

// add takes one checked chunk in and passes it on. An error means that the
// caller can't be written to.
func (a *answer) add(c *chunk) error {
	if c.Usage != nil {
		a.usage = c.Usage
		a.call.Trace.PromptTokens = c.Usage.PromptTokens
	}
	if reason := c.finish(); reason != "" {
		a.reason = reason
	}
	if len(c.Choices) == 0 {
		return nil
	}
	if a.gen.Stream {
		return a.pass(c)
	}
	a.text.WriteString(c.text())
	return nil
}

// token notes the time of one generated token.
func (a *answer) token(now time.Time) {
	trace := &a.call.Trace
	trace.GeneratedTokens++
	a.next++
	if trace.FirstToken.IsZero() {
		trace.FirstToken = now
	}
	trace.LastToken = now
}

func (a *answer) pass(c *chunk) error {
	a.begin()
	c.ID = answerID(a.gen.Path, a.call.ID)
	c.Created = a.created
	c.Model = string(a.gen.Model)
	c.Usage = nil
	return a.event(c)
}

func (a *answer) event(c *chunk) error {
	data, err := json.Marshal(c)
	if err != nil {
		return fmt.Errorf("chunk can't be encoded: %w", err)
	}
	return writeEvent(a.call.Writer, data)
}

func (a *answer) begin() {
	w := a.call.Writer
	if w.Begun() {
		return
	}
	header := w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set("Trailer", call.HeaderOutcome)
	w.WriteHeader(http.StatusOK)
}

// end writes the last part of a whole answer.
func (a *answer) end() error {
	if a.gen.Stream {
		return a.endStream()
	}
	body, err := json.Marshal(a.whole())
	if err != nil {
		return fmt.Errorf("answer can't be encoded: %w", err)
	}
	w := a.call.Writer
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set(call.HeaderOutcome, "served")
	w.WriteHeader(http.StatusOK)
	_, err = w.Write(body)
	return err
}

func (a *answer) endStream() error {
	a.begin()
	if a.gen.Usage && a.usage != nil {
		last := &chunk{
			ID:      answerID(a.gen.Path, a.call.ID),
			Object:  chunkObject(a.gen.Path),
			Created: a.created,
			Model:   string(a.gen.Model),
			Choices: []chunkChoice{},
			Usage:   a.usage,
		}
		if err := a.event(last); err != nil {
			return err
		}
	}
	if err := writeEvent(a.call.Writer, endOfStream); err != nil {
		return err
	}
	a.call.Writer.Header().Set(call.HeaderOutcome, "served")
	return nil
}

func chunkObject(path string) string {
	if path == PathCompletions {
		return "text_completion"
	}
	return "chat.completion.chunk"
}

type whole struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []wholeChoice `json:"choices"`
	Usage   *usage        `json:"usage"`
}

type wholeChoice struct {
	Index        int           `json:"index"`
	Message      *wholeMessage `json:"message,omitempty"`
	Text         *string       `json:"text,omitempty"`
	Logprobs     *struct{}     `json:"logprobs"`
	FinishReason string        `json:"finish_reason"`
}

type wholeMessage struct {
	Role    string  `json:"role"`
	Content string  `json:"content"`
	Refusal *string `json:"refusal"`
}

func (a *answer) whole() whole {
	text := a.text.String()
	choice := wholeChoice{FinishReason: a.reason}
	object := "text_completion"
	if a.gen.Path == PathCompletions {
		choice.Text = &text
	} else {
		object = "chat.completion"
		choice.Message = &wholeMessage{Role: "assistant", Content: text}
	}
	return whole{
		ID:      answerID(a.gen.Path, a.call.ID),
		Object:  object,
		Created: a.created,
		Model:   string(a.gen.Model),
		Choices: []wholeChoice{choice},
		Usage:   a.usage,
	}
}
