// Package caller serves the callers' listener: it makes a call of each HTTP
// request, sends it through the chain of filters and answers with its outcome.
package caller

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"hawthornway/call"
	"hawthornway/openai"
	"hawthornway/outcome"
)

// Observer is told how each call ended.
type Observer interface {
	Observe(c *call.Call, ended outcome.Outcome)
}

// Handler is the HTTP handler of the callers' listener.
type Handler struct {
	handler   call.Handler
	observers []Observer
	clock     clockwork.Clock
	log       *slog.Logger
	progress  atomic.Int64
}

// NewHandler returns a new Front that runs the entries' filters, then last.
func NewHandler(entries []call.Entry, last call.Handler, clock clockwork.Clock, log *slog.Logger, observers ...Observer) *Handler {
	return &Handler{
		handler:   call.Chain(entries, last),
		observers: observers,
		clock:     clock,
		log:       log,
	}
}

// InProgress returns the number of calls in progress.
func (f *Handler) InProgress() int { return int(f.progress.Load()) }

// ServeHTTP serves one request.
func (f *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.progress.Add(1)
	defer f.progress.Add(-1)
	c := &call.Call{
		ID:       call.RequestID(uuid.NewString()),
		Writer:   call.NewWriter(w),
		Request:  r,
		Received: f.clock.Now(),
	}
	c.Writer.Header().Set(call.HeaderRequest, string(c.ID))
	ended := f.run(r.Context(), c)
	openai.WriteOutcome(c.Writer, ended)
	c.Trace.Ended = f.clock.Now()
	for _, observer := range f.observers {
		observer.Observe(c, ended)
	}
	if c.Writer.Broken() {
		panic(http.ErrAbortHandler) // net/http then breaks the connection off
	}
}

// run serves the call and logs how it ended, but nothing of its content.
func (f *Handler) run(ctx context.Context, c *call.Call) outcome.Outcome {
	ended := f.handler(ctx, c)
	level := slog.LevelDebug
	reason := outcome.Reason("")
	switch o := ended.(type) {
	case outcome.NotRun:
		reason = o.Reason
	case outcome.Unknown:
		level = slog.LevelWarn
		reason = o.Reason
	}
	f.log.Log(ctx, level, "caller: call ended",
		"request", c.ID, "team", c.Team, "outcome", ended.Header(), "reason", reason,
		"target", c.Trace.Target, "attempts", c.Trace.Attempts)
	return ended
}
