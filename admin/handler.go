// Package admin implements the operators' HTTP API and a client for it.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"hawthornway/burn"
	"hawthornway/config"
	"hawthornway/fleet"
	"hawthornway/key"
	"hawthornway/settings"
)

// Limits of requests.
const (
	maxConfigBodyBytes = 2 * config.MaxBytes
	maxBodyBytes       = 4 << 20
	applyTimeout       = 30 * time.Second
	defaultTimeout     = 10 * time.Second
)

// Configs reads and changes the configuration. *config.Store implements it.
type Configs interface {
	Current() *config.Snapshot
	Age() time.Duration
	History() []config.Accepted
	Apply(ctx context.Context, submission config.Submission) (config.Accepted, error)
}

// Keys manages the callers' keys. *key.Store implements it.
type Keys interface {
	Grant(ctx context.Context, grants []key.Grant) error
	Withdraw(ctx context.Context, ids []key.ID) (key.Confirmation, error)
	List() []key.Entry
}

// Host provides the state and the operations of the host that serves the API.
type Host interface {
	// Status returns what the host knows of the fleet.
	Status(ctx context.Context) (Status, error)
	// Drain starts a graceful shutdown, unless one has started, and returns its
	// progress.
	Drain(ctx context.Context) (DrainState, error)
	// Forget removes a host that is known to be dead from its domain.
	Forget(ctx context.Context, domain fleet.DomainID, host fleet.HostID) error
	// Burn returns the error budget report merged over the hosts that respond.
	Burn(ctx context.Context) (burn.Report, error)
}

// Dependencies are the components that the handler gives access to.
type Dependencies struct {
	Configs Configs
	Keys    Keys
	Host    Host
	// Token is the operators' bearer token.
	Token settings.Secret
	Log   *slog.Logger
}

type handler struct {
	Dependencies
}

// NewHandler returns a new handler for the operators' API.
func NewHandler(d Dependencies) http.Handler {
	if d.Log == nil {
		d.Log = slog.Default()
	}
	h := &handler{d}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/config", h.serve(applyTimeout, h.apply))
	mux.HandleFunc("GET /v1/config", h.serve(defaultTimeout, h.config))
	mux.HandleFunc("GET /v1/config/history", h.serve(defaultTimeout, h.history))
	mux.HandleFunc("GET /v1/keys", h.serve(defaultTimeout, h.listKeys))
	mux.HandleFunc("POST /v1/keys", h.serve(defaultTimeout, h.grantKeys))
	mux.HandleFunc("POST /v1/keys/withdraw", h.serve(defaultTimeout, h.withdrawKeys))
	mux.HandleFunc("POST /v1/keys/{id}/withdraw", h.serve(defaultTimeout, h.withdrawKey))
	mux.HandleFunc("GET /v1/status", h.serve(defaultTimeout, h.status))
	mux.HandleFunc("POST /v1/drain", h.serve(defaultTimeout, h.drain))
	mux.HandleFunc("POST /v1/domain/forget", h.serve(defaultTimeout, h.forget))
	mux.HandleFunc("POST /v1/evacuations/{domain}", h.serve(applyTimeout, h.evacuate))
	mux.HandleFunc("DELETE /v1/evacuations/{domain}", h.serve(applyTimeout, h.endEvacuation))
	mux.HandleFunc("GET /v1/burn", h.serve(defaultTimeout, h.burn))
	return h.authorized(mux)
}

// endpoint handles one request. The returned value is sent as JSON.
type endpoint func(r *http.Request) (any, error)

// serve returns an HTTP handler that calls an endpoint with a deadline.
func (h *handler) serve(timeout time.Duration, call endpoint) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), timeout)
		defer cancel()
		value, err := call(r.WithContext(ctx))
		if err != nil {
			h.writeError(w, r, err)
			return
		}
		writeJSON(w, http.StatusOK, value)
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// readJSON decodes a body of at most limit bytes that holds exactly one JSON value
// without unknown fields.
func readJSON(r *http.Request, limit int64, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(nil, r.Body, limit))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return bodyError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return trace.BadParameter("body holds more than one JSON value")
	}
	return nil
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return trace.LimitExceeded("body has more than %d bytes", tooLarge.Limit)
	}
	return trace.BadParameter("body is not the expected JSON: %v", err)
}
