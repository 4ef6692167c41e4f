// Package link stands for the network between failure domains. Its relays carry
// the connections to hosts, targets and the platform, and hold them still while
// a domain is cut off, as packets that are lost and sent again would.
package link

import (
	"context"
	"io"
	"net"
	"sync"

	"github.com/gravitational/trace"

	"hawthornway/fleet"
)

// copyBytes is the size of a relay's buffer.
const copyBytes = 32 << 10

// Source tells the failure domain of a connection's dialler, or "" if it stands
// in none.
type Source func(remote net.Addr) fleet.DomainID

// Network is a set of relays.
type Network struct {
	source Source

	mu       sync.Mutex
	cut      fleet.DomainID
	restored chan struct{}
}

// NewNetwork returns a new Network without relays. Source tells where a
// connection comes from.
func NewNetwork(source Source) *Network {
	n := &Network{source: source, restored: make(chan struct{})}
	close(n.restored)
	return n
}

// Cut cuts a domain off from all others and from what stands in none. Callers
// are not held, since their connections go through no relay.
func (n *Network) Cut(domain fleet.DomainID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = domain
	n.restored = make(chan struct{})
}

// Heal ends the cut.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut != "" {
		n.cut = ""
		close(n.restored)
	}
}

// await waits while the domains are cut off from each other.
func (n *Network) await(ctx context.Context, from, to fleet.DomainID) error {
	n.mu.Lock()
	blocked := n.cut != "" && (n.cut == from) != (n.cut == to)
	restored := n.restored
	n.mu.Unlock()
	if !blocked {
		return ctx.Err()
	}
	select {
	case <-restored:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Relay listens on an address and carries each connection to another address,
// which stands in a domain, until the context ends. It returns the address bound.
func (n *Network) Relay(ctx context.Context, listen, to string, domain fleet.DomainID) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", listen)
	if err != nil {
		return "", trace.Wrap(err)
	}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return // the listener was closed
			}
			go n.forward(ctx, client, to, domain)
		}
	}()
	return listener.Addr().String(), nil
}

// carry copies both ways until one end closes.
func (n *Network) forward(ctx context.Context, client net.Conn, to string, domain fleet.DomainID) {
	defer client.Close()
	from := n.source(client.RemoteAddr())
	if n.await(ctx, from, domain) != nil {
		return
	}
	server, err := (&net.Dialer{}).DialContext(ctx, "tcp", to)
	if err != nil {
		return
	}
	defer server.Close()
	stop := context.AfterFunc(ctx, func() {
		_ = client.Close()
		_ = server.Close()
	})
	defer stop()
	done := make(chan struct{}, 2)
	forward := func(dst, src net.Conn) {
		n.copy(ctx, dst, src, from, domain)
		done <- struct{}{}
	}
	go forward(server, client)
	go forward(client, server)
	<-done
}

// copy passes on what one end sends, but nothing while the domains are cut off.
// The end of a connection is not passed on meanwhile either.
func (n *Network) copy(ctx context.Context, dst io.Writer, src io.Reader, from, to fleet.DomainID) {
	buffer := make([]byte, copyBytes)
	for {
		count, err := src.Read(buffer)
		if n.await(ctx, from, to) != nil {
			return
		}
		if _, writeErr := dst.Write(buffer[:count]); writeErr != nil || err != nil {
			return
		}
	}
}
