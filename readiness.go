package hawthornway

import (
	"encoding/json"
	"net/http"
	"sync"
)

// readiness tells the load balancer whether this host accepts callers.
type readiness struct {
	mu       sync.Mutex
	draining bool
	// reasons returns why the host can't serve yet.
	reasons func() []string
}

// startDraining makes the host permanently not ready.
func (r *readiness) startDraining() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
}

type readyBody struct {
	Ready   bool     `json:"ready"`
	Missing []string `json:"missing"`
}

// ServeHTTP responds with status 200 if the host is ready and 503 otherwise.
func (r *readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	missing := r.notReadyReasons()
	body, err := json.Marshal(readyBody{Ready: len(missing) == 0, Missing: missing})
	if err != nil {
		panic("readiness can't be encoded: " + err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	if len(missing) > 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write(body) // fails only if the client has disconnected
}

func (r *readiness) notReadyReasons() []string {
	r.mu.Lock()
	draining := r.draining
	r.mu.Unlock()
	if draining {
		return []string{"the host is leaving"}
	}
	return r.reasons()
}
