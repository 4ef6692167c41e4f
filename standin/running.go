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

// headerTimeout bounds the time that a client takes to send its headers.
const headerTimeout = 10 * time.Second

// Set are stand-ins that serve until their context ends or they are closed.
// A stand-in that doesn't run is nil, and its address is empty.
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

// Engine is an engine that serves.
type Engine struct {
	*engine.Engine
	Address string
}

// Service is a plain service that serves.
type Service struct {
	*service.Service
	Address string
}

// Start runs the stand-ins of the settings. When it returns, their addresses
// are bound.
func Start(ctx context.Context, settings Settings) (*Set, error) {
	ctx, cancel := context.WithCancel(ctx)
	r := &Set{
		Engines:  make(map[target.ID]Engine),
		Services: make(map[target.ID]Service),
		clock:    clockwork.NewRealClock(),
		cancel:   cancel,
	}
	if err := r.start(ctx, settings); err != nil {
		r.Close()
		return nil, trace.Wrap(err)
	}
	return r, nil
}

// Address is where one stand-in serves.
type Address struct {
	Name    string
	Address string
}

// Addresses returns where the stand-ins serve, in the order of their names.
func (r *Set) Addresses() []Address {
	addresses := []Address{
		{Name: "kvstore", Address: r.KeyValueAddress},
		{Name: "hostlist", Address: r.HostsAddress},
		{Name: "weights", Address: r.WeightsAddress},
	}
	for name, e := range r.Engines {
		addresses = append(addresses, Address{Name: string(name), Address: e.Address})
	}
	for name, s := range r.Services {
		addresses = append(addresses, Address{Name: string(name), Address: s.Address})
	}
	addresses = slices.DeleteFunc(addresses, func(a Address) bool { return a.Address == "" })
	slices.SortFunc(addresses, func(a, b Address) int { return cmp.Compare(a.Name, b.Name) })
	return addresses
}

// Close stops the stand-ins, cutting what they serve.
func (r *Set) Close() {
	r.cancel()
	r.group.Wait()
}

func (r *Set) start(ctx context.Context, settings Settings) error {
	if err := r.startKeyValue(ctx, settings.KeyValue); err != nil {
		return err
	}
	if err := r.startWeights(ctx, settings.Weights); err != nil {
		return err
	}
	if err := r.startEngines(ctx, settings); err != nil {
		return err
	}
	if err := r.startServices(ctx, settings); err != nil {
		return err
	}
	return r.startHosts(ctx, settings)
}

func (r *Set) startKeyValue(ctx context.Context, settings KeyValueSettings) error {
	if settings.Address == "" {
		return nil
	}
	r.KeyValue = kvstore.New(
		kvstore.WithClock(r.clock),
		kvstore.WithRates(settings.WritesPerSecond, settings.ReadsPerSecond),
	)
	var err error
	r.KeyValueAddress, err = r.serve(ctx, "kvstore", settings.Address, r.KeyValue.Handler())
	return err
}

func (r *Set) startWeights(ctx context.Context, settings WeightsSettings) error {
	if settings.Address == "" {
		return nil
	}
	r.Weights = weights.New(settings.Figures, r.clock)
	var err error
	r.WeightsAddress, err = r.serve(ctx, "weights", settings.Address, r.Weights.Handler())
	return err
}

func (r *Set) startEngines(ctx context.Context, settings Settings) error {
	loader := r.loader(settings)
	for at, one := range settings.Engines {
		e := engine.New(settings.engine(at), r.clock, loader)
		address, err := r.serve(ctx, "engine "+string(one.Name), one.Address, e.Handler())
		if err != nil {
			return err
		}
		r.group.Go(func() { e.Run(ctx) })
		r.Engines[one.Name] = Engine{Engine: e, Address: address}
	}
	return nil
}

// loader returns the weight store that the engines load from: that of this
// process, that of another, or one of the engines' own.
func (r *Set) loader(settings Settings) engine.Loader {
	switch {
	case r.Weights != nil:
		return r.Weights
	case settings.WeightStoreAddress != "":
		return weights.NewLoader(settings.WeightStoreAddress)
	default:
		return weights.New(settings.Weights.Figures, r.clock)
	}
}

func (r *Set) startServices(ctx context.Context, settings Settings) error {
	for at, one := range settings.Services {
		s := service.New(settings.service(at), r.clock)
		address, err := r.serve(ctx, "service "+string(one.Name), one.Address, s.Handler())
		if err != nil {
			return err
		}
		r.Services[one.Name] = Service{Service: s, Address: address}
	}
	return nil
}

func (r *Set) startHosts(ctx context.Context, settings Settings) error {
	if settings.Hosts.Address == "" {
		return nil
	}
	r.Hosts = hostlist.New(settings.Hosts.Figures, r.clock, r.entries(settings)...)
	var err error
	r.HostsAddress, err = r.serve(ctx, "hostlist", settings.Hosts.Address, r.Hosts.Handler())
	return err
}

func (r *Set) entries(settings Settings) []hosts.Entry {
	var entries []hosts.Entry
	for _, h := range settings.Hosts.Entries {
		entries = append(entries, h.entry())
	}
	for _, e := range settings.Engines {
		entries = append(entries, targetEntry(e.Name, e.Domain, r.Engines[e.Name].Address))
	}
	for _, s := range settings.Services {
		entries = append(entries, targetEntry(s.Name, s.Domain, r.Services[s.Name].Address))
	}
	return entries
}

// serve binds the address and serves the handler until the context ends. It
// returns the address bound.
func (r *Set) serve(ctx context.Context, name, address string, handler http.Handler) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return "", trace.Wrap(err, "%s", name)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	r.group.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			slog.Error("standin: "+name+" stopped serving", "error", err)
		}
	})
	r.group.Go(func() {
		<-ctx.Done()
		// The listener is closed already if this fails.
		_ = server.Close()
	})
	return listener.Addr().String(), nil
}
