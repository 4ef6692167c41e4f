package call

import (
	"net/http"
	"time"
)

// HeaderOutcome is the header, or trailer of a stream, that says how a call
// ended.
const HeaderOutcome = "Hawthornway-Outcome"

// HeaderRequest is the header that carries the request's id.
const HeaderRequest = "Hawthornway-Request"

// HeaderDeadline is the header in which a caller says how long it waits, as a
// duration such as "2.5s".
const HeaderDeadline = "Hawthornway-Deadline"

// writeTimeout bounds the time that a caller may take to read one part.
const writeTimeout = 30 * time.Second

// Writer writes an answer to the caller and knows whether it has begun.
type Writer struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	begun   bool
	broken  bool
}

// NewWriter returns a new Writer over w.
func NewWriter(w http.ResponseWriter) *Writer {
	return &Writer{writer: w, control: http.NewResponseController(w)}
}

// Header returns the headers that are to be written.
func (w *Writer) Header() http.Header { return w.writer.Header() }

// Begun reports whether a part of the answer was written.
func (w *Writer) Begun() bool { return w.begun }

// WriteHeader writes the status and the headers.
func (w *Writer) WriteHeader(status int) {
	w.begun = true
	w.writer.WriteHeader(status)
}

// Write writes a part of the answer. It fails if the caller doesn't read it in
// time.
func (w *Writer) Write(part []byte) (int, error) {
	w.begun = true
	// A writer without deadlines is one of a test; the write goes on.
	_ = w.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	return w.writer.Write(part)
}

// SetReadDeadline bounds the reading of the caller's body; the zero time takes
// the bound away.
func (w *Writer) SetReadDeadline(deadline time.Time) {
	// A writer without deadlines is one of a test; reading goes on.
	_ = w.control.SetReadDeadline(deadline)
}

// Flush sends what was written at once.
func (w *Writer) Flush() error { return w.control.Flush() }

// Break says that the answer can't be ended as a whole one. The connection is
// broken off, so that the caller sees it.
func (w *Writer) Break() { w.broken = true }

// Broken reports whether the connection is to be broken off.
func (w *Writer) Broken() bool { return w.broken }
