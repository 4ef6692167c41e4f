package exchange

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"hawthornway/memory"
)

// freeingReader reads a text in parts, and gives a loan back once it has been read to a position.
type freeingReader struct {
	*strings.Reader
	other  *memory.Loan
	freeAt int64
}

func (f freeingReader) Read(p []byte) (int, error) {
	n, err := f.Reader.Read(p)
	if f.Size()-int64(f.Len()) >= f.freeAt {
		f.other.Release()
	}
	return n, err
}

// Guards against a head that is read on after a part of it found no memory: the rest of it was taken
// for the body of a success (MIXED).
func TestHeadWithoutMemoryIsNotReadOn(t *testing.T) {
	var text strings.Builder
	text.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n")
	for text.Len() < 40<<10 {
		text.WriteString("a:\r\n")
	}
	text.WriteString("\r\nbody")
	for freeAt := int64(1 << 10); freeAt < 40<<10; freeAt += 512 {
		budget := memory.NewBudget(2<<20, clockwork.NewRealClock())
		other, ok := budget.Take(0)
		must.True(t, ok)
		must.True(t, other.GrowAnswer(1<<20-100<<10))
		loan, _ := budget.Take(0)
		limiter := &headLimiter{conn: freeingReader{strings.NewReader(text.String()), other, freeAt}}
		c := &conn{limiter: limiter, reader: bufio.NewReaderSize(limiter, readerBytes)}
		limiter.beginHead(loan)
		for range 3 {
			response, err := http.ReadResponse(c.reader, nil)
			if err == nil {
				must.MapContainsKey(t, response.Header, "A")
				must.Eq(t, 4, response.ContentLength)
				must.Positive(t, limiter.lent)
				break
			}
			must.ErrorIs(t, err, ErrNoMemory)
		}
	}
}
