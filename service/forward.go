// Package service speaks to plain services: it passes callers' requests on whole
// and reads the services' load.
package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornway/call"
	"hawthornway/fleet"
	"hawthornway/outcome"
	"hawthornway/retry"
	"hawthornway/target"
)

const (
	dialTimeout = 500 * time.Millisecond
	// MaxAnswerBytes bounds an answer that is kept whole for a claim.
	MaxAnswerBytes = 64 << 10
	copyBytes      = 32 << 10
)

// Placement is a service that one attempt is sent to.
type Placement struct {
	Target  target.ID
	Domain  fleet.DomainID
	Address string
	// Done takes the end of the attempt, exactly once.
	Done func(retry.Result)
}

// Placer finds a service for each attempt.
type Placer interface {
	// Place returns a service of the route's pool. Tried lists the targets that
	// failed this call.
	Place(ctx context.Context, c *call.Call, route *call.Service, tried []target.ID) (Placement, *outcome.NotRun)
}

// Forwarder passes calls on to plain services.
type Forwarder interface {
	// Forward serves a call whose subject is a *call.Service.
	Forward(ctx context.Context, c *call.Call) outcome.Outcome
}

type forwarder struct {
	placer Placer
	budget retry.Budget
	clock  clockwork.Clock
	// pooled reuses connections; it serves idempotent calls only, since the
	// HTTP library may repeat a request on its own when a reused connection
	// breaks.
	pooled *http.Client
	// fresh opens a connection for each call, so that a connection that has
	// gone silent can't swallow a call that may be sent only once.
	fresh *http.Client
	// rewindable lets the HTTP library read a body twice. Only mutation tests
	// set it.
	rewindable bool
}

// NewForwarder returns a new Forwarder that places attempts with placer.
func NewForwarder(placer Placer, budget retry.Budget, clock clockwork.Clock) Forwarder {
	return &forwarder{
		placer: placer,
		budget: budget,
		clock:  clock,
		pooled: newClient(false),
		fresh:  newClient(true),
	}
}

func newClient(fresh bool) *http.Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives:   fresh,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 32,
		IdleConnTimeout:     30 * time.Second,
	}
	keep := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: transport, CheckRedirect: keep}
}

// Forward sends the call to services until one has answered. A call that is not
// idempotent is sent again only if nothing of it reached a service.
func (f *forwarder) Forward(ctx context.Context, c *call.Call) outcome.Outcome {
	route := c.Subject.(*call.Service)
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	attempts := f.attempts(c, route)
	var tried []target.ID
	var last sent
	for number := call.Attempt(1); ; number++ {
		place, refused := f.placer.Place(ctx, c, route, tried)
		if refused != nil {
			return last.orElse(*refused)
		}
		c.Trace.Sent(place.Target, place.Domain, number, false)
		last = f.send(ctx, c, route, place, number)
		place.Done(last.result)
		if end := next(attempts, last); end != nil {
			return end
		}
		tried = append(tried, place.Target)
	}
}

func (f *forwarder) attempts(c *call.Call, route *call.Service) *retry.Call {
	if route.Route.Idempotent {
		return retry.NewCall(f.clock, f.budget, c.Deadline, retry.WithIdempotent())
	}
	return retry.NewCall(f.clock, f.budget, c.Deadline)
}

// sent is how one sending ended.
type sent struct {
	result  retry.Result
	outcome outcome.Outcome
}

// orElse prefers what an earlier sending left over a refusal.
func (s sent) orElse(refused outcome.NotRun) outcome.Outcome {
	if unknown, ok := s.outcome.(outcome.Unknown); ok {
		return unknown
	}
	return refused
}

// next returns the outcome after a sending, or nil to try once more.
func next(attempts *retry.Call, last sent) outcome.Outcome {
	switch last.result.(type) {
	case retry.Answered, retry.Cancelled:
		return last.outcome
	}
	stop, ok := attempts.Next(last.result).(retry.Stop)
	if !ok {
		return nil
	}
	_, unknown := last.outcome.(outcome.Unknown)
	if _, stopUnknown := stop.Outcome.(outcome.Unknown); stopUnknown == unknown {
		return last.outcome
	}
	return stop.Outcome
}

