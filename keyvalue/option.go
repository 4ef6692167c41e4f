package keyvalue

import (
	"net/http"
	"time"
)

// Default settings of a client.
const (
	DefaultTimeout   = 2 * time.Second
	DefaultWatchWait = 20 * time.Second
)

// Option configures a client.
type Option func(*client)

// WithTimeout sets the timeout of calls until their answer begins, and between its parts.
// Watches add it to their wait. A write
// that times out fails with ErrUnknown.
func WithTimeout(timeout time.Duration) Option {
	return func(c *client) { c.timeout = timeout }
}

// WithWatchWait sets how long the service waits before it ends a watch without
// changes.
func WithWatchWait(wait time.Duration) Option {
	return func(c *client) { c.watchWait = wait }
}

// WithTransport replaces the HTTP transport.
func WithTransport(transport http.RoundTripper) Option {
	return func(c *client) { c.jsonClient.SetTransport(transport) }
}
