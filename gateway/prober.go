package gateway

import (
	"context"
	"net"

	"hawthornway/platform"
	"hawthornway/relay"
	"hawthornway/roster"
)

// prober looks whether silent targets are alive.
type prober struct {
	engines platform.Engines
}

// Probe reads an engine's report, which needs no slot. Other targets are only
// connected to, since their health checks wait for a slot as requests do.
func (p *prober) Probe(ctx context.Context, t roster.Target) relay.Liveness {
	if len(t.Holdings.Models) == 0 {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", t.Address)
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
