// Package caller handles the callers' HTTP requests. It turns each request into
// a call, runs the call through the filter chain and writes its outcome.
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

// Observer is notified of the outcome of each call.
type Observer interface {
	Observe(c *call.Call, result outcome.Outcome)
}

// Handler is the HTTP handler of the callers' listener.
type Handler struct {
	chain      call.Handler
	observers  []Observer
	clock      clockwork.Clock
	log        *slog.Logger
	inProgress atomic.Int64
}

// NewHandler returns a new Handler that runs the entries' filters, then last.
func NewHandler(entries []call.Entry, last call.Handler, clock clockwork.Clock, log *slog.Logger, observers ...Observer) *Handler {
	return &Handler{
		chain:     call.Chain(entries, last),
		observers: observers,
		clock:     clock,
		log:       log,
	}
}

// InProgress returns the number of calls in progress.
func (h *Handler) InProgress() int { return int(h.inProgress.Load()) }

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inProgress.Add(1)
	defer h.inProgress.Add(-1)
	c := &call.Call{
		ID:       call.RequestID(uuid.NewString()),
		Writer:   call.NewWriter(w),
		Request:  r,
		Received: h.clock.Now(),
	}
	c.Writer.Header().Set(call.HeaderRequest, string(c.ID))
	result := h.run(r.Context(), c)
	openai.WriteOutcome(c.Writer, result)
	c.Trace.Ended = h.clock.Now()
	for _, observer := range h.observers {
		observer.Observe(c, result)
	}
	if c.Writer.Aborted() {
		panic(http.ErrAbortHandler) // makes net/http close the connection
	}
}

// run serves the call and logs its outcome, but none of its content.
func (h *Handler) run(ctx context.Context, c *call.Call) outcome.Outcome {
	result := h.chain(ctx, c)
	level := slog.LevelDebug
	reason := outcome.Reason("")
	switch o := result.(type) {
	case outcome.NotRun:
		reason = o.Reason
	case outcome.Unknown:
		level = slog.LevelWarn
		reason = o.Reason
	}
	h.log.Log(ctx, level, "caller: call ended",
		"request", c.ID, "team", c.Team, "outcome", result.Header(), "reason", reason,
		"target", c.Trace.Target, "attempts", c.Trace.Attempts)
	return result
}
