// Package service is a stand-in for a plain service. It counts how often each
// call was executed.
package service

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornway/standin/wire"
	"hawthornway/target"
)

// Request headers that the service reads.
const (
	headerRequest     = "X-Request-Id"
	headerAttempt     = "X-Attempt"
	headerIdempotency = "Idempotency-Key"
)

// Settings configure a service.
type Settings struct {
	Name target.ID `yaml:"name"`
	// Slots is the maximum number of concurrent requests; others wait.
	Slots int `yaml:"slots"`
	// WorkTime is the execution time of a request.
	WorkTime time.Duration `yaml:"work-time"`
	// DrainGrace is how long a draining service still accepts new requests.
	DrainGrace time.Duration `yaml:"leaving-grace"`
}

// DefaultSettings returns the settings of a small service.
func DefaultSettings() Settings {
	return Settings{Name: "service", Slots: 16, WorkTime: 5 * time.Millisecond, DrainGrace: 2 * time.Second}
}

// Faults are the faults that a test can inject.
type Faults struct {
	// DropBeforeResponse is the number of requests that are executed but then lose
	// their connection before the response.
	DropBeforeResponse int `json:"die-before-answer"`
	// DelayMS is added to the execution time of each request.
	DelayMS int64 `json:"delay-ms"`
	// TruncateResponses aborts each response halfway.
	TruncateResponses bool `json:"truncate-answers"`
	// Draining makes the service drain.
	Draining bool `json:"leaving"`
}

// Counts are a service's counters since it was created.
type Counts struct {
	Requests int64 `json:"requests"`
	// KeysSeen counts requests that carried a caller's key.
	KeysSeen int64 `json:"keys-seen"`
	// RefusedAfterGrace counts requests refused after the drain grace.
	RefusedAfterGrace int64 `json:"late-work"`
}

// Service is a simulated plain service.
type Service struct {
	settings Settings
	clock    clockwork.Clock
	slots    chan struct{}

	mu            sync.Mutex
	faults        Faults
	drainingSince time.Time
	running       int
	executions    map[string]int
	counts        Counts
}

// New returns a Service.
func New(settings Settings, clock clockwork.Clock) *Service {
	return &Service{
		settings:   settings,
		clock:      clock,
		slots:      make(chan struct{}, settings.Slots),
		executions: make(map[string]int),
	}
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.Draining != s.faults.Draining {
		s.drainingSince = s.clock.Now()
	}
	s.faults = faults
}

// Executions returns how often each call was executed, by idempotency key or,
// without one, by request ID.
func (s *Service) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.executions)
}

// Counts returns the current counters.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

type wireReport struct {
	Running  int  `json:"running"`
	Slots    int  `json:"slots"`
	Draining bool `json:"leaving"`
}

type wireAnswer struct {
	Service target.ID `json:"service"`
	Method  string    `json:"method"`
	Path    string    `json:"path"`
	Bytes   int       `json:"bytes"`
	Body    string    `json:"body"`
}

// Handler returns the service's HTTP handler.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", s.serveReport)
	mux.HandleFunc("GET /executions", s.serveExecutions)
	mux.HandleFunc("GET /counts", s.serveCounts)
	mux.HandleFunc("PUT /faults", s.serveFaults)
	mux.HandleFunc("/", s.serveCall)
	return mux
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	if wire.CarriesKey(r) {
		s.count(func(c *Counts) { c.KeysSeen++ })
		http.Error(w, "the request carries a caller's key", http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.pastDrainGrace() {
		s.count(func(c *Counts) { c.RefusedAfterGrace++ })
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	faults := s.begin(r)
	defer s.end()
	s.work(faults)
	s.answer(w, r, body, faults)
}

// begin counts the execution and returns the faults that apply to it.
func (s *Service) begin(r *http.Request) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.counts.Requests++
	s.executions[callID(r)]++
	faults := s.faults
	if s.faults.DropBeforeResponse > 0 {
		s.faults.DropBeforeResponse--
	}
	return faults
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// work occupies a slot for the execution time. A call that has begun is executed
// to its end even if its caller disconnects.
func (s *Service) work(faults Faults) {
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	timer := s.clock.NewTimer(s.settings.WorkTime + time.Duration(faults.DelayMS)*time.Millisecond)
	defer timer.Stop()
	<-timer.Chan()
}

func (s *Service) answer(w http.ResponseWriter, r *http.Request, body []byte, faults Faults) {
	if faults.DropBeforeResponse > 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(headerRequest, r.Header.Get(headerRequest))
	w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
	if faults.TruncateResponses {
		w.Header().Set("Content-Length", "1000")
		// An error means that the caller has disconnected.
		_, _ = fmt.Fprint(w, `{"service":`)
		panic(http.ErrAbortHandler)
	}
	wire.WriteJSON(w, http.StatusOK, wireAnswer{
		Service: s.settings.Name,
		Method:  r.Method,
		Path:    r.URL.RequestURI(),
		Bytes:   len(body),
		Body:    string(body),
	})
}

func (s *Service) pastDrainGrace() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Draining && s.clock.Since(s.drainingSince) > s.settings.DrainGrace
}

func (s *Service) count(f func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.counts)
}

func (s *Service) serveReport(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	report := wireReport{Running: s.running, Slots: s.settings.Slots, Draining: s.faults.Draining}
	s.mu.Unlock()
	wire.WriteJSON(w, http.StatusOK, report)
}

func (s *Service) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	wire.WriteJSON(w, http.StatusOK, s.Executions())
}

func (s *Service) serveCounts(w http.ResponseWriter, _ *http.Request) {
	wire.WriteJSON(w, http.StatusOK, s.Counts())
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !wire.ReadJSON(w, r, &faults) {
		return
	}
	s.SetFaults(faults)
	wire.WriteJSON(w, http.StatusOK, faults)
}

func callID(r *http.Request) string {
	if key := r.Header.Get(headerIdempotency); key != "" {
		return key
	}
	return r.Header.Get(headerRequest)
}
