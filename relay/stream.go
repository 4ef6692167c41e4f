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
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// event is one event of a stream, with its blank line.
type event struct {
	id   EventID
	text []byte
}

// errPartial says that a stream ended within an event.
var errPartial = errors.New("stream ended within an event")

// readEvent returns the next whole event. It returns io.EOF at the end of a
// whole stream.
func readEvent(r *bufio.Reader) (event, error) {
	var e event
	for {
		line, err := r.ReadSlice('\n')
		e.text = append(e.text, line...)
		if len(e.text) > maxEventBytes {
			return event{}, errors.New("event is over the bound")
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == io.EOF && len(e.text) > 0:
			return event{}, errPartial
		case err != nil:
			return event{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return e, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err != nil {
				return event{}, fmt.Errorf("event has the id %q, which is no number", value)
			}
			e.id = EventID(id)
		}
	}
}

// passEvents passes the events of a stream on as they come. Only whole events
// are passed on, so that another target can go on after any of them.
func (s *session) passEvents(ctx context.Context, resp *exchange.Response, answer ResponseInfo, watch *watch) sending {
	r, f := s.relay, s.flight
	if !answer.Signed {
		return broke{err: fmt.Errorf("answer with status %d is unsigned", resp.Status)}
	}
	if !f.answering {
		r.begin(f, resp.Status, resp.Header)
		f.w.WriteHeader(resp.Status)
	} else {
		f.resumed++
	}
	flusher := http.NewResponseController(f.w)
	reader := bufio.NewReaderSize(resp, streamBufferBytes)
	for {
		e, err := readEvent(reader)
		if err == io.EOF {
			return finished{load: answer.Load}
		}
		if err != nil {
			// The whole events that are there reach the caller in any case.
			_ = flusher.Flush() // a caller that has left needs none
			return broke{err: err, abandoned: watch.abandoned(ctx)}
		}
		watch.heard()
		if e.id != 0 && e.id <= s.after {
			continue // the target began before the event that it was to go on after
		}
		if _, err := f.w.Write(e.text); err != nil {
			return broke{err: fmt.Errorf("caller: %w", err), abandoned: true}
		}
		if f.firstByte.IsZero() {
			f.firstByte = r.clock.Now()
		}
		if e.id != 0 {
			s.after = e.id
		}
		if reader.Buffered() > 0 {
			continue
		}
		if err := flusher.Flush(); err != nil {
			return broke{err: fmt.Errorf("caller: %w", err), abandoned: true}
		}
	}
}

// streamBufferBytes is the size of a stream's read buffer. It holds many events.
const streamBufferBytes = 4 << 10
