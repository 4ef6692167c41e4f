package hawthornway

import (
	"time"

	"hawthornway/burn"
	"hawthornway/call"
	"hawthornway/outcome"
)

// burnObserver records the outcomes of calls for the service-level report.
type burnObserver struct{ recorder *burn.Recorder }

// Observe records the outcome of a call.
func (b burnObserver) Observe(c *call.Call, result outcome.Outcome) {
	event := burn.Event{Team: c.Team, Cold: c.Trace.Cold, Outcome: result}
	if gen, ok := c.Subject.(*call.Generation); ok {
		event.Model = gen.Model
	}
	if !c.Trace.FirstToken.IsZero() {
		event.FirstToken = c.Trace.FirstToken.Sub(c.Received)
	}
	if intervals := c.Trace.GeneratedTokens - 1; intervals > 0 {
		event.BetweenTokens = c.Trace.LastToken.Sub(c.Trace.FirstToken) / time.Duration(intervals)
	}
	b.recorder.Record(event)
}
