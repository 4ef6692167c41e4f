package gateway

import (
	"context"
	"errors"
	"net"
	"sync/atomic"

	"hawthornway/exchange"
	"hawthornway/platform"
	"hawthornway/relay"
	"hawthornway/roster"
)

// prober checks whether silent targets are alive, over connections of its own.
type prober struct {
	dial    DialFunc
	engines platform.Engines
}

// newProber returns a prober that opens connections with dial.
func newProber(dial DialFunc, opts ...platform.EnginesOption) *prober {
	p := &prober{dial: dial}
	p.engines = platform.NewEngines(append(opts, platform.WithEngineDial(p.dialNoting), platform.WithoutIdleConns())...)
	return p
}

// probeKey is the context key of a probe's notes.
type probeKey struct{}

// notes are what is noted of the connection of a probe: whether it was opened, and whether it
// leads through another host.
type notes struct{ opened, detour atomic.Bool }

// dialNoting opens a connection and notes that in the context.
func (p *prober) dialNoting(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := p.dial(ctx, network, address)
	if noted, ok := ctx.Value(probeKey{}).(*notes); ok && err == nil {
		_, detour := conn.(exchange.Detour)
		noted.opened.Store(true)
		noted.detour.Store(detour)
	}
	return conn, err
}

// Probe implements relay.Prober. It reads the report of an engine, which needs
// no slot. To other targets it only opens a connection, since their health
// checks wait for a slot like any request.
func (p *prober) Probe(ctx context.Context, t roster.Target) relay.Liveness {
	noted := new(notes)
	liveness := p.probe(context.WithValue(ctx, probeKey{}, noted), t)
	if _, dead := liveness.(relay.Dead); dead && noted.opened.Load() && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		liveness = relay.Unresponsive{}
	}
	if _, dead := liveness.(relay.Dead); !dead && noted.detour.Load() {
		return relay.Detoured{Liveness: liveness}
	}
	return liveness
}

func (p *prober) probe(ctx context.Context, t roster.Target) relay.Liveness {
	if len(t.Holdings.Models) == 0 {
		conn, err := p.dialNoting(ctx, "tcp", t.Address)
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
