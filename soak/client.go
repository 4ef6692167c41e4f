package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// connectTimeout is how long callers wait for a connection.
const connectTimeout = time.Second

// client is a caller's HTTP client. Unlike that of net/http it never repeats a request by itself,
// and it tells whether a request went over a connection that was kept. It must not be used
// concurrently.
type client struct{ kept map[string]*connection }

type connection struct {
	net.Conn
	reader *bufio.Reader
	used   bool
}

// exchangeResult is what a client saw of one request.
type exchangeResult struct {
	response *http.Response
	body     []byte
	// kept is set if the connection had served an earlier request, and sentAt is when the last
	// byte of the request was sent, or zero.
	kept   bool
	sentAt time.Time
}

func newClient() *client { return &client{kept: map[string]*connection{}} }

// connect returns the kept connection to an address if it is still open, or a new one.
func (c *client) connect(ctx context.Context, address string) (*connection, error) {
	if conn := c.kept[address]; conn != nil {
		delete(c.kept, address)
		if conn.open() {
			return conn, nil
		}
		_ = conn.Close() // the host has closed it
	}
	dialer := net.Dialer{Timeout: connectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// open reports whether the host has neither closed the connection nor sent anything on it.
func (c *connection) open() bool {
	if err := c.SetReadDeadline(time.Now().Add(100 * time.Microsecond)); err != nil {
		return false
	}
	_, err := c.reader.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// do sends a request and reads the response. The last part of the request follows after pause.
func (c *client) do(ctx context.Context, req *http.Request, pause time.Duration) (result exchangeResult, err error) {
	conn, err := c.connect(ctx, req.URL.Host)
	if err != nil {
		return result, err
	}
	result.kept = conn.used
	conn.used = true
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // aborts what is in progress
	defer func() {
		if !stop() || err != nil || result.response.Close {
			_ = conn.Close() // its state is unknown, or the host closes it
			return
		}
		c.kept[req.URL.Host] = conn
	}()
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		return result, err
	}
	if err := conn.write(req, pause); err != nil {
		return result, err
	}
	result.sentAt = time.Now()
	if result.response, err = http.ReadResponse(conn.reader, req); err != nil {
		return result, err
	}
	result.body, err = io.ReadAll(result.response.Body)
	return result, err
}

// write sends a request, whose last part follows after pause.
func (c *connection) write(req *http.Request, pause time.Duration) error {
	var message bytes.Buffer
	if err := req.Write(&message); err != nil {
		return err
	}
	text := message.Bytes()
	if pause > 0 {
		half := len(text) - int(req.ContentLength)/2
		if _, err := c.Write(text[:half]); err != nil {
			return err
		}
		time.Sleep(pause)
		text = text[half:]
	}
	_, err := c.Write(text)
	return err
}

// close closes the kept connections.
func (c *client) close() {
	for _, conn := range c.kept {
		_ = conn.Close() // no request is in progress
	}
}
