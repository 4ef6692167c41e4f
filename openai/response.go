package openai

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hawthornway/call"
	"hawthornway/memory"
)

// responseWriter passes an engine's chunks on to the caller, either as events or
// as a single body. The chunks may come from several attempts.
type responseWriter struct {
	call    *call.Call
	gen     *call.Generation
	created int64
	// nextToken is the index of the next expected token.
	nextToken    int
	text         strings.Builder
	finishReason string
	usage        *usage
}

func newResponseWriter(c *call.Call, gen *call.Generation, now time.Time) *responseWriter {
	return &responseWriter{call: c, gen: gen, created: now.Unix()}
}

// textFactor is how many times its size the text of a response holds that is sent as one body: while
// it grows, and as it is sent.
const textFactor = 4

// reserveText borrows the memory for a part of the text, if it is kept, and reports whether there is
// room.
func (rw *responseWriter) reserveText(part string) bool {
	return rw.gen.Stream || rw.call.Loan.GrowAnswer(memory.Bytes(textFactor*len(part)))
}

// addChunk processes one verified chunk. It fails if writing to the caller
// fails.
func (rw *responseWriter) addChunk(c *chunk) error {
	if c.Usage != nil {
		rw.usage = c.Usage
		rw.call.Trace.PromptTokens = c.Usage.PromptTokens
	}
	if reason := c.finishReason(); reason != "" {
		rw.finishReason = reason
	}
	if len(c.Choices) == 0 {
		return nil
	}
	if rw.gen.Stream {
		return rw.forward(c)
	}
	rw.text.WriteString(c.text())
	return nil
}

// recordToken counts one generated token and records its time.
func (rw *responseWriter) recordToken(now time.Time) {
	trace := &rw.call.Trace
	trace.GeneratedTokens++
	rw.nextToken++
	if trace.FirstToken.IsZero() {
		trace.FirstToken = now
	}
	trace.LastToken = now
}

func (rw *responseWriter) forward(c *chunk) error {
	rw.startStream()
	c.ID = responseID(rw.gen.Path, rw.call.ID)
	c.Created = rw.created
	c.Model = string(rw.gen.Model)
	c.Usage = nil
	return rw.writeChunk(c)
}

func (rw *responseWriter) writeChunk(c *chunk) error {
	data, err := json.Marshal(c)
	if err != nil {
		return fmt.Errorf("chunk can't be encoded: %w", err)
	}
	return writeEvent(rw.call.Writer, data)
}

func (rw *responseWriter) startStream() {
	w := rw.call.Writer
	if w.Started() {
		return
	}
	header := w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set("Trailer", call.HeaderOutcome)
	w.WriteHeader(http.StatusOK)
}

// finish writes the last part of a complete response.
func (rw *responseWriter) finish() error {
	if rw.gen.Stream {
		return rw.finishStream()
	}
	body, err := json.Marshal(rw.completion())
	if err != nil {
		return fmt.Errorf("encode response: %w", err)
	}
	w := rw.call.Writer
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set(call.HeaderOutcome, "served")
	w.WriteHeader(http.StatusOK)
	_, err = w.Write(body)
	return err
}

func (rw *responseWriter) finishStream() error {
	rw.startStream()
	if rw.gen.IncludeUsage && rw.usage != nil {
		last := &chunk{
			ID:      responseID(rw.gen.Path, rw.call.ID),
			Object:  chunkObject(rw.gen.Path),
			Created: rw.created,
			Model:   string(rw.gen.Model),
			Choices: []chunkChoice{},
			Usage:   rw.usage,
		}
		if err := rw.writeChunk(last); err != nil {
			return err
		}
	}
	if err := writeEvent(rw.call.Writer, endOfStream); err != nil {
		return err
	}
	rw.call.Writer.Header().Set(call.HeaderOutcome, "served")
	return nil
}

func chunkObject(path string) string {
	if path == PathCompletions {
		return "text_completion"
	}
	return "chat.completion.chunk"
}

type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *usage             `json:"usage"`
}

type completionChoice struct {
	Index        int                `json:"index"`
	Message      *completionMessage `json:"message,omitempty"`
	Text         *string            `json:"text,omitempty"`
	Logprobs     *struct{}          `json:"logprobs"`
	FinishReason string             `json:"finish_reason"`
}

type completionMessage struct {
	Role    string  `json:"role"`
	Content string  `json:"content"`
	Refusal *string `json:"refusal"`
}

func (rw *responseWriter) completion() completion {
	text := rw.text.String()
	choice := completionChoice{FinishReason: rw.finishReason}
	object := "text_completion"
	if rw.gen.Path == PathCompletions {
		choice.Text = &text
	} else {
		object = "chat.completion"
		choice.Message = &completionMessage{Role: "assistant", Content: text}
	}
	return completion{
		ID:      responseID(rw.gen.Path, rw.call.ID),
		Object:  object,
		Created: rw.created,
		Model:   string(rw.gen.Model),
		Choices: []completionChoice{choice},
		Usage:   rw.usage,
	}
}
