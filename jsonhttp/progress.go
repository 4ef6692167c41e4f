package jsonhttp

import (
	"io"
	"time"
)

// progressLimit ends a call that makes no progress.
type progressLimit struct {
	// timer ends the call.
	timer *time.Timer
	// timeout is the longest time without progress.
	timeout time.Duration
	// minRate is in bytes per second. If it is zero, the timer isn't extended.
	minRate int64
	start   time.Time
}

// reader returns a reader of a response body that extends the call as bytes arrive.
func (l *progressLimit) reader(body io.Reader) io.Reader {
	if l.minRate == 0 {
		return body
	}
	l.extend(0)
	return &progressReader{body: body, limit: l}
}

// extend allows for the next part of a body of which n bytes have been received.
func (l *progressLimit) extend(n int64) {
	atMinRate := time.Duration(float64(n) / float64(l.minRate) * float64(time.Second))
	l.timer.Reset(min(l.timeout, time.Until(l.start.Add(l.timeout+atMinRate))))
}

type progressReader struct {
	body     io.Reader
	limit    *progressLimit
	received int64
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if r.received += int64(n); n > 0 {
		r.limit.extend(r.received)
	}
	return n, err
}
