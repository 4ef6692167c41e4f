package hawthornway

import (
	"encoding/json"
	"net/http"
	"sync"
)

// readiness is the readiness check of this host for the balancer.
type readiness struct {
	mu       sync.Mutex
	draining bool
	// missing returns the reasons why the host cannot serve yet.
	missing func() []string
}

// setDraining makes the host permanently not ready.
func (r *readiness) setDraining() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
}

type readyBody struct {
	Ready   bool     `json:"ready"`
	Missing []string `json:"missing"`
}

// ServeHTTP responds with status 200 if the host is ready, otherwise 503.
func (r *readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	missing := r.reasons()
	body, err := json.Marshal(readyBody{Ready: len(missing) == 0, Missing: missing})
	if err != nil {
		panic("readiness: encoding the response: " + err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	if len(missing) > 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write(body) // an error means that the balancer has disconnected
}

func (r *readiness) reasons() []string {
	r.mu.Lock()
	draining := r.draining
	r.mu.Unlock()
	if draining {
		return []string{"the host is leaving"}
	}
	return r.missing()
}
