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

// A body that arrives steadily must not be cut off, however long it takes, but one that
// makes no progress must be.
func TestMinRateExtendsTimeout(t *testing.T) {
	const (
		size    = 1 << 20
		minRate = 100 << 10
		timeout = time.Second
	)
	cases := []struct {
		name        string
		chunk, sent int
		interval    time.Duration
		// complete is set if the body must be read, and takes is the longest duration.
		complete bool
		takes    time.Duration
	}{
		{"steady", 20 << 10, size, 100 * time.Millisecond, true, 6 * time.Second},
		{"stops midway", 20 << 10, size / 2, 100 * time.Millisecond, false, 4 * time.Second},
		{"stops at once", 1, 0, time.Millisecond, false, time.Second},
		{"a byte now and then", 1, size, 900 * time.Millisecond, false, 2 * time.Second},
		{"below the minimum rate", 5 << 10, size, 100 * time.Millisecond, false, 3 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := jsonhttp.NewClient("10.0.0.1:1")
				transport := newPacedTransport(size, tc.chunk, tc.sent, tc.interval)
				defer func() {
					transport.CloseIdleConnections()
					time.Sleep(tc.interval) // lets the server see that the connection is closed
				}()
				client.SetTransport(transport)
				client.SetMinRate(minRate)
				start := time.Now()
				var response string
				err := client.Get(t.Context(), "/", nil, timeout, &response)
				must.LessEq(t, tc.takes, time.Since(start))
				if tc.complete {
					must.NoError(t, err)
					must.Eq(t, size-2, len(response))
					return
				}
				must.ErrorIs(t, err, jsonhttp.ErrUnanswered)
				must.ErrorIs(t, err, context.DeadlineExceeded)
			})
		})
	}
}
