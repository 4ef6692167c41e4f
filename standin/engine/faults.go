package engine

import (
	"net/http"
	"time"

	"hawthornway/standin/wire"
)

// Faults are the faults that a test switches on.
type Faults struct {
	// Freeze stops all work and leaves every call unanswered.
	Freeze bool `json:"freeze"`
	// DieAfterTokens is the number of tokens until the engine dies; zero sets
	// none.
	DieAfterTokens int `json:"die-after-tokens"`
	// RefuseOrders refuses all orders.
	RefuseOrders bool `json:"refuse-orders"`
	// LoadHangs keeps loads that start from ending.
	LoadHangs bool `json:"load-hangs"`
	// CrossAnswers answers each request with the one before it.
	CrossAnswers bool `json:"cross-answers"`
	// TruncateAnswers ends each answer halfway, without an error.
	TruncateAnswers bool `json:"truncate-answers"`
	// ReportLagMS replaces the report's lag unless it is zero.
	ReportLagMS int64 `json:"report-lag-ms"`
	// OrderDelayMS is the time after which orders are taken, even if their
	// sender has gone.
	OrderDelayMS int64 `json:"order-delay-ms"`
	// Draining has the engine leave.
	Draining bool `json:"leaving"`
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if faults.Freeze != e.faults.Freeze {
		e.turnFreeze(faults.Freeze)
	}
	if faults.Draining && e.leavingSince.IsZero() {
		e.leavingSince = e.clock.Now()
		e.sequence++
	}
	if !faults.Draining && !e.leavingSince.IsZero() {
		e.leavingSince = time.Time{}
		e.sequence++
	}
	e.faults = faults
	e.wakeLoop()
}

func (e *Engine) turnFreeze(freeze bool) {
	if freeze {
		e.thawed = make(chan struct{})
		return
	}
	close(e.thawed)
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !wire.ReadJSON(w, r, &faults) {
		return
	}
	e.SetFaults(faults)
	wire.WriteJSON(w, http.StatusOK, faults)
}
