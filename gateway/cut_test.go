package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/gateway"
	"hawthornway/platform/platformtest"
	"hawthornway/tcp"
)

// cutKind is what becomes of a host's connections to targets.
type cutKind int32

const (
	uncut cutKind = iota
	// hanging means that nothing arrives, on old connections and new ones.
	hanging
	// resetting means that all connections are reset.
	resetting
	// refusing means that new connections are refused, and that old ones go on.
	refusing
)

// targetNetwork is a host's network to its targets.
type targetNetwork struct {
	kind  atomic.Int32
	mu    sync.Mutex
	conns []net.Conn
	// healed is closed when a cut ends.
	healed chan struct{}
}

func newTargetNetwork() *targetNetwork { return &targetNetwork{healed: make(chan struct{})} }

func (n *targetNetwork) cut(kind cutKind) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.kind.Store(int32(kind))
	switch kind {
	case resetting:
		for _, c := range n.conns {
			_ = c.Close() // resets it
		}
	case uncut:
		close(n.healed)
		n.healed = make(chan struct{})
	}
}

func (n *targetNetwork) dial(ctx context.Context, network, address string) (net.Conn, error) {
	switch cutKind(n.kind.Load()) {
	case hanging:
		ctx, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
		defer cancel()
		<-ctx.Done()
		return nil, os.ErrDeadlineExceeded
	case resetting, refusing:
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	conn, err := tcp.Dialer{Timeout: time.Second}.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, conn)
	return &cutConn{Conn: conn, network: n, closed: make(chan struct{})}, nil
}

// cutConn is a connection that hangs while its network does.
type cutConn struct {
	net.Conn
	network *targetNetwork
	once    sync.Once
	closed  chan struct{}
}

var errClosed = errors.New("use of closed network connection")

