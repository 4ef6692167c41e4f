// Package hawthornway assembles an entry host from the components that admit,
// rate-limit, queue and route requests and load models for them.
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
	// Addresses returns the bound addresses of the listeners.
	Addresses() Addresses
}

// Addresses are the addresses of a host's listeners, each as IP:port.
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
	// keyStore is a client for the same key-value service as store, but with a
	// shorter wait for watches. A watch that ends, even without a change, shows
	// that the service is reachable.
	keyStore keyvalue.Store
}

// keyWatchWait is the time after which the service ends a watch of the keys without
// changes. It is shorter than the time after which a host without a response counts
// as cut off.
const keyWatchWait = 1500 * time.Millisecond

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(o *options) { o.clock = clock }
}

// WithLogger sets the logger.
func WithLogger(log *slog.Logger) Option {
	return func(o *options) { o.log = log }
}

// WithStore sets the key-value store to use instead of the service named in the
// settings.
func WithStore(store keyvalue.Store) Option {
	return func(o *options) { o.store, o.keyStore = store, store }
}

// New returns a new Host with its listeners bound. It serves no requests until
// Run is called.
func New(s settings.Settings, opts ...Option) (Host, error) {
	o := &options{clock: clockwork.NewRealClock(), log: slog.Default()}
	for _, opt := range opts {
		opt(o)
	}
	if o.store == nil {
		o.store = keyvalue.NewClient(s.Platform.KeyValue)
		o.keyStore = keyvalue.NewClient(s.Platform.KeyValue, keyvalue.WithWatchWait(keyWatchWait))
	}
	h := &host{settings: s, options: o, drainRequested: make(chan struct{})}
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
	// drainRequested is closed when an operator requests a graceful shutdown.
	drainRequested chan struct{}
	drainOnce      sync.Once
	// peerHandler gets its handler once the components exist.
	peerHandler *deferredHandler
	// peerClient dials other hosts.
	peerClient *http.Client
}

// build creates the components and binds the listeners. The peer listener comes
// first because its address is part of the host's membership entry.
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
	h.ready.startupReasons = h.components.startupReasons
	return h.bindOthers()
}

// Addresses returns the bound addresses of the listeners.
func (h *host) Addresses() Addresses {
	return Addresses{
		Callers:   h.servers.callersAddress.String(),
		Operators: h.servers.operatorsAddress.String(),
		Peers:     h.servers.peersAddress.String(),
	}
}

// Run serves until the context is cancelled or an operator requests a drain, then
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
	case <-h.drainRequested:
		h.drain()
	case <-runCtx.Done():
	}
	h.stopServers()
	stop(nil)
	running.Wait()
	if err := h.components.metrics.Close(); err != nil {
		h.options.log.Warn("host: failed to close metrics", "error", err)
	}
	if cause := context.Cause(runCtx); !errors.Is(cause, context.Canceled) {
		return trace.Wrap(cause)
	}
	return nil
}

// serve starts the listeners, the peer listener first.
func (h *host) serve(ctx context.Context, running *sync.WaitGroup, failed context.CancelCauseFunc) {
	for _, server := range h.servers.all() {
		running.Go(func() {
			if err := server.Start(ctx); err != nil {
				failed(trace.Wrap(err, "listener"))
			}
		})
	}
}

// stopTimeout limits the time for stopping the listeners after the drain.
const stopTimeout = 5 * time.Second

func (h *host) stopServers() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, server := range slices.Backward(h.servers.all()) {
		if err := server.Stop(ctx); err != nil {
			h.options.log.Warn("host: listener did not stop in time; closing its connections", "error", err)
			_ = server.Close() // the connections are abandoned
		}
	}
}

// requestDrain starts the graceful shutdown. Further calls have no effect.
func (h *host) requestDrain() { h.drainOnce.Do(func() { close(h.drainRequested) }) }

// drain reports the host as not ready, waits for the load balancer to notice,
// stops accepting calls, waits for calls in progress and hands the host's shards
// over.
func (h *host) drain() {
	log := h.options.log
	h.ready.setDraining()
	log.Info("host: draining", "bound", h.settings.Drain.Timeout)
	h.options.clock.Sleep(h.settings.Drain.UnreadyDelay)
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.Drain.Timeout)
	defer cancel()
	drainErr := h.servers.callers.Shutdown(ctx)
	if drainErr != nil {
		log.Warn("host: drain timed out with calls in progress", "error", drainErr)
	}
	handOverCtx, cancelHandOver := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancelHandOver()
	handOverErr := h.components.handOver(handOverCtx)
	if handOverErr != nil {
		log.Warn("host: failed to hand over shards", "error", handOverErr)
	}
	if drainErr == nil && handOverErr == nil {
		log.Info("host: drained")
	}
}

// handOverTimeout limits the time for writing the outcomes of claimed calls and
// handing over the host's shards.
const handOverTimeout = 5 * time.Second
