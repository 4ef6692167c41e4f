package openai

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornway/call"
	"hawthornway/exchange"
	"hawthornway/jsonhttp"
	"hawthornway/outcome"
	"hawthornway/retry"
)

const (
	// acceptTimeout limits the time until an engine sends its response headers.
	// Engines send them before they queue a request, so a longer wait means that
	// the connection or the engine has failed.
	acceptTimeout = 2 * time.Second
	// stallTimeout limits the time between two events after the first.
	stallTimeout = 5 * time.Second
	// maxRefusalBytes is the maximum number of bytes read of a refusal's body.
	maxRefusalBytes = 8 << 10
)

// attempt is one request to one engine for a generation.
type attempt struct {
	call      *call.Call
	gen       *call.Generation
	response  *responseWriter
	placement Placement
	clock     clockwork.Clock
	number    call.Attempt
	// priority is passed to the engine; higher is served first.
	priority int
}

// attemptResult is the result of an attempt, with a reason and a detail message
// for the caller.
type attemptResult struct {
	retry  retry.Result
	reason outcome.Reason
	detail string
	// byHost is set if this host refused the attempt, before the engine saw it.
	byHost bool
}

// ofEngine returns what the result says of the engine.
func (r attemptResult) ofEngine() retry.Result {
	if r.byHost {
		return retry.Cancelled{}
	}
	return r.retry
}

// errEngineTimeout is the cancellation cause of an attempt whose engine sent
// nothing in time. The text can be part of a message to the caller.
var errEngineTimeout = errors.New("engine went silent")

// run sends the request and passes the response on until it ends.
func (a *attempt) run(ctx context.Context, client *http.Client) attemptResult {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := a.clock.AfterFunc(acceptTimeout, func() { cancel(errEngineTimeout) })
	defer timer.Stop()

	var connection exchange.Connection
	request, err := a.request(connection.Observe(ctx))
	if err != nil {
		return attemptResult{retry: retry.NotSent{Err: err}, reason: outcome.ReasonTargetFailed, detail: err.Error()}
	}
	giveBack, ok := jsonhttp.ReserveHead(a.call.Loan)
	if !ok {
		result := refusedResult(retry.RefusalQueueFull, "the host has no memory for the answer")
		result.byHost = true
		return result
	}
	response, err := client.Do(request)
	giveBack()
	if err != nil {
		return a.sendErrorResult(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return a.readRefusal(response, &connection)
	}
	if err := a.checkHeaders(response.Header); err != nil {
		return a.interruptedResult(outcome.ReasonWrongResponse, err.Error())
	}
	timer.Reset(a.clock.Until(a.firstEventDeadline()))
	return a.readEvents(ctx, newEventReader(response.Body, a.call.Loan), timer)
}

// firstEventDeadline returns the time by which the first event must arrive.
func (a *attempt) firstEventDeadline() time.Time {
	if a.response.nextToken > 0 {
		return a.clock.Now().Add(stallTimeout)
	}
	return a.call.Deadline
}

func (a *attempt) request(ctx context.Context) (*http.Request, error) {
	url := "http://" + a.placement.Address + a.gen.Path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(a.gen.EngineBody))
	if err != nil {
		return nil, err
	}
	header := request.Header
	header.Set("Content-Type", "application/json")
	header.Set("X-Request-Id", string(a.call.ID))
	header.Set("X-Attempt", strconv.Itoa(int(a.number)))
	header.Set("X-Priority", strconv.Itoa(a.priority))
	if a.response.nextToken > 0 {
		header.Set("X-Resume-From", strconv.Itoa(a.response.nextToken))
	}
	return request, nil
}

func (a *attempt) sendErrorResult(ctx context.Context, err error) attemptResult {
	if cancelled := callCancelled(ctx); cancelled {
		return cancelledResult("the caller left")
	}
	if isDialError(err) {
		return attemptResult{retry: retry.NotSent{Err: err}, reason: outcome.ReasonTargetFailed, detail: "the engine can't be reached"}
	}
	return attemptResult{retry: retry.NoResponse{Err: err}, reason: outcome.ReasonTargetFailed, detail: "the engine did not answer"}
}

// callCancelled reports whether the context ended for a reason other than an
// engine timeout: the caller disconnected or its key was withdrawn.
func callCancelled(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), errEngineTimeout)
}

// readRefusal reads an engine's refusal. Engines refuse only requests that they
// did not run.
func (a *attempt) readRefusal(response *http.Response, connection *exchange.Connection) attemptResult {
	// An engine may send the refusal of an earlier request once more.
	switch named := response.Header.Get("X-Request-Id") != ""; {
	case named:
		if err := a.checkHeaders(response.Header); err != nil {
			return a.interruptedResult(outcome.ReasonWrongResponse, err.Error())
		}
	case !connection.Fresh():
		return a.interruptedResult(outcome.ReasonWrongResponse, "the engine did not say which request it refused")
	default:
		defer connection.Discard()
	}
	data, _ := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes)) // a truncated message is good enough
	var body errorBody
	_ = json.Unmarshal(data, &body) // the body is optional
	switch response.StatusCode {
	case http.StatusNotFound:
		return refusedResult(retry.RefusalNotLoaded, body.Error.Message)
	case http.StatusTooManyRequests:
		return refusedResult(retry.RefusalQueueFull, body.Error.Message)
	case http.StatusServiceUnavailable:
		return refusedResult(retry.RefusalDraining, body.Error.Message)
	case http.StatusBadRequest:
		return attemptResult{retry: retry.ResponseReceived{Status: response.StatusCode}, reason: outcome.ReasonBadRequest, detail: body.Error.Message}
	default:
		detail := fmt.Sprintf("the engine answered with status %d", response.StatusCode)
		return a.interruptedResult(outcome.ReasonTargetFailed, detail)
	}
}

