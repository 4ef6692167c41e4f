package openai

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"hawthornway/call"
	"hawthornway/memory"
)

// maxEventBytes is the maximum size of one event of an engine's stream.
const maxEventBytes = 1 << 20

var endOfStream = []byte("[DONE]")

// eventID identifies the token that an event carries and its attempt.
type eventID struct {
	Request call.RequestID
	Attempt call.Attempt
	Token   int
}

// String returns the ID as "REQUEST/ATTEMPT/TOKEN".
func (e eventID) String() string {
	return fmt.Sprintf("%s/%d/%d", e.Request, e.Attempt, e.Token)
}

func parseEventID(text string) (eventID, error) {
	parts := strings.Split(text, "/")
	if len(parts) != 3 {
		return eventID{}, fmt.Errorf("event id %q does not have three parts", text)
	}
	attempt, err := strconv.Atoi(parts[1])
	if err != nil {
		return eventID{}, fmt.Errorf("event id %q has a bad attempt", text)
	}
	token, err := strconv.Atoi(parts[2])
	if err != nil {
		return eventID{}, fmt.Errorf("event id %q has a bad token number", text)
	}
	return eventID{Request: call.RequestID(parts[0]), Attempt: call.Attempt(attempt), Token: token}, nil
}

// event is one server-sent event.
type event struct {
	ID   string
	Data []byte
}

const (
	// eventFactor is how many times its size an event holds while it is read and parsed.
	eventFactor = 6
	// eventAllowance is the size of an event that needs no loan. Usual ones are shorter.
	eventAllowance = 4 << 10
)

// errNoMemory means that the host has no memory for what an engine sends.
var errNoMemory = errors.New("the engine's answer is longer than the host has memory for")

// eventReader reads server-sent events.
type eventReader struct {
	reader *bufio.Reader
	loan   *memory.Loan
	// lent is what was lent for the present event.
	lent memory.Bytes
}

func newEventReader(r io.Reader, loan *memory.Loan) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, 16<<10), loan: loan}
}

// hold borrows the memory for an event of which some bytes have been read.
func (r *eventReader) hold(eventBytes int) error {
	missing := memory.Bytes(eventFactor*(eventBytes-eventAllowance)) - r.lent
	if missing <= 0 {
		return nil
	}
	if !r.loan.GrowAnswer(missing) {
		return errNoMemory
	}
	r.lent += missing
	return nil
}

// release gives back the memory of the event before.
func (r *eventReader) release() {
	r.loan.ShrinkAnswers(r.loan.Answers() - r.lent)
	r.lent = 0
}

// Next returns the next event with data. It fails with io.ErrUnexpectedEOF when
// the stream ends inside an event, and with io.EOF when it ends between events.
func (r *eventReader) Next() (event, error) {
	var next event
	r.release()
	for {
		line, err := r.readLine(len(next.Data))
		if errors.Is(err, io.EOF) && len(next.Data) > 0 {
			return event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return event{}, err
		}
		if len(line) == 0 {
			if len(next.Data) > 0 {
				return next, nil
			}
			continue
		}
		next.addLine(line)
	}
}

func (e *event) addLine(line []byte) {
	field, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(field) {
	case "id":
		e.ID = string(value)
	case "data":
		if len(e.Data) > 0 {
			e.Data = append(e.Data, '\n')
		}
		e.Data = append(e.Data, value...)
	}
}

// readLine returns the next line without its line end. It fails if the event,
// of which eventBytes were read before, becomes larger than maxEventBytes.
func (r *eventReader) readLine(eventBytes int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.reader.ReadSlice('\n')
		line = append(line, part...)
		if eventBytes+len(line) > maxEventBytes {
			return nil, fmt.Errorf("event is larger than %d bytes", maxEventBytes)
		}
		if err := r.hold(eventBytes + len(line)); err != nil {
			return nil, err
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && len(line) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		return bytes.TrimRight(line, "\r\n"), nil
	}
}

// writeEvent writes one event to the caller and flushes it.
func writeEvent(w *call.Writer, data []byte) error {
	buf := make([]byte, 0, len(data)+8)
	buf = append(buf, "data: "...)
	buf = append(buf, data...)
	buf = append(buf, "\n\n"...)
	if _, err := w.Write(buf); err != nil {
		return err
	}
	return w.Flush()
}
