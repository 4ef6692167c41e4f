package detour

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"

	"github.com/coder/websocket"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"hawthornway/fleet"
	"hawthornway/peer"
)

// Connector opens WebSocket connections to other hosts.
type Connector interface {
	DialConn(ctx context.Context, address, path string) (*websocket.Conn, fleet.Member, error)
}

// The limits of a Dialer.
const (
	// maxAsked is the number of hosts that are asked for one connection. Those that refuse
	// answer within a few milliseconds.
	maxAsked = 4
	// askTimeout limits the time to open a tunnel through one host, which takes five round
	// trips to it and one from it to the target.
	askTimeout = 200 * time.Millisecond
)

// Dialer opens connections to targets: direct ones, or through other hosts where those can't
// be opened. It is safe for concurrent use.
type Dialer struct {
	direct     func(ctx context.Context, network, address string) (net.Conn, error)
	connector  Connector
	neighbours func() []fleet.Member
	paths      *Paths
	clock      clockwork.Clock
	log        *slog.Logger
	// detoured is called with an address that is reached by a detour only, and whether that
	// shows that this host is cut off.
	detoured func(address string, cut bool)
	// admits reports whether requests to an address may pass through a host.
	admits func(address string, through fleet.Member) bool
}

// DialerOption sets an option of a Dialer.
type DialerOption func(*Dialer)

// WithAdmission sets the function that reports whether requests to an address may pass through
// a host.
func WithAdmission(admits func(address string, through fleet.Member) bool) DialerOption {
	return func(d *Dialer) { d.admits = admits }
}

// NewDialer returns a Dialer. It asks the neighbours for detours, and calls detoured with each
// address that it reaches by a detour only, and whether that shows that this host is cut off.
func NewDialer(direct func(ctx context.Context, network, address string) (net.Conn, error), connector Connector, neighbours func() []fleet.Member, paths *Paths, clock clockwork.Clock, log *slog.Logger, detoured func(address string, cut bool), opts ...DialerOption) *Dialer {
	d := &Dialer{
		direct: direct, connector: connector, neighbours: neighbours, paths: paths, clock: clock, log: log, detoured: detoured,
		admits: func(string, fleet.Member) bool { return true },
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// result is the result of trying one path.
type result struct {
	conn   net.Conn
	err    error
	detour bool
}

// DialContext opens a connection to a target. The error is that of the direct connection.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan result, 2)
	go func() {
		conn, err := d.direct(ctx, network, address)
		results <- result{conn: conn, err: err}
	}()
	pending := 1
	start := d.clock.After(d.paths.HeadStart(address))
	detour := func() {
		start = nil
		pending++
		go func() {
			conn, err := d.dialDetour(ctx, address)
			results <- result{conn: conn, err: err, detour: true}
		}()
	}
	var directErr error
	for pending > 0 {
		select {
		case <-start:
			detour()
		case r := <-results:
			pending--
			if r.err == nil {
				d.record(address, r.detour)
				cancel()
				go discard(results, pending)
				return r.conn, nil
			}
			if r.detour {
				d.log.Debug("detour: target not reached through another host", "address", address, "error", r.err)
			} else {
				directErr = r.err
				if start != nil && ctx.Err() == nil {
					detour()
				}
			}
		}
	}
	cancel()
	return nil, directErr
}

// discard closes the connections that further paths open.
func discard(results <-chan result, pending int) {
	for range pending {
		if r := <-results; r.err == nil {
			_ = r.conn.Close() // nothing was sent
		}
	}
}

// record records by which path an address was reached first.
func (d *Dialer) record(address string, detour bool) {
	if !detour {
		if d.paths.RecordDirect(address) {
			d.log.Info("detour: targets are reached directly again", "address", address)
		}
		return
	}
	cut := d.paths.RecordDetour(address)
	if cut {
		d.log.Warn("detour: no target is reached directly; others reach them", "address", address)
	}
	d.detoured(address, cut)
}

var errNoDetour = errors.New("no other host reaches the target")

// dialDetour opens a connection through one of the neighbours.
func (d *Dialer) dialDetour(ctx context.Context, address string) (net.Conn, error) {
	err := errNoDetour
	unreachable := 0
	for i, m := range d.paths.Order(d.neighbours()) {
		// Two hosts that reach the target no better than this one show that it has ended.
		if i >= maxAsked || unreachable >= cutAddresses || ctx.Err() != nil {
			break
		}
		conn, opened, askErr := d.ask(ctx, m, address)
		if askErr == nil && opened.Refusal == "" {
			return conn, nil
		}
		switch {
		case ctx.Err() != nil:
		case askErr == nil && opened.Unreachable:
			unreachable++
		default:
			d.paths.RecordRefusal(m.Host)
		}
		err = fmt.Errorf("%w: %s: %v %s", errNoDetour, m.Host, askErr, opened.Refusal)
	}
	return nil, err
}

// ask asks a host for a connection.
func (d *Dialer) ask(ctx context.Context, m fleet.Member, address string) (*Conn, wireOpened, error) {
	askCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	ws, through, err := d.connector.DialConn(askCtx, m.PeerAddress, Path)
	if err != nil {
		return nil, wireOpened{}, trace.Wrap(err)
	}
	if !d.admits(address, through) {
		_ = ws.CloseNow() // nothing was sent
		return nil, wireOpened{}, trace.AccessDenied("requests must not pass through domain %q", through.Domain)
	}
	opened, err := exchangeOpen(askCtx, ws, address)
	if err != nil || opened.Refusal != "" {
		_ = ws.CloseNow()
		return nil, opened, trace.Wrap(err)
	}
	connCtx, cancelConn := context.WithCancel(context.WithoutCancel(ctx))
	conn := &Conn{
		ws: ws, ctx: connCtx, cancel: cancelConn, closed: d.paths.Opened(through.Host), through: through, address: address,
		openedAt: d.clock.Now(), now: d.clock.Now, chunks: make(chan []byte, bufferedChunks),
	}
	go conn.receive()
	return conn, opened, nil
}

// exchangeOpen sends the request for a connection and reads the answer.
func exchangeOpen(ctx context.Context, ws *websocket.Conn, address string) (wireOpened, error) {
	body, err := peer.Encode(wireOpen{Address: address})
	if err != nil {
		return wireOpened{}, trace.Wrap(err)
	}
	if err := ws.Write(ctx, websocket.MessageBinary, body); err != nil {
		return wireOpened{}, trace.Wrap(err)
	}
	_, message, err := ws.Read(ctx)
	if err != nil {
		return wireOpened{}, trace.Wrap(err)
	}
	var opened wireOpened
	return opened, trace.Wrap(peer.Decode(message, &opened))
}
