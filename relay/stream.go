package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"hawthornway/exchange"
	"hawthornway/lineage"
	"hawthornway/memory"
)

// maxEventBytes limits the size of one event.
const maxEventBytes = 1 << 20

// event is one server-sent event, including its terminating blank line.
type event struct {
	id   EventID
	text []byte
}

// errPartialEvent means that a stream ended within an event.
var errPartialEvent = errors.New("stream ended within an event")

// errNothingResumed means that a target took up a stream and sent none of its events. That the
// stream has no more of them isn't shown, since the target before broke off.
var errNothingResumed = errors.New("the target that took up the stream sent no event")

// errEventTooLong means that a target sent an event without an end.
var errEventTooLong = errors.New("event exceeds the size limit")

// errStatusLine means that a target sent another response within a stream.
var errStatusLine = errors.New("stream has the status line of another response")

// statusLine is how the head of a response begins.
var statusLine = []byte("HTTP/1.")

// eventReader reads the events of a stream, into a buffer that it uses again and for which memory
// is lent.
type eventReader struct {
	*bufio.Reader
	loan *memory.Loan
	text []byte
	// lent is the part of the loan for text.
	lent memory.Bytes
}

func newEventReader(r io.Reader, loan *memory.Loan) *eventReader {
	return &eventReader{Reader: bufio.NewReaderSize(r, streamBufferBytes), loan: loan}
}

// add adds a part of a line to the text of the event.
func (r *eventReader) add(part []byte) error {
	size := len(r.text) + len(part)
	if size > maxEventBytes {
		return errEventTooLong
	}
	if size > cap(r.text) {
		grown := max(size, 2*cap(r.text), firstEventBytes)
		lent := memory.Bytes(grown - firstEventBytes)
		if !r.loan.GrowAnswer(lent) {
			return exchange.ErrNoMemory
		}
		r.text = append(make([]byte, 0, grown), r.text...)
		r.loan.ShrinkAnswers(r.loan.Answers() - r.lent)
		r.lent = lent
	}
	r.text = append(r.text, part...)
	return nil
}

// begin begins the text of an event. The buffer of a long one isn't kept.
func (r *eventReader) begin() {
	if r.lent > 0 {
		r.loan.ShrinkAnswers(r.loan.Answers() - r.lent)
		r.text, r.lent = nil, 0
	}
	r.text = r.text[:0]
}

// read returns the next complete event, whose text is valid until the next call. It returns io.EOF
// if the stream ended after a complete event.
func (r *eventReader) read() (event, error) {
	var e event
	r.begin()
	for {
		line, err := r.ReadSlice('\n')
		if err := r.add(line); err != nil {
			return event{}, err
		}
		e.text = r.text
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == io.EOF && len(e.text) > 0:
			return event{}, errPartialEvent
		case err != nil:
			return event{}, err
		}
		if bytes.HasPrefix(line, statusLine) {
			return event{}, errStatusLine
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return e, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err != nil {
				return event{}, fmt.Errorf("event id %q is not a number", value)
			}
			e.id = EventID(id)
		}
	}
}

// relayEvents passes the events of a stream on as they arrive. It passes on
// complete events only, so that another target can continue after any of them.
func (d *dispatcher) relayEvents(ctx context.Context, placement Placement, resp *exchange.Response, info ResponseInfo, w *watchdog) attemptResult {
	r, f := d.relay, d.inflight
	if !info.Signed {
		return interrupted{err: fmt.Errorf("answer with status %d is unsigned", resp.Status)}
	}
	resumed, before := f.responseStarted, d.lastEventID
	if !f.responseStarted {
		f.version = placement.Target.Version
		if f.req.LastEventID == 0 {
			r.lineage.Began(lineage.StreamID(f.req.ID), lineage.Build{Pool: f.pool, Version: placement.Target.Version})
		}
		r.startResponse(f, resp.Status, resp.Header)
		f.w.WriteHeader(resp.Status)
	} else {
		f.resumed++
	}
	flusher := http.NewResponseController(f.w)
	reader := newEventReader(resp, f.loan)
	for events := 0; ; events++ {
		e, err := reader.read()
		if err == io.EOF && resumed && d.lastEventID == before {
			err = errNothingResumed
		}
		if err == io.EOF {
			return completedBy(resp, info)
		}
		if err != nil {
			// Delivers the complete events that were written so far.
			_ = flusher.Flush() // the caller may have left
			return interrupted{err: err, abandoned: w.abandoned(ctx), silent: w.silent(ctx), began: true, events: events}
		}
		if events == 0 && placement.Notice != nil {
			placement.Notice(FirstEvent{})
		}
		if events == maxEventsAtBeginning {
			d.survived = true
			r.quarantine.RecordSurvival(f.suspects(), d.sentAt, false, false)
		}
		if e.id != 0 && e.id <= d.lastEventID {
			continue // the caller has this event already
		}
		if e.id != 0 || d.lastEventID == 0 {
			w.recordActivity() // comments are no progress of a stream with numbered events
		}
		if _, err := f.w.Write(e.text); err != nil {
			return interrupted{err: fmt.Errorf("caller: %w", err), abandoned: true}
		}
		if f.firstByte.IsZero() {
			f.firstByte = r.clock.Now()
		}
		if e.id != 0 {
			d.lastEventID = e.id
		}
		if reader.Buffered() > 0 {
			continue
		}
		if err := flusher.Flush(); err != nil {
			return interrupted{err: fmt.Errorf("caller: %w", err), abandoned: true}
		}
	}
}

const (
	// streamBufferBytes is the size of a stream's read buffer. It holds many events.
	streamBufferBytes = 4 << 10
	// firstEventBytes is the size of the buffer for an event, which is counted with
	// requestBytes. Most events fit into it.
	firstEventBytes = 1 << 10
)
