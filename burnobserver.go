package hawthornway

import (
	"time"

	"hawthornway/burn"
	"hawthornway/call"
	"hawthornway/outcome"
)

// burnObserver records finished calls for the service-level report.
type burnObserver struct{ recorder *burn.Recorder }

// Observe records a finished call.
func (b burnObserver) Observe(c *call.Call, result outcome.Outcome) {
	event := burn.Event{Team: c.Team, Cold: c.Trace.Cold, Outcome: result}
	if gen, ok := c.Subject.(*call.Generation); ok {
		event.Model = gen.Model
	}
	if !c.Trace.FirstToken.IsZero() {
		event.FirstToken = c.Trace.FirstToken.Sub(c.Received)
	}
	if steps := c.Trace.GeneratedTokens - 1; steps > 0 {
		event.BetweenTokens = c.Trace.LastToken.Sub(c.Trace.FirstToken) / time.Duration(steps)
	}
	b.recorder.Record(event)
}