func (f *forwarder) send(ctx context.Context, c *call.Call, route *call.Service, place Placement, number call.Attempt) sent {
	request, err := f.newRequest(ctx, c, place, number)
	if err != nil {
		return sent{retry.NotSent{Err: err}, outcome.NotRun{Reason: outcome.ReasonBadRequest, Detail: err.Error()}}
	}
	client := f.fresh
	if route.Route.Idempotent {
		client = f.pooled
	}
	response, err := client.Do(request)
	if err != nil {
		return sendFailure(ctx, place, err)
	}
	defer func() { _ = response.Body.Close() }()
	if got := response.Header.Get("X-Request-Id"); got != "" && got != string(c.ID) {
		detail := fmt.Sprintf("target %q answered request %q instead of %q", place.Target, got, c.ID)
		return sent{
			retry.Broken{Err: errors.New(detail)},
			outcome.Unknown{Reason: outcome.ReasonWrongAnswer, Detail: detail},
		}
	}
	if response.Header.Get("Hawthornway-Not-Run") == "true" {
		detail := fmt.Sprintf("target %q refused the call", place.Target)
		return sent{
			retry.RefusedNotRun{Refusal: retry.RefusalDraining},
			outcome.NotRun{Reason: outcome.ReasonNoTarget, Detail: detail},
		}
	}
	return answer(c, response, place)
}

func (f *forwarder) newRequest(ctx context.Context, c *call.Call, place Placement, number call.Attempt) (*http.Request, error) {
	from := c.Request
	url := "http://" + place.Address + from.URL.RequestURI()
	// A reader without GetBody keeps the library from sending the body twice.
	body := struct{ io.Reader }{bytes.NewReader(c.Body)}
	request, err := http.NewRequestWithContext(ctx, from.Method, url, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(c.Body))
	if f.rewindable {
		request.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(c.Body)), nil }
	}
	if len(c.Body) == 0 {
		request.Body = http.NoBody
	}
	copyHeader(request.Header, from.Header)
	request.Header.Set("X-Request-Id", string(c.ID))
	request.Header.Set("X-Attempt", strconv.Itoa(int(number)))
	return request, nil
}

func sendFailure(ctx context.Context, place Placement, err error) sent {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		detail := fmt.Sprintf("target %q can't be reached", place.Target)
		return sent{retry.NotSent{Err: err}, outcome.NotRun{Reason: outcome.ReasonNoTarget, Detail: detail}}
	}
	detail := fmt.Sprintf("target %q did not answer; it may have run the call", place.Target)
	unknown := outcome.Unknown{Reason: outcome.ReasonTargetFailed, Detail: detail}
	if errors.Is(ctx.Err(), context.Canceled) {
		return sent{retry.Cancelled{}, unknown}
	}
	return sent{retry.SentNoAnswer{Err: err}, unknown}
}

// answer reads a short answer whole before it passes it on, so that a truncated
// one is never shown as whole. A longer one is passed on as it comes, and the
// caller's connection is broken off when it ends early.
func answer(c *call.Call, response *http.Response, place Placement) sent {
	start, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswerBytes+1))
	if err != nil {
		return sent{retry.Broken{Err: err}, brokenOff(place)}
	}
	whole := len(start) <= MaxAnswerBytes
	c.Answer = call.Answer{Status: response.StatusCode, Whole: whole, Body: start, Header: http.Header{}}
	copyHeader(c.Answer.Header, response.Header)
	if err := writeAnswer(c); err != nil {
		return sent{retry.Cancelled{}, outcome.Unknown{Reason: outcome.ReasonCallerLeft}}
	}
	answered := sent{retry.Answered{Status: response.StatusCode}, outcome.Served{}}
	if whole {
		return answered
	}
	if _, err := io.CopyBuffer(c.Writer, response.Body, make([]byte, copyBytes)); err != nil {
		c.Writer.Break()
		return sent{retry.Cancelled{}, brokenOff(place)}
	}
	return answered
}

func writeAnswer(c *call.Call) error {
	header := c.Writer.Header()
	copyHeader(header, c.Answer.Header)
	header.Set(call.HeaderOutcome, outcome.Served{}.Header())
	c.Writer.WriteHeader(c.Answer.Status)
	_, err := c.Writer.Write(c.Answer.Body)
	return err
}

func brokenOff(place Placement) outcome.Unknown {
	detail := fmt.Sprintf("the answer of target %q broke off", place.Target)
	return outcome.Unknown{Reason: outcome.ReasonShortAnswer, Detail: detail}
}
