package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// mode is how a proxy treats what passes it.
type mode int

const (
	modePass mode = iota
	// modeSilent carries nothing and ends nothing.
	modeSilent
	// modeDelay carries everything late.
	modeDelay
	// modeReset resets connections, old and new.
	modeReset
	// modeOneWay carries what goes to the server, and no answers.
	modeOneWay
)

// String names the mode in reports.
func (m mode) String() string {
	return [...]string{"passes", "silent", "late", "reset", "one way"}[m]
}

// delayTime is the delay of modeDelay.
const delayTime = 200 * time.Millisecond

// proxy is a loopback proxy that harms what passes it.
type proxy struct {
	listener net.Listener
	upstream string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, upstream: to, conns: map[net.Conn]bool{}}
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

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

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it, the close is an orderly one
	}
	_ = conn.Close() // it may be closed already
}

func (p *proxy) close() {
	_ = p.listener.Close() // the soak ends
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		_ = conn.Close() // the soak ends
	}
}

func (p *proxy) serve() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

func (p *proxy) forward(client net.Conn) {
	server, err := net.Dial("tcp", p.upstream)
	if err != nil || p.currentMode() == modeReset {
		reset(client)
		return
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

// copy carries one direction. Bytes that are held are lost with their
// connection, as behind a partition.
func (p *proxy) copy(to, from net.Conn, fromServer bool) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if p.awaitOpen(fromServer) && wasReset(from) {
				reset(to)
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				reset(to)
			}
			return
		}
	}
}

// holdPollInterval is the time between two looks whether a silence has ended.
const holdPollInterval = 20 * time.Millisecond

// hold waits while nothing passes, and reports whether it has waited.
func (p *proxy) awaitOpen(fromServer bool) (held bool) {
	for {
		switch m := p.currentMode(); {
		case m == modeSilent, m == modeOneWay && fromServer:
			held = true
			time.Sleep(holdPollInterval)
		case m == modeDelay:
			time.Sleep(delayTime)
			return held
		default:
			return held
		}
	}
}

// wasReset reports whether the sender has reset its connection. An orderly end comes
// after what it sent.
func wasReset(from net.Conn) bool {
	raw, err := from.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	socketErr := 0
	err = raw.Control(func(fd uintptr) {
		socketErr, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
	})
	return err != nil || socketErr != 0
}
