package openai

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornway/call"
	"hawthornway/outcome"
	"hawthornway/retry"
	"hawthornway/target"
)

const (
	dialTimeout = 500 * time.Millisecond
	// resumeBound is the time after the deadline in which an answer that broke
	// off may be resumed.
	resumeBound = 5 * time.Minute
)

// Generator serves generations by sending them to engines.
type Generator interface {
	// Generate serves a call whose subject is a *call.Generation.
	Generate(ctx context.Context, c *call.Call) outcome.Outcome
}

type generator struct {
	placer Placer
	budget retry.Budget
	clock  clockwork.Clock
	client *http.Client
	// priority returns the engine priority of a call.
	priority func(c *call.Call) int
}

// NewGenerator returns a new Generator that places attempts with placer.
func NewGenerator(placer Placer, budget retry.Budget, clock clockwork.Clock, priority func(c *call.Call) int) Generator {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	return &generator{
		placer:   placer,
		budget:   budget,
		clock:    clock,
		client:   &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
		priority: priority,
	}
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Generate sends the call to replicas, one after the other, until one has
// served it to its end. Each goes on where the one before broke off.
func (g *generator) Generate(ctx context.Context, c *call.Call) outcome.Outcome {
	gen := c.Subject.(*call.Generation)
	attempts := retry.NewCall(g.clock, g.budget, g.retryUntil(c), retry.WithIdempotent())
	whole := newAnswer(c, gen, g.clock.Now())
	var tried []target.ID
	var last result
	for number := call.Attempt(1); ; number++ {
		place, refused := g.placer.Place(ctx, c, gen, tried)
		if refused != nil {
			return g.placeRefused(ctx, last, *refused)
		}
		c.Trace.Sent(place.Target, place.Domain, number, place.Cold)
		one := &attempt{
			call: c, gen: gen, answer: whole, clock: g.clock,
			place: place, number: number, priority: g.priority(c),
		}
		last = one.run(ctx, g.client)
		place.Done(last.retry)
		if end := g.next(ctx, attempts, gen, last); end != nil {
			return end
		}
		tried = append(tried, place.Target)
	}
}

// retryUntil returns until when attempts may begin. An answer that has begun is
// resumed after the deadline as well, since that bounds its first token only.
func (g *generator) retryUntil(c *call.Call) time.Time {
	return c.Deadline.Add(resumeBound)
}

// next returns the outcome after an attempt, or nil to try once more.
func (g *generator) next(ctx context.Context, attempts *retry.Call, gen *call.Generation, last result) outcome.Outcome {
	switch r := last.retry.(type) {
	case retry.Cancelled:
		return cancelledOutcome(ctx, last)
	case retry.Answered:
		if r.Status == http.StatusOK {
			return outcome.Served{}
		}
		return outcome.NotRun{Reason: last.reason, Detail: last.detail}
	}
	switch decision := attempts.Next(last.retry).(type) {
	case retry.Stop:
		return g.explain(decision.Outcome, gen, last)
	default:
		return nil
	}
}

// placeRefused ends a call for which no further replica was found.
func (g *generator) placeRefused(ctx context.Context, last result, refused outcome.NotRun) outcome.Outcome {
	if ctx.Err() != nil {
		return cancelledOutcome(ctx, last)
	}
	switch last.retry.(type) {
	case nil, retry.NotSent, retry.RefusedNotRun:
		return refused
	default:
		return outcome.Unknown{Reason: last.reason, Detail: last.detail}
	}
}

// explain adds the engine's own words to an outcome, and to a refusal the time
// to return by the load.
func (g *generator) explain(ended outcome.Outcome, gen *call.Generation, last result) outcome.Outcome {
	switch o := ended.(type) {
	case outcome.Unknown:
		o.Reason, o.Detail = last.reason, last.detail
		return o
	case outcome.NotRun:
		if last.detail != "" {
			o.Detail = last.detail
		}
		o.RetryAfter = g.placer.RetryAfter(gen)
		return o
	default:
		return ended
	}
}

// cancelledOutcome tells a withdrawn key from a caller that left.
func cancelledOutcome(ctx context.Context, last result) outcome.Outcome {
	var revoked *call.RevokedError
	if errors.As(context.Cause(ctx), &revoked) {
		return outcome.Unknown{Reason: outcome.ReasonKeyWithdrawn, Detail: revoked.Error()}
	}
	return outcome.Unknown{Reason: outcome.ReasonCallerLeft, Detail: last.detail}
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
