// Package hawthornway implements an entry host. It wires up the components that
// authenticate, limit, queue and route requests, load models and respond to
// callers.
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

// Host is an entry host.
type Host interface {
	// Run serves until the context ends, then stops gracefully.
	Run(ctx context.Context) error
	// Addresses returns the bound addresses of the listeners.
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
	// keyStore is a client of the same service with a short watch timeout. Its
	// watches return often enough to show that the service is reachable.
	keyStore keyvalue.Store
}

// keyWatchTimeout limits a watch of the keys. It must be shorter than the time
// after which a host counts as cut off.
const keyWatchTimeout = 1500 * time.Millisecond

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(o *options) { o.clock = clock }
}

// WithLogger sets the logger.
func WithLogger(log *slog.Logger) Option {
	return func(o *options) { o.log = log }
}

// WithStore sets the platform's key-value service. It overrides the address in
// the settings.
func WithStore(store keyvalue.Store) Option {
	return func(o *options) { o.store, o.keyStore = store, store }
}

// New returns a Host with bound listeners. It serves no requests until Run.
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
	// drainRequested is closed when an operator asks the host to stop.
	drainRequested chan struct{}
	drainOnce      sync.Once
	// peerHandler gets its handler once the components are created.
	peerHandler *lateHandler
	// peerClient is the HTTP client for calls to other hosts.
	peerClient *http.Client
}

// build creates the components and binds the listeners. The peers' listener is
// bound first, since its address is part of the host's membership record.
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
	h.ready.missing = h.components.missing
	return h.bindCallersAndOperators()
}

// Addresses returns the bound addresses of the listeners.
func (h *host) Addresses() Addresses {
	return Addresses{
		Callers:   h.servers.callersAddress.String(),
		Operators: h.servers.operatorsAddress.String(),
		Peers:     h.servers.peersAddress.String(),
	}
}

// Run serves until the context ends or an operator requests a drain, then stops
// gracefully. It returns early if a listener or a controller fails.
func (h *host) Run(ctx context.Context) error {
	runCtx, cancelRun := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancelRun(nil)
	var running sync.WaitGroup
	h.components.start(runCtx, &running, cancelRun)
	h.serve(runCtx, &running, cancelRun)
	select {
	case <-ctx.Done():
		h.drain()
	case <-h.drainRequested:
		h.drain()
	case <-runCtx.Done():
	}
	h.stopServers()
	cancelRun(nil)
	running.Wait()
	if err := h.components.metrics.Close(); err != nil {
		h.options.log.Warn("host: closing the metrics failed", "error", err)
	}
	if cause := context.Cause(runCtx); !errors.Is(cause, context.Canceled) {
		return trace.Wrap(cause)
	}
	return nil
}

// serve starts the listeners, beginning with that of the peers.
func (h *host) serve(ctx context.Context, running *sync.WaitGroup, fail context.CancelCauseFunc) {
	for _, server := range h.servers.all() {
		running.Go(func() {
			if err := server.Start(ctx); err != nil {
				fail(trace.Wrap(err, "listener"))
			}
		})
	}
}

// stopTimeout limits the shutdown of the listeners after the drain.
const stopTimeout = 5 * time.Second

func (h *host) stopServers() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, server := range slices.Backward(h.servers.all()) {
		if err := server.Stop(ctx); err != nil {
			h.options.log.Warn("host: graceful stop of a listener failed; closing its connections", "error", err)
			_ = server.Close() // closes the remaining connections
		}
	}
}

// requestDrain begins the graceful stop. Further calls have no effect.
func (h *host) requestDrain() { h.drainOnce.Do(func() { close(h.drainRequested) }) }

// drain stops the host gracefully: it reports not ready for a while, then accepts
// no new calls and waits for the calls in progress, and finally hands its shards
// over and leaves its domain.
func (h *host) drain() {
	log := h.options.log
	h.ready.setDraining()
	log.Info("host: draining", "bound", h.settings.Drain.Bound)
	h.options.clock.Sleep(h.settings.Drain.Unready)
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.Drain.Bound)
	defer cancel()
	if err := h.servers.callers.Shutdown(ctx); err != nil {
		log.Warn("host: calls were aborted at the end of the drain", "error", err)
	}
	handOverCtx, cancelHandOver := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancelHandOver()
	if err := h.components.handOver(handOverCtx); err != nil {
		log.Warn("host: handing over the shards and leaving the domain failed", "error", err)
	}
	log.Info("host: drained")
}

// handOverTimeout limits components.handOver.
const handOverTimeout = 5 * time.Second
