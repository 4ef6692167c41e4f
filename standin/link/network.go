// Package link simulates the network between failure domains. Its relays forward
// the connections to hosts, targets and the platform. While a domain is cut off
// they pause its connections instead of closing them, as packet loss with
// retransmission would.
package link

import (
	"context"
	"io"
	"net"
	"sync"

	"github.com/gravitational/trace"

	"hawthornway/fleet"
)

// copyBufferBytes is the buffer size for each direction of a connection.
const copyBufferBytes = 32 << 10

// Source returns the failure domain of the process that opened a connection, or
// "" if it belongs to none.
type Source func(remote net.Addr) fleet.DomainID

// Network is a set of relays.
type Network struct {
	source Source

	mu       sync.Mutex
	cut      fleet.DomainID
	restored chan struct{}
}

// NewNetwork returns a Network without relays. source determines the failure
// domains of the clients.
func NewNetwork(source Source) *Network {
	n := &Network{source: source, restored: make(chan struct{})}
	close(n.restored)
	return n
}

// Cut cuts a domain off from all other domains and from processes outside of any
// domain, and ends an earlier cut. Callers are not affected, since their connections
// use no relay.
func (n *Network) Cut(domain fleet.DomainID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut != "" {
		close(n.restored)
	}
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

// await waits while the two domains are cut off from each other.
func (n *Network) await(ctx context.Context, from, to fleet.DomainID) error {
	for {
		n.mu.Lock()
		blocked := n.cut != "" && (n.cut == from) != (n.cut == to)
		restored := n.restored
		n.mu.Unlock()
		if !blocked {
			return ctx.Err()
		}
		select {
		case <-restored: // another cut may have replaced this one
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Relay listens on an address and forwards each connection to another address,
// which belongs to a domain, until the context ends. It returns the bound
// address.
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

// forward copies in both directions until one end closes the connection.
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
	copyDirection := func(dst, src net.Conn) {
		n.copy(ctx, dst, src, from, domain)
		done <- struct{}{}
	}
	go copyDirection(server, client)
	go copyDirection(client, server)
	<-done
}

// copy forwards one direction of a connection. While the domains are cut off from
// each other it forwards nothing, not even the end of the connection.
func (n *Network) copy(ctx context.Context, dst io.Writer, src io.Reader, from, to fleet.DomainID) {
	buffer := make([]byte, copyBufferBytes)
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
