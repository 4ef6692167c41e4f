package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"hawthornway/catalog"
	"hawthornway/relay"
)

// Guards against streams that break off and end as if they were whole, or have another answer in
// their middle, because the target that took them up answered with an error or with nothing (ORDER,
// MIXED).
func TestFailedResumptionNeverLooksWhole(t *testing.T) {
	raw := func(answer string) behaviour {
		return func(w http.ResponseWriter, _ *http.Request) {
			conn, buffer, err := http.NewResponseController(w).Hijack()
			if err != nil {
				panic(err) // an HTTP/1.1 connection can always be taken over
			}
			_, _ = buffer.WriteString(answer) // the relay may have left
			_ = buffer.Flush()
			_ = conn.Close()
		}
	}
	const sealed = "Id: id-1\r\nSeal: s\r\n"
	cases := []struct {
		name   string
		second behaviour
		// answered is set if the second target has shown that it lives.
		answered bool
	}{
		{"error", signed(500, "the error's text"), true},
		{"error of the request", signed(400, "the error's text"), true},
		{"unsigned error", func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "the error's text", 502) }, true},
		{"success without events", signed(200, ""), true},
		{"success without events or length", raw("HTTP/1.1 200 OK\r\n" + sealed + "\r\n"), true},
		{"head that breaks off", raw("HTTP/1.1 200 OK\r\n" + sealed + "Content-Le"), false},
		{"status line that breaks off", raw("HTTP/1.1 20"), false},
		{"nothing", raw(""), false},
		{"error within a success", raw("HTTP/1.1 200 OK\r\n" + sealed + "\r\nHTTP/1.1 500 Internal Server Error\r\nContent-Length: 3\r\n\r\nbad"), true},
		{"error after an event", raw("HTTP/1.1 200 OK\r\n" + sealed + "\r\nid: 3\ndata: piece 3\n\nHTTP/1.1 500 Internal Server Error\r\nContent-Length: 3\r\n\r\nbad\n\n"), true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			env := newTestEnv(t, catalog.Stream{Resumable: true}, relay.Busy{}, events(2, abort), tc.second)
			got := env.call()
			must.Eq(t, http.StatusOK, got.status)
			must.Error(t, got.err)
			must.True(t, strings.HasPrefix(streamOf(3), got.body), must.Sprint(got.body))
			must.StrHasPrefix(t, streamOf(2), got.body)
			env.server.Close() // waits for the handler
			for _, c := range env.crashes {
				must.False(t, tc.answered && c.Target == "t1", must.Sprint("an answer is no crash of its target"))
			}
		})
		t.Run(tc.name+", then whole", func(t *testing.T) {
			env := newTestEnv(t, catalog.Stream{Resumable: true}, relay.Busy{}, events(2, abort), tc.second, events(5, nil))
			env.catalog = testCatalog(catalog.Stream{Resumable: true}, 3)
			got := env.call()
			must.NoError(t, got.err)
			must.Eq(t, streamOf(5), got.body)
		})
	}
}

// Guards against a success with an empty or short body, framed as whole, where the target stopped
// in the middle of its answer's head (MIXED, ORDER).
func TestHeadThatBreaksOffIsNoAnswer(t *testing.T) {
	whole := "HTTP/1.1 200 OK\r\nId: id-1\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\n"
	for _, delivery := range []catalog.Delivery{catalog.AtMostOnce{}, catalog.Stream{}} {
		for length := range len(whole) {
			env := newTestEnv(t, delivery, relay.Busy{}, func(w http.ResponseWriter, _ *http.Request) {
				conn, buffer, err := http.NewResponseController(w).Hijack()
				if err != nil {
					panic(err) // an HTTP/1.1 connection can always be taken over
				}
				_, _ = io.WriteString(buffer, whole[:length]) // the relay may have left
				_ = buffer.Flush()
				_ = conn.Close()
			})
			got := env.call()
			must.NoError(t, got.err)
			must.Eq(t, http.StatusBadGateway, got.status, must.Sprintf("%T, %q", delivery, whole[:length]))
		}
	}
}

// streamOf returns the first events of a stream.
func streamOf(events int) string {
	var b strings.Builder
	for i := range events {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i+1, i+1)
	}
	return b.String()
}
