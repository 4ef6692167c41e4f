package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"hawthornway/catalog"
	"hawthornway/exchange"
	"hawthornway/outcome"
	"hawthornway/retry"
	"hawthornway/roster"
	"hawthornway/target"
)

// The bounds of connections' reuse.
const (
	// freshForAll is how long a connection may have been idle that carries a
	// request which can be repeated.
	freshForAll = exchange.Freshness(10 * time.Second)
	// freshForOnce is that for requests that can't be, since a target may close
	// an idle connection as the request arrives.
	freshForOnce = exchange.Freshness(time.Second)
)

// refusedPause is the time before a request is sent again that a target has
// refused without running it. Adapters are loaded in about as long.
const refusedPause = 25 * time.Millisecond

// maxSends bounds the sends of one request, refused ones included.
const maxSends = 6

// dispatch sends the request to targets until one has answered.
func (r *Relay) dispatch(ctx context.Context, f *flight) outcome.Outcome {
	ctx, cancel := context.WithDeadline(ctx, f.deadline)
	defer cancel()
	stream, isStream := f.route.Delivery.(catalog.Stream)
	s := &session{
		relay: r, flight: f, budget: r.budgets.of(f.pool),
		after: f.req.LastEventID, stream: stream, isStream: isStream,
	}
	s.budget.Request()
	for {
		if ended := s.mayGoOn(ctx); ended != nil {
			return ended
		}
		place, refusal := r.placer.Place(ctx, r.ask(f))
		if refusal != nil {
			return s.refusedBy(*refusal)
		}
		f.trail = append(f.trail, place.Target.ID)
		if f.sent.IsZero() {
			f.sent = r.clock.Now()
		}
		result := s.send(ctx, place.Target)
		place.Done(result.verdict())
		if ended := s.take(ctx, place.Target.ID, result); ended != nil {
			return ended
		}
	}
}

// ask describes the target that the request needs.
func (r *Relay) ask(f *flight) Ask {
	return Ask{
		Pool:     f.pool,
		Model:    f.req.Model,
		Adapter:  f.req.Adapter,
		Session:  f.req.Session,
		Prompt:   f.req.promptTokens(),
		Avoid:    f.avoid,
		Priority: f.priority,
		Due:      f.due(),
		Deadline: r.leaves(f),
		Team:     f.team.ID,
		ID:       f.req.ID,
	}
}

// leaves returns when the caller stops waiting: at its deadline, or earlier if a
// stream stays silent.
func (r *Relay) leaves(f *flight) time.Time {
	stream, ok := f.route.Delivery.(catalog.Stream)
	if !ok || stream.MaxSilence <= 0 {
		return f.deadline
	}
	silentSince := f.received
	if f.answering {
		silentSince = r.clock.Now() // the last event was passed on a moment ago
	}
	if leaves := silentSince.Add(stream.MaxSilence); leaves.Before(f.deadline) {
		return leaves
	}
	return f.deadline
}

// due returns when the answer is still on time.
func (f *flight) due() time.Time {
	if f.route.Objective <= 0 {
		return f.deadline
	}
	return f.received.Add(f.route.Objective)
}

// mayGoOn returns an outcome if the request may not be sent once more.
func (s *session) mayGoOn(ctx context.Context) outcome.Outcome {
	switch {
	case ctx.Err() != nil:
		return givenUp(ctx, s.maybeRan)
	case !s.pay():
		return spent(s.maybeRan, "the budget of repeats is used up")
	case s.sends >= maxSends || s.ran >= s.flight.route.MaxTargets:
		return spent(s.maybeRan, "the targets that were tried have failed")
	default:
		return nil
	}
}

// pay takes a repeat from the budget, unless none is needed or the last one that
// was taken has reached no target.
func (s *session) pay() bool {
	if s.arrived && !s.paid {
		s.paid = s.budget.Take()
		return s.paid
	}
	return true
}

// refusedBy returns the outcome of a request for which no target was found.
func (s *session) refusedBy(refusal outcome.NotRun) outcome.Outcome {
	if s.maybeRan {
		return outcome.Unknown{Reason: refusal.Reason, Detail: refusal.Detail}
	}
	return refusal
}

// take takes note of what became of a sending. It returns nil if the request may
// be sent once more.
func (s *session) take(ctx context.Context, id target.ID, result sending) outcome.Outcome {
	r, f := s.relay, s.flight
	s.sends++
	switch res := result.(type) {
	case finished:
		return outcome.Served{}
	case refused:
		s.arrived, s.paid = true, false
		if res.replaced {
			f.avoid[id] = true
		}
		r.log.Info("relay: target refused", "request", f.req.ID, "target", id, "status", res.status, "sends", s.sends)
		if !r.pause(ctx, refusedPause) {
			return givenUp(ctx, s.maybeRan)
		}
		return nil
	case notSent:
		f.avoid[id] = true
		r.log.Warn("relay: target not reached", "request", f.req.ID, "target", id, "error", res.err)
		return nil
	case broke:
		s.mayHaveRun(id)
		r.log.Warn("relay: target broke off", "request", f.req.ID, "target", id, "after", s.after, "error", res.err)
		if !f.route.Repeatable() || ctx.Err() != nil {
			return unanswered(ctx, res.err)
		}
		return nil
	case failed:
		s.mayHaveRun(id)
		f.failure = res.answer
		if !f.route.Repeatable() {
			return outcome.Unknown{Reason: outcome.ReasonTargetFailed, Detail: "the target failed the request"}
		}
		return nil
	default:
		panic(fmt.Sprintf("relay: unknown result %T", result))
	}
}

