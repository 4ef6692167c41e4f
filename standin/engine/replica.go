package engine

import (
	"context"
	"time"

	"hawthornway/engine"
	"hawthornway/model"
	"hawthornway/standin/weights"
)

// replica is a model or adapter in the engine's memory.
type replica struct {
	ref     model.Ref
	bytes   model.Bytes
	state   engine.ReplicaState
	order   engine.OrderID
	base    *replica
	started time.Time
	// active is the number of requests that wait or run on the replica, or on
	// adapters over it.
	active int
	cancel context.CancelFunc
}

func (r *replica) key() weightKey {
	return weightKey{name: r.ref.Name, version: r.ref.Version}
}

func (r *replica) isLoading() bool { return r.state == engine.ReplicaLoading }

func (r *replica) holdsMemory() bool { return r.state != engine.ReplicaFailed }

func (r *replica) acquire() {
	r.active++
	if r.base != nil {
		r.base.acquire()
	}
}

func (r *replica) release() {
	r.active--
	if r.base != nil {
		r.base.release()
	}
}

// used returns the memory that the replicas hold.
func (e *Engine) used() model.Bytes {
	var used model.Bytes
	for _, r := range e.replicas {
		if r.holdsMemory() {
			used += r.bytes
		}
	}
	return used
}

// ready returns the replica that serves a name, the one ready last if there
// are several versions, or nil.
func (e *Engine) ready(name model.Name) *replica {
	var best *replica
	for _, r := range e.replicas {
		if r.ref.Name != name || r.state != engine.ReplicaReady {
			continue
		}
		if best == nil || r.started.After(best.started) {
			best = r
		}
	}
	return best
}

// beginLoad adds a replica and loads it.
func (e *Engine) beginLoad(r *replica) {
	e.account()
	ctx, cancel := context.WithCancel(e.life)
	r.cancel = cancel
	r.state = engine.ReplicaLoading
	r.started = e.clock.Now()
	e.replicas[r.key()] = r
	source := e.source(r.key())
	hangs := e.faults.LoadHangs
	go func() {
		defer cancel()
		err := e.fetch(ctx, r, source, hangs)
		e.endLoad(ctx, r, source, err)
	}()
}

// source returns the nearest tier that holds the weights.
func (e *Engine) source(key weightKey) Source {
	switch {
	case e.host.touch(key):
		return SourceMemory
	case e.disk.touch(key):
		return SourceDisk
	default:
		return SourceRemote
	}
}

// fetch takes as long as the load takes.
func (e *Engine) fetch(ctx context.Context, r *replica, source Source, hangs bool) error {
	if hangs {
		<-ctx.Done()
		return ctx.Err()
	}
	switch source {
	case SourceMemory:
		e.sleep(ctx, transferTime(r.bytes, e.settings.HostBytesPerSecond))
	case SourceDisk:
		e.sleep(ctx, transferTime(r.bytes, e.settings.DiskBytesPerSecond))
	default:
		return e.loader.Load(ctx, weights.Load{Kind: weightKind(r.ref), Name: r.ref.Name, Bytes: r.bytes})
	}
	return ctx.Err()
}

// endLoad makes the replica ready unless it was unloaded meanwhile.
func (e *Engine) endLoad(ctx context.Context, r *replica, source Source, err error) {
	e.thaw(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() != nil || e.replicas[r.key()] != r || !r.isLoading() {
		return
	}
	e.account()
	e.sequence++
	if err != nil {
		r.state = engine.ReplicaFailed
		return
	}
	r.state = engine.ReplicaReady
	e.host.put(r.key(), int64(r.bytes))
	e.disk.put(r.key(), int64(r.bytes))
	e.loads = append(e.loads, LoadRecord{
		Model:     r.ref.Name,
		Version:   r.ref.Version,
		Source:    source,
		StartedMS: unixMS(r.started),
		ReadyMS:   unixMS(e.clock.Now()),
	})
}

// thaw waits while the engine is frozen and the context is alive.
func (e *Engine) thaw(ctx context.Context) {
	e.mu.Lock()
	thawed := e.thawed
	e.mu.Unlock()
	select {
	case <-thawed:
	case <-ctx.Done():
	}
}

// unload removes a replica and its adapters once their requests have ended.
func (e *Engine) unload(r *replica) {
	for _, other := range e.replicas {
		if other.base == r {
			e.unload(other)
		}
	}
	e.account()
	r.cancel()
	r.state = engine.ReplicaUnloading
	e.dropIfUnused(r)
}

// dropIfUnused frees an unloading replica that runs no requests and carries no
// adapters.
func (e *Engine) dropIfUnused(r *replica) {
	if r.state != engine.ReplicaUnloading || r.active > 0 || e.replicas[r.key()] != r {
		return
	}
	for _, other := range e.replicas {
		if other.base == r {
			return
		}
	}
	e.account()
	delete(e.replicas, r.key())
	e.sequence++
}

// releaseReplica ends a request's use of a replica.
func (e *Engine) releaseReplica(r *replica) {
	e.account()
	r.release()
	e.dropIfUnused(r)
	if r.base != nil {
		e.dropIfUnused(r.base)
	}
}

func weightKind(ref model.Ref) weights.Kind {
	if ref.IsAdapter() {
		return weights.KindAdapter
	}
	return weights.KindModel
}

func transferTime(size, perSecond model.Bytes) time.Duration {
	return time.Duration(float64(size) / float64(perSecond) * float64(time.Second))
}
