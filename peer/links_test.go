package peer

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/fleet"
)

var (
	hostA = fleet.Member{Host: "a", Domain: "d", Incarnation: 1, PeerAddress: "10.0.0.1:7000"}
	hostB = fleet.Member{Host: "b", Domain: "d", Incarnation: 1, PeerAddress: "10.0.0.2:7000"}
)

func registerHandlers(l *Links) {
	l.Handle("echo", func(_ context.Context, _ fleet.Member, body []byte) (any, error) {
		var text string
		err := Decode(body, &text)
		return text, err
	})
	l.Handle("slow", func(context.Context, fleet.Member, []byte) (any, error) {
		<-time.After(8 * time.Second)
		return "late", nil
	})
	l.Handle("refuse", func(context.Context, fleet.Member, []byte) (any, error) {
		return nil, errors.New("not today")
	})
}

// withLinkedPair runs a test in virtual time with two linked hosts.
func withLinkedPair(t *testing.T, test func(t *testing.T, network *testNetwork, a, b *Links)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := newTestNetwork()
		a := network.host(t, hostA, "secret", registerHandlers)
		b := network.host(t, hostB, "secret", registerHandlers)
		a.SetPeers([]fleet.Member{hostA, hostB})
		b.SetPeers([]fleet.Member{hostA, hostB})
		synctest.Wait()
		must.Len(t, 1, a.Peers())
		must.Len(t, 1, b.Peers())
		test(t, network, a, b)
	})
}

func TestCallEnds(t *testing.T) {
	cases := []struct {
		name  string
		kind  Kind
		fault func(*testNetwork)
		check func(*testing.T, string, error)
	}{
		{"answered", "echo", func(*testNetwork) {}, func(t *testing.T, text string, err error) {
			must.NoError(t, err)
			must.Eq(t, "hello", text)
		}},
		{"refused", "refuse", func(*testNetwork) {}, func(t *testing.T, _ string, err error) {
			var remote *RemoteError
			must.True(t, errors.As(err, &remote))
			must.Eq(t, "not today", remote.Message)
		}},
		{"unknown kind", "nothing", func(*testNetwork) {}, func(t *testing.T, _ string, err error) {
			var remote *RemoteError
			must.True(t, errors.As(err, &remote))
		}},
		{"deadline", "slow", func(*testNetwork) {}, func(t *testing.T, _ string, err error) {
			must.ErrorIs(t, err, ErrUnanswered)
		}},
		{"silent link", "echo", (*testNetwork).dropWrites, func(t *testing.T, _ string, err error) {
			must.ErrorIs(t, err, ErrUnanswered)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withLinkedPair(t, func(t *testing.T, network *testNetwork, a, _ *Links) {
				c.fault(network)
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				var text string
				err := a.Call(ctx, "b", c.kind, "hello", &text)
				c.check(t, text, err)
			})
		})
	}
}

func TestLateResponseIsDroppedAndCounted(t *testing.T) {
	withLinkedPair(t, func(t *testing.T, _ *testNetwork, a, _ *Links) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		must.ErrorIs(t, a.Call(ctx, "b", "slow", "", nil), ErrUnanswered)
		<-time.After(10 * time.Second)
		must.Eq(t, 1, a.Counts().UnmatchedResponses)
	})
}

func TestCallToUnknownHostIsNotSent(t *testing.T) {
	withLinkedPair(t, func(t *testing.T, _ *testNetwork, a, _ *Links) {
		must.ErrorIs(t, a.Call(t.Context(), "z", "echo", "", nil), ErrNotSent)
		must.ErrorIs(t, a.Notify("z", "echo", ""), ErrNotSent)
	})
}

func TestSilentLinkIsRedialled(t *testing.T) {
	withLinkedPair(t, func(t *testing.T, network *testNetwork, a, b *Links) {
		network.dropWrites()
		<-time.After(silenceTimeout + 2*heartbeatInterval)
		var text string
		must.NoError(t, a.Call(t.Context(), "b", "echo", "x", &text))
		must.NoError(t, b.Call(t.Context(), "a", "echo", "x", &text))
	})
}

