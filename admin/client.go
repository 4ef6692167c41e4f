package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"hawthornway/burn"
	"hawthornway/config"
	"hawthornway/fleet"
	"hawthornway/key"
	"hawthornway/settings"
	"hawthornway/team"
)

const (
	// clientTimeout bounds one request; it is longer than the server's.
	clientTimeout = 45 * time.Second
	// maxAnswer bounds the body of an answer.
	maxAnswer = 64 << 20
)

// Client calls the operators' API of one host.
type Client struct {
	base  string
	token settings.Secret
	http  *http.Client
}

// ClientOption changes a Client.
type ClientOption func(*Client)

// WithHTTPClient sets the HTTP client, for TLS settings of its own.
func WithHTTPClient(c *http.Client) ClientOption {
	return func(client *Client) { client.http = c }
}

// NewClient returns a new Client of the host at an address, which is "IP:port"
// or a URL.
func NewClient(address string, token settings.Secret, opts ...ClientOption) *Client {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	c := &Client{
		base:  strings.TrimRight(address, "/"),
		token: token,
		http:  &http.Client{Timeout: clientTimeout},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Configuration is the configuration in force on a host.
type Configuration struct {
	Revision   config.Revision
	Author     config.Author
	AcceptedAt time.Time
	// Age is how old the host's knowledge may be, or config.AgeUnknown.
	Age   time.Duration
	Files []config.File
}

// Key is a key as operators see it.
type Key struct {
	ID   key.ID  `json:"id"`
	Team team.ID `json:"team"`
	key.Times
}

// Apply applies a configuration. After an error that IsUnsettled reports, the
// same submission can be repeated.
func (c *Client) Apply(ctx context.Context, s config.Submission) (config.Accepted, error) {
	wire := wireSubmission{Base: s.Base, Change: s.Change, Author: s.Author, Files: []wireFile{}}
	for _, f := range s.Files {
		wire.Files = append(wire.Files, wireFile{f.Name, string(f.Data)})
	}
	var accepted config.Accepted
	return accepted, c.call(ctx, http.MethodPost, "/v1/config", wire, &accepted)
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (Configuration, error) {
	var wire wireConfig
	if err := c.call(ctx, http.MethodGet, "/v1/config", nil, &wire); err != nil {
		return Configuration{}, err
	}
	got := Configuration{
		Revision:   wire.Revision,
		Author:     wire.Author,
		AcceptedAt: wire.AcceptedAt,
		Age:        time.Duration(wire.AgeMS) * time.Millisecond,
	}
	if wire.AgeMS < 0 {
		got.Age = config.AgeUnknown
	}
	for _, f := range wire.Files {
		got.Files = append(got.Files, config.File{Name: f.Name, Data: []byte(f.Data)})
	}
	return got, nil
}

// History returns the latest accepted changes, newest first.
func (c *Client) History(ctx context.Context) ([]config.Accepted, error) {
	var wire wireHistory
	err := c.call(ctx, http.MethodGet, "/v1/config/history", nil, &wire)
	return wire.Changes, err
}

// Grant grants keys. It can be repeated.
func (c *Client) Grant(ctx context.Context, grants []key.Grant) error {
	wire := wireGrants{}
	for _, g := range grants {
		wire.Keys = append(wire.Keys, wireGrant(g))
	}
	return c.call(ctx, http.MethodPost, "/v1/keys", wire, &wireIDs{})
}

// Withdraw withdraws keys. It can be repeated.
func (c *Client) Withdraw(ctx context.Context, ids []key.ID) (key.Confirmation, error) {
	var confirmation key.Confirmation
	return confirmation, c.call(ctx, http.MethodPost, "/v1/keys/withdraw", wireIDs{ids}, &confirmation)
}

// Keys returns all keys.
func (c *Client) Keys(ctx context.Context) ([]Key, error) {
	var wire struct {
		Keys []Key `json:"keys"`
	}
	err := c.call(ctx, http.MethodGet, "/v1/keys", nil, &wire)
	return wire.Keys, err
}

// Status returns what the host knows of the fleet.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	return status, c.call(ctx, http.MethodGet, "/v1/status", nil, &status)
}

// Drain begins a graceful stop, or returns how far it is.
func (c *Client) Drain(ctx context.Context) (DrainState, error) {
	var state DrainState
	return state, c.call(ctx, http.MethodPost, "/v1/drain", nil, &state)
}

// Forget removes a dead host from its domain.
func (c *Client) Forget(ctx context.Context, domain fleet.DomainID, host fleet.HostID) error {
	return c.call(ctx, http.MethodPost, "/v1/domain/forget", wireForget{domain, host}, &wireForget{})
}

// Burn returns the service-level burn report.
func (c *Client) Burn(ctx context.Context) (burn.Report, error) {
	var report burn.Report
	return report, c.call(ctx, http.MethodGet, "/v1/burn", nil, &report)
}

// IsUnsettled reports whether a change may have been made in spite of an error.
func IsUnsettled(err error) bool {
	if failure, ok := trace.Unwrap(err).(*Error); ok {
		return failure.Code == CodeUnknown
	}
	return trace.IsConnectionProblem(err)
}

func (c *Client) call(ctx context.Context, method, path string, request, response any) error {
	httpRequest, err := c.request(ctx, method, path, request)
	if err != nil {
		return trace.Wrap(err)
	}
	answer, err := c.http.Do(httpRequest)
	if err != nil {
		return trace.ConnectionProblem(err, "host %s did not answer: %v", c.base, innermost(err))
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return trace.ConnectionProblem(err, "the answer of host %s broke off: %v", c.base, err)
	}
	if answer.StatusCode != http.StatusOK {
		return trace.Wrap(readFailure(answer.Status, body))
	}
	return trace.Wrap(json.Unmarshal(body, response))
}

func (c *Client) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		reader = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return nil, trace.BadParameter("%v", err)
	}
	r.Header.Set("Authorization", "Bearer "+c.token.Reveal())
	r.Header.Set("Content-Type", "application/json")
	return r, nil
}

func innermost(err error) error {
	if wrapped, ok := err.(*url.Error); ok {
		return wrapped.Err
	}
	return err
}

func readFailure(status string, body []byte) error {
	var wire wireFailure
	if err := json.Unmarshal(body, &wire); err != nil || wire.Error.Code == "" {
		return trace.Errorf("host answered %s", status)
	}
	return &wire.Error
}
