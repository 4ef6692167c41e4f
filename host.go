// Package hawthornway is an entry host: it joins the parts that admit, limit,
// queue, route, load and answer for requests.
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
	// Run serves until the context ends, then stops gracefully.
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
	// keyStore is the same service, whose watches end soon enough to tell that
	// it is reached.
	keyStore keyvalue.Store
}

// keyWatchTimeout bounds a watch of the keys. It is below the time after which a
// host counts as cut off.
const keyWatchTimeout = 1500 * time.Millisecond

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(o *options) { o.clock = clock }
}

// WithLogger sets the logger.
func WithLogger(log *slog.Logger) Option {
	return func(o *options) { o.log = log }
}

// WithStore sets the platform's key-value service in place of the one that the
// settings name.
func WithStore(store keyvalue.Store) Option {
	return func(o *options) { o.store, o.keyStore = store, store }
}

// New returns a new Host with its listeners bound. Nothing is served before
// Run.
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
	// peerHandler is set once the parts are made.
	peerHandler *lateHandler
	// peerClient dials other hosts.
	peerClient *http.Client
}

// build joins the parts and binds the listeners. The peers' listener comes
// first, since its address is a part of the host's membership.
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

// Addresses returns the addresses that the listeners are bound to.
func (h *host) Addresses() Addresses {
	return Addresses{
		Callers:   h.servers.callersAddress.String(),
		Operators: h.servers.operatorsAddress.String(),
		Peers:     h.servers.peersAddress.String(),
	}
}

// Run serves until the context ends, then stops gracefully. It ends early when
// a listener or a controller fails.
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
		h.options.log.Warn("host: metrics were not closed", "error", err)
	}
	if cause := context.Cause(runCtx); !errors.Is(cause, context.Canceled) {
		return trace.Wrap(cause)
	}
	return nil
}

// serve starts the listeners, the peers' first.
func (h *host) serve(ctx context.Context, running *sync.WaitGroup, fail context.CancelCauseFunc) {
	for _, server := range h.servers.all() {
		running.Go(func() {
			if err := server.Start(ctx); err != nil {
				fail(trace.Wrap(err, "listener"))
			}
		})
	}
}

// stopTimeout bounds the stop of the listeners after the drain.
const stopTimeout = 5 * time.Second

func (h *host) stopServers() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, server := range slices.Backward(h.servers.all()) {
		if err := server.Stop(ctx); err != nil {
			h.options.log.Warn("host: listener was cut", "error", err)
			_ = server.Close() // what is left open is to be cut
		}
	}
}

// requestDrain begins the graceful stop, once.
func (h *host) requestDrain() { h.drainOnce.Do(func() { close(h.drainRequested) }) }

// drain is the graceful stop: the host is unready first, then takes no new
// calls, then lets calls in progress end, and hands its duties over.
func (h *host) drain() {
	log := h.options.log
	h.ready.setDraining()
	log.Info("host: leaving", "bound", h.settings.Drain.Bound)
	h.options.clock.Sleep(h.settings.Drain.Unready)
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.Drain.Bound)
	defer cancel()
	if err := h.servers.callers.Shutdown(ctx); err != nil {
		log.Warn("host: calls were cut at the drain's bound", "error", err)
	}
	handOverCtx, cancelHandOver := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancelHandOver()
	if err := h.components.handOver(handOverCtx); err != nil {
		log.Warn("host: duties were not handed over", "error", err)
	}
	log.Info("host: left")
}

// handOverTimeout bounds the handing over of duties.
const handOverTimeout = 5 * time.Second
