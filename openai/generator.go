package openai

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornway/call"
	"hawthornway/exchange"
	"hawthornway/jsonhttp"
	"hawthornway/outcome"
	"hawthornway/retry"
	"hawthornway/target"
)

const (
	dialTimeout = 500 * time.Millisecond
	// resumeWindow is the time after the deadline in which an interrupted
	// response may still be resumed.
	resumeWindow = 5 * time.Minute
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

// NewGenerator returns a new Generator that uses placer to choose the replica of
// each attempt.
func NewGenerator(placer Placer, budget retry.Budget, clock clockwork.Clock, priority func(c *call.Call) int) Generator {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,

		MaxResponseHeaderBytes: jsonhttp.MaxHeadBytes,
	}
	return &generator{
		placer:   placer,
		budget:   budget,
		clock:    clock,
		client:   &http.Client{Transport: exchange.CheckedTransport{Next: transport}, CheckRedirect: noRedirect},
		priority: priority,
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Generate sends the call to replicas, one after the other, until the response
// is complete. Each attempt resumes where the previous one was interrupted.
func (g *generator) Generate(ctx context.Context, c *call.Call) outcome.Outcome {
	gen := c.Subject.(*call.Generation)
	attempts := retry.NewCall(g.clock, g.budget, g.retryUntil(c), retry.WithIdempotent())
	defer attempts.End()
	response := newResponseWriter(c, gen, g.clock.Now())
	var tried []target.ID
	var last attemptResult
	for number := call.Attempt(1); ; number++ {
		placement, refusal := g.placer.Place(ctx, c, gen, tried)
		if refusal != nil {
			return g.placementRefused(ctx, attempts, last, *refusal)
		}
		c.Trace.RecordAttempt(placement.Target, placement.Domain, number, placement.Cold)
		current := &attempt{
			call: c, gen: gen, response: response, clock: g.clock,
			placement: placement, number: number, priority: g.priority(c),
		}
		attempts.Sending()
		last = current.run(ctx, g.client)
		placement.Done(last.ofEngine())
		if end := g.nextOutcome(ctx, attempts, gen, last); end != nil {
			return end
		}
		tried = append(tried, placement.Target)
	}
}

// retryUntil returns the time after which no attempt may start. It is later than
// the deadline, which applies to the first token only, so that a response that
// has started can be resumed.
func (g *generator) retryUntil(c *call.Call) time.Time {
	return c.Deadline.Add(resumeWindow)
}

// nextOutcome returns the call's outcome after an attempt, or nil if another
// attempt is to be made.
func (g *generator) nextOutcome(ctx context.Context, attempts *retry.Call, gen *call.Generation, last attemptResult) outcome.Outcome {
	switch r := last.retry.(type) {
	case retry.Cancelled:
		return cancelledOutcome(ctx, last)
	case retry.ResponseReceived:
		if r.Status == http.StatusOK {
			return outcome.Served{}
		}
		return outcome.NotRun{Reason: last.reason, Detail: last.detail}
	}
	switch decision := attempts.Next(last.retry).(type) {
	case retry.Stop:
		return g.withDetail(decision.Outcome, gen, last)
	default:
		return nil
	}
}

// placementRefused returns the outcome of a call for which no further replica
// was found.
func (g *generator) placementRefused(ctx context.Context, attempts *retry.Call, last attemptResult, refusal outcome.NotRun) outcome.Outcome {
	switch {
	case ctx.Err() != nil:
		return cancelledOutcome(ctx, last)
	case attempts.MayHaveRun():
		return outcome.Unknown{Reason: last.reason, Detail: last.detail}
	default:
		return refusal
	}
}

// withDetail adds the engine's message to an outcome and, to a refusal, a retry
// time that depends on the load.
func (g *generator) withDetail(result outcome.Outcome, gen *call.Generation, last attemptResult) outcome.Outcome {
	switch o := result.(type) {
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
		return result
	}
}

// cancelledOutcome returns the outcome of a cancelled call: either its key was
// withdrawn or the caller disconnected.
func cancelledOutcome(ctx context.Context, last attemptResult) outcome.Outcome {
	var withdrawn *call.KeyWithdrawnError
	if errors.As(context.Cause(ctx), &withdrawn) {
		return outcome.Unknown{Reason: outcome.ReasonKeyWithdrawn, Detail: withdrawn.Error()}
	}
	return outcome.Unknown{Reason: outcome.ReasonCallerLeft, Detail: last.detail}
}

func isDialError(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError) && opError.Op == "dial"
}
