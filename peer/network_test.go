package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"hawthornway/fleet"
)

// testNetwork connects hosts through in-memory connections below the real WebSocket
// stack, so that tests run in virtual time.
type testNetwork struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	conns     map[*testConn]bool
	refuse    bool
}

type pipeListener struct {
	address string
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// testConn discards writes while dropWrites is set.
type testConn struct {
	net.Conn
	dropWrites atomic.Bool
}

func newTestNetwork() *testNetwork {
	return &testNetwork{listeners: map[string]*pipeListener{}, conns: map[*testConn]bool{}}
}

// host starts the links of a member. They are stopped at the end of the test.
func (n *testNetwork) host(t *testing.T, self fleet.Member, secret string, handle func(*Links)) *Links {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DialContext: n.dial, DisableKeepAlives: true}}
	links := New(WithSelf(self), WithSecret([]byte(secret)), WithHTTPClient(client))
	handle(links)
	lis := &pipeListener{address: self.PeerAddress, accept: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	n.listeners[self.PeerAddress] = lis
	n.mu.Unlock()
	server := &http.Server{Handler: links}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(lis) })
	running.Go(func() { _ = links.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = server.Close()
		running.Wait()
	})
	return links
}

func (n *testNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	lis, refuse := n.listeners[address], n.refuse
	n.mu.Unlock()
	if lis == nil || refuse {
		return nil, errors.New("connection refused")
	}
	a, b := net.Pipe()
	near, far := &testConn{Conn: a}, &testConn{Conn: b}
	select {
	case lis.accept <- far:
	case <-lis.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	n.conns[near], n.conns[far] = true, true
	n.mu.Unlock()
	return near, nil
}

// dropWrites discards all further writes to the current connections.
func (n *testNetwork) dropWrites() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn := range n.conns {
		conn.dropWrites.Store(true)
	}
}

func (n *testNetwork) setRefuse(refuse bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refuse = refuse
}

func (c *testConn) Write(b []byte) (int, error) {
	if c.dropWrites.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accept:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr  { return l }
func (l *pipeListener) Network() string { return "tcp" }
func (l *pipeListener) String() string  { return l.address }
