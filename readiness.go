package hawthornway

import (
	"encoding/json"
	"net/http"
	"sync"
)

// readiness reports to the load balancer whether it may send callers to this
// host.
type readiness struct {
	mu       sync.Mutex
	draining bool
	// startupReasons returns why the host can't serve yet; empty if it can.
	startupReasons func() []string
}

// setDraining makes the host permanently not ready.
func (r *readiness) setDraining() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
}

type readyBody struct {
	Ready   bool     `json:"ready"`
	Reasons []string `json:"missing"`
}

// ServeHTTP responds with 200 if the host is ready and with 503 otherwise.
func (r *readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	reasons := r.reasons()
	body, err := json.Marshal(readyBody{Ready: len(reasons) == 0, Reasons: reasons})
	if err != nil {
		panic("readiness: encode response: " + err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	if len(reasons) > 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write(body) // fails only if the client has disconnected
}

func (r *readiness) reasons() []string {
	r.mu.Lock()
	draining := r.draining
	r.mu.Unlock()
	if draining {
		return []string{"the host is leaving"}
	}
	return r.startupReasons()
}
