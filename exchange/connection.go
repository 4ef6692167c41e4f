package exchange

import (
	"context"
	"net"
	"net/http/httptrace"
)

// Connection is the connection on which a client of net/http has sent a request. A target may
// send an answer once more, and a copy that names no request passes for the answer to the next
// one on the connection.
type Connection struct {
	conn   net.Conn
	reused bool
}

// Observe returns a context for a request whose connection is recorded.
func (c *Connection) Observe(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { c.conn, c.reused = info.Conn, info.Reused },
	})
}

// Fresh reports whether the connection was opened for the request, so that an answer that
// names no request can only belong to it.
func (c *Connection) Fresh() bool { return !c.reused }

// Discard closes the connection, so that no other request is sent on it. The body of the
// response must have been read.
func (c *Connection) Discard() {
	if c.conn != nil {
		_ = c.conn.Close() // no request is in progress
	}
}
