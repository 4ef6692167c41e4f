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

// The bounds of one request.
const (
	// patience is how long a caller waits beyond its deadline.
	patience = 30 * time.Second
	// maxAnswerBytes bounds an answer that is read whole.
	maxAnswerBytes = 1 << 20
)

// exchange is one request on its way.
type exchange struct {
	runner  *Runner
	planned time.Time
	result  Result
	text    strings.Builder
	done    bool
	code    string
}

func (r *Runner) send(ctx context.Context, arrival workload.Arrival) Result {
	e := &exchange{runner: r, planned: r.start.Add(arrival.At)}
	e.result = Result{Arrival: arrival, Ending: EndingNone, SentLate: time.Since(e.planned)}
	ctx, cancel := context.WithTimeout(ctx, r.settings.Deadline+patience)
	defer cancel()
	if err := e.run(ctx); err != nil {
		e.result.Err = err.Error()
	}
	e.result.End = time.Since(e.planned)
	return e.result
}

func (e *exchange) run(ctx context.Context) error {
	request, err := e.request(ctx)
	if err != nil {
		return err
	}
	resp, err := e.runner.client.Do(request)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	e.result.Status = resp.StatusCode
	e.result.Request = resp.Header.Get(call.HeaderRequest)
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		err = e.readStream(resp.Body)
	} else {
		err = e.readWhole(resp.Body)
	}
	e.conclude(resp, err)
	return err
}

func (e *exchange) request(ctx context.Context) (*http.Request, error) {
	base := "http://" + e.runner.settings.Address(e.result.Arrival.Host)
	var request *http.Request
	var err error
	switch work := e.result.Arrival.Work.(type) {
	case workload.Completion:
		request, err = http.NewRequestWithContext(ctx, http.MethodPost, base+openai.PathChat, bytes.NewReader(work.Body()))
	case workload.ServiceCall:
		request, err = http.NewRequestWithContext(ctx, work.Method, base+work.Path, strings.NewReader(work.Body))
		if err == nil && work.Key != "" {
			request.Header.Set("Idempotency-Key", work.Key)
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

// readStream reads the events of a streamed answer.
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
			if err := e.event(data); err != nil {
				return err
			}
		}
	}
}

func (e *exchange) event(data []byte) error {
	if string(data) == "[DONE]" {
		e.done = true
		return nil
	}
	var chunk wireChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return err
	}
	if chunk.Error != nil {
		e.code = chunk.Error.Code
		return nil
	}
	for _, choice := range chunk.Choices {
		e.token(choice.Delta.Content)
	}
	return nil
}

func (e *exchange) token(content string) {
	if content == "" {
		return
	}
	if e.result.Tokens == 0 {
		e.result.FirstToken = time.Since(e.planned)
	}
	e.result.Tokens++
	e.text.WriteString(content)
}

// readWhole reads an answer that is not streamed.
func (e *exchange) readWhole(body io.Reader) error {
	content, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		return err
	}
	if e.result.Status == http.StatusOK {
		e.done = true
		return nil
	}
	var refusal struct {
		Error wireError `json:"error"`
	}
	if json.Unmarshal(content, &refusal) == nil {
		e.code = refusal.Error.Code
	}
	return nil
}

// conclude says how the request ended. A stream says so in its trailer.
func (e *exchange) conclude(resp *http.Response, err error) {
	said := resp.Trailer.Get(call.HeaderOutcome)
	if said == "" {
		said = resp.Header.Get(call.HeaderOutcome)
	}
	e.result.Reason = outcome.Reason(e.code)
	if said != "" && err == nil {
		e.result.Ending = Ending(said)
	}
	if e.result.Served() {
		e.result.Wrong = !e.isWhole()
	}
}

// isWhole reports whether the answer is all of the answer to this request.
func (e *exchange) isWhole() bool {
	work, isCompletion := e.result.Arrival.Work.(workload.Completion)
	if !isCompletion {
		return e.done
	}
	want, _, err := engine.ExpectedAnswer(work.Body(), e.runner.settings.MeanAnswer)
	return err == nil && e.done && e.text.String() == want
}
