package gateway

import (
	"context"
	"errors"
	"net"
	"time"

	"hawthornway/exchange"
)

// dialTarget opens a connection to a target, through another host if need be.
func (g *gateway) dialTarget(ctx context.Context, network, address string) (net.Conn, error) {
	return g.dialer.DialContext(ctx, network, address)
}

var errDetoured = errors.New("engine is reached through another host only")

// dialEngine opens a direct connection to an engine, for the coordinator. It learns by the
// way whether other hosts reach the engine, so that a coordinator without callers notices
// that it is cut off.
func (g *gateway) dialEngine(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := g.dialTarget(ctx, network, address)
	if _, detour := conn.(exchange.Detour); detour && err == nil {
		_ = conn.Close() // nothing was sent
		return nil, errDetoured
	}
	return conn, err
}

// detoured is called with an address of a target that is reached through another host only,
// and whether that shows that this host reaches no target directly. Idle connections from
// before would hang.
func (g *gateway) detoured(address string, cut bool) {
	if cut {
		g.balancer.EndBackoffs()
		g.targetClient.Close()
		return
	}
	g.targetClient.Forget(address)
}

// tunnelTargets tells the tunnels of other hosts about this host's targets.
type tunnelTargets struct{ gateway *gateway }

// Admits implements detour.Targets.
func (t tunnelTargets) Admits(address string) bool {
	return !t.gateway.draining.Load() && t.gateway.roster.ReadyAt(address)
}

// Noticed implements detour.Targets.
func (t tunnelTargets) Noticed(address string, leaving bool, pause time.Duration) {
	g := t.gateway
	for _, registered := range g.roster.At(address) {
		if leaving {
			g.targetLeaves(registered)
		}
		if pause > 0 {
			g.roster.Pause(registered.ID, registered.Start, pause)
		}
	}
}
