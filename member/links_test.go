package member

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/peer"
	"hawthornway/standin/kvstore"
)

// startOverLinks starts a controller over real links on a loopback address.
func startOverLinks(t *testing.T, store keyvalue.Store, host fleet.HostID) *Controller {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	self := fleet.Member{Host: host, Domain: domainA, Incarnation: 1, PeerAddress: listener.Addr().String()}
	log := slog.New(slog.DiscardHandler)
	links := peer.New(peer.WithSelf(self), peer.WithSecret([]byte("secret")), peer.WithLogger(log))
	controller := New(WithSelf(self), WithStore(store), WithLinks(links), WithLogger(log))
	mux := http.NewServeMux()
	mux.Handle(peer.Path, links)
	server := &http.Server{Handler: mux}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(listener) })
	running.Go(func() { _ = links.Run(ctx) })
	running.Go(func() { _ = controller.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = server.Close()
		running.Wait()
	})
	return controller
}

// awaitChange waits until a condition holds, woken by the controller's changes.
func awaitChange(t *testing.T, c *Controller, condition func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for {
		changed := c.Changed()
		if condition() {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			t.Fatal("condition doesn't hold in time")
		}
	}
}

func TestControllersJoinAndLeaveOverRealLinks(t *testing.T) {
	store := kvstore.New()
	first := startOverLinks(t, store, "h1")
	awaitChange(t, first, func() bool { return len(first.Members(domainA)) == 1 })
	second := startOverLinks(t, store, "h2")
	held := func(c *Controller) int {
		n := 0
		for shard := range Shard(Shards) {
			if _, ok := c.Lease(shard, false); ok {
				n++
			}
		}
		return n
	}
	awaitChange(t, second, func() bool { return held(second) == Shards/2 })
	must.NoError(t, first.Leave(t.Context()))
	awaitChange(t, second, func() bool { return held(second) == Shards })
}
