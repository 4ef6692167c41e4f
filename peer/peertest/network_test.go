package peertest

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/fleet"
	"hawthornway/peer"
)

type text struct {
	Value string `cbor:"value"`
}

func TestNetworkFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault func(*Network)
		err   error
	}{
		{"none", func(*Network) {}, nil},
		{"cut", func(n *Network) { n.Cut("a", "b") }, peer.ErrUnanswered},
		{"request lost", func(n *Network) { n.CutOneWay("a", "b") }, peer.ErrUnanswered},
		{"response lost", func(n *Network) { n.CutOneWay("b", "a") }, peer.ErrUnanswered},
		{"silent link", func(n *Network) { n.Silence("a", "b") }, peer.ErrUnanswered},
		{"paused", func(n *Network) { n.Pause("b") }, peer.ErrUnanswered},
		{"killed", func(n *Network) { n.Kill("b") }, peer.ErrNotSent},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network, a := newPair()
				c.fault(network)
				var got text
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				err := a.Call(ctx, "b", "echo", text{"x"}, &got)
				if c.err == nil {
					must.NoError(t, err)
					must.Eq(t, "x", got.Value)
					return
				}
				must.ErrorIs(t, err, c.err)
			})
		})
	}
}

func TestSilentLinkIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, a := newPair()
		network.Silence("a", "b")
		must.Len(t, 1, a.Peers())
		<-time.After(silenceTimeout)
		must.Len(t, 0, a.Peers())
		<-time.After(redialDelay)
		must.Len(t, 1, a.Peers())
	})
}

// newPair returns a network of hosts a and b, and the mesh of a. Host b handles the
// kind echo.
func newPair() (*Network, *Mesh) {
	network := NewNetwork(1)
	network.SetDelay(time.Millisecond, 2*time.Millisecond)
	a := network.Join(fleet.Member{Host: "a", Domain: "d"})
	b := network.Join(fleet.Member{Host: "b", Domain: "d"})
	b.Handle("echo", func(_ context.Context, _ fleet.Member, body []byte) (any, error) {
		var request text
		err := peer.Decode(body, &request)
		return request, err
	})
	return network, a
}
