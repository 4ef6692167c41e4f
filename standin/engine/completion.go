package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"hawthornway/standin/wire"
)

// protocol is one of the two OpenAI completion APIs: chat or text.
type protocol interface{ sealed() }

type (
	chatProtocol struct{}
	textProtocol struct{}
)

func (chatProtocol) sealed() {}
func (textProtocol) sealed() {}

type wireCompletion struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []wireChoice `json:"choices"`
	Usage   *wireUsage   `json:"usage,omitempty"`
}

type wireChoice struct {
	Index        int        `json:"index"`
	Text         *string    `json:"text,omitempty"`
	Message      *wireDelta `json:"message,omitempty"`
	Delta        *wireDelta `json:"delta,omitempty"`
	FinishReason *string    `json:"finish_reason"`
}

type wireDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type wireUsage struct {
	PromptTokens        int             `json:"prompt_tokens"`
	CompletionTokens    int             `json:"completion_tokens"`
	TotalTokens         int             `json:"total_tokens"`
	PromptTokensDetails wirePromptUsage `json:"prompt_tokens_details"`
}

type wirePromptUsage struct {
	CachedTokens int `json:"cached_tokens"`
}

type wireError struct {
	Error wireErrorBody `json:"error"`
}

type wireErrorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	e.complete(w, r, chatProtocol{})
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	e.complete(w, r, textProtocol{})
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, p protocol) {
	e.awaitResume(r.Context())
	if e.refuseKey(w, r) {
		return
	}
	req, err := readRequest(w, r)
	if err != nil {
		writeError(w, &refusal{status: http.StatusBadRequest, code: "bad-request", message: err.Error()})
		return
	}
	s, refused := e.submit(req)
	if refused != nil {
		writeError(w, refused)
		return
	}
	defer e.withdraw(s)
	c := &completion{engine: e, request: req, sequence: s, protocol: p, w: w, r: r}
	if req.stream {
		c.writeStream()
		return
	}
	c.writeResponse()
}

// refuseKey refuses and counts a request that carries a caller's key. It reports
// whether it has refused the request.
func (e *Engine) refuseKey(w http.ResponseWriter, r *http.Request) bool {
	if !wire.CarriesKey(r) {
		return false
	}
	e.mu.Lock()
	e.counts.KeysSeen++
	e.mu.Unlock()
	writeError(w, &refusal{status: http.StatusBadRequest, code: "key-seen", message: "the request carries a caller's key"})
	return true
}

func writeError(w http.ResponseWriter, refused *refusal) {
	wire.WriteJSON(w, refused.status, wireError{Error: wireErrorBody{
		Message: refused.message,
		Type:    "engine_error",
		Code:    refused.code,
	}})
}

// completion writes the response to one request.
type completion struct {
	engine   *Engine
	request  request
	sequence *sequence
	protocol protocol
	w        http.ResponseWriter
	r        *http.Request
}

// nextToken returns the index of the next token, or false after the last one. It
// aborts the connection when the engine crashes or the caller disconnects.
func (c *completion) nextToken() (int, bool) {
	select {
	case index, more := <-c.sequence.tokens:
		return index, more
	case <-c.sequence.runContext.Done():
		panic(http.ErrAbortHandler)
	case <-c.r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

func (c *completion) writeHeader(contentType string) {
	header := c.w.Header()
	header.Set("Content-Type", contentType)
	header.Set(headerRequest, c.sequence.id)
	header.Set(headerAttempt, c.sequence.attempt)
	c.w.WriteHeader(http.StatusOK)
}

// writeResponse writes the answer as a single JSON body.
func (c *completion) writeResponse() {
	var text strings.Builder
	for {
		index, more := c.nextToken()
		if !more {
			break
		}
		text.WriteString(c.sequence.answer.token(index))
	}
	reason := c.sequence.answer.finishReason()
	body := c.envelope("", c.choice(text.String(), &reason))
	body.Usage = c.usage()
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	if c.shouldTruncate() {
		encoded = encoded[:len(encoded)/2]
	}
	c.writeHeader("application/json")
	// An error means that the caller has disconnected.
	_, _ = c.w.Write(encoded)
}

// writeStream writes each token as a server-sent event once it is generated.
func (c *completion) writeStream() {
	c.writeHeader("text/event-stream")
	c.flush()
	first := true
	for {
		index, more := c.nextToken()
		if !more {
			break
		}
		if c.shouldTruncate() && index >= c.sequence.answer.length/2 {
			return
		}
		c.writeEvent(index, c.envelope(".chunk", c.delta(c.sequence.answer.token(index), first && index == 0, nil)))
		first = false
	}
	end := c.sequence.answer.length
	reason := c.sequence.answer.finishReason()
	c.writeEvent(end, c.envelope(".chunk", c.delta("", false, &reason)))
	if c.request.includeUsage {
		body := c.envelope(".chunk")
		body.Usage = c.usage()
		c.writeEvent(end, body)
	}
	c.writeEventData(end, []byte("[DONE]"))
}

func (c *completion) shouldTruncate() bool {
	c.engine.mu.Lock()
	defer c.engine.mu.Unlock()
	return c.engine.faults.TruncateResponses
}

func (c *completion) writeEvent(index int, body wireCompletion) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	c.writeEventData(index, encoded)
}

func (c *completion) writeEventData(index int, data []byte) {
	var event bytes.Buffer
	fmt.Fprintf(&event, "id: %s/%s/%d\ndata: %s\n\n", c.sequence.id, c.sequence.attempt, index, data)
	if _, err := c.w.Write(event.Bytes()); err != nil {
		panic(http.ErrAbortHandler)
	}
	c.flush()
}

func (c *completion) flush() {
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (c *completion) envelope(suffix string, choices ...wireChoice) wireCompletion {
	if choices == nil {
		choices = []wireChoice{}
	}
	body := wireCompletion{
		ID:      "chatcmpl-" + c.sequence.id,
		Object:  "chat.completion" + suffix,
		Created: c.engine.clock.Now().Unix(),
		Model:   string(c.request.model),
		Choices: choices,
	}
	if _, isText := c.protocol.(textProtocol); isText {
		body.ID = "cmpl-" + c.sequence.id
		body.Object = "text_completion"
	}
	return body
}

// choice returns the choice of a response that is not streamed.
func (c *completion) choice(text string, reason *string) wireChoice {
	switch c.protocol.(type) {
	case textProtocol:
		return wireChoice{Text: &text, FinishReason: reason}
	default:
		return wireChoice{Message: &wireDelta{Role: "assistant", Content: text}, FinishReason: reason}
	}
}

// delta returns the choice of a streamed event.
func (c *completion) delta(text string, first bool, reason *string) wireChoice {
	switch c.protocol.(type) {
	case textProtocol:
		return wireChoice{Text: &text, FinishReason: reason}
	default:
		delta := &wireDelta{Content: text}
		if first {
			delta.Role = "assistant"
		}
		return wireChoice{Delta: delta, FinishReason: reason}
	}
}

func (c *completion) usage() *wireUsage {
	prompt := c.request.promptTokens()
	generated := c.sequence.answer.length
	return &wireUsage{
		PromptTokens:        prompt,
		CompletionTokens:    generated,
		TotalTokens:         prompt + generated,
		PromptTokensDetails: wirePromptUsage{CachedTokens: c.sequence.cached},
	}
}
