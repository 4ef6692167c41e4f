// Package hawthornway is an entry host: it joins the parts that admit, limit,
// queue, route, load and answer for requests.
package hawthornway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"hawthornway/fleet"
	"hawthornway/platform"
	"hawthornway/settings"
)

// Host is one entry host.
type Host interface {
	// Run serves until the context ends or the process is told to stop, then
	// stops gracefully.
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
	clock  clockwork.Clock
	log    *slog.Logger
	store  platform.Store
	signal bool
}

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
func WithStore(store platform.Store) Option {
	return func(o *options) { o.store = store }
}

// WithoutSignals leaves the process's signals to the embedding program.
func WithoutSignals() Option {
	return func(o *options) { o.signal = false }
}

// New returns a new Host with its listeners bound. Nothing is served before
// Run.
func New(s settings.Settings, opts ...Option) (Host, error) {
	o := &options{clock: clockwork.NewRealClock(), log: slog.Default(), signal: true}
	for _, opt := range opts {
		opt(o)
	}
	if o.store == nil {
		o.store = platform.NewClient(s.Platform.KeyValue)
	}
	h := &host{settings: s, options: o}
	if err := h.build(); err != nil {
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
}

// build joins the parts and binds the listeners. The peers' listener comes
// first, since its address is a part of the host's membership.
func (h *host) build() error {
	h.self = fleet.Member{
		Host:        h.settings.Host,
		Domain:      h.settings.Domain,
		Incarnation: fleet.Incarnation(rand.Uint64()),
	}
	if err := h.bindPeers(); err != nil {
		return err
	}
	h.self.PeerAddress = h.servers.peersAddress.String()
	h.parts = newParts(h.self, h.settings, h.options)
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

// Run serves until the context ends or the process is told to stop.
func (h *host) Run(ctx context.Context) error {
	working, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, working := errgroup.WithContext(working)
	h.parts.start(working, group)
	err := h.app(ctx).Run()
	stop()
	if end := group.Wait(); end != nil && working.Err() == nil {
		err = trace.NewAggregate(err, end)
	}
	return trace.Wrap(err)
}

// app returns the kratos application that runs the listeners.
func (h *host) app(ctx context.Context) *kratos.App {
	options := []kratos.Option{
		kratos.Name("hawthornway"),
		kratos.Context(ctx),
		kratos.Logger(newKratosLog(h.options.log)),
		kratos.Server(h.transports()...),
		kratos.BeforeStop(h.drain),
		kratos.StopTimeout(stopTimeout),
	}
	if !h.options.signal {
		options = append(options, kratos.Signal())
	}
	return kratos.New(options...)
}

// stopTimeout bounds the stop of the listeners after the drain.
const stopTimeout = 5 * time.Second

func (h *host) transports() []transport.Server {
	return []transport.Server{h.servers.peers, h.servers.operators, h.servers.callers}
}

// drain is the graceful stop: the host is unready first, then takes no new
// calls, then lets calls in progress end, and hands its duties over.
func (h *host) drain(context.Context) error {
	log := h.options.log
	h.ready.leave()
	log.Info("host: leaving", "bound", h.settings.Drain.Bound)
	h.options.clock.Sleep(h.settings.Drain.Unready)
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.Drain.Bound)
	defer cancel()
	if err := h.servers.callers.Shutdown(ctx); err != nil {
		log.Warn("host: calls were cut at the drain's bound", "error", err)
	}
	handing, cancelHanding := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancelHanding()
	if err := h.parts.leave(handing); err != nil {
		log.Warn("host: duties were not handed over", "error", err)
	}
	log.Info("host: left")
	return nil
}

// handOverTimeout bounds the handing over of duties.
const handOverTimeout = 5 * time.Second

var _ http.Handler = (*readiness)(nil)
