package exchange

import (
	"errors"
	"io"

	"hawthornway/head"
	"hawthornway/memory"
)

// maxHeadBytes limits the head of a response, together with the informational responses
// before it.
const maxHeadBytes = 64 << 10

var errHeadTooLong = errors.New("response head exceeds the size limit")

// ErrNoMemory means that the host has no memory for what the target sends.
var ErrNoMemory = errors.New("no memory for the response")

// headLimiter reads from a connection, and fails when the head of a response exceeds
// maxHeadBytes, or the memory that the request is lent. A faulty target may send headers, a
// header line or informational responses without end, which would fill the host's memory.
type headLimiter struct {
	conn io.Reader
	// inHead is set while a head is read, and left is what it may still take.
	inHead bool
	left   int
	meter  head.Meter
	loan   *memory.Loan
	// lent is what was lent for the head.
	lent memory.Bytes
	// err is why nothing more is read, or nil. The parser may try again after an error, when
	// bytes of the head are missing.
	err error
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.inHead && l.err == nil {
		return l.conn.Read(p)
	}
	if l.left == 0 {
		l.err = errHeadTooLong
	}
	if l.err != nil {
		return 0, l.err
	}
	n, err := l.conn.Read(p[:min(len(p), l.left)])
	l.left -= n
	l.meter.Add(p[:n])
	if missing := l.meter.Size() - head.Allowance - l.lent; missing > 0 {
		if !l.loan.GrowAnswer(missing) {
			l.err = ErrNoMemory
			return 0, l.err
		}
		l.lent += missing
	}
	return n, err
}

// beginHead limits what is read until endHead, and borrows the memory for it.
func (l *headLimiter) beginHead(loan *memory.Loan) {
	l.inHead, l.left, l.meter, l.loan, l.lent = true, maxHeadBytes, head.Meter{}, loan, 0
}

func (l *headLimiter) endHead() { l.inHead = false }