func (c *cutConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// wait blocks while the network hangs.
func (c *cutConn) wait() error {
	for cutKind(c.network.kind.Load()) == hanging {
		c.network.mu.Lock()
		healed := c.network.healed
		c.network.mu.Unlock()
		select {
		case <-c.closed:
			return errClosed
		case <-healed:
		}
	}
	return nil
}

func (c *cutConn) Read(p []byte) (int, error) {
	if err := c.wait(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if waitErr := c.wait(); waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

func (c *cutConn) Write(p []byte) (int, error) {
	if err := c.wait(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// newCutFleet returns a fleet whose hosts' links to the targets can be cut one by one.
func newCutFleet(t *testing.T, hosts int) (*fleet, []*targetNetwork) {
	t.Helper()
	f := newFleet(t, config(1), 0)
	networks := make([]*targetNetwork, hosts)
	for i := range networks {
		networks[i] = newTargetNetwork()
		h := f.launch(fmt.Sprintf("host-%d", i), true, gateway.WithTargetDial(networks[i].dial))
		f.hosts = append(f.hosts, h)
		f.waitUntil("ready", h.ready)
	}
	for i := range hosts {
		for _, model := range []string{"", "m0", "m2"} {
			f.waitUntil("served", func() bool { return f.call(f.hosts[i], "secret", model).status == http.StatusOK })
		}
	}
	return f, networks
}

// Guards against callers who are served worse because of the host that they were sent to: a
// host that reaches no target has other hosts reach them.
func TestHostsCutFromAllTargetsServeTheirCallers(t *testing.T) {
	const requests = 60
	cases := []struct {
		name string
		kind cutKind
		// cut are the hosts that are cut.
		cut []int
	}{
		{"connections hang", hanging, []int{1}},
		{"connections are reset", resetting, []int{1}},
		{"only new connections are refused", refusing, []int{1}},
		{"all but one host", hanging, []int{0, 1}},
		{"all but the first", hanging, []int{1, 2}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f, networks := newCutFleet(t, 3)
			cutOff := map[int]bool{}
			for _, i := range tc.cut {
				networks[i].cut(tc.kind)
				cutOff[i] = true
			}
			var wg sync.WaitGroup
			var served, sent [2]atomic.Int64
			begun := time.Now()
			send := func(i int, timeout time.Duration, model string) {
				side := 0
				if cutOff[i%3] {
					side = 1
				}
				wg.Go(func() {
					start := time.Now()
					got := f.send(f.hosts[i%3], platformtest.Call{Key: "secret", Model: model, Timeout: timeout})
					sent[side].Add(1)
					if got.err == nil && got.status == http.StatusOK {
						served[side].Add(1)
						return
					}
					t.Logf("%v: host %d, model %q, after %v: status %d, error %v", time.Since(begun).Round(time.Millisecond), i%3, model, time.Since(start).Round(time.Millisecond), got.status, got.err)
				})
				time.Sleep(15 * time.Millisecond)
			}
			for i := 0; time.Since(begun) < 3*time.Second; i++ { // until the cut has to be noticed
				send(i, 2*time.Second, []string{"", "m0", "m2"}[i/3%3])
			}
			wg.Wait()
			t.Logf("at once: %d of %d served at hosts that were cut, %d of %d at others", served[1].Load(), sent[1].Load(), served[0].Load(), sent[0].Load())
			for side := range 2 {
				served[side].Store(0)
				sent[side].Store(0)
			}
			for i := range 3 * requests {
				send(i, 2*time.Second, []string{"", "m0", "m2"}[i/3%3])
			}
			wg.Wait()
			t.Logf("later: %d of %d served at hosts that were cut, %d of %d at others", served[1].Load(), sent[1].Load(), served[0].Load(), sent[0].Load())
			must.GreaterEq(t, sent[0].Load()*97/100, served[0].Load())
			must.GreaterEq(t, sent[1].Load()*97/100, served[1].Load())
			for _, i := range tc.cut {
				networks[i].cut(uncut)
			}
			for _, i := range tc.cut {
				f.waitUntil("served again", func() bool { return f.call(f.hosts[i], "secret", "m0").status == http.StatusOK })
			}
		})
	}
}

// Guards against models that nobody loads while the coordinator is cut off from the engines:
// another host takes over.
func TestCoordinatorCutFromEnginesIsReplaced(t *testing.T) {
	t.Parallel()
	f, networks := newCutFleet(t, 3)
	f.waitUntil("a model is loaded", func() bool { return f.call(f.hosts[0], "secret", f.notLoaded()).status == http.StatusOK })
	coordinator := f.coordinator()
	networks[coordinator].cut(hanging)
	begun := time.Now()
	for i := 0; time.Since(begun) < 2*time.Second; i++ {
		f.call(f.hosts[i%3], "secret", []string{"m0", "m2", "m4"}[i/3%3])
	}
	cold := f.notLoaded()
	f.waitUntil("a model that was not loaded is served", func() bool {
		return f.send(f.hosts[1], platformtest.Call{Key: "secret", Model: cold, Timeout: 2 * time.Second}).status == http.StatusOK
	})
	t.Logf("served %v after the cut", time.Since(begun).Round(time.Millisecond))
	for _, h := range f.hosts {
		must.Eq(t, http.StatusOK, f.call(h, "secret", cold).status)
	}
	must.NotEq(t, coordinator, f.coordinator())
	networks[coordinator].cut(uncut)
	f.checkOrders()
}

// coordinator returns the index of the host that gave the newest order.
func (f *fleet) coordinator() int {
	var newest platformtest.AcceptedOrder
	for _, e := range f.engines {
		orders, _ := e.Orders()
		if last := len(orders) - 1; last >= 0 && orders[last].At.After(newest.At) {
			newest = orders[last]
		}
	}
	return slices.IndexFunc(f.hosts, func(h *host) bool { return h.Name == newest.Holder })
}

// notLoaded returns a model that no engine holds.
func (f *fleet) notLoaded() string {
	f.t.Helper()
	for _, model := range models(12) {
		if !slices.ContainsFunc(f.engines, func(e *platformtest.Engine) bool { return e.Holds(model) }) {
			return model
		}
	}
	f.t.Fatal("all models are loaded")
	return ""
}
