// Package jsonhttp is a client for JSON APIs over HTTP. Its errors distinguish a
// request that was not sent from one that was sent but got no response.
package jsonhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"hawthornway/exchange"
	"hawthornway/memory"
)

// The limits of responses. A faulty server may send bytes without end.
const (
	// MaxHeadBytes limits a response's head. Transports that replace the default one
	// set it as their MaxResponseHeaderBytes.
	MaxHeadBytes = 16 << 10
	// DefaultMaxBody limits a response body unless SetMaxBody was called. Pages of a
	// store's entries and its changes of some seconds take a few megabytes.
	DefaultMaxBody = 32 << 20
	// MaxReportBytes is the limit for reports of single targets.
	MaxReportBytes = 256 << 10
	// bodyAllowance is what a body may take without a loan. Usual ones are shorter, but for
	// those of stores.
	bodyAllowance = 16 << 10
	// StoreMinRate is the minimum rate, in bytes per second, for stores, whose responses
	// hold megabytes. The links of hosts differ widely.
	StoreMinRate = 64 << 10
)

// The errors of calls without a response.
var (
	// ErrNotSent means that the request can't have reached the server.
	ErrNotSent = errors.New("request was not sent")
	// ErrUnanswered means that the server may have processed the request.
	ErrUnanswered = errors.New("request was sent and not answered")
)

// Client sends requests to one server.
type Client struct {
	baseURL    string
	httpClient *http.Client
	maxBody    int64
	// memory is what the bodies of responses borrow of, unless it is nil, and factor how many
	// times its size a body holds while it is decoded.
	memory *memory.Budget
	factor int
	// minRate is in bytes per second. If it is zero, a response has to be complete
	// within the request's timeout.
	minRate int64
}

// Request is an HTTP request.
type Request struct {
	Method string
	Path   string
	Query  url.Values
	// Body is the request body; nil means none.
	Body []byte
	// Timeout is the maximum time until the response body has been read or, if
	// SetMinRate was called, until the response begins and between its parts.
	Timeout time.Duration
}

// Response is an HTTP response with its complete body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte

	loan *memory.Loan
}

// Release gives back the memory that the body has borrowed. It must be called once the body has been
// decoded, if SetMemory was called.
func (r Response) Release() { r.loan.Release() }

// StatusError is the error of a response with a status other than 200.
type StatusError struct {
	Response
}

// Error returns the status and the start of the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %.200s", e.Status, e.Body)
}

// NewClient returns a new Client of the server at address, which is either an
// IP address with a port or a URL with both.
func NewClient(address string) *Client {
	base := strings.TrimSuffix(address, "/")
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	return &Client{baseURL: base, httpClient: &http.Client{Transport: exchange.CheckedTransport{Next: newTransport()}}, maxBody: DefaultMaxBody}
}

// SetTransport replaces the HTTP transport. It must be called before the first
// request.
func (c *Client) SetTransport(transport http.RoundTripper) {
	c.httpClient.Transport = exchange.CheckedTransport{Next: transport}
}

// SetMaxBody changes the maximum size of a response body in bytes. It must be called
// before the first request.
func (c *Client) SetMaxBody(n int64) { c.maxBody = n }

// SetMemory makes the bodies of responses borrow their memory, so that those of many calls at a time
// fit into it together. Factor is how many times its size a body holds while it is decoded. SetMemory
// must be called before the first request.
func (c *Client) SetMemory(budget *memory.Budget, factor int) { c.memory, c.factor = budget, factor }

// SetMinRate makes Timeout limit the lack of progress instead of the whole call, so that
// a large response can be read over a slow link. The body may take Timeout plus the time
// that its bytes take at a minimum rate in bytes per second. SetMinRate must be called
// before the first request.
func (c *Client) SetMinRate(bytesPerSecond int64) { c.minRate = bytesPerSecond }

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost:    16,
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: MaxHeadBytes,
	}
}

// Do sends a request and reads the response. It fails with ErrNotSent or
// ErrUnanswered when there is none.
func (c *Client) Do(ctx context.Context, req Request) (Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := &progressLimit{timeout: req.Timeout, minRate: c.minRate, start: time.Now()}
	limit.timer = time.AfterFunc(req.Timeout, func() { cancel(context.DeadlineExceeded) })
	defer limit.timer.Stop()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	resp, err := c.roundTrip(ctx, req, limit)
	switch {
	case err == nil:
		return resp, nil
	case connected.Load():
		if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			// Whatever silenced this connection may have silenced the idle ones.
			c.httpClient.CloseIdleConnections()
		}
		return Response{}, fmt.Errorf("%w: %w", ErrUnanswered, err)
	default:
		return Response{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
}

func (c *Client) roundTrip(ctx context.Context, req Request, limit *progressLimit) (Response, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, req.Method, c.baseURL+req.Path+"?"+req.Query.Encode(), bytes.NewReader(req.Body))
	if err != nil {
		return Response{}, err
	}
	resp, err := c.httpClient.Do(httpRequest)
	if err != nil {
		return Response{}, err
	}
	defer resp.Body.Close()
	var loan *memory.Loan
	if c.memory != nil {
		loan, _ = c.memory.Take(0)
	}
	body, err := c.readBody(limit.reader(resp.Body), loan)
	if err != nil {
		loan.Release()
		return Response{}, err
	}
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: body, loan: loan}, nil
}

var (
	errBodyTooLong = errors.New("response body exceeds the size limit")
	errNoMemory    = errors.New("no memory for the response body")
)

// readBody reads a body and borrows the memory that it holds while it is decoded.
func (c *Client) readBody(from io.Reader, loan *memory.Loan) ([]byte, error) {
	factor := memory.Bytes(max(1, c.factor))
	lend := func(n memory.Bytes) bool { return loan.Grow(factor * n) }
	giveBack := func(n memory.Bytes) { loan.Shrink(factor * n) }
	body, full, err := memory.ReadAll(from, lend, giveBack, bodyAllowance, int(c.maxBody)+1)
	switch {
	case err != nil:
		return nil, fmt.Errorf("after %d bytes of the response body: %w", len(body), err)
	case int64(len(body)) > c.maxBody:
		return nil, errBodyTooLong
	case full:
		return nil, errNoMemory
	default:
		return body, nil
	}
}

// Get sends a GET request and decodes the JSON body into response. It fails like
// Do, with a *StatusError for a status other than 200, and with ErrUnanswered if
// the body can't be decoded.
func (c *Client) Get(ctx context.Context, path string, query url.Values, timeout time.Duration, response any) error {
	resp, err := c.Do(ctx, Request{Method: http.MethodGet, Path: path, Query: query, Timeout: timeout})
	if err != nil {
		return err
	}
	defer resp.Release()
	if resp.Status != http.StatusOK {
		return &StatusError{Response: resp}
	}
	if err := json.Unmarshal(resp.Body, response); err != nil {
		return fmt.Errorf("%w: %w", ErrUnanswered, err)
	}
	return nil
}
