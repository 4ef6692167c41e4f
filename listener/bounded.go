package listener

import (
	"net"
	"sync"
)

// bounded is a listener with a bounded number of connections.
type bounded struct {
	net.Listener
	places chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newBounded(l net.Listener, most int) *bounded {
	return &bounded{
		Listener: l,
		places:   make(chan struct{}, most),
		closed:   make(chan struct{}),
	}
}

// Accept waits for a place and a connection.
func (b *bounded) Accept() (net.Conn, error) {
	select {
	case b.places <- struct{}{}:
	case <-b.closed:
		return nil, net.ErrClosed
	}
	conn, err := b.Listener.Accept()
	if err != nil {
		<-b.places
		return nil, err
	}
	return &boundedConn{Conn: conn, release: func() { <-b.places }}, nil
}

// Close stops the listener.
func (b *bounded) Close() error {
	b.once.Do(func() { close(b.closed) })
	return b.Listener.Close()
}

// boundedConn gives its place back when it is closed.
type boundedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close closes the connection.
func (c *boundedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
