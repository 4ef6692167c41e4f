// Package hawthornway implements an entry host. It wires up the components that
// authenticate, limit, queue and route requests, and that load models.
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
	// Run serves until the context is cancelled, then shuts down gracefully.
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

// Option configures a Host.
type Option func(*options)

type options struct {
	clock clockwork.Clock
	log   *slog.Logger
	store keyvalue.Store
	// keyStore is a second client of the same service with shorter watches. A
	// completed watch shows that the service is reachable.
	keyStore keyvalue.Store
}

// keyWatchWait is the longest duration of a watch on the keys. It must be
// shorter than the delay after which a host counts as cut off.
const keyWatchWait = 1500 * time.Millisecond

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(o *options) { o.clock = clock }
}

// WithLogger sets the logger.
func WithLogger(log *slog.Logger) Option {
	return func(o *options) { o.log = log }
}

// WithStore replaces the key-value service that the settings name.
func WithStore(store keyvalue.Store) Option {
	return func(o *options) { o.store, o.keyStore = store, store }
}

// New returns a new Host and binds its listeners. Requests are served once Run
// is called.
func New(s settings.Settings, opts ...Option) (Host, error) {
	o := &options{clock: clockwork.NewRealClock(), log: slog.Default()}
	for _, opt := range opts {
		opt(o)
	}
	if o.store == nil {
		o.store = keyvalue.NewClient(s.Platform.KeyValue)
		o.keyStore = keyvalue.NewClient(s.Platform.KeyValue, keyvalue.WithWatchWait(keyWatchWait))
	}
	h := &host{settings: s, options: o, stopRequested: make(chan struct{})}
	if err := h.build(); err != nil {
		return nil, trace.Wrap(err)
	}
	return h, nil
}

type host struct {
	settings   settings.Settings
	options    *options
	self       fleet.Member
	components *components
	servers    servers
	ready      readiness
	// stopRequested is closed when an operator asks the host to stop.
	stopRequested chan struct{}
	stopOnce      sync.Once
	// peerHandler gets its handler when the components are created.
	peerHandler *deferredHandler
	// peerClient dials other hosts.
	peerClient *http.Client
}

// build creates the components and binds the listeners. The peer listener is
// bound first because the host's membership contains its address.
func (h *host) build() error {
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
	h.components = newComponents(h.self, h.settings, h.options, h.peerClient)
	h.ready.reasons = h.components.notReadyReasons
	return h.bindOthers()
}

// Addresses returns the addresses that the listeners are bound to.
func (h *host) Addresses() Addresses {
	return Addresses{
		Callers:   h.servers.callersAddress.String(),
		Operators: h.servers.operatorsAddress.String(),
		Peers:     h.servers.peersAddress.String(),
	}
}

// Run serves until the context is cancelled or an operator requests a stop, then
// shuts down gracefully. It returns early if a listener or a controller fails.
func (h *host) Run(ctx context.Context) error {
	runCtx, stop := context.WithCancelCause(context.WithoutCancel(ctx))
	defer stop(nil)
	var running sync.WaitGroup
	h.components.start(runCtx, &running, stop)
	h.serve(runCtx, &running, stop)
	select {
	case <-ctx.Done():
		h.drain()
	case <-h.stopRequested:
		h.drain()
	case <-runCtx.Done():
	}
	h.stopServers()
	stop(nil)
	running.Wait()
	if err := h.components.metrics.Close(); err != nil {
		h.options.log.Warn("host: could not close metrics", "error", err)
	}
	if cause := context.Cause(runCtx); !errors.Is(cause, context.Canceled) {
		return trace.Wrap(cause)
	}
	return nil
}

// serve starts the listeners, beginning with the peer listener.
func (h *host) serve(ctx context.Context, running *sync.WaitGroup, fail context.CancelCauseFunc) {
	for _, server := range h.servers.all() {
		running.Go(func() {
			if err := server.Start(ctx); err != nil {
				fail(trace.Wrap(err, "listener"))
			}
		})
	}
}

// stopTimeout limits the shutdown of the listeners after draining.
const stopTimeout = 5 * time.Second

func (h *host) stopServers() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, server := range slices.Backward(h.servers.all()) {
		if err := server.Stop(ctx); err != nil {
			h.options.log.Warn("host: listener did not stop in time; closing its connections", "error", err)
			_ = server.Close() // the remaining connections are closed anyway
		}
	}
}

// requestStop starts the graceful shutdown. Later calls have no effect.
func (h *host) requestStop() { h.stopOnce.Do(func() { close(h.stopRequested) }) }

// drain prepares the shutdown: it reports the host as not ready, stops accepting
// calls, waits for the calls in progress, and hands over the host's shards.
func (h *host) drain() {
	log := h.options.log
	h.ready.startDraining()
	log.Info("host: draining", "bound", h.settings.Drain.Bound)
	h.options.clock.Sleep(h.settings.Drain.Unready)
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.Drain.Bound)
	defer cancel()
	if err := h.servers.callers.Shutdown(ctx); err != nil {
		log.Warn("host: calls still in progress at the drain timeout were aborted", "error", err)
	}
	handoverCtx, cancelHandover := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancelHandover()
	if err := h.components.handOver(handoverCtx); err != nil {
		log.Warn("host: could not hand over shards", "error", err)
	}
	log.Info("host: drained")
}

// handoverTimeout limits the handover of the host's shards.
const handoverTimeout = 5 * time.Second
