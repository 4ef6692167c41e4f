package jsonhttp_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/jsonhttp"
)

// newPacedTransport opens connections in memory, whose server answers each request with a
// JSON string of size bytes. It sends chunk bytes of it in each interval, and nothing more
// after the first sent bytes.
func newPacedTransport(size, chunk, sent int, interval time.Duration) *http.Transport {
	return &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			if _, err := far.Read(make([]byte, 4<<10)); err != nil {
				return
			}
			body := []byte(`"` + strings.Repeat("a", size-2) + `"`)
			if _, err := fmt.Fprintf(far, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size); err != nil {
				return
			}
			for body = body[:sent]; len(body) > 0; body = body[min(chunk, len(body)):] {
				time.Sleep(interval)
				if _, err := far.Write(body[:min(chunk, len(body))]); err != nil {
					return
				}
			}
			_, _ = io.Copy(io.Discard, far) // until the client closes
		}()
		return near, nil
	}}
}

// An operator has to see whether a server that didn't answer in time is silent or slow.
func TestErrorOfCutBodyStatesBytesReceived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := jsonhttp.NewClient("10.0.0.1:1")
		client.SetTransport(newPacedTransport(1000, 100, 300, 10*time.Millisecond))
		var response string
		err := client.Get(t.Context(), "/", nil, time.Second, &response)
		must.ErrorIs(t, err, jsonhttp.ErrUnanswered)
		must.StrContains(t, err.Error(), "after 300 bytes of the response body")
	})
}
