package relay

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"hawthornway/exchange"
	"hawthornway/memory"
	"hawthornway/outcome"
)

const (
	// requestBytes is what a request holds besides its body: the buffers of its connections,
	// its head, and the start of a response.
	requestBytes = 32 << 10
	// firstReadBytes is the size of the first buffer for a body of unknown length. It is
	// counted with requestBytes.
	firstReadBytes = 8 << 10
)

// readBody reads the request's body into memory, if there is room for it. Otherwise the request
// is refused, before its body is read if that has a length.
func (r *Relay) readBody(f *inflight) outcome.Outcome {
	body, length := f.httpRequest.Body, f.httpRequest.ContentLength
	maxBytes := f.catalog.Bounds.BodyBytes
	if maxBytes > 0 && length > maxBytes {
		return bodyTooLarge
	}
	needed := memory.Bytes(requestBytes + max(0, length))
	if !f.loan.Grow(needed) {
		return r.noRoom(needed)
	}
	defer r.limitBodyTime(f)()
	if maxBytes > 0 {
		body = http.MaxBytesReader(f.w, body, maxBytes)
	}
	var err error
	if length >= 0 {
		f.req.Body = make([]byte, length)
		_, err = io.ReadFull(body, f.req.Body)
	} else {
		var full bool
		if f.req.Body, full, err = memory.ReadAll(body, f.loan.Grow, f.loan.Shrink, firstReadBytes, maxUnknownBytes); full {
			return r.noRoom(2 * memory.Bytes(len(f.req.Body)))
		}
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return bodyTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return outcome.NotRun{Reason: outcome.ReasonDeadline, Detail: "the body was not sent in the request's time"}
	case err != nil:
		return outcome.NotRun{Reason: outcome.ReasonCallerLeft, Detail: "the body was not sent whole"}
	}
	return nil
}

// maxUnknownBytes limits bodies without a length where the configuration doesn't.
const maxUnknownBytes = 64 << 20

var bodyTooLarge = outcome.NotRun{Reason: outcome.ReasonTooLarge, Detail: "the body is over the bound"}

func (r *Relay) noRoom(needed memory.Bytes) outcome.Outcome {
	return outcome.NotRun{Reason: outcome.ReasonNoMemory, RetryAfter: r.memory.Wait(needed), Detail: "the host has no room for the request"}
}

// limitBodyTime ends the reading of the body when the caller's time is over, so that slow callers
// don't hold memory for ever. The returned function lifts the limit.
func (r *Relay) limitBodyTime(f *inflight) (lift func()) {
	if f.req.Timeout <= 0 {
		return func() {}
	}
	connection := http.NewResponseController(f.w)
	set := func(deadline time.Time) {
		if err := connection.SetReadDeadline(deadline); err != nil && !errors.Is(err, errors.ErrUnsupported) {
			r.log.Info("relay: the time of a body can't be limited", "request", f.req.ID, "error", err)
		}
	}
	set(time.Now().Add(f.req.Timeout))
	return func() { set(time.Time{}) }
}

// readResponse reads a response up to maxBufferedBytes, or as much as there is memory for. It
// reports whether there may be more.
func readResponse(resp *exchange.Response, loan *memory.Loan) (body []byte, long bool, err error) {
	giveBack := func(n memory.Bytes) { loan.ShrinkAnswers(loan.Answers() - n) }
	return memory.ReadAll(resp, loan.GrowAnswer, giveBack, firstReadBytes, maxBufferedBytes+1)
}
