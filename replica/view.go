package replica

import (
	"sync"
	"time"

	"hawthornway/config"
	"hawthornway/model"
	"hawthornway/target"
)

// view is what a host knows of replicas and of the load of targets.
type view struct {
	mu       sync.RWMutex
	replicas map[model.Name][]Replica
	loads    map[target.ID]Load
}

func newView() *view {
	return &view{
		replicas: make(map[model.Name][]Replica),
		loads:    make(map[target.ID]Load),
	}
}

func (v *view) ready(name model.Name) []Replica {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.replicas[name]
}

func (v *view) load(id target.ID) (Load, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	l, ok := v.loads[id]
	return l, ok
}

// take replaces what is known of a target by its report.
func (v *view) take(t config.Target, report Report, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.drop(t.Name)
	l := report.Load
	l.TakenAt = now
	v.loads[t.Name] = l
	if l.Leaving {
		return
	}
	for _, loaded := range report.Loaded {
		if loaded.State != StateReady {
			continue
		}
		r := Replica{Ref: loaded.Ref, Target: t.Name, Address: t.Address, Domain: t.Domain}
		v.replicas[loaded.Ref.Name] = append(v.replicas[loaded.Ref.Name], r)
	}
}

// forget drops what is known of a target.
func (v *view) forget(id target.ID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.drop(id)
	delete(v.loads, id)
}

// drop removes the replicas of a target. It makes new slices, since readers
// hold the old ones.
func (v *view) drop(id target.ID) {
	for name, replicas := range v.replicas {
		var kept []Replica
		for _, r := range replicas {
			if r.Target != id {
				kept = append(kept, r)
			}
		}
		v.replicas[name] = kept
	}
}
