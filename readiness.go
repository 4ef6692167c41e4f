package hawthornway

import (
	"encoding/json"
	"net/http"
	"sync"
)

// readiness is the HTTP handler of the readiness check, with which the balancer
// decides whether to send callers to this host.
type readiness struct {
	mu       sync.Mutex
	draining bool
	// missing returns the reasons why the host cannot serve yet.
	missing func() []string
}

// startDraining makes the host not ready until it stops.
func (r *readiness) startDraining() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
}

type readyBody struct {
	Ready   bool     `json:"ready"`
	Missing []string `json:"missing"`
}

// ServeHTTP responds with 200 if the host is ready and with 503 if it is not.
func (r *readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	missing := r.notReady()
	body, err := json.Marshal(readyBody{Ready: len(missing) == 0, Missing: missing})
	if err != nil {
		panic("hawthornway: encode readiness: " + err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	if len(missing) > 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write(body) // the balancer may have disconnected
}

// notReady returns the reasons why the host is not ready.
func (r *readiness) notReady() []string {
	r.mu.Lock()
	draining := r.draining
	r.mu.Unlock()
	if draining {
		return []string{"the host is leaving"}
	}
	return r.missing()
}
