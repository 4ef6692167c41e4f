package keyvalue

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"hawthornway/jsonhttp"
)

// client is a Store that calls the key-value service over HTTP.
type client struct {
	jsonClient *jsonhttp.Client
	timeout    time.Duration
	watchWait  time.Duration
	era        atomic.Uint64
}

// Era returns the newest era that an answer of the service has stated.
func (c *client) Era() Era { return Era(c.era.Load()) }

// do sends a request, and records the era that the answer states.
func (c *client) do(ctx context.Context, req jsonhttp.Request) (jsonhttp.Response, error) {
	resp, err := c.jsonClient.Do(ctx, req)
	if err != nil {
		return resp, err
	}
	if answered, ok := ParseEra(resp.Header); ok {
		for newest := c.era.Load(); uint64(answered) > newest && !c.era.CompareAndSwap(newest, uint64(answered)); {
			newest = c.era.Load()
		}
	}
	return resp, nil
}

// NewClient returns a new Store that calls the key-value service at address,
// which is either an IP address with a port or a URL with both.
func NewClient(address string, opts ...Option) Store {
	c := &client{
		jsonClient: jsonhttp.NewClient(address),
		timeout:    DefaultTimeout,
		watchWait:  DefaultWatchWait,
	}
	c.jsonClient.SetMinRate(jsonhttp.StoreMinRate)
	for _, opt := range opts {
		opt(c)
	}
	return c
}

type wireEntry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
	Deleted  bool     `json:"deleted"`
}

func (w wireEntry) entry() Entry {
	return Entry{Key: w.Key, Value: w.Value, Revision: w.Revision}
}

type wireList struct {
	Entries  []wireEntry `json:"entries"`
	Revision Revision    `json:"revision"`
}

type wireEvents struct {
	Events   []wireEntry `json:"events"`
	Revision Revision    `json:"revision"`
}

type wireRevision struct {
	Revision Revision `json:"revision"`
}

type wireConflict struct {
	Current Revision `json:"current"`
}

// Get returns the entry of key, or an error that wraps ErrNotFound.
func (c *client) Get(ctx context.Context, key string) (Entry, error) {
	var wire wireEntry
	err := c.read(ctx, "/v1/kv", url.Values{"key": {key}}, c.timeout, &wire)
	if err != nil {
		return Entry{}, fmt.Errorf("get %q: %w", key, err)
	}
	return wire.entry(), nil
}

// List returns all entries under prefix and the service's revision.
func (c *client) List(ctx context.Context, prefix string) ([]Entry, Revision, error) {
	var wire wireList
	err := c.read(ctx, "/v1/list", url.Values{"prefix": {prefix}}, c.timeout, &wire)
	if err != nil {
		return nil, 0, fmt.Errorf("list %q: %w", prefix, err)
	}
	entries := make([]Entry, 0, len(wire.Entries))
	for _, w := range wire.Entries {
		entries = append(entries, w.entry())
	}
	return entries, wire.Revision, nil
}

// Watch waits for changes to keys under prefix after a revision.
func (c *client) Watch(ctx context.Context, prefix string, after Revision) ([]Event, Revision, error) {
	var wire wireEvents
	query := url.Values{
		"prefix":  {prefix},
		"after":   {formatRevision(after)},
		"wait-ms": {strconv.FormatInt(c.watchWait.Milliseconds(), 10)},
	}
	err := c.read(ctx, "/v1/watch", query, c.watchWait+c.timeout, &wire)
	if err != nil {
		return nil, 0, fmt.Errorf("watch %q: %w", prefix, err)
	}
	events := make([]Event, 0, len(wire.Events))
	for _, w := range wire.Events {
		events = append(events, Event{Entry: w.entry(), Deleted: w.Deleted})
	}
	return events, wire.Revision, nil
}

// Swap writes value if the key's revision is expected.
func (c *client) Swap(ctx context.Context, key string, expected Revision, value []byte) (Revision, error) {
	if len(value) > MaxValueBytes {
		return 0, fmt.Errorf("swap %q: value of %d bytes is over the limit of %d", key, len(value), MaxValueBytes)
	}
	body, err := c.write(ctx, http.MethodPut, key, expected, value)
	if err != nil {
		return 0, err
	}
	var wire wireRevision
	if err := json.Unmarshal(body, &wire); err != nil {
		return 0, fmt.Errorf("swap %q: %w: %w", key, ErrUnknown, err)
	}
	return wire.Revision, nil
}

// Delete removes the key if its revision is expected.
func (c *client) Delete(ctx context.Context, key string, expected Revision) error {
	_, err := c.write(ctx, http.MethodDelete, key, expected, nil)
	return err
}

func (c *client) write(ctx context.Context, method, key string, expected Revision, value []byte) ([]byte, error) {
	query := url.Values{"key": {key}, "expected": {formatRevision(expected)}}
	resp, err := c.do(ctx, jsonhttp.Request{
		Method:  method,
		Path:    "/v1/kv",
		Query:   query,
		Body:    value,
		Timeout: c.timeout,
	})
	if err != nil {
		return nil, fmt.Errorf("%s %q: %w", method, key, writeError(err))
	}
	if resp.Status == http.StatusConflict {
		return nil, conflict(key, expected, resp.Body)
	}
	if err := statusError(resp.Status, ErrUnknown); err != nil {
		return nil, fmt.Errorf("%s %q: %w", method, key, err)
	}
	return resp.Body, nil
}

// writeError returns the error of a write that got no response.
func writeError(err error) error {
	if errors.Is(err, jsonhttp.ErrNotSent) {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", ErrUnknown, err)
}

func conflict(key string, expected Revision, body []byte) error {
	var wire wireConflict
	if err := json.Unmarshal(body, &wire); err != nil {
		return fmt.Errorf("conflict on %q: %w: %w", key, ErrUnknown, err)
	}
	return &ConflictError{Key: key, Expected: expected, Current: wire.Current}
}

func (c *client) read(ctx context.Context, path string, query url.Values, timeout time.Duration, response any) error {
	resp, err := c.do(ctx, jsonhttp.Request{Method: http.MethodGet, Path: path, Query: query, Timeout: timeout})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if resp.Status != http.StatusOK {
		return statusError(resp.Status, ErrUnavailable)
	}
	if err := json.Unmarshal(resp.Body, response); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return nil
}

// statusError returns the error for a status, and nil for 200. It wraps fallback if
// the protocol doesn't define the status.
func statusError(status int, fallback error) error {
	switch {
	case status == http.StatusOK:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	case status >= 400 && status < 500:
		return fmt.Errorf("key-value service refused the call: status %d", status)
	default:
		return fmt.Errorf("%w: status %d", fallback, status)
	}
}

func formatRevision(revision Revision) string {
	return strconv.FormatUint(uint64(revision), 10)
}
