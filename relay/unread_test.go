package relay_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"hawthornway/catalog"
	"hawthornway/relay"
)

// Load: callers stop reading their responses. Guards against requests that hold memory and a
// connection to a target for as long as such a caller likes.
func TestCallerThatDoesNotReadIsLeftAtItsDeadline(t *testing.T) {
	const timeout = 400 * time.Millisecond
	endless := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Seal", "s")
		for i := 1; r.Context().Err() == nil; i++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 64<<10)); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush() // fails with the next write too
		}
	}
	cases := []struct {
		name     string
		delivery catalog.Delivery
	}{
		{"stream", catalog.Stream{}},
		{"long response", catalog.Idempotent{}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			left := make(chan struct{})
			env := newTestEnv(t, tc.delivery, relay.Busy{}, func(w http.ResponseWriter, r *http.Request) {
				defer close(left)
				endless(w, r)
			})
			conn, err := net.Dial("tcp", env.server.Listener.Addr().String())
			must.NoError(t, err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nId: id-1\r\nKey: secret\r\nTimeout: %v\r\nContent-Length: 0\r\n\r\n", timeout)
			must.NoError(t, err)
			must.Wait(t, wait.InitialSuccess(wait.Timeout(5*time.Second), wait.BoolFunc(func() bool {
				env.mu.Lock()
				defer env.mu.Unlock()
				return len(env.summaries) > 0
			})), must.Sprint("the request has not ended"))
			<-left
		})
	}
}
