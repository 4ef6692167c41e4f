package loadgen

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"hawthornway/call"
	"hawthornway/openai"
	"hawthornway/outcome"
	"hawthornway/standin/engine"
	"hawthornway/workload"
)

// Limits of one request.
const (
	// deadlineGrace is how long a caller waits for the end of an answer after
	// its deadline.
	deadlineGrace = 30 * time.Second
	// maxAnswerBytes limits how much of an answer without streaming is read.
	maxAnswerBytes = 1 << 20
)

// exchange is the state of one request and its answer.
type exchange struct {
	runner    *Runner
	plannedAt time.Time
	result    Result
	// answer collects the text of a streamed answer.
	answer strings.Builder
	// complete is set once the whole answer was received.
	complete bool
	// errorCode is the code in the host's error response, or empty.
	errorCode string
}

func (r *Runner) send(ctx context.Context, arrival workload.Arrival) Result {
	e := &exchange{runner: r, plannedAt: r.start.Add(arrival.At)}
	e.result = Result{Arrival: arrival, Outcome: OutcomeNone, SendDelay: time.Since(e.plannedAt)}
	ctx, cancel := context.WithTimeout(ctx, r.settings.Deadline+deadlineGrace)
	defer cancel()
	if err := e.do(ctx); err != nil {
		e.result.Err = err.Error()
	}
	e.result.Duration = time.Since(e.plannedAt)
	return e.result
}

func (e *exchange) do(ctx context.Context) error {
	request, err := e.newRequest(ctx)
	if err != nil {
		return err
	}
	resp, err := e.runner.client.Do(request)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	e.result.Status = resp.StatusCode
	e.result.RequestID = resp.Header.Get(call.HeaderRequest)
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		err = e.readStream(resp.Body)
	} else {
		err = e.readBody(resp.Body)
	}
	e.setOutcome(resp, err)
	return err
}

func (e *exchange) newRequest(ctx context.Context) (*http.Request, error) {
	base := "http://" + e.runner.settings.Address(e.result.Arrival.Host)
	var request *http.Request
	var err error
	switch work := e.result.Arrival.Work.(type) {
	case workload.Completion:
		request, err = http.NewRequestWithContext(ctx, http.MethodPost, base+openai.PathChat, bytes.NewReader(work.Body()))
	case workload.ServiceCall:
		request, err = http.NewRequestWithContext(ctx, work.Method, base+work.Path, strings.NewReader(work.Body))
		if err == nil && work.IdempotencyKey != "" {
			request.Header.Set("Idempotency-Key", work.IdempotencyKey)
		}
	}
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	if key := e.runner.settings.Keys[e.result.Arrival.Team]; key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	request.Header.Set(call.HeaderDeadline, e.runner.settings.Deadline.String())
	return request, nil
}

type wireChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *wireError `json:"error"`
}

type wireError struct {
	Code string `json:"code"`
}

// readStream reads the server-sent events of a streamed answer.
func (e *exchange) readStream(body io.Reader) error {
	lines := bufio.NewReaderSize(body, 32<<10)
	for {
		line, err := lines.ReadBytes('\n')
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		data, isData := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if isData {
			if err := e.handleEvent(data); err != nil {
				return err
			}
		}
	}
}

func (e *exchange) handleEvent(data []byte) error {
	if string(data) == "[DONE]" {
		e.complete = true
		return nil
	}
	var chunk wireChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return err
	}
	if chunk.Error != nil {
		e.errorCode = chunk.Error.Code
		return nil
	}
	for _, choice := range chunk.Choices {
		e.recordToken(choice.Delta.Content)
	}
	return nil
}

func (e *exchange) recordToken(content string) {
	if content == "" {
		return
	}
	if e.result.Tokens == 0 {
		e.result.FirstToken = time.Since(e.plannedAt)
	}
	e.result.Tokens++
	e.answer.WriteString(content)
}

// readBody reads an answer that is not streamed.
func (e *exchange) readBody(body io.Reader) error {
	content, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		return err
	}
	if e.result.Status == http.StatusOK {
		e.complete = true
		return nil
	}
	var refusal struct {
		Error wireError `json:"error"`
	}
	if json.Unmarshal(content, &refusal) == nil {
		e.errorCode = refusal.Error.Code
	}
	return nil
}

// setOutcome sets the outcome that the host reported, for a stream in the trailer
// and otherwise in the header.
func (e *exchange) setOutcome(resp *http.Response, err error) {
	reported := resp.Trailer.Get(call.HeaderOutcome)
	if reported == "" {
		reported = resp.Header.Get(call.HeaderOutcome)
	}
	e.result.Reason = outcome.Reason(e.errorCode)
	if reported != "" && err == nil {
		e.result.Outcome = Outcome(reported)
	}
	if e.result.Served() {
		e.result.Wrong = !e.isExpectedAnswer()
	}
}

// isExpectedAnswer reports whether the answer is complete and, for a completion,
// equals the expected text.
func (e *exchange) isExpectedAnswer() bool {
	work, isCompletion := e.result.Arrival.Work.(workload.Completion)
	if !isCompletion {
		return e.complete
	}
	want, _, err := engine.ExpectedAnswer(work.Body(), e.runner.settings.MeanAnswer)
	return err == nil && e.complete && e.answer.String() == want
}
