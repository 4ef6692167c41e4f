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

	"hawthornway/call"
	"hawthornway/fleet"
	"hawthornway/outcome"
	"hawthornway/target"
)

const (
	// maxAttempts bounds the sendings of one call.
	maxAttempts = 3
	dialTimeout = 500 * time.Millisecond
	// MaxAnswerBytes bounds an answer that is kept whole for a claim.
	MaxAnswerBytes = 64 << 10
	copyBytes      = 32 << 10
)

// Place is a service that one attempt is sent to.
type Place struct {
	Target  target.ID
	Domain  fleet.DomainID
	Address string
	// Done takes the end of the attempt, exactly once.
	Done func(Ending)
}

// Ending is how one attempt ended.
type Ending int

// The endings of an attempt.
const (
	EndingServed Ending = iota
	EndingNotSent
	EndingRefused
	EndingBroken
	EndingCancelled
)

// Placer finds a service for each attempt.
type Placer interface {
	// Place returns a service of the route's pool. Tried lists the targets that
	// failed this call.
	Place(ctx context.Context, c *call.Call, route *call.Service, tried []target.ID) (Place, *outcome.NotRun)
	// Retry reports whether another attempt may be made after an ending.
	Retry(c *call.Call, ending Ending) bool
}

// Forwarder passes calls on to plain services.
type Forwarder interface {
	// Forward serves a call whose subject is a *call.Service.
	Forward(ctx context.Context, c *call.Call) outcome.Outcome
}

type forwarder struct {
	placer Placer
	// pooled reuses connections; it serves idempotent calls only, since the
	// HTTP library may repeat a request on its own when a reused connection
	// breaks.
	pooled *http.Client
	// fresh opens a connection for each call, so that a connection that has
	// gone silent can't swallow a call that may be sent only once.
	fresh *http.Client
}

// NewForwarder returns a new Forwarder that places attempts with placer.
func NewForwarder(placer Placer) Forwarder {
	return &forwarder{
		placer: placer,
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
	var tried []target.ID
	var last outcome.Outcome
	for number := call.Attempt(1); number <= maxAttempts; number++ {
		place, refused := f.placer.Place(ctx, c, route, tried)
		if refused != nil {
			return firstOf(last, *refused)
		}
		c.Trace.Sent(place.Target, place.Domain, number, false)
		ending, ended := f.send(ctx, c, route, place, number)
		place.Done(ending)
		last = worse(last, ended)
		if !again(route, ending) || !f.placer.Retry(c, ending) {
			return last
		}
		tried = append(tried, place.Target)
	}
	return last
}

// firstOf prefers what an earlier attempt left over a refusal.
func firstOf(last outcome.Outcome, refused outcome.NotRun) outcome.Outcome {
	if _, ok := last.(outcome.Unknown); ok {
		return last
	}
	return refused
}

// worse keeps an unknown outcome of an earlier attempt, unless a later one was
// served.
func worse(last, ended outcome.Outcome) outcome.Outcome {
	_, wasUnknown := last.(outcome.Unknown)
	_, isNotRun := ended.(outcome.NotRun)
	if wasUnknown && isNotRun {
		return last
	}
	return ended
}

func again(route *call.Service, ending Ending) bool {
	switch ending {
	case EndingNotSent, EndingRefused:
		return true
	case EndingBroken:
		return route.Route.Idempotent
	default:
		return false
	}
}

func (f *forwarder) send(ctx context.Context, c *call.Call, route *call.Service, place Place, number call.Attempt) (Ending, outcome.Outcome) {
	request, err := newRequest(ctx, c, place, number)
	if err != nil {
		return EndingNotSent, outcome.NotRun{Reason: outcome.ReasonBadRequest, Detail: err.Error()}
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
		return EndingBroken, outcome.Unknown{Reason: outcome.ReasonWrongAnswer, Detail: detail}
	}
	if response.Header.Get("Hawthornway-Not-Run") == "true" {
		detail := fmt.Sprintf("target %q refused the call", place.Target)
		return EndingRefused, outcome.NotRun{Reason: outcome.ReasonNoTarget, Detail: detail}
	}
	return answer(c, response, place)
}

func newRequest(ctx context.Context, c *call.Call, place Place, number call.Attempt) (*http.Request, error) {
	from := c.Request
	url := "http://" + place.Address + from.URL.RequestURI()
	// A reader without GetBody keeps the library from sending the body twice.
	body := struct{ io.Reader }{bytes.NewReader(c.Body)}
	request, err := http.NewRequestWithContext(ctx, from.Method, url, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(c.Body))
	if len(c.Body) == 0 {
		request.Body = http.NoBody
	}
	copyHeader(request.Header, from.Header)
	request.Header.Set("X-Request-Id", string(c.ID))
	request.Header.Set("X-Attempt", strconv.Itoa(int(number)))
	return request, nil
}

func sendFailure(ctx context.Context, place Place, err error) (Ending, outcome.Outcome) {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		detail := fmt.Sprintf("target %q can't be reached", place.Target)
		return EndingNotSent, outcome.NotRun{Reason: outcome.ReasonNoTarget, Detail: detail}
	}
	detail := fmt.Sprintf("target %q did not answer; it may have run the call", place.Target)
	unknown := outcome.Unknown{Reason: outcome.ReasonTargetFailed, Detail: detail}
	if errors.Is(ctx.Err(), context.Canceled) {
		return EndingCancelled, unknown
	}
	return EndingBroken, unknown
}

// answer reads a short answer whole before it passes it on, so that a truncated
// one is never shown as whole. A longer one is passed on as it comes, and the
// caller's connection is broken off when it ends early.
func answer(c *call.Call, response *http.Response, place Place) (Ending, outcome.Outcome) {
	start, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswerBytes+1))
	if err != nil {
		return EndingBroken, brokenOff(place)
	}
	c.Trace.FirstToken = time.Now()
	header := c.Writer.Header()
	copyHeader(header, response.Header)
	header.Set(call.HeaderOutcome, outcome.Served{}.Header())
	c.Writer.WriteHeader(response.StatusCode)
	if _, err := c.Writer.Write(start); err != nil {
		return EndingCancelled, outcome.Unknown{Reason: outcome.ReasonCallerLeft}
	}
	if len(start) <= MaxAnswerBytes {
		return EndingServed, outcome.Served{}
	}
	if _, err := io.CopyBuffer(c.Writer, response.Body, make([]byte, copyBytes)); err != nil {
		c.Writer.Break()
		return EndingBroken, brokenOff(place)
	}
	return EndingServed, outcome.Served{}
}

func brokenOff(place Place) outcome.Unknown {
	detail := fmt.Sprintf("the answer of target %q broke off", place.Target)
	return outcome.Unknown{Reason: outcome.ReasonShortAnswer, Detail: detail}
}
