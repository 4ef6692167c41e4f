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

// wires joins hosts by in-memory connections under the real WebSocket stack, so
// that it runs in virtual time.
type wires struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*wireConn]bool
	refuse    bool
}

type listener struct {
	address string
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// wireConn loses what is written to it once it is silent.
type wireConn struct {
	net.Conn
	silent atomic.Bool
}

func newWires() *wires {
	return &wires{listeners: map[string]*listener{}, conns: map[*wireConn]bool{}}
}

// host starts the links of a member; they end with the test.
func (w *wires) host(t *testing.T, self fleet.Member, secret string, handle func(*Links)) *Links {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DialContext: w.dial, DisableKeepAlives: true}}
	links := New(WithSelf(self), WithSecret([]byte(secret)), WithHTTPClient(client))
	handle(links)
	lis := &listener{address: self.PeerAddress, accept: make(chan net.Conn), closed: make(chan struct{})}
	w.mu.Lock()
	w.listeners[self.PeerAddress] = lis
	w.mu.Unlock()
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

func (w *wires) dial(ctx context.Context, _, address string) (net.Conn, error) {
	w.mu.Lock()
	lis, refuse := w.listeners[address], w.refuse
	w.mu.Unlock()
	if lis == nil || refuse {
		return nil, errors.New("connection refused")
	}
	a, b := net.Pipe()
	near, far := &wireConn{Conn: a}, &wireConn{Conn: b}
	select {
	case lis.accept <- far:
	case <-lis.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	w.mu.Lock()
	w.conns[near], w.conns[far] = true, true
	w.mu.Unlock()
	return near, nil
}

// silence loses all that is written to the present connections.
func (w *wires) silence() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn := range w.conns {
		conn.silent.Store(true)
	}
}

func (w *wires) setRefuse(refuse bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refuse = refuse
}

func (c *wireConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accept:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr  { return l }
func (l *listener) Network() string { return "tcp" }
func (l *listener) String() string  { return l.address }
