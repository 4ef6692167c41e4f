package engine

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"hawthornway/engine"
	"hawthornway/model"
	"hawthornway/standin/wire"
	"hawthornway/target"
)

// minReportInterval limits how often reports are created when the lag is zero.
const minReportInterval = 20 * time.Millisecond

// report is the wire format of the engine's state.
type report struct {
	Target          target.ID       `json:"target"`
	Boot            engine.BootID   `json:"boot"`
	Sequence        engine.Sequence `json:"sequence"`
	TakenAtMS       int64           `json:"taken-at-ms"`
	Fence           target.Fence    `json:"fence"`
	Role            engine.Role     `json:"role"`
	Memory          model.Bytes     `json:"memory"`
	Used            model.Bytes     `json:"used"`
	Replicas        []wireReplica   `json:"replicas"`
	Cached          []wireCached    `json:"cached"`
	Running         int             `json:"running"`
	Queued          int             `json:"queued"`
	Slots           int             `json:"slots"`
	TokensPerSecond float64         `json:"tokens-per-second"`
	Draining        bool            `json:"leaving"`
}

type wireReplica struct {
	Model   model.Name          `json:"model"`
	Version model.Version       `json:"version"`
	Base    model.Name          `json:"base,omitempty"`
	Bytes   model.Bytes         `json:"bytes"`
	State   engine.ReplicaState `json:"state"`
	Order   engine.OrderID      `json:"order"`
}

type wireCached struct {
	Model   model.Name    `json:"model"`
	Version model.Version `json:"version"`
	Tier    engine.Tier   `json:"tier"`
}

// runReports creates a report in intervals of the report lag, so that the last
// report is at most that old.
func (e *Engine) runReports(ctx context.Context) {
	for e.sleep(ctx, e.reportInterval()) {
		e.mu.Lock()
		if !e.crashed {
			e.lastReport = e.report()
		}
		e.mu.Unlock()
	}
}

func (e *Engine) reportInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	lag := e.settings.ReportLag
	if e.faults.ReportLagMS > 0 {
		lag = time.Duration(e.faults.ReportLagMS) * time.Millisecond
	}
	return max(lag, minReportInterval)
}

func (e *Engine) serveReport(w http.ResponseWriter, r *http.Request) {
	e.awaitResume(r.Context())
	e.mu.Lock()
	answer := e.lastReport
	if r.URL.Query().Get("fresh") == "1" {
		answer = e.report()
	}
	e.mu.Unlock()
	wire.WriteJSON(w, http.StatusOK, answer)
}

// report returns the engine's current state.
func (e *Engine) report() report {
	current := report{
		Target:    e.settings.Name,
		Boot:      e.boot,
		Sequence:  e.sequence,
		TakenAtMS: unixMS(e.clock.Now()),
		Fence:     e.fence,
		Role:      e.role,
		Memory:    e.settings.Memory,
		Used:      e.usedMemory(),
		Replicas:  e.reportReplicas(),
		Cached:    e.reportCached(),
		Running:   len(e.running),
		Queued:    len(e.queue),
		Slots:     e.settings.Slots,
		Draining:  !e.drainingSince.IsZero(),
	}
	if len(e.running) > 0 {
		current.TokensPerSecond = e.tokensPerSecond
	}
	return current
}

func (e *Engine) reportReplicas() []wireReplica {
	replicas := make([]wireReplica, 0, len(e.replicas))
	for _, r := range e.replicas {
		replicas = append(replicas, wireReplica{
			Model:   r.ref.Name,
			Version: r.ref.Version,
			Base:    r.ref.Base,
			Bytes:   r.bytes,
			State:   r.state,
			Order:   r.order,
		})
	}
	slices.SortFunc(replicas, func(a, b wireReplica) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return replicas
}

func (e *Engine) reportCached() []wireCached {
	cached := make([]wireCached, 0, len(e.diskTier.items))
	for key := range e.memoryTier.items {
		cached = append(cached, wireCached{Model: key.name, Version: key.version, Tier: engine.TierMemory})
	}
	for key := range e.diskTier.items {
		if _, inMemory := e.memoryTier.items[key]; !inMemory {
			cached = append(cached, wireCached{Model: key.name, Version: key.version, Tier: engine.TierDisk})
		}
	}
	slices.SortFunc(cached, func(a, b wireCached) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return cached
}
