// Package engine is a client of the control interface of model engines: orders,
// reports and prefix-cache events. It doesn't handle completions.
package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"hawthornway/jsonhttp"
	"hawthornway/model"
	"hawthornway/target"
)

// DefaultTimeout is the default timeout of a call.
const DefaultTimeout = 2 * time.Second

// Client sends orders to one engine and reads its state.
//
// A call fails with jsonhttp.ErrNotSent if the request can't have reached the
// engine and with jsonhttp.ErrUnanswered if the engine may have acted on it.
type Client interface {
	// Order sends an order. It fails with a *FenceError, a *MemoryError or a
	// *RefusedError if the engine refused the order, which then had no effect. An
	// order may be sent again with the same ID.
	Order(ctx context.Context, order Order) (Accepted, error)
	// Report returns the engine's state.
	Report(ctx context.Context, freshness Freshness) (Report, error)
	// Events returns the prefix-cache events after a number. Events may be lost.
	Events(ctx context.Context, after EventNumber) (Events, error)
}

// Freshness selects how old a report may be.
type Freshness bool

// The kinds of report.
const (
	// Lagging requests the engine's last periodic report.
	Lagging Freshness = false
	// Fresh requests a report that is made for the call.
	Fresh Freshness = true
)

// FenceError is returned if the engine has seen a higher fence than the order's.
type FenceError struct {
	Order OrderID
	// Highest is the highest fence that the engine has seen.
	Highest target.Fence
}

// Error returns the order and the engine's fence.
func (e *FenceError) Error() string {
	return fmt.Sprintf("order %q is below the engine's fence %d", e.Order, e.Highest)
}

// MemoryError is returned if the order would overcommit the engine's memory.
type MemoryError struct {
	Order OrderID
	Bytes model.Bytes
}

// Error returns the order and its memory requirement.
func (e *MemoryError) Error() string {
	return fmt.Sprintf("order %q needs %d bytes, more than the engine has free", e.Order, e.Bytes)
}

// RefusedError is returned if the engine refused the order for another reason.
type RefusedError struct {
	Order  OrderID
	Status int
	Reason string
}

// Error returns the order, the status and the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine refused order %q: status %d, %s", e.Order, e.Status, e.Reason)
}

// Option configures a client.
type Option func(*client)

// WithTimeout sets the timeout of each call.
func WithTimeout(timeout time.Duration) Option {
	return func(c *client) { c.timeout = timeout }
}

// WithTransport replaces the HTTP transport.
func WithTransport(transport http.RoundTripper) Option {
	return func(c *client) { c.jsonClient.SetTransport(transport) }
}

type client struct {
	jsonClient *jsonhttp.Client
	timeout    time.Duration
}

// NewClient returns a new Client of the engine at address, an IP address and
// port.
func NewClient(address string, opts ...Option) Client {
	c := &client{jsonClient: jsonhttp.NewClient(address), timeout: DefaultTimeout}
	c.jsonClient.SetMaxBody(jsonhttp.MaxReportBytes)
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Order sends an order.
func (c *client) Order(ctx context.Context, order Order) (Accepted, error) {
	body, err := json.Marshal(newWireOrder(order))
	if err != nil {
		return Accepted{}, fmt.Errorf("%w: %w", jsonhttp.ErrNotSent, err)
	}
	resp, err := c.jsonClient.Do(ctx, jsonhttp.Request{Method: http.MethodPost, Path: "/orders", Body: body, Timeout: c.timeout})
	if err != nil {
		return Accepted{}, err
	}
	if resp.Status != http.StatusOK {
		return Accepted{}, orderError(order, resp)
	}
	var wire wireAccepted
	if err := json.Unmarshal(resp.Body, &wire); err != nil {
		return Accepted{}, fmt.Errorf("%w: %w", jsonhttp.ErrUnanswered, err)
	}
	return Accepted{Sequence: wire.Sequence}, nil
}

// orderError returns the error for a response with a status other than 200.
func orderError(order Order, resp jsonhttp.Response) error {
	var wire wireRefusal
	if err := json.Unmarshal(resp.Body, &wire); err != nil {
		return fmt.Errorf("%w: status %d", jsonhttp.ErrUnanswered, resp.Status)
	}
	switch {
	case resp.Status == http.StatusConflict && wire.Reason == reasonFence:
		return &FenceError{Order: order.ID, Highest: wire.Fence}
	case resp.Status == http.StatusInsufficientStorage:
		return &MemoryError{Order: order.ID, Bytes: order.Bytes}
	default:
		return &RefusedError{Order: order.ID, Status: resp.Status, Reason: wire.Reason}
	}
}

// Report returns the engine's state.
func (c *client) Report(ctx context.Context, freshness Freshness) (Report, error) {
	query := url.Values{}
	if freshness == Fresh {
		query.Set("fresh", "1")
	}
	var wire wireReport
	if err := c.get(ctx, "/report", query, &wire); err != nil {
		return Report{}, err
	}
	return wire.report(), nil
}

// Events returns the prefix-cache events after a number.
func (c *client) Events(ctx context.Context, after EventNumber) (Events, error) {
	var wire wireEvents
	query := url.Values{"after": {strconv.FormatUint(uint64(after), 10)}}
	if err := c.get(ctx, "/events", query, &wire); err != nil {
		return Events{}, err
	}
	return wire.batch(), nil
}

func (c *client) get(ctx context.Context, path string, query url.Values, response any) error {
	err := c.jsonClient.Get(ctx, path, query, c.timeout, response)
	var status *jsonhttp.StatusError
	if errors.As(err, &status) {
		return fmt.Errorf("%w: %w", jsonhttp.ErrUnanswered, err)
	}
	return err
}
