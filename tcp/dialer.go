// Package tcp opens TCP connections that discard undelivered data when they are
// closed.
package tcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout is the time that sent data may stay unacknowledged before the kernel
// closes the connection (TCP_USER_TIMEOUT).
const userTimeout = 3 * time.Second

// Dialer opens connections. Closing a connection resets it, so that the kernel
// discards data that the peer hasn't received. Otherwise the kernel would keep
// retransmitting, and an abandoned request could arrive seconds later when a
// network partition heals.
type Dialer struct {
	// Timeout is the timeout for connecting.
	Timeout time.Duration
}

// DialContext opens a connection. It can be used as http.Transport.DialContext.
func (d Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: d.Timeout, KeepAlive: -1, Control: setUserTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if sock, ok := conn.(*net.TCPConn); ok {
		if err := sock.SetLinger(0); err != nil {
			_ = conn.Close() // nothing was sent
			return nil, err
		}
	}
	return conn, nil
}

// setUserTimeout sets TCP_USER_TIMEOUT. By default, the kernel would retransmit to
// an unresponsive machine for minutes.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// If this fails, the deadlines of requests still apply.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}
