// Package head measures the heads of HTTP/1.1 messages while they are read, so that what they hold
// in memory can be limited before they are complete, and checks what parsers let through.
package head

import (
	"bytes"

	"hawthornway/memory"
)

// Allowance is what a head may hold in memory without a loan. Usual heads hold less.
const Allowance = 8 << 10

const (
	// bytesFactor is how often the bytes of a head are held while it is parsed.
	bytesFactor = 2
	// fieldBytes is what one field holds besides its bytes. A head of many short fields holds
	// many times its size.
	fieldBytes = 160
	// startBytes is how much of the first line tells an informational response.
	startBytes = len("HTTP/1.1 1")
)

// Meter measures heads as their bytes arrive. A head may follow informational responses, which
// count as part of it. The zero value expects the first byte of a head.
type Meter struct {
	bytes, fields int
	// ended is set after the end of the head.
	ended bool
	// start is the start of the first line, and line the number of the present one.
	start []byte
	line  int
	// text is set if the present line isn't blank.
	text bool
}

// Add adds bytes that were read. Those after the end of the head don't count.
func (m *Meter) Add(p []byte) {
	for len(p) > 0 && !m.ended {
		line, rest, complete := bytes.Cut(p, []byte("\n"))
		m.bytes += len(p) - len(rest)
		if m.line == 0 {
			m.start = append(m.start, line[:min(len(line), startBytes-len(m.start))]...)
		}
		m.text = m.text || len(bytes.TrimRight(line, "\r")) > 0
		if !complete {
			return
		}
		m.endLine()
		p = rest
	}
}

func (m *Meter) endLine() {
	switch {
	case m.text && m.line > 0:
		m.fields++
		m.line++
	case m.text:
		m.line++
	case m.line > 0 && m.informational():
		m.start, m.line = m.start[:0], 0
	case m.line > 0:
		m.ended = true
	}
	m.text = false
}

func (m *Meter) informational() bool {
	return len(m.start) == startBytes && bytes.HasPrefix(m.start, []byte("HTTP/1.")) && m.start[startBytes-1] == '1'
}

// Size returns what the heads so far hold in memory at most, once they are parsed.
func (m *Meter) Size() memory.Bytes { return memory.Bytes(bytesFactor*m.bytes + fieldBytes*m.fields) }
