package gateway

import (
	"context"
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

// pathKey is the context key of an atomic.Bool that is set if a connection leads through
// another host.
type pathKey struct{}

// dialNoting opens a connection and notes in the context whether it is a detour.
func (p *prober) dialNoting(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := p.dial(ctx, network, address)
	if _, detour := conn.(exchange.Detour); detour && err == nil {
		if noted, ok := ctx.Value(pathKey{}).(*atomic.Bool); ok {
			noted.Store(true)
		}
	}
	return conn, err
}

// Probe implements relay.Prober. It reads the report of an engine, which needs
// no slot. To other targets it only opens a connection, since their health
// checks wait for a slot like any request.
func (p *prober) Probe(ctx context.Context, t roster.Target) relay.Liveness {
	detour := new(atomic.Bool)
	liveness := p.probe(context.WithValue(ctx, pathKey{}, detour), t)
	if _, dead := liveness.(relay.Dead); !dead && detour.Load() {
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
