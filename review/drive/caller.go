package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"hawthornway/platform/platformtest"
)

// caller is a client with a connection that it keeps.
type caller struct {
	conn   net.Conn
	reader *bufio.Reader
}

// dialTimeout is how long clients allow a connection to be established.
const dialTimeout = time.Second

// dial opens a caller's connection.
func dial(address string) (*caller, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &caller{conn, bufio.NewReader(conn)}, nil
}

// request is a request of a caller.
type request struct {
	path, id, key string
	deadline      time.Duration
	// body is sent in pieces over a time, all at once if that is zero.
	pieces, pieceBytes int
	over               time.Duration
}

// do sends a request and reads the answer, for which it waits for a time after the last byte. It returns
// the status.
func (c *caller) do(r request, wait time.Duration) (int, error) {
	if _, err := fmt.Fprintf(c.conn, "POST %s1 HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Key: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		r.path, platformtest.Hostname, r.id, r.key, r.deadline.Milliseconds(), r.pieces*r.pieceBytes); err != nil {
		return 0, err
	}
	for range r.pieces {
		if _, err := c.conn.Write(make([]byte, r.pieceBytes)); err != nil {
			break // the answer may have come
		}
		time.Sleep(r.over / time.Duration(r.pieces))
	}
	if err := c.conn.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	return resp.StatusCode, c.conn.SetReadDeadline(time.Time{})
}

// close closes the connection.
func (c *caller) close() { _ = c.conn.Close() } // no request is in progress
