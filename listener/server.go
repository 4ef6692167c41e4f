// Package listener creates hawthornway's HTTP servers with kratos. They limit the
// number of connections and the size and time of headers, but not the duration
// of streams.
package listener

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/gravitational/trace"

	"hawthornway/memory"
)

// Limits are the limits of a listener.
type Limits struct {
	HeaderBytes   int
	HeaderTimeout time.Duration
	// Connections is the maximum number of open connections. Further ones wait
	// in the kernel's accept queue.
	Connections int
	// Memory is the budget of which the heads of requests borrow. Without it, they are
	// limited one by one only, and so are those of TLS connections, which are encrypted where
	// they would be measured.
	Memory *memory.Budget
	// Log gets a line for each head that finds no memory. It is needed with Memory.
	Log *slog.Logger
	// ConnectionAge is the age after which a connection is closed at the end of
	// its next request. Zero means never.
	ConnectionAge time.Duration
}

// idleTimeout limits the time between two requests on a connection.
const idleTimeout = 2 * time.Minute

// NewServer returns a new kratos server that serves handler at address, an IP
// address with a port, and the address it listens on. TLS is off if config is
// nil.
func NewServer(address string, handler http.Handler, limits Limits, config *tls.Config) (*khttp.Server, net.Addr, error) {
	tcpListener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, trace.Wrap(err, "listening at %q", address)
	}
	if limits.Connections > 0 {
		tcpListener = newLimitedListener(tcpListener, limits.Connections)
	}
	if config != nil {
		limits.Memory = nil
	}
	if limits.Memory != nil {
		tcpListener = meteredListener{tcpListener, limits.Memory, limits.Log}
	}
	options := []khttp.ServerOption{
		khttp.Address(address),
		khttp.Listener(tcpListener),
		khttp.Timeout(0), // kratos cancels requests after one second by default
		khttp.Filter(bypassRouter(handler)),
	}
	if config != nil {
		options = append(options, khttp.TLSConfig(config))
	}
	server := khttp.NewServer(options...)
	server.ReadHeaderTimeout = limits.HeaderTimeout
	server.MaxHeaderBytes = limits.HeaderBytes
	server.IdleTimeout = idleTimeout
	server.ConnContext = withConnTime
	limitHeads(server.Server, limits.Memory)
	server.Handler = closeAged(server.Handler, limits.ConnectionAge)
	return server, tcpListener.Addr(), nil
}

// bypassRouter returns a filter that serves all paths with handler. The kratos
// router would clean paths and redirect, but targets must get paths as sent.
func bypassRouter(handler http.Handler) khttp.FilterFunc {
	return func(http.Handler) http.Handler { return handler }
}

type connTimeKey struct{}

func withConnTime(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connTimeKey{}, time.Now())
}

// closeAged closes a connection that is older than age after its current request.
func closeAged(next http.Handler, age time.Duration) http.Handler {
	if age <= 0 {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start, ok := r.Context().Value(connTimeKey{}).(time.Time)
		if ok && time.Since(start) > age {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
