package openai

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"hawthornway/call"
	"hawthornway/outcome"
	"hawthornway/target"
)

const (
	// maxAttempts bounds the sendings of one generation.
	maxAttempts = 4
	dialTimeout = 500 * time.Millisecond
)

// Generator serves generations by sending them to engines.
type Generator interface {
	// Generate serves a call whose subject is a *call.Generation.
	Generate(ctx context.Context, c *call.Call) outcome.Outcome
}

type generator struct {
	placer Placer
	client *http.Client
	// priority returns the engine priority of a call.
	priority func(c *call.Call) int
}

// NewGenerator returns a new Generator that places attempts with placer.
func NewGenerator(placer Placer, priority func(c *call.Call) int) Generator {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	return &generator{
		placer:   placer,
		client:   &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
		priority: priority,
	}
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Generate sends the call to replicas, one after the other, until one has
// served it to its end. Each goes on where the one before broke off.
func (g *generator) Generate(ctx context.Context, c *call.Call) outcome.Outcome {
	gen := c.Subject.(*call.Generation)
	whole := newAnswer(c, gen, time.Now())
	var tried []target.ID
	last := result{ending: EndingNotSent}
	ran := false
	for number := call.Attempt(1); number <= maxAttempts; number++ {
		place, refused := g.placer.Place(ctx, c, gen, tried)
		if refused != nil {
			return afterRefusal(ran, last, *refused)
		}
		c.Trace.Sent(place.Target, place.Domain, number, place.Cold)
		one := &attempt{
			call: c, gen: gen, answer: whole,
			place: place, number: number, priority: g.priority(c),
		}
		last = one.run(ctx, g.client)
		place.Done(last.ending)
		ran = ran || last.mayHaveRun()
		tried = append(tried, place.Target)
		if last.final() || !g.placer.Retry(c, last.ending) {
			break
		}
	}
	return ended(ctx, ran, last)
}

func (r result) mayHaveRun() bool {
	return r.ending != EndingNotSent && r.ending != EndingRefused
}

// final reports whether no other replica could do better.
func (r result) final() bool {
	switch r.ending {
	case EndingServed, EndingCancelled:
		return true
	default:
		return r.reason == outcome.ReasonBadRequest
	}
}

func afterRefusal(ran bool, last result, refused outcome.NotRun) outcome.Outcome {
	if !ran {
		return refused
	}
	return outcome.Unknown{Reason: last.reason, Detail: last.detail}
}

func ended(ctx context.Context, ran bool, last result) outcome.Outcome {
	if last.ending == EndingServed {
		return outcome.Served{}
	}
	if cause := context.Cause(ctx); cause != nil {
		var revoked *call.RevokedError
		if errors.As(cause, &revoked) {
			last.reason, last.detail = outcome.ReasonKeyWithdrawn, revoked.Error()
		}
	}
	if ran {
		return outcome.Unknown{Reason: last.reason, Detail: last.detail}
	}
	return outcome.NotRun{Reason: last.reason, Detail: last.detail, RetryAfter: time.Second}
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
