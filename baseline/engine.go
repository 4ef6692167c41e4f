package baseline

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornway/config"
	"hawthornway/engine"
	"hawthornway/model"
	"hawthornway/target"
)

// loadPollInterval is the interval at which the state of a load is polled.
const loadPollInterval = 25 * time.Millisecond

// engineState is a host's view of an engine.
type engineState struct {
	host    string
	target  config.Target
	address string
	client  engine.Client

	mu         sync.Mutex
	lastUsed   map[model.Name]time.Time
	orderCount int
}

func newEngineState(host string, t config.Target) *engineState {
	return &engineState{
		host:     host,
		target:   t,
		address:  t.Address,
		client:   engine.NewClient(t.Address),
		lastUsed: make(map[model.Name]time.Time),
	}
}

// ensureLoaded returns the engine of a model or adapter, once the model or
// adapter is loaded on it.
func (h *Host) ensureLoaded(ctx context.Context, name model.Name) (*engineState, error) {
	if a, isAdapter := h.adapters[name]; isAdapter {
		e, err := h.ensureLoaded(ctx, a.Base)
		if err != nil {
			return nil, err
		}
		ref := model.Ref{Name: a.Name, Version: a.Version, Base: a.Base}
		return e, e.ensureLoaded(ctx, engine.OrderLoadAdapter, ref, a.Memory)
	}
	m := h.models[name]
	e := chooseEngine(h.engines[m.Pool], name)
	return e, e.ensureLoaded(ctx, engine.OrderLoad, model.Ref{Name: m.Name, Version: m.Version}, m.Memory)
}

// chooseEngine returns the engine with the highest hash of its name and the
// model's name (rendezvous hashing).
func chooseEngine(engines []*engineState, name model.Name) *engineState {
	var best *engineState
	var highest uint64
	for _, e := range engines {
		hash := xxhash.Sum64String(string(e.target.Name) + "/" + string(name))
		if best == nil || hash > highest {
			best, highest = e, hash
		}
	}
	return best
}

// ensureLoaded loads a replica unless it is loaded, and waits until it is ready.
func (e *engineState) ensureLoaded(ctx context.Context, kind engine.OrderKind, ref model.Ref, size model.Bytes) error {
	e.mu.Lock()
	e.lastUsed[ref.Name] = time.Now()
	e.mu.Unlock()
	for {
		report, err := e.client.Report(ctx, engine.Fresh)
		if err != nil {
			return err
		}
		switch replicaState(report, ref.Name) {
		case engine.ReplicaReady:
			return nil
		case engine.ReplicaLoading, engine.ReplicaUnloading:
		default:
			if err := e.load(ctx, report, kind, ref, size); err != nil {
				return err
			}
		}
		select {
		case <-time.After(loadPollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func replicaState(report engine.Report, name model.Name) engine.ReplicaState {
	for _, r := range report.Replicas {
		if r.Ref.Name == name {
			return r.State
		}
	}
	return ""
}

// load orders the load of a replica. If the memory does not suffice, it orders an
// unload instead; the next poll retries the load.
func (e *engineState) load(ctx context.Context, report engine.Report, kind engine.OrderKind, ref model.Ref, size model.Bytes) error {
	if report.Used+size > report.Memory {
		return e.evictModel(ctx, report, ref)
	}
	_, err := e.order(ctx, kind, ref, size, report)
	var memory *engine.MemoryError
	var refused *engine.RefusedError
	if errors.As(err, &memory) || errors.As(err, &refused) {
		return nil // another host was faster; the next poll sees its order
	}
	return err
}

// evictModel unloads the model that this host used least recently, but not the
// base of the adapter that is to be loaded.
func (e *engineState) evictModel(ctx context.Context, report engine.Report, loading model.Ref) error {
	var oldest *engine.Replica
	for i, r := range report.Replicas {
		if r.Ref.IsAdapter() || r.State != engine.ReplicaReady || r.Ref.Name == loading.Base {
			continue
		}
		if oldest == nil || e.lastUse(r.Ref.Name).Before(e.lastUse(oldest.Ref.Name)) {
			oldest = &report.Replicas[i]
		}
	}
	if oldest == nil {
		return nil // all models are being loaded or unloaded
	}
	_, err := e.order(ctx, engine.OrderUnload, oldest.Ref, 0, report)
	return err
}

func (e *engineState) lastUse(name model.Name) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastUsed[name]
}

func (e *engineState) order(ctx context.Context, kind engine.OrderKind, ref model.Ref, size model.Bytes, report engine.Report) (engine.Accepted, error) {
	e.mu.Lock()
	e.orderCount++
	id := engine.OrderID(fmt.Sprintf("%s-%d", e.host, e.orderCount))
	e.mu.Unlock()
	return e.client.Order(ctx, engine.Order{ID: id, Kind: kind, Fence: max(report.Fence, target.Fence(1)), Ref: ref, Bytes: size})
}
