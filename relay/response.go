package relay

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"hawthornway/outcome"
)

// respond writes the response, unless a target's response has been passed on. It
// reports whether a response has started that can't be completed.
func (r *Relay) respond(f *inflight, result outcome.Outcome) (incomplete bool) {
	switch o := result.(type) {
	case outcome.Served:
		return false
	case outcome.NotRun:
		r.writeError(f, statusOf(o.Reason), o.RetryAfter, o.Detail)
	case outcome.Unknown:
		if f.responseStarted {
			return true
		}
		if f.serverError != nil {
			r.writeBuffered(f, f.serverError)
			return false
		}
		status := http.StatusBadGateway
		if o.Reason == outcome.ReasonDeadline {
			status = http.StatusGatewayTimeout
		}
		r.writeError(f, status, 0, o.Detail)
	}
	return false
}

// writeError writes an error response of this host.
func (r *Relay) writeError(f *inflight, status int, retryAfter time.Duration, detail string) {
	f.status = status
	header := f.w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	if r.draining() {
		header.Set("Connection", "close")
	}
	f.w.WriteHeader(status)
	_, _ = f.w.Write([]byte(detail + "\n")) // the caller may have left
}

// statusOf returns the HTTP status for a request that was not run.
func statusOf(reason outcome.Reason) int {
	switch reason {
	case outcome.ReasonBadRequest:
		return http.StatusBadRequest
	case outcome.ReasonNoKey:
		return http.StatusUnauthorized
	case outcome.ReasonUnknownRoute, outcome.ReasonUnknownModel:
		return http.StatusNotFound
	case outcome.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case outcome.ReasonRate:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}

// bufferedResponse is a target's response, read to its end.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// writeBuffered passes a target's response on to the caller.
func (r *Relay) writeBuffered(f *inflight, response *bufferedResponse) {
	r.startResponse(f, response.status, response.header)
	f.w.Header().Set("Content-Length", strconv.Itoa(len(response.body)))
	f.w.WriteHeader(response.status)
	_, _ = f.w.Write(response.body) // the caller may have left
}

// startResponse sets the caller's response headers from those of a target's
// response.
func (r *Relay) startResponse(f *inflight, status int, targetHeader http.Header) {
	f.status, f.responseStarted = status, true
	header := f.w.Header()
	for name, values := range r.dialect.CallerHeader(targetHeader) {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // stops net/http from detecting one
	}
	if r.draining() {
		header.Set("Connection", "close")
	}
}

// contextEnded returns the outcome of a request whose context has ended.
// mayHaveRun is set if a target may have run the request.
func contextEnded(ctx context.Context, mayHaveRun bool) outcome.Outcome {
	callerLeft := errors.Is(ctx.Err(), context.Canceled)
	stopping := errors.Is(context.Cause(ctx), ErrStopping)
	switch {
	case stopping && mayHaveRun:
		return outcome.Unknown{Reason: outcome.ReasonDraining, Detail: "the host stopped while a target worked on the request"}
	case stopping:
		return outcome.NotRun{Reason: outcome.ReasonDraining, RetryAfter: StoppingRetryAfter, Detail: "the host stopped before a target took the request"}
	case callerLeft && mayHaveRun:
		return outcome.Unknown{Reason: outcome.ReasonCallerLeft, Detail: "the caller left"}
	case callerLeft:
		return outcome.NotRun{Reason: outcome.ReasonCallerLeft, Detail: "the caller left"}
	case mayHaveRun:
		return outcome.Unknown{Reason: outcome.ReasonDeadline, Detail: "the request's time ran out while a target worked on it"}
	default:
		return outcome.NotRun{Reason: outcome.ReasonDeadline, Detail: "the request's time ran out before a target took it"}
	}
}
