package detour

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/coder/websocket"
	"github.com/gravitational/trace"

	"hawthornway/fleet"
	"hawthornway/peer"
)

// Acceptor accepts WebSocket connections from other hosts.
type Acceptor interface {
	AcceptConn(w http.ResponseWriter, r *http.Request) (*websocket.Conn, fleet.Member, error)
}

// Targets knows this host's targets.
type Targets interface {
	// Admits reports whether requests may be sent to the target at an address now.
	Admits(address string) bool
	// Noticed records what the target at an address has said of itself to another host,
	// through this one: that it leaves, or that it wants no requests for some time.
	Noticed(address string, leaving bool, pause time.Duration)
}

// The limits of a Server.
const (
	// maxTunnels is the number of tunnels from other hosts at a time. They take a tenth of
	// the connections of a host.
	maxTunnels = 300
	// openTimeout limits the time to open a tunnel's connection, which is a round trip to the
	// target.
	openTimeout = 250 * time.Millisecond
)

// Server connects other hosts to this host's targets.
type Server struct {
	acceptor Acceptor
	targets  Targets
	dial     func(ctx context.Context, network, address string) (net.Conn, error)
	paths    *Paths
	log      *slog.Logger

	mu sync.Mutex
	// tunnels holds the open tunnels by the address of their target.
	tunnels map[string]map[*tunnel]bool
	count   int
	closed  bool
}

// tunnel is one connection of another host through this one.
type tunnel struct {
	ctx    context.Context
	cancel context.CancelFunc
	ws     *websocket.Conn
}

// NewServer returns a Server that opens connections with dial, without detours.
func NewServer(acceptor Acceptor, targets Targets, dial func(ctx context.Context, network, address string) (net.Conn, error), paths *Paths, log *slog.Logger) *Server {
	return &Server{acceptor: acceptor, targets: targets, dial: dial, paths: paths, log: log, tunnels: map[string]map[*tunnel]bool{}}
}

// ServeHTTP serves one tunnel.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ws, from, err := s.acceptor.AcceptConn(w, r)
	if err != nil {
		s.log.Debug("detour: tunnel not accepted", "from", r.RemoteAddr, "error", err)
		return
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.Context()))
	t := &tunnel{ctx, cancel, ws}
	defer t.end()
	if err := s.serve(t); err != nil {
		s.log.Debug("detour: tunnel ended", "from", from.Host, "error", err)
	}
}

// end closes the tunnel at once.
func (t *tunnel) end() {
	t.cancel()
	_ = t.ws.CloseNow() // it may be closed already
}

func (s *Server) serve(t *tunnel) error {
	address, err := t.readOpen()
	if err != nil {
		return trace.Wrap(err)
	}
	opened := wireOpened{Refusal: s.admit(address, t)}
	var conn net.Conn
	if opened.Refusal == "" {
		defer s.remove(address, t)
		if conn, err = s.open(t.ctx, address); err != nil {
			opened = wireOpened{Refusal: err.Error(), Unreachable: true}
		}
	}
	body, err := peer.Encode(opened)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := t.ws.Write(t.ctx, websocket.MessageBinary, body); err != nil || conn == nil {
		return trace.Wrap(err)
	}
	return s.copy(t, conn, address)
}

// open opens a connection to a target.
func (s *Server) open(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	return s.dial(ctx, "tcp", address)
}

// Notify tells the hosts with tunnels to the target at an address that it leaves or wants no
// requests for some time.
func (s *Server) Notify(address string, leaving bool, pause time.Duration) {
	s.mu.Lock()
	tunnels := slices.Collect(maps.Keys(s.tunnels[address]))
	s.mu.Unlock()
	for _, t := range tunnels {
		go func() {
			_ = writeNotice(t.ctx, t.ws, wireNotice{Leaving: leaving, Pause: pause.Milliseconds()}) // a broken tunnel isn't used again
		}()
	}
}