func refusedResult(refusal retry.Refusal, detail string) attemptResult {
	return attemptResult{retry: retry.RefusedNotRun{Refusal: refusal}, reason: outcome.ReasonNoTarget, detail: detail}
}

func cancelledResult(detail string) attemptResult {
	return attemptResult{retry: retry.Cancelled{}, reason: outcome.ReasonCallerLeft, detail: detail}
}

// interruptedResult returns the result of an attempt whose response is invalid or
// incomplete.
func (a *attempt) interruptedResult(reason outcome.Reason, detail string) attemptResult {
	return attemptResult{
		retry:  retry.Interrupted{NextToken: a.response.nextToken, Err: errors.New(detail)},
		reason: reason,
		detail: detail,
	}
}

func resultPtr(r attemptResult) *attemptResult { return &r }

func (a *attempt) checkHeaders(header http.Header) error {
	if got := header.Get("X-Request-Id"); got != string(a.call.ID) {
		return fmt.Errorf("the engine answered request %q instead of %q", got, a.call.ID)
	}
	if got := header.Get("X-Attempt"); got != strconv.Itoa(int(a.number)) {
		return fmt.Errorf("the engine answered attempt %q instead of %d", got, a.number)
	}
	return nil
}

// readEvents passes events on until the stream ends.
func (a *attempt) readEvents(ctx context.Context, events *eventReader, timer clockwork.Timer) attemptResult {
	for {
		next, err := events.Next()
		if err != nil {
			return a.readErrorResult(ctx, err)
		}
		timer.Reset(stallTimeout)
		if bytes.Equal(next.Data, endOfStream) {
			return a.finish()
		}
		if result := a.handleEvent(next); result != nil {
			return *result
		}
	}
}

func (a *attempt) readErrorResult(ctx context.Context, err error) attemptResult {
	if callCancelled(ctx) {
		return cancelledResult("the caller left")
	}
	return a.interruptedResult(outcome.ReasonIncompleteResponse, "the engine's answer broke off: "+err.Error())
}

// handleEvent verifies one event and passes it on. It returns nil if reading is
// to continue.
func (a *attempt) handleEvent(next event) *attemptResult {
	c, err := parseChunk(next.Data)
	if err != nil {
		return resultPtr(a.interruptedResult(outcome.ReasonWrongResponse, err.Error()))
	}
	if c.Error != nil {
		return resultPtr(a.interruptedResult(outcome.ReasonTargetFailed, c.Error.Message))
	}
	now := a.clock.Now()
	if c.text() != "" {
		if err := a.checkToken(next.ID); err != nil {
			return resultPtr(a.interruptedResult(outcome.ReasonWrongResponse, err.Error()))
		}
		if limit := a.gen.MaxTokens; limit > 0 && a.response.nextToken >= int(limit) {
			return resultPtr(a.interruptedResult(outcome.ReasonWrongResponse, fmt.Sprintf("the engine sent more than %d tokens", limit)))
		}
		if !a.response.reserveText(c.text()) {
			return resultPtr(a.interruptedResult(outcome.ReasonTargetFailed, errNoMemory.Error()))
		}
		a.response.recordToken(now)
	}
	if err := a.response.addChunk(&c); err != nil {
		return resultPtr(cancelledResult("the caller stopped reading"))
	}
	return nil
}

func (a *attempt) checkToken(data string) error {
	got, err := parseEventID(data)
	if err != nil {
		return err
	}
	want := eventID{Request: a.call.ID, Attempt: a.number, Token: a.response.nextToken}
	if got != want {
		return fmt.Errorf("the engine sent token %s instead of %s", got, want)
	}
	return nil
}

// finish ends a complete response. A response without a finish reason, or with
// another number of tokens than the engine counted, is incomplete.
func (a *attempt) finish() attemptResult {
	if a.response.finishReason == "" {
		return a.interruptedResult(outcome.ReasonIncompleteResponse, "the engine's answer has no finish reason")
	}
	if u := a.response.usage; u != nil && int(u.CompletionTokens) != a.response.nextToken {
		detail := fmt.Sprintf("the engine counted %d tokens and sent %d", u.CompletionTokens, a.response.nextToken)
		return a.interruptedResult(outcome.ReasonIncompleteResponse, detail)
	}
	if err := a.response.finish(); err != nil {
		return cancelledResult("the caller stopped reading")
	}
	return attemptResult{retry: retry.ResponseReceived{Status: http.StatusOK}}
}
