// Package service is a client of plain HTTP services: it forwards callers'
// requests and reads the services' load.
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
	"hawthornway/exchange"
	"hawthornway/fleet"
	"hawthornway/jsonhttp"
	"hawthornway/memory"
	"hawthornway/outcome"
	"hawthornway/retry"
	"hawthornway/target"
)

const (
	dialTimeout = 500 * time.Millisecond
	// MaxStoredResponseBytes is the maximum size of a response body that is stored
	// completely with a claim.
	MaxStoredResponseBytes = 64 << 10
	copyBufferBytes        = 8 << 10
)

// Placement is the service to which an attempt is sent.
type Placement struct {
	Target  target.ID
	Domain  fleet.DomainID
	Address string
	// Done must be called exactly once, with the result of the attempt.
	Done func(retry.Result)
}

// Placer chooses a service for each attempt.
type Placer interface {
	// Place returns a service of the route's pool. Tried lists the targets whose
	// attempts for this call failed.
	Place(ctx context.Context, c *call.Call, subject *call.Service, tried []target.ID) (Placement, *outcome.NotRun)
}

// Forwarder forwards calls to plain services.
type Forwarder interface {
	// Forward serves a call whose subject is a *call.Service.
	Forward(ctx context.Context, c *call.Call) outcome.Outcome
}

type forwarder struct {
	placer Placer
	budget retry.Budget
	clock  clockwork.Clock
	// pooled reuses connections. It is for idempotent calls only, since
	// net/http may retry a request by itself when a reused connection breaks.
	pooled *http.Client
	// unpooled opens a connection for each call, so that a call that may be
	// sent only once is not lost on a dead idle connection.
	unpooled *http.Client
	// rewindable lets net/http read a body twice. Only mutation tests set it.
	rewindable bool
}

// NewForwarder returns a new Forwarder that uses placer to choose the service of
// each attempt.
func NewForwarder(placer Placer, budget retry.Budget, clock clockwork.Clock) Forwarder {
	return &forwarder{
		placer:   placer,
		budget:   budget,
		clock:    clock,
		pooled:   newClient(false),
		unpooled: newClient(true),
	}
}

func newClient(disableKeepAlives bool) *http.Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives:   disableKeepAlives,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 32,
		IdleConnTimeout:     30 * time.Second,

		MaxResponseHeaderBytes: jsonhttp.MaxHeadBytes,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: exchange.CheckedTransport{Next: transport}, CheckRedirect: noRedirect}
}

// Forward sends the call to services until one has responded. A call that is not
// idempotent is retried only if no service has run any part of it.
func (f *forwarder) Forward(ctx context.Context, c *call.Call) outcome.Outcome {
	subject := c.Subject.(*call.Service)
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	attempts := f.attempts(c, subject)
	defer attempts.End()
	var tried []target.ID
	var last sendResult
	for number := call.Attempt(1); ; number++ {
		placement, refusal := f.placer.Place(ctx, c, subject, tried)
		if refusal != nil {
			if attempts.MayHaveRun() {
				return last.orUnknown()
			}
			return *refusal
		}
		c.Trace.RecordAttempt(placement.Target, placement.Domain, number, false)
		attempts.Sending()
		last = f.send(ctx, c, subject, placement, number)
		placement.Done(last.ofTarget())
		if end := nextOutcome(attempts, last); end != nil {
			return end
		}
		tried = append(tried, placement.Target)
	}
}

func (f *forwarder) attempts(c *call.Call, subject *call.Service) *retry.Call {
	if subject.Route.Idempotent {
		return retry.NewCall(f.clock, f.budget, c.Deadline, retry.WithIdempotent())
	}
	return retry.NewCall(f.clock, f.budget, c.Deadline)
}

// sendResult is the result of one attempt.
type sendResult struct {
	result  retry.Result
	outcome outcome.Outcome
	// byHost is set if this host refused the attempt, before the target saw it.
	byHost bool
}

// ofTarget returns what the result says of the target.
func (s sendResult) ofTarget() retry.Result {
	if s.byHost {
		return retry.Cancelled{}
	}
	return s.result
}

// orUnknown returns the outcome of the last attempt of a call that an earlier attempt may have
// run.
func (s sendResult) orUnknown() outcome.Outcome {
	if notRun, ok := s.outcome.(outcome.NotRun); ok {
		return outcome.Unknown{Reason: notRun.Reason, Detail: notRun.Detail}
	}
	return s.outcome
}

