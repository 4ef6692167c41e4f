package peer

import (
	"context"
	"time"

	"github.com/coder/websocket"
	"github.com/gravitational/trace"

	"hawthornway/fleet"
)

// dial is an attempt to open a link. Several callers may wait for it.
type dial struct {
	done chan struct{}
	link *link
	err  error
}

// dialBackoff is the retry state of one address.
type dialBackoff struct {
	delay     time.Duration
	notBefore time.Time
}

// SetPeers replaces the known members. Links are kept to all members of this
// host's own domain and a few of each other domain. A member without a host is a
// seed address whose host is learnt by dialling it.
func (l *Links) SetPeers(members []fleet.Member) {
	desired := chooseLinks(l.self, members)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = members
	l.desired = desired
	l.pruneBackoffs()
	l.wakeRun()
}

// pruneBackoffs removes the backoffs of addresses to which no link is kept.
func (l *Links) pruneBackoffs() {
	desired := map[string]bool{}
	for _, m := range l.desired {
		desired[m.PeerAddress] = true
	}
	for address := range l.backoffs {
		if !desired[address] {
			delete(l.backoffs, address)
		}
	}
}

// isDesired reports whether a link to the host is kept.
func (l *Links) isDesired(host fleet.HostID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.desired {
		if m.Host == host {
			return true
		}
	}
	return false
}

// dialMissing starts a dial to each desired member without a link.
func (l *Links) dialMissing() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, m := range l.desired {
		if l.hasLink(m) || l.dials[m.PeerAddress] != nil {
			continue
		}
		if now.Before(l.nextDialAt(m)) {
			continue
		}
		l.startDial(m.PeerAddress)
	}
}

// hasLink reports whether there is a link to a member, or to its address if its
// host isn't known yet.
func (l *Links) hasLink(m fleet.Member) bool {
	if m.Host != "" {
		return l.links[m.Host] != nil
	}
	for _, ln := range l.links {
		if ln.peer.PeerAddress == m.PeerAddress {
			return true
		}
	}
	return false
}

// nextDialAt returns the earliest time of the next dial to a member. Of two hosts,
// the one with the higher ID first waits for heartbeatInterval, so that they don't
// dial each other at once.
func (l *Links) nextDialAt(m fleet.Member) time.Time {
	backoff, known := l.backoffs[m.PeerAddress]
	if known || m.Host == "" || l.self.Host < m.Host {
		return backoff.notBefore
	}
	backoff = dialBackoff{notBefore: l.clock.Now().Add(heartbeatInterval)}
	l.backoffs[m.PeerAddress] = backoff
	return backoff.notBefore
}

func (l *Links) startDial(address string) *dial {
	d := &dial{done: make(chan struct{})}
	l.dials[address] = d
	go l.runDial(address, d)
	return d
}

func (l *Links) runDial(address string, d *dial) {
	defer close(d.done)
	d.link, d.err = l.open(address)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.dials, address)
	if d.err == nil {
		delete(l.backoffs, address)
		return
	}
	delay := min(max(2*l.backoffs[address].delay, heartbeatInterval), maxRedialDelay)
	l.backoffs[address] = dialBackoff{delay: delay, notBefore: l.clock.Now().Add(delay)}
	l.log.Debug("peer: dial failed", "address", address, "error", d.err)
}

func (l *Links) open(address string) (*link, error) {
	conn, member, err := l.DialConn(l.ctx, address, Path)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	ln, err := l.addLink(newLink(l, conn, member, true))
	if err != nil {
		_ = conn.CloseNow()
		return nil, trace.Wrap(err)
	}
	return ln, nil
}

// DialConn opens a WebSocket connection to the host at a peer address, which accepts it at
// the given path with AcceptConn.
func (l *Links) DialConn(ctx context.Context, address, path string) (*websocket.Conn, fleet.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, _, err := websocket.Dial(ctx, "ws://"+address+path, &websocket.DialOptions{
		HTTPClient:      l.client,
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, fleet.Member{}, trace.Wrap(err)
	}
	conn.SetReadLimit(maxFrameBytes)
	member, err := handshake{conn, l.self, l.secret}.dial(ctx)
	if err != nil {
		_ = conn.CloseNow()
		return nil, fleet.Member{}, trace.Wrap(err)
	}
	return conn, member, nil
}

// linkTo returns the link to a host. It dials the host if there is none.
func (l *Links) linkTo(ctx context.Context, host fleet.HostID) (*link, error) {
	l.mu.Lock()
	if ln := l.links[host]; ln != nil {
		l.mu.Unlock()
		return ln, nil
	}
	address := l.addressOf(host)
	if address == "" {
		l.mu.Unlock()
		return nil, trace.NotFound("address of host %q is unknown", host)
	}
	d := l.dials[address]
	if d == nil {
		d = l.startDial(address)
	}
	l.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, trace.Wrap(ctx.Err())
	case <-d.done:
	}
	if ln := l.link(host); ln != nil {
		return ln, nil
	}
	return nil, trace.ConnectionProblem(d.err, "host %q has no link", host)
}

func (l *Links) addressOf(host fleet.HostID) string {
	for _, m := range l.members {
		if m.Host == host {
			return m.PeerAddress
		}
	}
	return ""
}
