package engine

import (
	"net/http"
	"time"

	"hawthornway/standin/wire"
)

// Faults are the faults that a test can inject.
type Faults struct {
	// Freeze stops all work and leaves every call without a response.
	Freeze bool `json:"freeze"`
	// CrashAfterTokens is the number of tokens after which the engine crashes; zero
	// disables the fault.
	CrashAfterTokens int `json:"die-after-tokens"`
	// RefuseOrders refuses all orders.
	RefuseOrders bool `json:"refuse-orders"`
	// LoadHangs keeps newly started loads from finishing.
	LoadHangs bool `json:"load-hangs"`
	// CrossResponses answers each request with the response to the previous one.
	CrossResponses bool `json:"cross-answers"`
	// TruncateResponses ends each answer halfway, without an error.
	TruncateResponses bool `json:"truncate-answers"`
	// ReportLagMS overrides Settings.ReportLag unless it is zero.
	ReportLagMS int64 `json:"report-lag-ms"`
	// OrderDelayMS delays the execution of orders. They are executed even if
	// the sender disconnects.
	OrderDelayMS int64 `json:"order-delay-ms"`
	// Draining makes the engine drain.
	Draining bool `json:"leaving"`
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if faults.Freeze != e.faults.Freeze {
		e.setFrozen(faults.Freeze)
	}
	if faults.Draining && e.drainingSince.IsZero() {
		e.drainingSince = e.clock.Now()
		e.sequence++
	}
	if !faults.Draining && !e.drainingSince.IsZero() {
		e.drainingSince = time.Time{}
		e.sequence++
	}
	e.faults = faults
	e.wakeBatch()
}

func (e *Engine) setFrozen(freeze bool) {
	if freeze {
		e.resumed = make(chan struct{})
		return
	}
	close(e.resumed)
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !wire.ReadJSON(w, r, &faults) {
		return
	}
	e.SetFaults(faults)
	wire.WriteJSON(w, http.StatusOK, faults)
}
