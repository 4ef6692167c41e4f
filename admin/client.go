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
	// clientTimeout is the timeout of one request. It is longer than the server's
	// timeouts.
	clientTimeout = 45 * time.Second
	// maxResponseBytes is the maximum size of a response body.
	maxResponseBytes = 64 << 20
)

// Client calls the operators' API of one host.
type Client struct {
	baseURL string
	token   settings.Secret
	http    *http.Client
}

// ClientOption sets an option of a Client.
type ClientOption func(*Client)

// WithHTTPClient sets the HTTP client, for example one with TLS settings.
func WithHTTPClient(c *http.Client) ClientOption {
	return func(client *Client) { client.http = c }
}

// NewClient returns a new Client for the host at address, given as "IP:port" or
// as a URL.
func NewClient(address string, token settings.Secret, opts ...ClientOption) *Client {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	c := &Client{
		baseURL: strings.TrimRight(address, "/"),
		token:   token,
		http:    &http.Client{Timeout: clientTimeout},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Configuration is the current configuration of a host.
type Configuration struct {
	Revision   config.Revision
	Author     config.Author
	AcceptedAt time.Time
	// Age is the time since the host last confirmed that the configuration is
	// current, or config.AgeUnknown.
	Age   time.Duration
	Files []config.File
}

// Key is a key without its hash.
type Key struct {
	ID   key.ID  `json:"id"`
	Team team.ID `json:"team"`
	key.Times
}

// Apply applies a configuration. If it fails with an error for which
// IsOutcomeUnknown returns true, the same submission can be retried.
func (c *Client) Apply(ctx context.Context, s config.Submission) (config.Accepted, error) {
	wire := wireSubmission{Base: s.Base, Change: s.Change, Author: s.Author, Files: []wireFile{}}
	for _, f := range s.Files {
		wire.Files = append(wire.Files, wireFile{f.Name, string(f.Data)})
	}
	var accepted config.Accepted
	return accepted, c.call(ctx, http.MethodPost, "/v1/config", wire, &accepted)
}

// Config returns the current configuration of the host.
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

// Grant grants keys. It is idempotent.
func (c *Client) Grant(ctx context.Context, grants []key.Grant) error {
	wire := wireGrants{}
	for _, g := range grants {
		wire.Keys = append(wire.Keys, wireGrant(g))
	}
	return c.call(ctx, http.MethodPost, "/v1/keys", wire, &wireIDs{})
}

// Withdraw withdraws keys. It is idempotent.
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

// Drain starts a graceful shutdown, or returns the progress of one that has
// started.
func (c *Client) Drain(ctx context.Context) (DrainState, error) {
	var state DrainState
	return state, c.call(ctx, http.MethodPost, "/v1/drain", nil, &state)
}

// Forget removes a dead host from its domain.
func (c *Client) Forget(ctx context.Context, domain fleet.DomainID, host fleet.HostID) error {
	return c.call(ctx, http.MethodPost, "/v1/domain/forget", wireForget{domain, host}, &wireForget{})
}

// Evacuate keeps requests from the targets of a failure domain, or gives them requests again. It is
// idempotent.
func (c *Client) Evacuate(ctx context.Context, domain fleet.DomainID, evacuated bool, author config.Author) (Evacuation, error) {
	method := http.MethodPost
	if !evacuated {
		method = http.MethodDelete
	}
	var state Evacuation
	return state, c.call(ctx, method, "/v1/evacuations/"+url.PathEscape(string(domain)), wireAuthor{author}, &state)
}

// Burn returns the error budget report.
func (c *Client) Burn(ctx context.Context) (burn.Report, error) {
	var report burn.Report
	return report, c.call(ctx, http.MethodGet, "/v1/burn", nil, &report)
}

// IsOutcomeUnknown reports whether a change may have been made although the
// request failed with err.
func IsOutcomeUnknown(err error) bool {
	if apiError, ok := trace.Unwrap(err).(*Error); ok {
		return apiError.Code == CodeUnknown
	}
	return trace.IsConnectionProblem(err)
}

func (c *Client) call(ctx context.Context, method, path string, request, response any) error {
	httpRequest, err := c.request(ctx, method, path, request)
	if err != nil {
		return trace.Wrap(err)
	}
	httpResponse, err := c.http.Do(httpRequest)
	if err != nil {
		return trace.ConnectionProblem(err, "host %s did not answer: %v", c.baseURL, withoutURL(err))
	}
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes))
	if err != nil {
		return trace.ConnectionProblem(err, "reading the response of host %s: %v", c.baseURL, err)
	}
	if httpResponse.StatusCode != http.StatusOK {
		return trace.Wrap(readError(httpResponse.Status, body))
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
	r, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, reader)
	if err != nil {
		return nil, trace.BadParameter("%v", err)
	}
	r.Header.Set("Authorization", "Bearer "+c.token.Reveal())
	r.Header.Set("Content-Type", "application/json")
	return r, nil
}

// withoutURL removes the method and URL that http.Client adds to an error.
func withoutURL(err error) error {
	if wrapped, ok := err.(*url.Error); ok {
		return wrapped.Err
	}
	return err
}

func readError(status string, body []byte) error {
	var wire wireError
	if err := json.Unmarshal(body, &wire); err != nil || wire.Error.Code == "" {
		return trace.Errorf("host responded with status %s", status)
	}
	return &wire.Error
}
