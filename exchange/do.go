package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Do sends a request.
func (c *client) Do(ctx context.Context, address string, req Request, maxIdle MaxIdleTime) (*Response, error) {
	cn := c.takeIdle(address, maxIdle)
	if cn == nil {
		opened, err := c.openConn(ctx, address)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		cn = opened
	}
	// A cancelled request is cut, so that its target stops working on it.
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	writeResult := c.writeRequest(cn, req)
	resp, err := c.readResponse(cn, req)
	if err != nil {
		stop()
		_ = cn.Close() // it failed already
		return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	resp.stopCancel, resp.writeResult = stop, writeResult
	return resp, nil
}

// maxInlineBytes is the largest request that is written before its response is
// read. It fits into the buffers of a connection, so that the write can't wait
// for a target that answers early.
const maxInlineBytes = 8 << 10

// writeRequest writes the request. The channel returned gives the result of the write.
func (c *client) writeRequest(cn *conn, req Request) <-chan error {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.URI, req.Host)
	_ = req.Header.Write(&head) // a buffer doesn't fail
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(req.Body))
	}
	head.WriteString("\r\n")
	head.Write(req.Body)
	done := make(chan error, 1)
	write := func() {
		_, err := cn.Write(head.Bytes())
		done <- err
	}
	if head.Len() <= maxInlineBytes {
		write()
	} else {
		go write()
	}
	return done
}

// maxStrayResponses is the number of answers to other requests that are skipped on one
// connection before it counts as broken.
const maxStrayResponses = 2

var errStrayResponses = errors.New("answers on the connection belong to other requests")

// readResponse reads the headers of the answer to the request.
func (c *client) readResponse(cn *conn, req Request) (*Response, error) {
	request := &http.Request{Method: req.Method}
	for range maxStrayResponses + 1 {
		head, err := readFinalResponse(cn.reader, request)
		if err != nil {
			return nil, err
		}
		if req.Matches == nil || req.Matches(head.Header) {
			return &Response{Status: head.StatusCode, Header: head.Header, client: c, conn: cn, response: head}, nil
		}
		if _, err := io.Copy(io.Discard, head.Body); err != nil {
			return nil, err
		}
	}
	return nil, errStrayResponses
}

// readFinal reads the next response that isn't an interim one.
func readFinalResponse(r *bufio.Reader, request *http.Request) (*http.Response, error) {
	for {
		head, err := http.ReadResponse(r, request)
		if err != nil {
			return nil, err
		}
		if head.StatusCode >= http.StatusOK {
			return head, nil
		}
	}
}

// Response is a target's answer, whose body is still to be read.
type Response struct {
	Status int
	Header http.Header

	client       *client
	conn         *conn
	response     *http.Response
	stopCancel   func() bool
	writeResult  <-chan error
	bodyComplete bool
}

// Read reads the body. It returns io.EOF only at the end of a whole body.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.response.Body.Read(p)
	if err == io.EOF {
		r.bodyComplete = true
	}
	return n, err
}

// Delimited reports whether the body's end is marked other than by the end of
// the connection.
func (r *Response) Delimited() bool {
	return r.response.ContentLength >= 0 || len(r.response.TransferEncoding) > 0
}

// Close ends the exchange. The connection is kept if the answer was read whole
// and both sides want to go on; otherwise it is cut, which cancels a request in
// progress.
func (r *Response) Close() {
	cut := !r.stopCancel()
	if cut || !r.bodyComplete || r.response.Close || !r.Delimited() || r.conn.reader.Buffered() > 0 || !r.requestWritten() {
		_ = r.conn.Close() // what is left of the answer is not wanted
		return
	}
	r.conn.keepAlive = parseKeepAlive(r.Header.Get("Keep-Alive"))
	r.client.putIdle(r.conn)
}

// requestWritten reports whether the whole request has been written. A target may
// answer before it has read a long body.
func (r *Response) requestWritten() bool {
	select {
	case err := <-r.writeResult:
		return err == nil
	default:
		return false
	}
}

// parseKeepAlive returns how long a connection may be kept by the target's word, such
// as "timeout=5, max=100".
func parseKeepAlive(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			return max(0, time.Duration(n)*time.Second-keepAliveMargin)
		}
	}
	return defaultKeepAlive
}
