package gateway

import (
	"context"

	"hawthornway/platform"
	"hawthornway/relay"
	"hawthornway/roster"
)

// prober checks whether silent targets are alive.
type prober struct {
	engines platform.Engines
	dial    DialFunc
}

// Probe implements relay.Prober. It reads the report of an engine, which needs
// no slot. To other targets it only opens a connection, since their health
// checks wait for a slot like any request.
func (p *prober) Probe(ctx context.Context, t roster.Target) relay.Liveness {
	if len(t.Holdings.Models) == 0 {
		conn, err := p.dial(ctx, "tcp", t.Address)
		if err != nil {
			return relay.Dead{}
		}
		_ = conn.Close() // nothing was sent
		return relay.Idle{}
	}
	report, err := p.engines.Report(ctx, t)
	switch {
	case err != nil:
		return relay.Dead{}
	case report.Waiting > 0:
		return relay.Busy{}
	default:
		return relay.Idle{}
	}
}
