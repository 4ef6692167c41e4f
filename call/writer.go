package call

import (
	"net/http"
	"time"
)

// HeaderOutcome is the header, or the trailer of a stream, that carries the
// outcome of a call.
const HeaderOutcome = "Hawthornway-Outcome"

// HeaderRequest is the response header that carries the request's ID.
const HeaderRequest = "Hawthornway-Request"

// HeaderDeadline is the request header with the time that the caller waits for
// the first part of the response, as a duration such as "2.5s".
const HeaderDeadline = "Hawthornway-Deadline"

// writeTimeout is the timeout of one write to the caller.
const writeTimeout = 30 * time.Second

// Writer writes a response to the caller and tracks whether it has started.
type Writer struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	started bool
	aborted bool
}

// NewWriter returns a new Writer over w.
func NewWriter(w http.ResponseWriter) *Writer {
	return &Writer{writer: w, control: http.NewResponseController(w)}
}

// Header returns the response headers.
func (w *Writer) Header() http.Header { return w.writer.Header() }

// Started reports whether a part of the response was written.
func (w *Writer) Started() bool { return w.started }

// WriteHeader writes the status and the headers.
func (w *Writer) WriteHeader(status int) {
	w.started = true
	w.writer.WriteHeader(status)
}

// Write writes a part of the response. It fails if the caller doesn't read it in
// time.
func (w *Writer) Write(part []byte) (int, error) {
	w.started = true
	// Response recorders in tests don't support deadlines.
	_ = w.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	return w.writer.Write(part)
}

// SetReadDeadline sets the deadline for reading the request body; the zero time
// removes it.
func (w *Writer) SetReadDeadline(deadline time.Time) {
	// Response recorders in tests don't support deadlines.
	_ = w.control.SetReadDeadline(deadline)
}

// Flush sends buffered data to the caller.
func (w *Writer) Flush() error { return w.control.Flush() }

// Abort marks the response as incomplete. Its connection is closed, so that the
// caller doesn't take the response for a complete one.
func (w *Writer) Abort() { w.aborted = true }

// Aborted reports whether the response was aborted.
func (w *Writer) Aborted() bool { return w.aborted }
