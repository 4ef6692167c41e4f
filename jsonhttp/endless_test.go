package jsonhttp_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/jsonhttp"
)

// endlessTransport opens connections in memory, whose server answers each request with
// the given bytes, and then repeats others until the connection is closed.
type endlessTransport struct {
	*http.Transport
	sent atomic.Int64
}

func newEndlessTransport(first, repeated string) *endlessTransport {
	e := &endlessTransport{}
	e.Transport = &http.Transport{MaxResponseHeaderBytes: jsonhttp.MaxHeadBytes, DialContext: func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			if _, err := far.Read(make([]byte, 4<<10)); err != nil {
				return
			}
			bytes := first
			for {
				n, err := io.WriteString(far, bytes)
				e.sent.Add(int64(n))
				if err != nil {
					return
				}
				bytes = strings.Repeat(repeated, 256)
			}
		}()
		return near, nil
	}}
	return e
}

// An engine, store or host list sends bytes without end. Calls end as unanswered, long
// before their timeout, and hold a bounded number of bytes.
func TestEndlessResponsesAreUnanswered(t *testing.T) {
	const maxBody = 1 << 20
	const head = "HTTP/1.1 200 OK\r\n"
	cases := []struct {
		name            string
		first, repeated string
	}{
		{"status line", "HTTP/1.1 200 ", "O"},
		{"header line", head + "A: ", "a"},
		{"headers", head, "A: a\r\n"},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"body without length", head + "\r\n", "[[[["},
		{"body of a length", head + "Content-Length: 999999999999\r\n\r\n", "[[[["},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\n[[[[\r\n"},
		{"chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n4;", "a"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			transport := newEndlessTransport(tc.first, tc.repeated)
			client := jsonhttp.NewClient("10.0.0.1:1")
			client.SetTransport(transport)
			client.SetMaxBody(maxBody)
			var response any
			err := client.Get(t.Context(), "/", nil, time.Minute, &response)
			must.ErrorIs(t, err, jsonhttp.ErrUnanswered)
			must.LessEq(t, 4*maxBody, transport.sent.Load())
		})
	}
}
