package listener

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"hawthornway/head"
	"hawthornway/memory"
)

// errNoMemory means that there is no memory for a request's head.
var errNoMemory = errors.New("no memory for the request's head")

// meteredListener accepts connections whose heads of requests borrow memory.
type meteredListener struct {
	net.Listener
	budget *memory.Budget
	log    *slog.Logger
}

// Accept implements net.Listener.
func (l meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &meteredConn{Conn: conn, budget: l.budget, log: l.log}
	c.beginHead()
	return c, nil
}

// meteredConn borrows the memory that the head of a request holds while it is read, until the
// request has ended. Many callers may send long heads at once, or never finish them.
type meteredConn struct {
	net.Conn
	budget *memory.Budget
	log    *slog.Logger

	mu sync.Mutex
	// inHead is set while a head is read.
	inHead bool
	meter  head.Meter
	loan   *memory.Loan
	// lent is what was lent for the head.
	lent memory.Bytes
	// refused is set once there was no memory for a head. The parser may try again after an
	// error, when bytes of the head are missing.
	refused bool
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	noMemory := &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errNoMemory}
	if c.isRefused() {
		return 0, noMemory
	}
	n, err := c.Conn.Read(p)
	if !c.borrow(p[:n]) {
		c.refuse()
		return 0, noMemory
	}
	return n, err
}

func (c *meteredConn) isRefused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
}

// borrow borrows the memory for bytes that were read, and reports whether there is room.
func (c *meteredConn) borrow(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inHead {
		return true
	}
	c.meter.Add(p)
	missing := c.meter.Size() - head.Allowance - c.lent
	if missing <= 0 {
		return true
	}
	if !c.loan.Grow(missing) {
		c.refused = true
		return false
	}
	c.lent += missing
	return true
}

// refuse tells the caller when to try again. The server closes the connection.
func (c *meteredConn) refuse() {
	c.log.Info("listener: no memory for a request's head", "caller", c.RemoteAddr(), "size", c.meter.Size())
	wait := c.budget.Wait(c.meter.Size()).Seconds()
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout)) // fails only if the connection is closed
	// The caller may have left.
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: %.3f\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", wait)
}

// refusalTimeout limits the time to write a refusal.
const refusalTimeout = 100 * time.Millisecond

// beginHead is called before the head of a request. What the request before has borrowed is given
// back.
func (c *meteredConn) beginHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loan.Release()
	c.loan, _ = c.budget.Take(0)
	c.inHead, c.meter, c.lent = true, head.Meter{}, 0
}

// endHead is called once the head has been read.
func (c *meteredConn) endHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead = false
}

// release is called when the server doesn't use the connection any more.
func (c *meteredConn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead = false
	c.loan.Release()
}

// limitHeads makes a server borrow the memory of heads, if there is a budget.
func limitHeads(server *http.Server, budget *memory.Budget) {
	if budget != nil {
		server.ConnState = trackHeads
	}
}

// trackHeads follows the states of a server's connections.
func trackHeads(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*meteredConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.beginHead()
	case http.StateActive:
		c.endHead()
	case http.StateClosed, http.StateHijacked:
		c.release()
	}
}