// mayHaveRun takes note that a target may have run the request.
func (s *session) mayHaveRun(id target.ID) {
	s.arrived, s.maybeRan, s.paid = true, true, false
	s.ran++
	s.flight.avoid[id] = true
}

// spent ends a request that may not be sent again.
func spent(maybeRan bool, detail string) outcome.Outcome {
	if maybeRan {
		return outcome.Unknown{Reason: outcome.ReasonTargetFailed, Detail: detail}
	}
	return outcome.NotRun{Reason: outcome.ReasonNoTarget, RetryAfter: spentWait, Detail: detail}
}

// spentWait is when a caller should try again whose request no target took. It
// is long enough for a failed target to be noticed.
const spentWait = 300 * time.Millisecond

func unanswered(ctx context.Context, err error) outcome.Outcome {
	if ctx.Err() != nil {
		return givenUp(ctx, true)
	}
	return outcome.Unknown{Reason: outcome.ReasonTargetFailed, Detail: fmt.Sprintf("the target did not answer: %v", err)}
}

func (r *Relay) pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-r.clock.After(d):
		return true
	}
}

// sending is one of finished, refused, notSent, broke and failed: what became
// of one sending.
type sending interface{ verdict() Result }

type finished struct{ load *Load }

type refused struct {
	status   int
	replaced bool
	missing  bool
	load     *Load
}

type notSent struct{ err error }

type broke struct {
	err       error
	abandoned bool
}

type failed struct{ answer *wholeAnswer }

func (s finished) verdict() Result { return Served{Load: s.load} }
func (s refused) verdict() Result {
	if s.replaced {
		return Failed{Unreachable: true}
	}
	return Refused{Load: s.load, Missing: s.missing}
}

func (s notSent) verdict() Result {
	if errors.Is(s.err, context.Canceled) || errors.Is(s.err, context.DeadlineExceeded) {
		return Abandoned{}
	}
	return Failed{Unreachable: true}
}

func (s broke) verdict() Result {
	if s.abandoned {
		return Abandoned{}
	}
	return Failed{}
}
func (s failed) verdict() Result { return Failed{} }

// session is the sendings of one request, which for a resumable stream go on
// where the one before ended.
type session struct {
	relay    *Relay
	flight   *flight
	stream   catalog.Stream
	isStream bool
	// after is the last event that was passed on.
	after  EventID
	budget retry.Budget
	// sends counts the sendings, and ran those that a target may have run.
	sends, ran int
	// arrived says that a sending has reached a target, and maybeRan that one may
	// have run the request.
	arrived, maybeRan bool
	// paid says that a repeat was taken from the budget for the next sending.
	paid bool
}

// send sends the request to one target and passes its answer on.
func (s *session) send(ctx context.Context, t roster.Target) sending {
	r, f := s.relay, s.flight
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := s.watch(ctx, cancel, t)
	defer watch.stop()
	fresh := freshForOnce
	if f.route.Repeatable() {
		fresh = freshForAll
	}
	priority := f.priority
	if f.req.Model == "" {
		priority = -1
	}
	resp, err := r.client.Do(ctx, t.Address, exchange.Request{
		Method: f.req.Method,
		URI:    f.req.URI,
		Host:   f.req.Host,
		Header: r.dialect.TargetHeader(f.req, Attempt{
			Target:      t.ID,
			TimeLeft:    f.deadline.Sub(r.clock.Now()),
			Team:        f.team.ID,
			Priority:    priority,
			LastEventID: s.after,
		}),
		Body: f.req.Body,
		Echo: func(h http.Header) bool { return r.dialect.IsResponseTo(f.req, h) },
	}, fresh)
	if err != nil {
		if errors.Is(err, exchange.ErrNotSent) {
			return notSent{err: err}
		}
		return broke{err: err, abandoned: watch.abandoned(ctx)}
	}
	defer resp.Close()
	watch.heard()
	answer := r.dialect.ParseResponse(t.ID, resp.Status, resp.Header)
	switch {
	case answer.NotRun || answer.Replaced:
		_, _ = io.Copy(io.Discard, resp) // lets the connection be reused
		return refused{status: resp.Status, replaced: answer.Replaced, missing: answer.NotLoaded, load: answer.Load}
	case s.isStream && resp.Status < http.StatusMultipleChoices:
		return s.passEvents(ctx, resp, answer, watch)
	default:
		return s.passWhole(ctx, resp, answer, watch)
	}
}

// maxWholeBytes bounds an answer that is read whole before it is passed on.
const maxWholeBytes = 32 << 20

// passWhole passes an answer on once it is there to its end.
func (s *session) passWhole(ctx context.Context, resp *exchange.Response, answer ResponseInfo, watch *watch) sending {
	r, f := s.relay, s.flight
	body, err := io.ReadAll(io.LimitReader(resp, maxWholeBytes+1))
	if err == nil && len(body) > maxWholeBytes {
		err = errors.New("answer is over the bound")
	}
	if err != nil {
		return broke{err: err, abandoned: watch.abandoned(ctx)}
	}
	whole := &wholeAnswer{status: resp.Status, header: resp.Header, body: body}
	if !answer.Signed {
		return broke{err: fmt.Errorf("answer with status %d is unsigned", resp.Status)}
	}
	if resp.Status >= http.StatusInternalServerError {
		return failed{answer: whole}
	}
	if f.answering {
		return broke{err: fmt.Errorf("stream was not resumed: status %d", resp.Status)}
	}
	f.firstByte = r.clock.Now()
	r.pass(f, whole)
	return finished{load: answer.Load}
}
