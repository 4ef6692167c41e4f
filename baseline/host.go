// Package baseline is a simple entry host for comparison. Each host decides on
// its own, from its own requests and the engines' reports. It loads a model on
// the engine that the model's name hashes to, unloads the model that it used
// least recently, and enforces an equal share of each team's rate.
package baseline

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"hawthornway/call"
	"hawthornway/config"
	"hawthornway/model"
	"hawthornway/openai"
	"hawthornway/outcome"
	"hawthornway/target"
	"hawthornway/team"
)

// Limits of a request.
const (
	maxBodyBytes   = 4 << 20
	defaultTimeout = 30 * time.Second
)

// Host is a baseline entry host.
type Host struct {
	config   config.Config
	keys     map[string]team.ID
	limiters map[team.ID]*rate.Limiter
	models   map[model.Name]config.Model
	adapters map[model.Name]config.Adapter
	engines  map[target.Pool][]*engineState
	client   *http.Client
	requests atomic.Uint64
	name     string
}

// New returns a Host that is one of hosts equal hosts, which share the rate of
// each team. keys maps keys to teams.
func New(name string, c config.Config, keys map[string]team.ID, hosts int) *Host {
	h := &Host{
		config:   c,
		keys:     keys,
		limiters: make(map[team.ID]*rate.Limiter),
		models:   make(map[model.Name]config.Model),
		adapters: make(map[model.Name]config.Adapter),
		engines:  make(map[target.Pool][]*engineState),
		name:     name,
		client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
			MaxIdleConnsPerHost: 64,
			DisableCompression:  true,
		}},
	}
	for _, t := range c.Teams {
		h.limiters[t.Name] = rate.NewLimiter(rate.Limit(float64(t.Rate)/float64(hosts)), int(t.Burst)/hosts)
	}
	for _, m := range c.Models {
		h.models[m.Name] = m
	}
	for _, a := range c.Adapters {
		h.adapters[a.Name] = a
	}
	for _, t := range c.Targets {
		if t.Kind == target.KindEngine {
			h.engines[t.Pool] = append(h.engines[t.Pool], newEngineState(name, t))
		}
	}
	return h
}

// ServeHTTP serves a request of a caller.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name, known := h.keys[strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")]
	if !known {
		refuse(w, outcome.ReasonNoKey)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		refuse(w, outcome.ReasonTooLarge)
		return
	}
	if r.URL.Path == openai.PathChat {
		h.complete(w, r, name, body)
		return
	}
	h.forward(w, r, name, body)
}

func (h *Host) complete(w http.ResponseWriter, r *http.Request, name team.ID, body []byte) {
	generation, err := openai.ParseGeneration(openai.PathChat, body, h.outputLimit)
	if err != nil {
		refuse(w, outcome.ReasonBadRequest)
		return
	}
	if !h.limiters[name].AllowN(time.Now(), int(generation.PromptTokens+generation.MaxTokens)) {
		refuse(w, outcome.ReasonRate)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout(r))
	defer cancel()
	e, err := h.ensureLoaded(ctx, generation.Model)
	if err != nil {
		refuse(w, outcome.ReasonNoMemory)
		return
	}
	h.proxy(w, r, e.address+r.URL.Path, body)
}

func (h *Host) outputLimit(name model.Name) team.Tokens {
	if a, isAdapter := h.adapters[name]; isAdapter {
		name = a.Base
	}
	return h.models[name].MaxOutputTokens
}

func requestTimeout(r *http.Request) time.Duration {
	d, err := time.ParseDuration(r.Header.Get(call.HeaderDeadline))
	if err != nil {
		return defaultTimeout
	}
	return d
}

// forward forwards a call to one of the services of its route.
func (h *Host) forward(w http.ResponseWriter, r *http.Request, name team.ID, body []byte) {
	for _, route := range h.config.Routes {
		if !strings.HasPrefix(r.URL.Path, route.Path) {
			continue
		}
		if !h.limiters[name].AllowN(time.Now(), int(route.Cost)) {
			refuse(w, outcome.ReasonRate)
			return
		}
		services := h.services(route.Pool)
		if len(services) == 0 {
			refuse(w, outcome.ReasonNoTarget)
			return
		}
		h.proxy(w, r, services[h.requests.Load()%uint64(len(services))]+r.URL.RequestURI(), body)
		return
	}
	refuse(w, outcome.ReasonUnknownRoute)
}

func (h *Host) services(pool target.Pool) []string {
	var addresses []string
	for _, t := range h.config.Targets {
		if t.Pool == pool {
			addresses = append(addresses, t.Address)
		}
	}
	return addresses
}

// proxy sends the request to a target and forwards the response.
func (h *Host) proxy(w http.ResponseWriter, r *http.Request, address string, body []byte) {
	outgoing, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+address, bytes.NewReader(body))
	if err != nil {
		refuse(w, outcome.ReasonNoTarget)
		return
	}
	outgoing.Header.Set("Content-Type", r.Header.Get("Content-Type"))
	outgoing.Header.Set("Idempotency-Key", r.Header.Get("Idempotency-Key"))
	id := h.name + "-" + strconv.FormatUint(h.requests.Add(1), 10)
	w.Header().Set(call.HeaderRequest, id)
	outgoing.Header.Set("X-Request-Id", id)
	outgoing.Header.Set("X-Attempt", "1")
	resp, err := h.client.Do(outgoing)
	if err != nil {
		fail(w, outcome.Unknown{Reason: outcome.ReasonTargetFailed}, outcome.ReasonTargetFailed)
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		refuse(w, outcome.ReasonNoTarget)
		return
	}
	w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	w.Header().Set(call.HeaderOutcome, outcome.Served{}.Header())
	copyFlushed(w, resp.Body)
}

// copyFlushed forwards each part of a response as soon as it arrives.
func copyFlushed(w http.ResponseWriter, body io.Reader) {
	control := http.NewResponseController(w)
	buffer := make([]byte, 16<<10)
	for {
		n, err := body.Read(buffer)
		if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
			return
		}
		if flushErr := control.Flush(); flushErr != nil {
			return
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

func refuse(w http.ResponseWriter, reason outcome.Reason) {
	fail(w, outcome.NotRun{Reason: reason}, reason)
}

type wireError struct {
	Error wireErrorBody `json:"error"`
}

type wireErrorBody struct {
	Code outcome.Reason `json:"code"`
}

func fail(w http.ResponseWriter, result outcome.Outcome, reason outcome.Reason) {
	w.Header().Set(call.HeaderOutcome, result.Header())
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(openai.Status(reason))
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(wireError{Error: wireErrorBody{Code: reason}})
}
