// Package jsonhttp calls outside systems that speak JSON over HTTP. It tells a
// request that was not sent from one that was sent and not answered.
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
)

// maxBodyBytes bounds the body of one response.
const maxBodyBytes = 256 << 20

// The ways in which a call can fail without a response.
var (
	// ErrNotSent says that the request can't have reached the server.
	ErrNotSent = errors.New("request was not sent")
	// ErrUnanswered says that the server may have acted on the request.
	ErrUnanswered = errors.New("request was sent and not answered")
)

// Client calls one server.
type Client struct {
	base string
	http *http.Client
}

// Request is one call.
type Request struct {
	Method string
	Path   string
	Query  url.Values
	// Body is sent as it is; nil sends none.
	Body []byte
	// Timeout bounds the whole call.
	Timeout time.Duration
}

// Response is one response, read whole.
type Response struct {
	Status int
	Body   []byte
}

// StatusError says that the server responded with another status than 200.
type StatusError struct {
	Response
}

// Error returns the status and the start of the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %.200s", e.Status, e.Body)
}

// NewClient returns a new Caller of the server at address, an IP number and
// port or a URL with them.
func NewClient(address string) *Client {
	base := strings.TrimSuffix(address, "/")
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	return &Client{base: base, http: &http.Client{Transport: newTransport()}}
}

// SetTransport replaces the HTTP transport, before the first call.
func (c *Client) SetTransport(transport http.RoundTripper) { c.http.Transport = transport }

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     time.Minute,
	}
}

// Do sends a request and reads the response. It fails with ErrNotSent or
// ErrUnanswered when there is none.
func (c *Client) Do(ctx context.Context, req Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, req.Timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	resp, err := c.roundTrip(ctx, req)
	switch {
	case err == nil:
		return resp, nil
	case connected.Load():
		return Response{}, fmt.Errorf("%w: %w", ErrUnanswered, err)
	default:
		return Response{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
}

func (c *Client) roundTrip(ctx context.Context, req Request) (Response, error) {
	r, err := http.NewRequestWithContext(ctx, req.Method, c.base+req.Path+"?"+req.Query.Encode(), bytes.NewReader(req.Body))
	if err != nil {
		return Response{}, err
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return Response{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes+1))
	if err != nil {
		return Response{}, err
	}
	if len(body) > maxBodyBytes {
		return Response{}, errors.New("response is over the bound")
	}
	return Response{Status: resp.StatusCode, Body: body}, nil
}

// Get decodes the JSON of a GET into response. It fails with a *StatusError
// for a status other than 200.
func (c *Client) Get(ctx context.Context, path string, query url.Values, timeout time.Duration, response any) error {
	resp, err := c.Do(ctx, Request{Method: http.MethodGet, Path: path, Query: query, Timeout: timeout})
	if err != nil {
		return err
	}
	if resp.Status != http.StatusOK {
		return &StatusError{Response: resp}
	}
	if err := json.Unmarshal(resp.Body, response); err != nil {
		return fmt.Errorf("%w: %w", ErrUnanswered, err)
	}
	return nil
}
