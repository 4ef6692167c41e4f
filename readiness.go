package hawthornway

import (
	"encoding/json"
	"net/http"
	"sync"
)

// readiness says whether the balancer may send callers to this host.
type readiness struct {
	mu       sync.Mutex
	draining bool
	// missing returns what the host still lacks, by part.
	missing func() []string
}

// setDraining makes the host unready for good.
func (r *readiness) setDraining() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
}

type readyBody struct {
	Ready   bool     `json:"ready"`
	Missing []string `json:"missing"`
}

// ServeHTTP answers 200 when the host is ready and 503 when it is not.
func (r *readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	missing := r.reasons()
	body, err := json.Marshal(readyBody{Ready: len(missing) == 0, Missing: missing})
	if err != nil {
		panic("readiness can't be encoded: " + err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	if len(missing) > 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write(body) // a balancer that left needs nothing
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
