package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/catalog"
	"hawthornway/exchange"
	"hawthornway/relay"
	"hawthornway/roster"
)

// Guards against a target that is told more time than is left, since opening the connection to it
// takes long (BUDGET).
func TestTimeLeftIsThatOfTheSending(t *testing.T) {
	const timeout = 5 * time.Second
	for _, opening := range []time.Duration{0, 350 * time.Millisecond, 2 * time.Second} {
		t.Run(opening.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sent := time.Now()
				seen := make(chan time.Duration, 2) // when the request arrived, and the time that it states
				dial := func(context.Context, string) (net.Conn, error) {
					time.Sleep(opening)
					near, far := net.Pipe()
					go func() {
						defer far.Close()
						request, err := http.ReadRequest(bufio.NewReader(far))
						if err != nil {
							return
						}
						left, _ := time.ParseDuration(request.Header.Get("Left")) // the sum is wrong then
						seen <- time.Since(sent)
						seen <- left
						_, _ = fmt.Fprint(far, "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n") // the test fails
					}()
					return near, nil
				}
				current := testCatalog(catalog.Idempotent{}, 2)
				handler := relay.New(
					relay.WithDialect(dialect{}),
					relay.WithCatalog(func() *catalog.Catalog { return current }),
					relay.WithLimiter(&limiter{}),
					relay.WithPlacer(&placer{targets: []roster.Target{{ID: "t0", Address: "t0"}}}),
					relay.WithProber(prober{relay.Busy{}}),
					relay.WithClient(exchange.New(exchange.WithDial(dial))),
					relay.WithObserver(&testEnv{}),
					relay.WithLogger(slog.New(slog.DiscardHandler)),
				)
				request := httptest.NewRequest(http.MethodGet, "/x/1", http.NoBody)
				request.Host = "a.example"
				request.Header.Set("Id", "1")
				request.Header.Set("Key", "secret")
				request.Header.Set("Timeout", timeout.String())
				response := httptest.NewRecorder()
				handler.ServeHTTP(response, request)
				must.Eq(t, http.StatusOK, response.Code)
				must.Eq(t, timeout, <-seen+<-seen)
			})
		})
	}
}
