package peer

import (
	"context"
	"time"

	"github.com/coder/websocket"
	"github.com/gravitational/trace"

	"hawthornway/fleet"
)

// dial is an attempt to open a link, which several callers may wait for.
type dial struct {
	done chan struct{}
	link *link
	err  error
}

// dialBackoff spaces the attempts to reach one address.
type dialBackoff struct {
	delay     time.Duration
	notBefore time.Time
}

// SetPeers replaces the members that links are kept to: all of this host's own
// domain, and a few of each other domain. A member without a host is an address
// to dial first.
func (l *Links) SetPeers(members []fleet.Member) {
	wanted := chooseLinks(l.self, members)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = members
	l.desired = wanted
	l.pruneBackoffs()
	l.wakeRun()
}

// pruneBackoffs forgets the addresses that are no longer wanted.
func (l *Links) pruneBackoffs() {
	wanted := map[string]bool{}
	for _, m := range l.desired {
		wanted[m.PeerAddress] = true
	}
	for address := range l.backoffs {
		if !wanted[address] {
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

// dialMissing starts a dial to each wanted member without a link.
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

// hasLink reports whether a member, or an address whose host isn't known yet,
// has a link.
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

// nextDialAt returns when a member may be dialled. The host last in order lets
// the other one dial first.
func (l *Links) nextDialAt(m fleet.Member) time.Time {
	r, known := l.backoffs[m.PeerAddress]
	if known || m.Host == "" || l.self.Host < m.Host {
		return r.notBefore
	}
	r = dialBackoff{notBefore: l.clock.Now().Add(heartbeatInterval)}
	l.backoffs[m.PeerAddress] = r
	return r.notBefore
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
	wait := min(max(2*l.backoffs[address].delay, heartbeatInterval), maxRedialDelay)
	l.backoffs[address] = dialBackoff{delay: wait, notBefore: l.clock.Now().Add(wait)}
	l.log.Debug("peer: dial failed", "address", address, "error", d.err)
}

func (l *Links) open(address string) (*link, error) {
	ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	defer cancel()
	conn, _, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{
		HTTPClient:      l.client,
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	conn.SetReadLimit(maxFrameBytes)
	member, err := handshake{conn, l.self, l.secret}.dial(ctx)
	if err == nil {
		var ln *link
		if ln, err = l.addLink(newLink(l, conn, member, true)); err == nil {
			return ln, nil
		}
	}
	_ = conn.CloseNow()
	return nil, trace.Wrap(err)
}

// linkTo returns the link to a host, and dials a known member without one.
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