// Close ends all tunnels, and refuses further ones.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, tunnels := range s.tunnels {
		for t := range tunnels {
			t.cancel()
		}
	}
}

// readOpen reads the address to connect to.
func (t *tunnel) readOpen() (string, error) {
	ctx, cancel := context.WithTimeout(t.ctx, openTimeout)
	defer cancel()
	_, message, err := t.ws.Read(ctx)
	if err != nil {
		return "", trace.Wrap(err)
	}
	var open wireOpen
	return open.Address, trace.Wrap(peer.Decode(message, &open), "%d bytes", len(message))
}

// admit adds a tunnel, or returns why it is refused.
func (s *Server) admit(address string, t *tunnel) (refusal string) {
	cut := s.paths.CutOff()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closed:
		return "this host stops"
	case cut:
		return "this host reaches no target"
	case s.count >= maxTunnels:
		return "this host has too many tunnels"
	case !s.targets.Admits(address):
		return "no requests may be sent to a target with this address now"
	}
	if s.tunnels[address] == nil {
		s.tunnels[address] = map[*tunnel]bool{}
	}
	s.tunnels[address][t] = true
	s.count++
	return ""
}

func (s *Server) remove(address string, t *tunnel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.tunnels[address], t)
	if len(s.tunnels[address]) == 0 {
		delete(s.tunnels, address)
	}
	s.count--
}

// copy passes data on in both directions until one side ends.
func (s *Server) copy(t *tunnel, conn net.Conn, address string) error {
	ctx, ws := t.ctx, t.ws
	var sending writing
	var wg sync.WaitGroup
	defer wg.Wait()
	defer t.cancel()
	wg.Go(func() {
		<-ctx.Done()
		_ = conn.Close() // ends the copies
	})
	wg.Go(func() {
		defer t.cancel()
		_ = ws.Close(copyToHost(ctx, ws, conn, &sending), "") // a tunnel that broke has nobody to tell
	})
	for {
		_, message, err := ws.Read(ctx)
		switch {
		case err != nil:
			return trace.Wrap(err)
		case len(message) == 0:
		case message[0] == kindData:
			if err := sending.write(conn, message[1:]); err != nil {
				return trace.Wrap(err)
			}
		case message[0] == kindNotice:
			var notice wireNotice
			if err := peer.Decode(message[1:], &notice); err != nil {
				return trace.Wrap(err)
			}
			pause := time.Duration(notice.Pause) * time.Millisecond
			s.targets.Noticed(address, notice.Leaving, pause)
			s.Notify(address, notice.Leaving, pause)
		}
	}
}

// writing tells whether a target's end of a connection came while data was written to it. The kernel
// reports a reset to one call only: if that is the write, the data from the target seem to end in order.
type writing struct {
	mu     sync.Mutex
	failed bool
}

func (w *writing) write(conn net.Conn, data []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, err := conn.Write(data)
	w.failed = w.failed || err != nil
	return err
}

// cut reports whether a write is in progress or has failed.
func (w *writing) cut() bool {
	if !w.mu.TryLock() {
		return true
	}
	defer w.mu.Unlock()
	return w.failed
}

// copyToHost passes a target's data on to the other host, and returns the status that tells
// how it ended.
func copyToHost(ctx context.Context, ws *websocket.Conn, conn net.Conn, sending *writing) websocket.StatusCode {
	buffer := make([]byte, 1+chunkBytes)
	buffer[0] = kindData
	for {
		n, err := conn.Read(buffer[1:])
		if n > 0 {
			if err := ws.Write(ctx, websocket.MessageBinary, buffer[:1+n]); err != nil {
				return websocket.StatusInternalError
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && !sending.cut():
			return websocket.StatusNormalClosure
		case errors.Is(err, io.EOF), errors.Is(err, syscall.ECONNRESET):
			return statusReset
		default:
			return websocket.StatusInternalError
		}
	}
}
