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
	"hawthornway/outcome"
	"hawthornway/retry"
)

const (
	// acceptTimeout bounds the time until an engine sends its headers, which
	// it does before it queues a request. A connection that takes longer has
	// gone silent.
	acceptTimeout = 2 * time.Second
	// stallTimeout bounds the time between two events once the first came.
	stallTimeout = 5 * time.Second
	// maxRefusalBytes bounds the body of a refusal.
	maxRefusalBytes = 64 << 10
)

// attempt is one sending of a generation to one engine.
type attempt struct {
	call   *call.Call
	gen    *call.Generation
	answer *answer
	place  Placement
	clock  clockwork.Clock
	number call.Attempt
	// priority is passed to the engine; higher goes first.
	priority int
}

// result is how an attempt ended, and why, in words for the caller.
type result struct {
	retry  retry.Result
	reason outcome.Reason
	detail string
}

var errSilent = errors.New("engine went silent")

// run sends the attempt and passes the answer on until it ends.
func (a *attempt) run(ctx context.Context, client *http.Client) result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := a.clock.AfterFunc(acceptTimeout, func() { cancel(errSilent) })
	defer watch.Stop()

	request, err := a.request(ctx)
	if err != nil {
		return result{retry.NotSent{Err: err}, outcome.ReasonTargetFailed, err.Error()}
	}
	response, err := client.Do(request)
	if err != nil {
		return a.sendFailure(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return a.refusal(response)
	}
	if err := a.checkHeaders(response.Header); err != nil {
		return a.broken(outcome.ReasonWrongAnswer, err.Error())
	}
	watch.Reset(a.clock.Until(a.firstTokenLimit()))
	return a.read(ctx, newEventReader(response.Body), watch)
}

// firstTokenLimit returns when the first event must have come.
func (a *attempt) firstTokenLimit() time.Time {
	if a.answer.next > 0 {
		return a.clock.Now().Add(stallTimeout)
	}
	return a.call.Deadline
}

func (a *attempt) request(ctx context.Context) (*http.Request, error) {
	url := "http://" + a.place.Address + a.gen.Path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(a.gen.EngineBody))
	if err != nil {
		return nil, err
	}
	header := request.Header
	header.Set("Content-Type", "application/json")
	header.Set("X-Request-Id", string(a.call.ID))
	header.Set("X-Attempt", strconv.Itoa(int(a.number)))
	header.Set("X-Priority", strconv.Itoa(a.priority))
	if a.answer.next > 0 {
		header.Set("X-Resume-From", strconv.Itoa(a.answer.next))
	}
	return request, nil
}

func (a *attempt) sendFailure(ctx context.Context, err error) result {
	if left := callerLeft(ctx); left {
		return cancelled("the caller left")
	}
	if isDialError(err) {
		return result{retry.NotSent{Err: err}, outcome.ReasonTargetFailed, "the engine can't be reached"}
	}
	return result{retry.SentNoAnswer{Err: err}, outcome.ReasonTargetFailed, "the engine did not answer"}
}

// callerLeft reports whether the context ended for another reason than a
// silent engine.
func callerLeft(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilent)
}

// refusal reads an engine's refusal. Engines refuse only what they didn't run.
func (a *attempt) refusal(response *http.Response) result {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes)) // a part is enough for the log
	var body errorBody
	_ = json.Unmarshal(text, &body) // a refusal without a body is one all the same
	switch response.StatusCode {
	case http.StatusNotFound:
		return refused(retry.RefusalNotLoaded, body.Error.Message)
	case http.StatusTooManyRequests:
		return refused(retry.RefusalQueueFull, body.Error.Message)
	case http.StatusServiceUnavailable:
		return refused(retry.RefusalDraining, body.Error.Message)
	case http.StatusBadRequest:
		return result{retry.Answered{Status: response.StatusCode}, outcome.ReasonBadRequest, body.Error.Message}
	default:
		detail := fmt.Sprintf("the engine answered with status %d", response.StatusCode)
		return a.broken(outcome.ReasonTargetFailed, detail)
	}
}

func refused(refusal retry.Refusal, detail string) result {
	return result{retry.RefusedNotRun{Refusal: refusal}, outcome.ReasonNoTarget, detail}
}

func cancelled(detail string) result {
	return result{retry.Cancelled{}, outcome.ReasonCallerLeft, detail}
}

// broken says that the answer ended before its finish.
func (a *attempt) broken(reason outcome.Reason, detail string) result {
	return result{
		retry:  retry.Broken{NextToken: a.answer.next, Err: errors.New(detail)},
		reason: reason,
		detail: detail,
	}
}

func ended(r result) *result { return &r }

func (a *attempt) checkHeaders(header http.Header) error {
	if got := header.Get("X-Request-Id"); got != string(a.call.ID) {
		return fmt.Errorf("the engine answered request %q instead of %q", got, a.call.ID)
	}
	if got := header.Get("X-Attempt"); got != strconv.Itoa(int(a.number)) {
		return fmt.Errorf("the engine answered attempt %q instead of %d", got, a.number)
	}
	return nil
}

// read passes events on until the stream ends.
func (a *attempt) read(ctx context.Context, events *eventReader, watch clockwork.Timer) result {
	for {
		next, err := events.Next()
		if err != nil {
			return a.readFailure(ctx, err)
		}
		watch.Reset(stallTimeout)
		if bytes.Equal(next.Data, endOfStream) {
			return a.finish()
		}
		if ended := a.take(next); ended != nil {
			return *ended
		}
	}
}

func (a *attempt) readFailure(ctx context.Context, err error) result {
	if callerLeft(ctx) {
		return cancelled("the caller left")
	}
	return a.broken(outcome.ReasonShortAnswer, "the engine's answer broke off: "+err.Error())
}

// take checks one event and passes it on. It returns nil to read on.
func (a *attempt) take(next event) *result {
	c, err := parseChunk(next.Data)
	if err != nil {
		return ended(a.broken(outcome.ReasonWrongAnswer, err.Error()))
	}
	if c.Error != nil {
		return ended(a.broken(outcome.ReasonTargetFailed, c.Error.Message))
	}
	now := a.clock.Now()
	if c.text() != "" {
		if err := a.checkToken(next.ID); err != nil {
			return ended(a.broken(outcome.ReasonWrongAnswer, err.Error()))
		}
		a.answer.token(now)
	}
	if err := a.answer.add(&c); err != nil {
		return ended(cancelled("the caller stopped reading"))
	}
	return nil
}

func (a *attempt) checkToken(text string) error {
	got, err := parseEventID(text)
	if err != nil {
		return err
	}
	want := eventID{Request: a.call.ID, Attempt: a.number, Token: a.answer.next}
	if got != want {
		return fmt.Errorf("the engine sent token %s instead of %s", got, want)
	}
	return nil
}

// finish ends a whole answer. One without a finish reason is not whole.
func (a *attempt) finish() result {
	if a.answer.reason == "" {
		return a.broken(outcome.ReasonShortAnswer, "the engine's answer has no finish reason")
	}
	if u := a.answer.usage; u != nil && int(u.CompletionTokens) != a.answer.next {
		detail := fmt.Sprintf("the engine counted %d tokens and sent %d", u.CompletionTokens, a.answer.next)
		return a.broken(outcome.ReasonShortAnswer, detail)
	}
	if err := a.answer.end(); err != nil {
		return cancelled("the caller stopped reading")
	}
	return result{retry: retry.Answered{Status: http.StatusOK}}
}
