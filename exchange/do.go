package exchange

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hawthornway/head"
	"hawthornway/memory"
)

// Do implements Client.
func (c *client) Do(ctx context.Context, address string, req Request, maxIdle MaxIdleTime) (*Response, error) {
	conn := c.takeIdle(address, maxIdle, req.Attempts)
	fresh := conn == nil
	if fresh {
		newConn, err := c.openConn(ctx, address)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		conn = newConn
		if err := ctx.Err(); err != nil {
			_ = conn.Close() // nothing was sent
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	req.Attempts.add(conn)
	if req.Chosen != nil {
		_, detour := conn.Conn.(Detour)
		req.Chosen(detour)
	}
	// Closing the connection of a cancelled request stops the target's work on it.
	stopCancel := context.AfterFunc(ctx, func() { _ = conn.Close() })
	writeResult := c.writeRequest(conn, req)
	resp, err := c.readResponse(conn, req, fresh)
	if err != nil {
		stopCancel()
		_ = conn.Close() // has failed already
		return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	resp.stopCancel, resp.writeResult = stopCancel, writeResult
	return resp, nil
}

// maxInlineBytes is the size up to which a request is written before its
// response is read. Such a request fits into the socket buffers, so the write
// can't block on a target that responds before reading all of it.
const maxInlineBytes = 8 << 10

// writeRequest writes the request. The returned channel receives the result of
// the write.
func (c *client) writeRequest(conn *conn, req Request) <-chan error {
	if req.LateHeader != nil {
		req.Header = req.LateHeader()
	}
	var message bytes.Buffer
	fmt.Fprintf(&message, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.URI, req.Host)
	_ = req.Header.Write(&message) // never fails
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
		fmt.Fprintf(&message, "Content-Length: %d\r\n", len(req.Body))
	}
	message.WriteString("\r\n")
	done := make(chan error, 1)
	if message.Len()+len(req.Body) <= maxInlineBytes {
		message.Write(req.Body)
		_, err := conn.Write(message.Bytes())
		done <- err
		return done
	}
	go func() {
		buffers := net.Buffers{message.Bytes(), req.Body} // the body isn't copied
		_, err := buffers.WriteTo(conn.Conn)
		done <- err
	}()
	return done
}

// maxStrayResponses is the number of responses to other requests that are
// skipped on a connection before it counts as broken.
const maxStrayResponses = 2

// maxSkippedBytes limits how much of a body is read only so that its connection can be
// reused.
const maxSkippedBytes = 64 << 10

var (
	errStrayResponses  = errors.New("answers on the connection belong to other requests")
	errUnnamedResponse = errors.New("answer on a connection that was used before doesn't say which request it belongs to")
)

// readResponse reads the headers of the response to the request. Fresh is set if the
// connection was opened for it.
func (c *client) readResponse(conn *conn, req Request, fresh bool) (*Response, error) {
	httpRequest := &http.Request{Method: req.Method}
	for range maxStrayResponses + 1 {
		response, err := readFinalResponse(conn, httpRequest, req.Loan)
		if err != nil {
			return nil, err
		}
		belonging := Own
		if req.Belonging != nil {
			belonging = req.Belonging(response.Header)
		}
		switch {
		case belonging == Own || belonging == Unnamed && fresh:
			return &Response{Status: response.StatusCode, Header: response.Header, client: c, conn: conn, response: response, named: belonging == Own}, nil
		case belonging == Unnamed:
			return nil, errUnnamedResponse
		}
		switch _, err := io.CopyN(io.Discard, response.Body, maxSkippedBytes); err {
		case io.EOF:
		case nil:
			return nil, errStrayResponses // a long one, perhaps without end
		default:
			return nil, err
		}
	}
	return nil, errStrayResponses
}

// readFinalResponse reads the next response that is not a 1xx response.
func readFinalResponse(conn *conn, httpRequest *http.Request, loan *memory.Loan) (*http.Response, error) {
	conn.limiter.beginHead(loan)
	defer conn.limiter.endHead()
	for {
		response, err := http.ReadResponse(conn.reader, httpRequest)
		if err != nil {
			return nil, err
		}
		if err := head.Check(response); err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// Response is a target's response, with its body still to be read.
type Response struct {
	Status int
	Header http.Header

	client      *client
	conn        *conn
	response    *http.Response
	stopCancel  func() bool
	writeResult <-chan error
	// writeErr is what was received from writeResult, or nil before that.
	writeErr     *error
	bodyComplete bool
	// named is set if the response names its request, so that a copy of it can't be taken
	// for the answer to another one.
	named bool
}

// Read reads the body. It returns io.EOF only after a complete body.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.response.Body.Read(p)
	if err != io.EOF || r.bodyComplete {
		return n, err
	}
	if err := r.checkEnd(); err != nil {
		return n, err
	}
	r.bodyComplete = true
	return n, io.EOF
}

// errRequestCut means that the connection ended before the whole request was written.
var errRequestCut = fmt.Errorf("connection ended while the request was written: %w", io.ErrUnexpectedEOF)

// checkEnd reports why the end of the body isn't that of a complete one, or nil. The kernel reports
// the reset of a connection to one call only: if that is the writing of the request, a body that
// ends with its connection seems to end in order.
func (r *Response) checkEnd() error {
	if r.Delimited() {
		return head.CheckFields(r.response.Trailer)
	}
	_ = r.conn.Close() // ends the writing; the connection has ended in any case
	if r.writeErr == nil {
		err := <-r.writeResult
		r.writeErr = &err
	}
	if *r.writeErr != nil {
		return errRequestCut
	}
	return nil
}

// Skip reads the rest of a short body, so that Close can keep the connection.
func (r *Response) Skip() {
	_, _ = io.CopyN(io.Discard, r, maxSkippedBytes) // Close sees whether it was complete
}

// Delimited reports whether the end of the body is marked by a length or by
// chunks rather than by the end of the connection.
func (r *Response) Delimited() bool {
	return r.response.ContentLength >= 0 || len(r.response.TransferEncoding) > 0
}

// Notify passes on what the target has said of itself to the host through which the
// connection leads, if any.
func (r *Response) Notify(leaving bool, pause time.Duration) error {
	if detour, ok := r.conn.Conn.(Detour); ok {
		return detour.Notify(leaving, pause)
	}
	return nil
}

// Close ends the exchange. The connection is kept if the response was read to
// its end, names its request, and both sides support reuse. Otherwise it is closed, which
// cancels a request in progress.
func (r *Response) Close() {
	cancelled := !r.stopCancel()
	if cancelled || !r.named || !r.bodyComplete || r.response.Close || !r.Delimited() || r.conn.reader.Buffered() > 0 || !r.requestWritten() {
		_ = r.conn.Close() // discards the rest of the response
		return
	}
	r.conn.keepAlive = parseKeepAlive(r.Header.Get("Keep-Alive"))
	r.client.putIdle(r.conn)
}

// requestWritten reports whether the whole request has been written. A target
// may respond before it has read a long body.
func (r *Response) requestWritten() bool {
	if r.writeErr != nil {
		return *r.writeErr == nil
	}
	select {
	case err := <-r.writeResult:
		r.writeErr = &err
		return err == nil
	default:
		return false
	}
}

// parseKeepAlive returns how long an idle connection may be kept, given a
// Keep-Alive header such as "timeout=5, max=100".
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
