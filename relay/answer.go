package relay

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"hawthornway/outcome"
)

// answer writes what the caller gets if no target's answer was passed on. It
// reports whether an answer was begun and could not be finished.
func (r *Relay) answer(f *flight, ended outcome.Outcome) (broken bool) {
	switch o := ended.(type) {
	case outcome.Served:
		return false
	case outcome.NotRun:
		r.refuse(f, statusOf(o.Reason), o.RetryAfter, o.Detail)
	case outcome.Unknown:
		if f.answering {
			return true
		}
		if f.failure != nil {
			r.pass(f, f.failure)
			return false
		}
		status := http.StatusBadGateway
		if o.Reason == outcome.ReasonDeadline {
			status = http.StatusGatewayTimeout
		}
		r.refuse(f, status, 0, o.Detail)
	}
	return false
}

// refuse writes an answer of the host's own.
func (r *Relay) refuse(f *flight, status int, retryAfter time.Duration, detail string) {
	f.status = status
	header := f.w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	if r.leaving() {
		header.Set("Connection", "close")
	}
	f.w.WriteHeader(status)
	_, _ = f.w.Write([]byte(detail + "\n")) // a caller that has left needs no answer
}

// statusOf returns the status for a request that did not run.
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

// wholeAnswer is a target's answer that was read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// pass writes a target's answer as it is.
func (r *Relay) pass(f *flight, a *wholeAnswer) {
	r.begin(f, a.status, a.header)
	f.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	f.w.WriteHeader(a.status)
	_, _ = f.w.Write(a.body) // a caller that has left needs no answer
}

// begin sets the headers of a target's answer.
func (r *Relay) begin(f *flight, status int, answer http.Header) {
	f.status, f.answering = status, true
	header := f.w.Header()
	for name, values := range r.dialect.CallerHeader(answer) {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // keeps net/http from guessing one
	}
	if r.leaving() {
		header.Set("Connection", "close")
	}
}

// givenUp returns the outcome of a request whose context has ended before a
// target could be chosen for it.
func givenUp(ctx context.Context, sent bool) outcome.Outcome {
	left := errors.Is(ctx.Err(), context.Canceled)
	switch {
	case left && sent:
		return outcome.Unknown{Reason: outcome.ReasonCallerLeft, Detail: "the caller left"}
	case left:
		return outcome.NotRun{Reason: outcome.ReasonCallerLeft, Detail: "the caller left"}
	case sent:
		return outcome.Unknown{Reason: outcome.ReasonDeadline, Detail: "the request's time ran out while a target worked on it"}
	default:
		return outcome.NotRun{Reason: outcome.ReasonDeadline, Detail: "the request's time ran out before a target took it"}
	}
}
