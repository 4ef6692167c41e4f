// Package exchange sends requests to targets over its own HTTP/1.1 connections.
// Unlike the client of net/http, it never repeats a request, and it reports
// whether a failed request can have reached the target.
package exchange

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornway/memory"
	"hawthornway/tcp"
)

// The errors of an exchange without a response.
var (
	// ErrNotSent means that no byte of the request reached the target.
	ErrNotSent = errors.New("request was not sent")
	// ErrNoResponse means that the target may have run the request.
	ErrNoResponse = errors.New("request was sent and not answered")
)

// ErrDetourBroken means that a connection through another host ended because of that host or
// the way to it, which says nothing about the target.
var ErrDetourBroken = errors.New("connection through another host broke")

// Request is one request to a target.
type Request struct {
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	// LateHeader, unless it is nil, returns the header in place of Header. It is called once
	// the connection is open, which may take long.
	LateHeader func() http.Header
	Body       []byte
	// Belonging tells whether response headers belong to this request. A target
	// may first send a late response to another request. If Belonging is nil,
	// every response is this request's own.
	Belonging func(http.Header) Belonging
	// Attempts, unless it is nil, holds the connections of earlier attempts of this request,
	// and is shared by all of them.
	Attempts *Attempts
	// Loan is lent the memory for what the head of the response holds beyond a usual one. Nil
	// lends any amount.
	Loan *memory.Loan
	// Chosen, unless it is nil, is called with whether the connection that the request is
	// sent on leads through another host.
	Chosen func(detour bool)
}

// Belonging is what the headers of a response tell of the request that it answers.
type Belonging int

const (
	// Unnamed responses don't tell. They are taken for the answer to the first request on a
	// connection only.
	Unnamed Belonging = iota
	// Own responses name the request.
	Own
	// Foreign responses name another request.
	Foreign
)

// Attempts remembers the connections that the attempts of one request were made on. A target
// may send an answer once more, and the copy names the same request, so that it would pass for
// the answer to a later attempt on the same connection. The zero value has no attempts. It must
// not be used concurrently.
type Attempts struct{ conns []*conn }

func (a *Attempts) add(c *conn) {
	if a != nil {
		a.conns = append(a.conns, c)
	}
}

func (a *Attempts) include(c *conn) bool { return a != nil && slices.Contains(a.conns, c) }

// Detour is a connection that leads through another host.
type Detour interface {
	net.Conn
	// Reusable reports whether the connection can be used for another request.
	Reusable() bool
	// Notify tells the other host what the target has said of itself: that it leaves, or
	// that it wants no requests for some time.
	Notify(leaving bool, pause time.Duration) error
}

// MaxIdleTime limits how long a connection may have been idle before it is
// reused.
type MaxIdleTime time.Duration

// Client sends requests to targets.
type Client interface {
	// Do sends a request to the target at an address, which is an IP address
	// and port. It returns once the response headers are read. The caller must
	// close the response. Connections that have been idle for maxIdle or longer
	// are not reused.
	//
	// Errors wrap ErrNotSent or ErrNoResponse.
	Do(ctx context.Context, address string, req Request, maxIdle MaxIdleTime) (*Response, error)
	// Forget closes the idle connections to an address.
	Forget(address string)
	// Close closes all idle connections.
	Close()
}

// Limits of a Client.
const (
	// DialTimeout limits the time to open a connection. Targets are a few
	// milliseconds away. TCP retransmits a lost SYN only after a second, when
	// another target is the better choice.
	DialTimeout = 400 * time.Millisecond
	// maxIdleConns limits the idle connections to one target.
	maxIdleConns = 16
	// defaultKeepAlive is how long an idle connection is kept if the target
	// sends no Keep-Alive timeout.
	defaultKeepAlive = 4 * time.Second
	// keepAliveMargin is how much earlier than the target the client closes an
	// idle connection. Otherwise, a request might be in flight when the target
	// closes it.
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

// WithDial sets the function that opens connections.
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
	limiter *headLimiter
	reader  *bufio.Reader
	// idleSince is when the connection became idle, and keepAlive how long it
	// may stay idle.
	idleSince time.Time
	keepAlive time.Duration
}

// takeIdle returns a reusable idle connection on which none of the attempts was made, or nil.
func (c *client) takeIdle(address string, maxIdle MaxIdleTime, attempts *Attempts) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.idle[address]) - 1; i >= 0; i-- {
		candidate := c.idle[address][i]
		if attempts.include(candidate) {
			continue
		}
		c.idle[address] = slices.Delete(c.idle[address], i, i+1)
		age := c.clock.Since(candidate.idleSince)
		if age < min(candidate.keepAlive, time.Duration(maxIdle)) && candidate.reader.Buffered() == 0 && isReusable(candidate.Conn) {
			return candidate
		}
		_ = candidate.Close() // no request is in progress
	}
	return nil
}

// putIdle keeps a connection for later requests.
func (c *client) putIdle(conn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.idleSince = c.clock.Now()
	list := c.idle[conn.address]
	if len(list) >= maxIdleConns {
		_ = list[0].Close() // the oldest; no request is in progress
		list = list[1:]
	}
	c.idle[conn.address] = append(list, conn)
}

// Forget implements Client.
func (c *client) Forget(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle[address] {
		_ = conn.Close() // no request is in progress
	}
	delete(c.idle, address)
}

// Close implements Client.
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
	netConn, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	limiter := &headLimiter{conn: netConn}
	return &conn{Conn: netConn, address: address, limiter: limiter, reader: bufio.NewReaderSize(limiter, readerBytes)}, nil
}

// readerBytes is the size of a connection's read buffer. Response headers and
// stream events are usually much smaller.
const readerBytes = 4 << 10
