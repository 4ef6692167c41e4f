// Package listener runs hawthornway's HTTP listeners on kratos: bounded
// connections, bounded header time, and no time limit on streams.
package listener

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/gravitational/trace"
)

// Bounds bound what a listener takes.
type Bounds struct {
	HeaderBytes   int
	HeaderTimeout time.Duration
	// Connections is the most connections at once. Further ones wait in the
	// kernel's queue.
	Connections int
	// ConnectionAge is the age at which a connection is closed between two
	// requests. Zero means never.
	ConnectionAge time.Duration
}

// idleTimeout bounds the time between two requests of a connection.
const idleTimeout = 2 * time.Minute

// NewServer returns a new kratos server that serves handler at address, an IP
// number and port. TLS is off if config is nil.
func NewServer(address string, handler http.Handler, bounds Bounds, config *tls.Config) (*khttp.Server, net.Addr, error) {
	bound, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, trace.Wrap(err, "listening at %q", address)
	}
	if bounds.Connections > 0 {
		bound = newBounded(bound, bounds.Connections)
	}
	options := []khttp.ServerOption{
		khttp.Address(address),
		khttp.Listener(bound),
		khttp.Timeout(0), // kratos ends a request after one second by default
		khttp.Filter(serveAll(handler)),
	}
	if config != nil {
		options = append(options, khttp.TLSConfig(config))
	}
	server := khttp.NewServer(options...)
	server.ReadHeaderTimeout = bounds.HeaderTimeout
	server.MaxHeaderBytes = bounds.HeaderBytes
	server.IdleTimeout = idleTimeout
	server.ConnContext = markStart
	server.Handler = closeOld(server.Handler, bounds.ConnectionAge)
	return server, bound.Addr(), nil
}

// serveAll returns a filter that serves all paths itself. The router behind it
// would clean and redirect paths that targets have to see as they came.
func serveAll(handler http.Handler) khttp.FilterFunc {
	return func(http.Handler) http.Handler { return handler }
}

type startKey struct{}

func markStart(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, startKey{}, time.Now())
}

// closeOld closes connections that are older than age after their request.
func closeOld(next http.Handler, age time.Duration) http.Handler {
	if age <= 0 {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start, ok := r.Context().Value(startKey{}).(time.Time)
		if ok && time.Since(start) > age {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
