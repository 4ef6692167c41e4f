// Package weights is a stand-in for the platform's rate-limited weight store.
package weights

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"hawthornway/model"
	"hawthornway/standin/wire"
)

// Kind distinguishes models from adapters.
type Kind string

// Kinds of loads.
const (
	KindModel   Kind = "model"
	KindAdapter Kind = "adapter"
)

// Load is a request to load weights.
type Load struct {
	Kind  Kind        `json:"kind"`
	Name  model.Name  `json:"name"`
	Bytes model.Bytes `json:"bytes"`
}

// Settings configure the store.
type Settings struct {
	// RatePerSecond limits the number of model loads started per second.
	RatePerSecond float64 `yaml:"rate-per-second"`
	// Slots is the number of concurrent model loads that run at full speed.
	Slots int `yaml:"slots"`
	// AdapterSlots is the number of concurrent adapter loads that run at full
	// speed.
	AdapterSlots int `yaml:"adapter-slots"`
	// ModelBytesPerSecond is the full speed of one model load.
	ModelBytesPerSecond model.Bytes `yaml:"model-bytes-per-second"`
	// AdapterBytesPerSecond is the full speed of one adapter load.
	AdapterBytesPerSecond model.Bytes `yaml:"adapter-bytes-per-second"`
}

// DefaultSettings returns the settings of a small store.
func DefaultSettings() Settings {
	return Settings{
		RatePerSecond:         4,
		Slots:                 4,
		AdapterSlots:          32,
		ModelBytesPerSecond:   16 << 30,
		AdapterBytesPerSecond: 16 << 30,
	}
}

// Faults are the faults that a test can inject.
type Faults struct {
	// Slowdown divides the rate and the speed. Values below one count as one.
	Slowdown float64 `json:"slowdown"`
	// Fail makes all loads fail.
	Fail bool `json:"fail"`
}

// Store is a simulated weight store.
type Store struct {
	settings Settings
	clock    clockwork.Clock
	starts   *rate.Limiter
	models   *sharedBandwidth
	adapters *sharedBandwidth
	waiting  atomic.Int64
	fail     atomic.Bool
}

// New returns a Store.
func New(settings Settings, clock clockwork.Clock) *Store {
	return &Store{
		settings: settings,
		clock:    clock,
		starts:   rate.NewLimiter(rate.Limit(settings.RatePerSecond), 1),
		models:   newSharedBandwidth(clock, settings.Slots),
		adapters: newSharedBandwidth(clock, settings.AdapterSlots),
	}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(faults Faults) {
	slowdown := max(faults.Slowdown, 1)
	s.fail.Store(faults.Fail)
	s.models.setSlowdown(slowdown)
	s.adapters.setSlowdown(slowdown)
	s.starts.SetLimitAt(s.clock.Now(), rate.Limit(s.settings.RatePerSecond/slowdown))
}

// Load returns when the load is complete.
func (s *Store) Load(ctx context.Context, load Load) error {
	if s.fail.Load() {
		return fmt.Errorf("load %q: weight store refused", load.Name)
	}
	if load.Kind == KindAdapter {
		return s.adapters.run(ctx, transferTime(load.Bytes, s.settings.AdapterBytesPerSecond))
	}
	if err := s.awaitStart(ctx); err != nil {
		return err
	}
	return s.models.run(ctx, transferTime(load.Bytes, s.settings.ModelBytesPerSecond))
}

// awaitStart waits until the rate limit allows another model load to start.
func (s *Store) awaitStart(ctx context.Context) error {
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	now := s.clock.Now()
	reservation := s.starts.ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	if delay <= 0 {
		return nil
	}
	timer := s.clock.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-ctx.Done():
		reservation.CancelAt(s.clock.Now())
		return ctx.Err()
	}
}

func transferTime(size, perSecond model.Bytes) time.Duration {
	return time.Duration(float64(size) / float64(perSecond) * float64(time.Second))
}

type wireState struct {
	RatePerSecond    float64 `json:"rate-per-second"`
	Slots            int     `json:"slots"`
	InFlight         int     `json:"in-flight"`
	Waiting          int64   `json:"waiting"`
	AdaptersInFlight int     `json:"adapters-in-flight"`
}

// Handler returns the store's HTTP handler.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/loads", s.serveLoad)
	mux.HandleFunc("GET /v1/state", s.serveState)
	mux.HandleFunc("PUT /faults", s.serveFaults)
	return mux
}

func (s *Store) serveLoad(w http.ResponseWriter, r *http.Request) {
	var load Load
	if !wire.ReadJSON(w, r, &load) {
		return
	}
	if err := s.Load(r.Context(), load); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	wire.WriteJSON(w, http.StatusOK, struct{}{})
}

func (s *Store) serveState(w http.ResponseWriter, _ *http.Request) {
	wire.WriteJSON(w, http.StatusOK, wireState{
		RatePerSecond:    float64(s.starts.Limit()),
		Slots:            s.settings.Slots,
		InFlight:         s.models.inFlight(),
		Waiting:          s.waiting.Load(),
		AdaptersInFlight: s.adapters.inFlight(),
	})
}

func (s *Store) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !wire.ReadJSON(w, r, &faults) {
		return
	}
	s.SetFaults(faults)
	wire.WriteJSON(w, http.StatusOK, faults)
}
