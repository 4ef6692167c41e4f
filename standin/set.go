package standin

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	hosts "hawthornway/hostlist"
	"hawthornway/standin/engine"
	"hawthornway/standin/hostlist"
	"hawthornway/standin/kvstore"
	"hawthornway/standin/service"
	"hawthornway/standin/weights"
	"hawthornway/target"
)

// headerTimeout limits how long a client may take to send its request headers.
const headerTimeout = 10 * time.Second

// Set is a set of running stand-ins. They serve until the context passed to
// Start ends or Close is called. A stand-in that is not configured is nil and
// has an empty address.
type Set struct {
	KeyValue        *kvstore.Store
	KeyValueAddress string

	Hosts        *hostlist.List
	HostsAddress string

	Weights        *weights.Store
	WeightsAddress string

	Engines  map[target.ID]Engine
	Services map[target.ID]Service

	clock  clockwork.Clock
	cancel context.CancelFunc
	group  sync.WaitGroup
}

// Engine is a running engine with its address.
type Engine struct {
	*engine.Engine
	Address string
}

// Service is a running plain service with its address.
type Service struct {
	*service.Service
	Address string
}

// Start starts the configured stand-ins. Their addresses are bound when it
// returns.
func Start(ctx context.Context, settings Settings) (*Set, error) {
	ctx, cancel := context.WithCancel(ctx)
	set := &Set{
		Engines:  make(map[target.ID]Engine),
		Services: make(map[target.ID]Service),
		clock:    clockwork.NewRealClock(),
		cancel:   cancel,
	}
	if err := set.start(ctx, settings); err != nil {
		set.Close()
		return nil, trace.Wrap(err)
	}
	return set, nil
}

// Address is the name and the listen address of a stand-in.
type Address struct {
	Name    string
	Address string
}

// Addresses returns the listen addresses of the stand-ins, sorted by name.
func (set *Set) Addresses() []Address {
	addresses := []Address{
		{Name: "kvstore", Address: set.KeyValueAddress},
		{Name: "hostlist", Address: set.HostsAddress},
		{Name: "weights", Address: set.WeightsAddress},
	}
	for name, e := range set.Engines {
		addresses = append(addresses, Address{Name: string(name), Address: e.Address})
	}
	for name, s := range set.Services {
		addresses = append(addresses, Address{Name: string(name), Address: s.Address})
	}
	addresses = slices.DeleteFunc(addresses, func(a Address) bool { return a.Address == "" })
	slices.SortFunc(addresses, func(a, b Address) int { return cmp.Compare(a.Name, b.Name) })
	return addresses
}

// Close stops the stand-ins. Requests in progress are aborted.
func (set *Set) Close() {
	set.cancel()
	set.group.Wait()
}

func (set *Set) start(ctx context.Context, settings Settings) error {
	if err := set.startKeyValue(ctx, settings.KeyValue); err != nil {
		return err
	}
	if err := set.startWeights(ctx, settings.Weights); err != nil {
		return err
	}
	if err := set.startEngines(ctx, settings); err != nil {
		return err
	}
	if err := set.startServices(ctx, settings); err != nil {
		return err
	}
	return set.startHosts(ctx, settings)
}

func (set *Set) startKeyValue(ctx context.Context, settings KeyValueSettings) error {
	if settings.Address == "" {
		return nil
	}
	set.KeyValue = kvstore.New(
		kvstore.WithClock(set.clock),
		kvstore.WithRates(settings.WritesPerSecond, settings.ReadsPerSecond),
	)
	var err error
	set.KeyValueAddress, err = set.serve(ctx, "kvstore", settings.Address, set.KeyValue.Handler())
	return err
}

func (set *Set) startWeights(ctx context.Context, settings WeightsSettings) error {
	if settings.Address == "" {
		return nil
	}
	set.Weights = weights.New(settings.Figures, set.clock)
	var err error
	set.WeightsAddress, err = set.serve(ctx, "weights", settings.Address, set.Weights.Handler())
	return err
}

func (set *Set) startEngines(ctx context.Context, settings Settings) error {
	loader := set.loader(settings)
	for i, entry := range settings.Engines {
		e := engine.New(settings.engineSettings(i), set.clock, loader)
		address, err := set.serve(ctx, "engine "+string(entry.Name), entry.Address, e.Handler())
		if err != nil {
			return err
		}
		set.group.Go(func() { e.Run(ctx) })
		set.Engines[entry.Name] = Engine{Engine: e, Address: address}
	}
	return nil
}

// loader returns the weight store from which the engines load: the one of this
// process, one in another process, or a private one for the engines.
func (set *Set) loader(settings Settings) engine.Loader {
	switch {
	case set.Weights != nil:
		return set.Weights
	case settings.WeightStoreAddress != "":
		return weights.NewLoader(settings.WeightStoreAddress)
	default:
		return weights.New(settings.Weights.Figures, set.clock)
	}
}

func (set *Set) startServices(ctx context.Context, settings Settings) error {
	for i, entry := range settings.Services {
		s := service.New(settings.serviceSettings(i), set.clock)
		address, err := set.serve(ctx, "service "+string(entry.Name), entry.Address, s.Handler())
		if err != nil {
			return err
		}
		set.Services[entry.Name] = Service{Service: s, Address: address}
	}
	return nil
}

func (set *Set) startHosts(ctx context.Context, settings Settings) error {
	if settings.Hosts.Address == "" {
		return nil
	}
	set.Hosts = hostlist.New(settings.Hosts.Figures, set.clock, set.hostListEntries(settings)...)
	var err error
	set.HostsAddress, err = set.serve(ctx, "hostlist", settings.Hosts.Address, set.Hosts.Handler())
	return err
}

func (set *Set) hostListEntries(settings Settings) []hosts.Entry {
	var entries []hosts.Entry
	for _, h := range settings.Hosts.Entries {
		entries = append(entries, h.entry())
	}
	for _, e := range settings.Engines {
		entries = append(entries, targetEntry(e.Name, e.Domain, set.Engines[e.Name].Address))
	}
	for _, s := range settings.Services {
		entries = append(entries, targetEntry(s.Name, s.Domain, set.Services[s.Name].Address))
	}
	return entries
}

// serve binds the address and serves the handler until the context ends. It
// returns the bound address.
func (set *Set) serve(ctx context.Context, name, address string, handler http.Handler) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return "", trace.Wrap(err, "%s", name)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	set.group.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			slog.Error("standin: "+name+" stopped serving", "error", err)
		}
	})
	set.group.Go(func() {
		<-ctx.Done()
		// An error means that the listener is already closed.
		_ = server.Close()
	})
	return listener.Addr().String(), nil
}
