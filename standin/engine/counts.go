package engine

import (
	"net/http"
	"time"

	"hawthornway/model"
	"hawthornway/standin/wire"
)

// Counts are what an engine did since it was made, over its restarts.
type Counts struct {
	Tokens   int64 `json:"tokens"`
	Requests int64 `json:"requests"`
	Deaths   int64 `json:"deaths"`
	// KeysSeen counts requests that carried a caller's key.
	KeysSeen int64 `json:"keys-seen"`
	// OvercommitOrders counts loads beyond the memory; all were refused.
	OvercommitOrders int64 `json:"overcommit-orders"`
	// FencedOrders counts orders refused for an old fence.
	FencedOrders int64 `json:"fenced-orders"`
	// RefusedAfterGrace counts requests refused after the grace of a leaving engine.
	RefusedAfterGrace int64 `json:"late-work"`
	// PrefixHits and PrefixBlocks count prompt blocks found in the cache, and
	// all.
	PrefixHits   int64 `json:"prefix-hits"`
	PrefixBlocks int64 `json:"prefix-blocks"`
	// Busy, Idle and Loading are memory times: of replicas that run requests,
	// of those that don't, and of those that load.
	Busy    MemoryTime `json:"busy-byte-seconds"`
	Idle    MemoryTime `json:"idle-byte-seconds"`
	Loading MemoryTime `json:"loading-byte-seconds"`
	// Memory is the engine's memory, for comparison.
	Memory model.Bytes `json:"memory"`
}

// MemoryTime is memory held for a time, in bytes times seconds.
type MemoryTime float64

// LoadRecord is one load that ended well.
type LoadRecord struct {
	Model   model.Name    `json:"model"`
	Version model.Version `json:"version"`
	Source  Source        `json:"source"`
	// StartedMS and ReadyMS are Unix times in milliseconds.
	StartedMS int64 `json:"started-ms"`
	ReadyMS   int64 `json:"ready-ms"`
}

// Source is where a load's weights came from.
type Source string

// The sources of loads.
const (
	SourceMemory Source = "memory"
	SourceDisk   Source = "disk"
	SourceRemote Source = "remote"
)

// Counts returns what the engine did so far.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.account()
	return e.counts
}

// Executions returns how often each request id started to run.
func (e *Engine) Executions() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make(map[string]int, len(e.executions))
	for request, n := range e.executions {
		runs[request] = n
	}
	return runs
}

// Loads returns the loads that ended well, oldest first.
func (e *Engine) Loads() []LoadRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]LoadRecord{}, e.loads...)
}

// account adds the memory time since the last call to the counts. It runs
// before each change of what the replicas hold or run.
func (e *Engine) account() {
	now := e.clock.Now()
	elapsed := now.Sub(e.accounted).Seconds()
	e.accounted = now
	for _, r := range e.replicas {
		amount := MemoryTime(float64(r.bytes) * elapsed)
		switch {
		case !r.holdsMemory():
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
