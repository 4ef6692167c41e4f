// Package exchange sends requests to targets over HTTP/1.1 connections of its
// own. Unlike net/http's client it never repeats a request, and it tells what a
// target may have seen of one that failed.
package exchange

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornway/tcp"
)

// The ways in which an exchange fails without a response.
var (
	// ErrNotSent says that no byte of the request reached the target.
	ErrNotSent = errors.New("request was not sent")
	// ErrNoResponse says that the target may have run the request.
	ErrNoResponse = errors.New("request was sent and not answered")
)

// Request is one request to a target.
type Request struct {
	Method string
	// URI is the path with the query, as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Matches reports whether a response's headers are those of an answer to this
	// request. A target may send a late answer to another one first.
	Matches func(http.Header) bool
}

// MaxIdleTime bounds the age of a connection that may be reused.
type MaxIdleTime time.Duration

// Client sends requests to targets.
type Client interface {
	// Do sends a request to the target at an address, an IP number and port, and
	// returns when the response's headers are there. The response has to be
	// closed. A connection that was idle for longer than fresh isn't reused.
	//
	// It fails with an error that wraps ErrNotSent or ErrUnanswered.
	Do(ctx context.Context, address string, req Request, maxIdle MaxIdleTime) (*Response, error)
	// Forget closes the idle connections to an address.
	Forget(address string)
	// Close closes all idle connections.
	Close()
}

// The bounds of a Client.
const (
	// DialTimeout bounds the opening of a connection. Targets are a few
	// milliseconds away; a first packet that was lost is sent again after a
	// second, when another target is the better choice.
	DialTimeout = 400 * time.Millisecond
	// maxIdleConns bounds the idle connections to one target.
	maxIdleConns = 16
	// defaultKeepAlive is how long a connection is kept whose target doesn't say for
	// how long it keeps it.
	defaultKeepAlive = 4 * time.Second
	// keepAliveMargin is how much sooner than its target this side gives a connection
	// up, for a request that is on its way when the target closes.
	keepAliveMargin = 500 * time.Millisecond
)

type client struct {
	clock clockwork.Clock
	dial  func(ctx context.Context, address string) (net.Conn, error)

	mu   sync.Mutex
	idle map[string][]*conn
}

// Option sets an option of a Client.
type Option func(*client)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option { return func(c *client) { c.clock = clock } }

// WithDial sets how connections are opened.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(c *client) { c.dial = dial }
}

// New returns a new Client.
func New(opts ...Option) Client {
	c := &client{clock: clockwork.NewRealClock(), dial: dialTCP, idle: map[string][]*conn{}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return tcp.Dialer{Timeout: DialTimeout}.DialContext(ctx, "tcp", address)
}

// conn is one connection to a target.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// idleSince is when the connection became idle, and keep how long it may be.
	idleSince time.Time
	keepAlive time.Duration
}

// take returns an idle connection that is fresh and sound, or nil.
func (c *client) takeIdle(address string, maxIdle MaxIdleTime) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		list := c.idle[address]
		if len(list) == 0 {
			return nil
		}
		last := list[len(list)-1]
		c.idle[address] = list[:len(list)-1]
		age := c.clock.Since(last.idleSince)
		if age < min(last.keepAlive, time.Duration(maxIdle)) && last.reader.Buffered() == 0 && isReusable(last.Conn) {
			return last
		}
		_ = last.Close() // nothing is in progress on it
	}
}

// putIdle keeps a connection for later requests.
func (c *client) putIdle(cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cn.idleSince = c.clock.Now()
	list := c.idle[cn.address]
	if len(list) >= maxIdleConns {
		_ = list[0].Close() // the oldest, with nothing in progress
		list = list[1:]
	}
	c.idle[cn.address] = append(list, cn)
}

// Forget closes the idle connections to an address.
func (c *client) Forget(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cn := range c.idle[address] {
		_ = cn.Close() // nothing is in progress on it
	}
	delete(c.idle, address)
}

// Close closes all idle connections.
func (c *client) Close() {
	c.mu.Lock()
	addresses := make([]string, 0, len(c.idle))
	for address := range c.idle {
		addresses = append(addresses, address)
	}
	c.mu.Unlock()
	for _, address := range addresses {
		c.Forget(address)
	}
}

func (c *client) openConn(ctx context.Context, address string) (*conn, error) {
	opened, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: opened, address: address, reader: bufio.NewReaderSize(opened, readerBytes)}, nil
}

// readerBytes is the size of a connection's read buffer. Headers of responses
// and events of streams are well below it.
const readerBytes = 4 << 10