// nextOutcome returns the call's outcome after an attempt, or nil if another
// attempt is to be made.
func nextOutcome(attempts *retry.Call, last sendResult) outcome.Outcome {
	switch last.result.(type) {
	case retry.ResponseReceived, retry.Cancelled:
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

func (f *forwarder) send(ctx context.Context, c *call.Call, subject *call.Service, placement Placement, number call.Attempt) sendResult {
	var connection exchange.Connection
	request, err := f.newRequest(connection.Observe(ctx), c, placement, number)
	if err != nil {
		return sendResult{result: retry.NotSent{Err: err}, outcome: outcome.NotRun{Reason: outcome.ReasonBadRequest, Detail: err.Error()}}
	}
	client := f.unpooled
	if subject.Route.Idempotent {
		client = f.pooled
	}
	giveBack, ok := jsonhttp.ReserveHead(c.Loan)
	if !ok {
		return sendResult{
			result:  retry.RefusedNotRun{Refusal: retry.RefusalQueueFull},
			outcome: outcome.NotRun{Reason: outcome.ReasonQueueFull, Detail: "the host has no memory for the answer"},
			byHost:  true,
		}
	}
	response, err := client.Do(request)
	giveBack()
	if err != nil {
		return sendErrorResult(ctx, placement, err)
	}
	defer func() { _ = response.Body.Close() }()
	switch got, attempt := response.Header.Get("X-Request-Id"), response.Header.Get("X-Attempt"); {
	case got == "" && !connection.Fresh():
		return wrongResponse("target %q did not say which request it answered", placement.Target)
	case got == "":
		defer connection.Discard()
	case got != string(c.ID):
		return wrongResponse("target %q answered request %q instead of %q", placement.Target, got, c.ID)
	case attempt != "" && attempt != strconv.Itoa(int(number)):
		return wrongResponse("target %q answered attempt %q instead of %d", placement.Target, attempt, number)
	}
	if response.Header.Get("Hawthornway-Not-Run") == "true" {
		detail := fmt.Sprintf("target %q refused the call", placement.Target)
		return sendResult{
			result:  retry.RefusedNotRun{Refusal: retry.RefusalDraining},
			outcome: outcome.NotRun{Reason: outcome.ReasonNoTarget, Detail: detail},
		}
	}
	return passResponse(c, response, placement)
}

// wrongResponse returns the result of an attempt whose response may belong to another one.
func wrongResponse(format string, args ...any) sendResult {
	detail := fmt.Sprintf(format, args...)
	return sendResult{
		result:  retry.Interrupted{Err: errors.New(detail)},
		outcome: outcome.Unknown{Reason: outcome.ReasonWrongResponse, Detail: detail},
	}
}

func (f *forwarder) newRequest(ctx context.Context, c *call.Call, placement Placement, number call.Attempt) (*http.Request, error) {
	original := c.Request
	url := "http://" + placement.Address + original.URL.RequestURI()
	// Without GetBody, net/http can't send the body twice.
	body := struct{ io.Reader }{bytes.NewReader(c.Body)}
	request, err := http.NewRequestWithContext(ctx, original.Method, url, body)
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
	copyHeader(request.Header, original.Header)
	request.Header.Set("X-Request-Id", string(c.ID))
	request.Header.Set("X-Attempt", strconv.Itoa(int(number)))
	return request, nil
}

func sendErrorResult(ctx context.Context, placement Placement, err error) sendResult {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		detail := fmt.Sprintf("target %q can't be reached", placement.Target)
		return sendResult{result: retry.NotSent{Err: err}, outcome: outcome.NotRun{Reason: outcome.ReasonNoTarget, Detail: detail}}
	}
	detail := fmt.Sprintf("target %q did not answer; it may have run the call", placement.Target)
	unknown := outcome.Unknown{Reason: outcome.ReasonTargetFailed, Detail: detail}
	if errors.Is(ctx.Err(), context.Canceled) {
		return sendResult{result: retry.Cancelled{}, outcome: unknown}
	}
	return sendResult{result: retry.NoResponse{Err: err}, outcome: unknown}
}

// passResponse passes a response on to the caller. A short one is read completely
// first, so that the caller never takes a truncated response for a complete one.
// A longer one is streamed, and the caller's connection is closed if it ends
// early.
func passResponse(c *call.Call, response *http.Response, placement Placement) sendResult {
	giveBack := func(n memory.Bytes) { c.Loan.ShrinkAnswers(c.Loan.Answers() - n) }
	body, long, err := memory.ReadAll(response.Body, c.Loan.GrowAnswer, giveBack, copyBufferBytes, MaxStoredResponseBytes+1)
	if err != nil {
		return sendResult{result: retry.Interrupted{Err: err}, outcome: truncatedOutcome(placement)}
	}
	complete := !long
	c.Response = call.Response{Status: response.StatusCode, Complete: complete, Body: body, Header: http.Header{}}
	copyHeader(c.Response.Header, response.Header)
	if err := writeResponse(c); err != nil {
		return sendResult{result: retry.Cancelled{}, outcome: outcome.Unknown{Reason: outcome.ReasonCallerLeft}}
	}
	served := sendResult{result: retry.ResponseReceived{Status: response.StatusCode}, outcome: outcome.Served{}}
	if complete {
		return served
	}
	if _, err := io.CopyBuffer(c.Writer, response.Body, make([]byte, copyBufferBytes)); err != nil {
		c.Writer.Abort()
		return sendResult{result: retry.Cancelled{}, outcome: truncatedOutcome(placement)}
	}
	return served
}

func writeResponse(c *call.Call) error {
	header := c.Writer.Header()
	copyHeader(header, c.Response.Header)
	header.Set(call.HeaderOutcome, outcome.Served{}.Header())
	c.Writer.WriteHeader(c.Response.Status)
	_, err := c.Writer.Write(c.Response.Body)
	return err
}

func truncatedOutcome(placement Placement) outcome.Unknown {
	detail := fmt.Sprintf("the answer of target %q broke off", placement.Target)
	return outcome.Unknown{Reason: outcome.ReasonIncompleteResponse, Detail: detail}
}
