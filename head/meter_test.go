package head_test

import (
	"bufio"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"hawthornway/head"
	"hawthornway/memory"
)

func ExampleMeter() {
	var m head.Meter
	m.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"))
	fmt.Println(m.Size() < 1000)
	// Output: true
}

// Only heads count, however they are cut into pieces.
func TestMeterStopsAtTheEndOfTheHead(t *testing.T) {
	const okHead = "HTTP/1.1 200 OK\r\nA: 1\r\nB: 2\r\n\r\n"
	cases := []struct {
		name, text, head string
	}{
		{"response", okHead + strings.Repeat("a\n", 100), okHead},
		{"request", "GET / HTTP/1.1\r\nA: 1\r\n\r\nx\r\ny\r\n\r\nz", "GET / HTTP/1.1\r\nA: 1\r\n\r\n"},
		{"lines without returns", "HTTP/1.1 200 OK\nA: 1\n\nx\ny\n", "HTTP/1.1 200 OK\nA: 1\n\n"},
		{"informational first", "HTTP/1.1 103 Early\r\nC: 3\r\n\r\n" + okHead + "x\ny\n", "HTTP/1.1 103 Early\r\nC: 3\r\n\r\n" + okHead},
		{"not complete", "HTTP/1.1 200 OK\r\nA: 1\r\nB", "HTTP/1.1 200 OK\r\nA: 1\r\nB"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var only head.Meter
			only.Add([]byte(tc.head))
			for size := 1; size <= len(tc.text); size++ {
				var m head.Meter
				for rest := tc.text; rest != ""; rest = rest[min(size, len(rest)):] {
					m.Add([]byte(rest[:min(size, len(rest))]))
				}
				must.Eq(t, only.Size(), m.Size(), must.Sprint("pieces of ", size))
			}
		})
	}
}

// Guards against a head that holds more memory than it is counted for, such as one of many short
// fields.
func TestSizeCoversWhatAHeadHolds(t *testing.T) {
	const held = 200
	cases := []struct {
		name string
		line func(i int) string
	}{
		{"short names", func(i int) string { return fmt.Sprintf("%x:\r\n", i) }},
		{"one name", func(int) string { return "a:\r\n" }},
		{"long values", func(i int) string { return fmt.Sprintf("a%d: %s\r\n", i, strings.Repeat("v", 500)) }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var text strings.Builder
			text.WriteString("HTTP/1.1 200 OK\r\n")
			for i := 0; text.Len() < 63<<10; i++ {
				text.WriteString(tc.line(i))
			}
			text.WriteString("\r\n")
			var m head.Meter
			m.Add([]byte(text.String()))
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			responses := make([]*http.Response, 0, held)
			for range held {
				response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text.String())), nil)
				must.NoError(t, err)
				response.Body = nil // holds the reader
				responses = append(responses, response)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			must.LessEq(t, m.Size(), memory.Bytes(after.HeapAlloc-before.HeapAlloc)/held)
			runtime.KeepAlive(responses)
		})
	}
}
