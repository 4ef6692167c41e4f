package gateway

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"hawthornway/exchange"
	"hawthornway/platform"
	"hawthornway/relay"
	"hawthornway/roster"
	"hawthornway/target"
)

// prober checks whether silent targets are alive, over connections of its own. Requests that wait
// for the same target at the same time share a probe.
type prober struct {
	dial    DialFunc
	engines platform.Engines

	mu     sync.Mutex
	probes map[startedTarget]*sharedProbe
}

// startedTarget is one start of a target.
type startedTarget struct {
	id    target.ID
	start roster.StartID
}

// sharedProbe is a probe in progress. Its liveness is set once it is done.
type sharedProbe struct {
	done     chan struct{}
	liveness relay.Liveness
}

// newProber returns a prober that opens connections with dial.
func newProber(dial DialFunc, opts ...platform.EnginesOption) *prober {
	p := &prober{dial: dial, probes: map[startedTarget]*sharedProbe{}}
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
	key := startedTarget{t.ID, t.Start}
	p.mu.Lock()
	shared, running := p.probes[key]
	if !running {
		shared = &sharedProbe{done: make(chan struct{})}
		p.probes[key] = shared
	}
	p.mu.Unlock()
	if !running {
		// The probe serves other requests too, and doesn't end with this one.
		go p.run(ctx, key, t, shared)
	}
	<-shared.done
	return shared.liveness
}

// run probes a target for all requests that share the probe.
func (p *prober) run(ctx context.Context, key startedTarget, t roster.Target, shared *sharedProbe) {
	defer func() {
		p.mu.Lock()
		delete(p.probes, key)
		p.mu.Unlock()
		close(shared.done)
	}()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), relay.ProbeTimeout)
	defer cancel()
	shared.liveness = p.probeNoting(ctx, t)
}

// probeNoting probes a target, and tells how it was reached.
func (p *prober) probeNoting(ctx context.Context, t roster.Target) relay.Liveness {
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
