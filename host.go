// Package hawthornway implements an entry host. It assembles the controllers that
// authenticate, limit, queue and route callers' requests and load models, and
// serves them on the host's listeners.
package hawthornway

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/settings"
)

// Host is one entry host.
type Host interface {
	// Run serves until the context ends or an operator drains the host, then stops
	// gracefully.
	Run(ctx context.Context) error
	// Addresses returns the addresses that the listeners are bound to.
	Addresses() Addresses
}

// Addresses are the addresses of a host's listeners, each an IP number and port.
type Addresses struct {
	Callers   string
	Operators string
	Peers     string
}

// Option sets an option of a Host.
type Option func(*options)

type options struct {
	clock clockwork.Clock
	log   *slog.Logger
	store keyvalue.Store
	// keyStore is a client of the same service with shorter watches. Since each
	// watch that ends shows that the service is reachable, a lost connection is
	// detected before the host counts as cut off.
	keyStore keyvalue.Store
}

// keyWatchTimeout bounds a watch of the keys. It is shorter than the time after
// which a host counts as cut off.
const keyWatchTimeout = 1500 * time.Millisecond

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(o *options) { o.clock = clock }
}

// WithLogger sets the logger.
func WithLogger(log *slog.Logger) Option {
	return func(o *options) { o.log = log }
}

// WithStore sets the client of the platform's key-value service. By default, New
// creates one from the settings.
func WithStore(store keyvalue.Store) Option {
	return func(o *options) { o.store, o.keyStore = store, store }
}

// New returns a new Host. Its listeners are bound, but requests are served only
// by Run.
func New(s settings.Settings, opts ...Option) (Host, error) {
	o := &options{clock: clockwork.NewRealClock(), log: slog.Default()}
	for _, opt := range opts {
		opt(o)
	}
	if o.store == nil {
		o.store = keyvalue.NewClient(s.Platform.KeyValue)
		o.keyStore = keyvalue.NewClient(s.Platform.KeyValue, keyvalue.WithWatchWait(keyWatchTimeout))
	}
	h := &host{settings: s, options: o, drainRequested: make(chan struct{})}
	if err := h.assemble(); err != nil {
		return nil, trace.Wrap(err)
	}
	return h, nil
}

type host struct {
	settings settings.Settings
	options  *options
	self     fleet.Member
	parts    *parts
	servers  servers
	ready    readiness
	// drainRequested is closed when an operator drains the host.
	drainRequested chan struct{}
	drainOnce      sync.Once
	// peerHandler serves the peers' listener, which is bound before the parts
	// exist.
	peerHandler *lateHandler
	// peerClient sends requests to other hosts.
	peerClient *http.Client
}

// assemble creates the parts and binds the listeners. The peers' listener is
// bound first, since its address is part of the host's membership.
func (h *host) assemble() error {
	h.self = fleet.Member{
		Host:        h.settings.Host,
		Domain:      h.settings.Domain,
		Incarnation: fleet.Incarnation(h.options.clock.Now().UnixNano()),
	}
	if err := h.bindPeers(); err != nil {
		return err
	}
	h.self.PeerAddress = h.servers.peersAddress.String()
	if advertised := h.settings.Listen.PeersAdvertised; advertised != "" {
		h.self.PeerAddress = advertised
	}
	h.parts = newParts(h.self, h.settings, h.options, h.peerClient)
	h.ready.missing = h.parts.missing
	return h.bindCallersAndOperators()
}

// Addresses returns the addresses that the listeners are bound to.
func (h *host) Addresses() Addresses {
	return Addresses{
		Callers:   h.servers.callersAddress.String(),
		Operators: h.servers.operatorsAddress.String(),
		Peers:     h.servers.peersAddress.String(),
	}
}

// Run implements Host. It returns early if a listener or a controller fails.
func (h *host) Run(ctx context.Context) error {
	runCtx, stop := context.WithCancelCause(context.WithoutCancel(ctx))
	defer stop(nil)
	var wg sync.WaitGroup
	h.parts.start(runCtx, &wg, stop)
	h.serve(runCtx, &wg, stop)
	select {
	case <-ctx.Done():
		h.drain()
	case <-h.drainRequested:
		h.drain()
	case <-runCtx.Done():
	}
	h.stopServers()
	stop(nil)
	wg.Wait()
	if err := h.parts.metrics.Close(); err != nil {
		h.options.log.Warn("host: cannot close the metrics", "error", err)
	}
	if cause := context.Cause(runCtx); !errors.Is(cause, context.Canceled) {
		return trace.Wrap(cause)
	}
	return nil
}

// serve starts the listeners.
func (h *host) serve(ctx context.Context, wg *sync.WaitGroup, fail context.CancelCauseFunc) {
	for _, server := range h.servers.all() {
		wg.Go(func() {
			if err := server.Start(ctx); err != nil {
				fail(trace.Wrap(err, "listener"))
			}
		})
	}
}

// stopTimeout bounds the graceful stop of the listeners after the drain.
const stopTimeout = 5 * time.Second

func (h *host) stopServers() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, server := range slices.Backward(h.servers.all()) {
		if err := server.Stop(ctx); err != nil {
			h.options.log.Warn("host: listener did not stop in time; closing its connections", "error", err)
			_ = server.Close() // closes the remaining connections
		}
	}
}

// requestDrain makes Run drain the host. Further calls have no effect.
func (h *host) requestDrain() { h.drainOnce.Do(func() { close(h.drainRequested) }) }

// drain stops the host gracefully. The host first reports that it is not ready,
// so that the balancer stops sending callers. It then accepts no new calls, waits
// for the calls in progress, and hands its shards over to other hosts.
func (h *host) drain() {
	log := h.options.log
	h.ready.startDraining()
	log.Info("host: draining", "bound", h.settings.Drain.Bound)
	h.options.clock.Sleep(h.settings.Drain.Unready)
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.Drain.Bound)
	defer cancel()
	if err := h.servers.callers.Shutdown(ctx); err != nil {
		log.Warn("host: calls are still in progress at the end of the drain", "error", err)
	}
	handOverCtx, cancelHandOver := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancelHandOver()
	if err := h.parts.handOver(handOverCtx); err != nil {
		log.Warn("host: cannot hand over the shards to other hosts", "error", err)
	}
	log.Info("host: drained")
}

// handOverTimeout bounds the end of claims and the hand-over of shards.
const handOverTimeout = 5 * time.Second
