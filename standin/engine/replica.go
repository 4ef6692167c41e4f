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
	// active is the number of requests that wait for or run on the replica or
	// one of its adapters.
	active int
	cancel context.CancelFunc
}

func (r *replica) key() weightKey {
	return weightKey{name: r.ref.Name, version: r.ref.Version}
}

func (r *replica) isLoading() bool { return r.state == engine.ReplicaLoading }

func (r *replica) usesMemory() bool { return r.state != engine.ReplicaFailed }

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

// usedMemory returns the memory that the replicas occupy.
func (e *Engine) usedMemory() model.Bytes {
	var used model.Bytes
	for _, r := range e.replicas {
		if r.usesMemory() {
			used += r.bytes
		}
	}
	return used
}

// readyReplica returns the ready replica of a model or adapter, or nil. Among
// several versions it returns the one whose load started last.
func (e *Engine) readyReplica(name model.Name) *replica {
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

// beginLoad adds a replica and starts to load it.
func (e *Engine) beginLoad(r *replica) {
	e.accountMemory()
	ctx, cancel := context.WithCancel(e.runContext)
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

// source returns the fastest tier that holds the weights.
func (e *Engine) source(key weightKey) Source {
	switch {
	case e.memoryTier.touch(key):
		return SourceMemory
	case e.diskTier.touch(key):
		return SourceDisk
	default:
		return SourceRemote
	}
}

// fetch blocks for as long as the load takes.
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

// endLoad marks the replica as ready or failed, unless it was unloaded in the
// meantime.
func (e *Engine) endLoad(ctx context.Context, r *replica, source Source, err error) {
	e.waitWhileFrozen(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() != nil || e.replicas[r.key()] != r || !r.isLoading() {
		return
	}
	e.accountMemory()
	e.stateSequence++
	if err != nil {
		r.state = engine.ReplicaFailed
		return
	}
	r.state = engine.ReplicaReady
	e.memoryTier.put(r.key(), int64(r.bytes))
	e.diskTier.put(r.key(), int64(r.bytes))
	e.loads = append(e.loads, LoadRecord{
		Model:     r.ref.Name,
		Version:   r.ref.Version,
		Source:    source,
		StartedMS: unixMS(r.started),
		ReadyMS:   unixMS(e.clock.Now()),
	})
}

// waitWhileFrozen waits until the engine is not frozen or the context ends.
func (e *Engine) waitWhileFrozen(ctx context.Context) {
	e.mu.Lock()
	resumed := e.resumed
	e.mu.Unlock()
	select {
	case <-resumed:
	case <-ctx.Done():
	}
}

// unload marks a replica and its adapters as unloading. They are removed once
// their requests have ended.
func (e *Engine) unload(r *replica) {
	for _, other := range e.replicas {
		if other.base == r {
			e.unload(other)
		}
	}
	e.accountMemory()
	r.cancel()
	r.state = engine.ReplicaUnloading
	e.dropIfUnused(r)
}

// dropIfUnused removes an unloading replica that has neither requests nor
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
	e.accountMemory()
	delete(e.replicas, r.key())
	e.stateSequence++
}

// releaseReplica releases a request's reference to a replica.
func (e *Engine) releaseReplica(r *replica) {
	e.accountMemory()
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
