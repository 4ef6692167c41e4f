package soak

import (
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// mode determines how a proxy treats its connections.
type mode int

const (
	modePass mode = iota
	// modeSilent forwards nothing and closes no connections.
	modeSilent
	// modeDelay forwards everything with a delay.
	modeDelay
	// modeReset resets existing and new connections.
	modeReset
	// modeOneWay forwards requests to the server but no responses.
	modeOneWay
)

// String returns the name of the mode in reports.
func (m mode) String() string {
	return [...]string{"passes", "silent", "late", "reset", "one way"}[m]
}

// bufferBytes is the size of the buffers of connections, so that long requests don't fit into them.
const bufferBytes = 64 << 10

// proxyDelay is the delay of modeDelay.
const proxyDelay = 200 * time.Millisecond

// proxy is a TCP proxy on a loopback address that injects network faults.
type proxy struct {
	address  string
	upstream string

	mu       sync.Mutex
	listener net.Listener // nil while connections are refused
	closed   bool
	mode     mode
	conns    map[net.Conn]bool
	// accepts are the times at which connections were accepted.
	accepts []time.Time
}

func newProxy(upstream string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: l.Addr().String(), upstream: upstream, listener: l, conns: map[net.Conn]bool{}}
	go p.serve(l)
	return p, nil
}

// refuse makes the proxy refuse connections, or take them again.
func (p *proxy) refuse(refuse bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed || refuse == (p.listener == nil):
		return nil
	case refuse:
		l := p.listener
		p.listener = nil
		return l.Close()
	}
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.listener = l
	go p.serve(l)
	return nil
}

func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != modeReset {
		return
	}
	for conn := range p.conns {
		reset(conn)
	}
}

// accepted returns the times at which connections were accepted.
func (p *proxy) accepted() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.accepts)
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // makes Close send RST instead of FIN
	}
	_ = conn.Close() // the connection may be closed already
}

func (p *proxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.listener != nil {
		_ = p.listener.Close() // its error does not matter at the end of a soak
	}
	for conn := range p.conns {
		_ = conn.Close() // likewise
	}
}

func (p *proxy) serve(l net.Listener) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.accepts = append(p.accepts, time.Now())
		p.mu.Unlock()
		go p.forward(client)
	}
}

func (p *proxy) forward(client net.Conn) {
	server, err := net.Dial("tcp", p.upstream)
	if err != nil || p.currentMode() == modeReset {
		reset(client)
		return
	}
	for _, conn := range []net.Conn{client, server} {
		tcp := conn.(*net.TCPConn)
		_ = tcp.SetReadBuffer(bufferBytes) // a hint to the kernel
		_ = tcp.SetWriteBuffer(bufferBytes)
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.copy(server, client, false) })
	directions.Go(func() { p.copy(client, server, true) })
	directions.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// copy forwards one direction. Bytes that it holds back are lost if the sender
// resets the connection in the meantime, as in a network partition.
func (p *proxy) copy(destination, source net.Conn, fromServer bool) {
	defer destination.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := source.Read(buffer)
		if n > 0 {
			if p.awaitOpen(fromServer) && wasReset(source) {
				reset(destination)
				return
			}
			if _, err := destination.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				reset(destination)
			}
			return
		}
	}
}

// pausePollInterval is the interval at which a paused connection polls the mode.
const pausePollInterval = 20 * time.Millisecond

// awaitOpen waits while the mode blocks the direction, and reports whether it did.
// In modeDelay it waits for the delay.
func (p *proxy) awaitOpen(fromServer bool) (paused bool) {
	for {
		switch m := p.currentMode(); {
		case m == modeSilent, m == modeOneWay && fromServer:
			paused = true
			time.Sleep(pausePollInterval)
		case m == modeDelay:
			time.Sleep(proxyDelay)
			return paused
		default:
			return paused
		}
	}
}

// wasReset reports whether the sender has reset its connection. After an orderly
// close, the bytes sent before are still forwarded.
func wasReset(source net.Conn) bool {
	raw, err := source.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	socketErr := 0
	err = raw.Control(func(fd uintptr) {
		socketErr, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
	})
	return err != nil || socketErr != 0
}