func TestPartitionClosesLinkUntilHealed(t *testing.T) {
	withLinkedPair(t, func(t *testing.T, network *testNetwork, a, b *Links) {
		network.setRefuse(true)
		network.dropWrites()
		<-time.After(silenceTimeout + heartbeatInterval)
		must.Len(t, 0, a.Peers())
		must.Len(t, 0, b.Peers())
		must.ErrorIs(t, a.Call(t.Context(), "b", "echo", "x", nil), ErrNotSent)
		network.setRefuse(false)
		<-time.After(maxRedialDelay + heartbeatInterval)
		must.Len(t, 1, a.Peers())
		must.Len(t, 1, b.Peers())
	})
}

func TestNewerIncarnationReplacesOlder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newTestNetwork()
		a := network.host(t, hostA, "secret", registerHandlers)
		older, newer := hostB, hostB
		newer.Incarnation = 2
		newer.PeerAddress = "10.0.0.3:7000"
		for _, b := range []fleet.Member{newer, older} {
			links := network.host(t, b, "secret", registerHandlers)
			links.SetPeers([]fleet.Member{hostA})
			<-time.After(2 * heartbeatInterval)
			must.Len(t, 1, a.Peers())
			must.Eq(t, newer.Incarnation, a.Peers()[0].Incarnation)
		}
	})
}

func TestHandshakeRefuses(t *testing.T) {
	cases := []struct {
		name   string
		self   fleet.Member
		secret string
	}{
		{"another secret", hostB, "other"},
		{"no secret", hostB, ""},
		{"no host", fleet.Member{PeerAddress: "10.0.0.2:7000"}, "secret"},
		{"own name", fleet.Member{Host: "a", Domain: "d", PeerAddress: "10.0.0.2:7000"}, "secret"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := newTestNetwork()
				a := network.host(t, hostA, "secret", registerHandlers)
				b := network.host(t, c.self, c.secret, registerHandlers)
				b.SetPeers([]fleet.Member{{PeerAddress: hostA.PeerAddress}})
				<-time.After(2 * heartbeatInterval)
				must.Len(t, 0, a.Peers())
				must.Len(t, 0, b.Peers())
			})
		})
	}
}

func TestCallDialsOnDemandAndClosesIdleLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newTestNetwork()
		members := []fleet.Member{hostA}
		for _, host := range []fleet.HostID{"x", "y", "z"} {
			m := fleet.Member{Host: host, Domain: "e", PeerAddress: string(host) + ":7000"}
			members = append(members, m)
			network.host(t, m, "secret", registerHandlers)
		}
		a := network.host(t, hostA, "secret", registerHandlers)
		a.SetPeers(members)
		synctest.Wait()
		must.Len(t, linksPerDomain, a.Peers())
		for _, m := range members[1:] {
			must.NoError(t, a.Call(t.Context(), m.Host, "echo", "x", nil))
		}
		must.Len(t, 3, a.Peers())
		<-time.After(idleTimeout + 2*heartbeatInterval)
		must.Len(t, linksPerDomain, a.Peers())
	})
}

func TestNoticesKeepTheirOrder(t *testing.T) {
	withLinkedPair(t, func(t *testing.T, _ *testNetwork, a, b *Links) {
		var got []int
		b.Handle("count", func(_ context.Context, _ fleet.Member, body []byte) (any, error) {
			var n int
			err := Decode(body, &n)
			got = append(got, n)
			return nil, err
		})
		for n := range 100 {
			must.NoError(t, a.Notify("b", "count", n))
		}
		synctest.Wait()
		must.Len(t, 100, got)
		for n := range got {
			must.Eq(t, n, got[n])
		}
	})
}

func TestFullQueueRefusesWithNotSent(t *testing.T) {
	withLinkedPair(t, func(t *testing.T, _ *testNetwork, a, _ *Links) {
		ln := a.link("b")
		ln.mu.Lock()
		for range maxQueuedFrames {
			ln.queue = append(ln.queue, outgoing{call: &call{abandoned: true}})
		}
		ln.mu.Unlock()
		must.ErrorIs(t, a.Notify("b", "echo", "x"), ErrNotSent)
		must.ErrorIs(t, a.Call(t.Context(), "b", "echo", "x", nil), ErrNotSent)
	})
}

func TestAdjacentVersionsAreCompatible(t *testing.T) {
	cases := []struct {
		mine, theirs protocolVersion
		compatible   bool
	}{
		{1, 1, true},
		{1, 2, true},
		{2, 1, true},
		{3, 1, false},
		{1, 3, false},
		{0, 1, true},
	}
	for _, c := range cases {
		must.Eq(t, c.compatible, c.mine.isCompatible(c.theirs), must.Sprintf("%d and %d", c.mine, c.theirs))
	}
}
