package engine

import (
	"net/http"
	"time"

	"hawthornway/model"
	"hawthornway/standin/wire"
)

// Counts are an engine's counters since it was created, across restarts.
type Counts struct {
	Tokens   int64 `json:"tokens"`
	Requests int64 `json:"requests"`
	Crashes  int64 `json:"deaths"`
	// KeysSeen counts requests that carried a caller's key.
	KeysSeen int64 `json:"keys-seen"`
	// OvercommitOrders counts load orders that exceeded the memory; all were
	// refused.
	OvercommitOrders int64 `json:"overcommit-orders"`
	// FencedOrders counts orders refused because of an old fence.
	FencedOrders int64 `json:"fenced-orders"`
	// RefusedAfterGrace counts requests refused after the drain grace.
	RefusedAfterGrace int64 `json:"late-work"`
	// PrefixHits counts the prompt blocks found in the prefix cache, PrefixBlocks
	// all prompt blocks.
	PrefixHits   int64 `json:"prefix-hits"`
	PrefixBlocks int64 `json:"prefix-blocks"`
	// Busy, Idle and Loading are the memory time of replicas with requests, of
	// replicas without, and of replicas that are loading.
	Busy    MemoryTime `json:"busy-byte-seconds"`
	Idle    MemoryTime `json:"idle-byte-seconds"`
	Loading MemoryTime `json:"loading-byte-seconds"`
	// Memory is the engine's total memory, for comparison.
	Memory model.Bytes `json:"memory"`
}

// MemoryTime is occupied memory integrated over time, in byte-seconds.
type MemoryTime float64

// LoadRecord describes a successful load.
type LoadRecord struct {
	Model   model.Name    `json:"model"`
	Version model.Version `json:"version"`
	Source  Source        `json:"source"`
	// StartedMS and ReadyMS are Unix times in milliseconds.
	StartedMS int64 `json:"started-ms"`
	ReadyMS   int64 `json:"ready-ms"`
}

// Source is the tier from which a load read its weights.
type Source string

// Sources of loads.
const (
	SourceMemory Source = "memory"
	SourceDisk   Source = "disk"
	SourceRemote Source = "remote"
)

// Counts returns the current counters.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.accountMemory()
	return e.counts
}

// Executions returns how often each request ID started to run.
func (e *Engine) Executions() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make(map[string]int, len(e.executions))
	for request, n := range e.executions {
		runs[request] = n
	}
	return runs
}

// Loads returns the successful loads, oldest first.
func (e *Engine) Loads() []LoadRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]LoadRecord{}, e.loads...)
}

// accountMemory adds the memory time since its last call to the counts. It must
// run before each change of the replicas' memory, state or number of requests.
func (e *Engine) accountMemory() {
	now := e.clock.Now()
	elapsed := now.Sub(e.accountedAt).Seconds()
	e.accountedAt = now
	for _, r := range e.replicas {
		amount := MemoryTime(float64(r.bytes) * elapsed)
		switch {
		case !r.usesMemory():
		case r.isLoading():
			e.counts.Loading += amount
		case r.active > 0:
			e.counts.Busy += amount
		default:
			e.counts.Idle += amount
		}
	}
}

func (e *Engine) serveCounts(w http.ResponseWriter, _ *http.Request) {
	wire.WriteJSON(w, http.StatusOK, e.Counts())
}

func (e *Engine) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	wire.WriteJSON(w, http.StatusOK, e.Executions())
}

func (e *Engine) serveLoads(w http.ResponseWriter, _ *http.Request) {
	wire.WriteJSON(w, http.StatusOK, e.Loads())
}

func unixMS(t time.Time) int64 { return t.UnixMilli() }
