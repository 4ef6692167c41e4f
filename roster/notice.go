package roster

import (
	"maps"
	"time"

	"hawthornway/boottime"
	"hawthornway/target"
)

// noticeTTL is how long a notice is kept at least. A target that leaves is gone by then.
const noticeTTL = time.Hour

// SetLeaving records that a target has said that it leaves. It stays draining until it
// starts again, whatever its registration says. SetLeaving reports whether that is new.
func (r *Roster) SetLeaving(id target.ID, start StartID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := startKey{id, start}
	if _, known := r.leaving[key]; known {
		return false
	}
	now := r.clock.Now()
	maps.DeleteFunc(r.leaving, func(_ startKey, at boottime.Instant) bool { return now.Sub(at) > noticeTTL })
	r.leaving[key] = now
	if e, ok := r.targets[id]; ok && e.target.Start == start && !e.target.Draining {
		e.target.Draining = true
		r.targets[id] = e
		r.notify()
	}
	return true
}

// Leaving returns the targets that have said that they leave, and that are still
// registered with the same start.
func (r *Roster) Leaving() []Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	var leaving []Target
	for key := range r.leaving {
		if e, ok := r.targets[key.id]; ok && e.target.Start == key.start {
			leaving = append(leaving, e.target)
		}
	}
	return leaving
}

// Pause keeps requests from a target for some time, since it has asked this host for it.
// A new start of the target ends the pause.
func (r *Roster) Pause(id target.ID, start StartID, pause time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	maps.DeleteFunc(r.pausedUntil, func(_ startKey, until boottime.Instant) bool { return !now.Before(until) })
	key := startKey{id, start}
	r.pausedUntil[key] = max(r.pausedUntil[key], now.Add(pause))
	r.invalidateLists()
}

// PausedTarget is a target that gets no requests for some time.
type PausedTarget struct {
	Target
	// Rest is the time until it may get requests again.
	Rest time.Duration
}

// Paused returns the targets of a pool that are paused, without those that leave.
func (r *Roster) Paused(pool target.Pool) []PausedTarget {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pausedUntil) == 0 {
		return nil
	}
	r.refreshLists()
	now := r.clock.Now()
	var paused []PausedTarget
	for _, t := range r.all {
		until := r.pausedUntil[startKey{t.ID, t.Start}]
		if t.Pool == pool && !t.Draining && !r.evacuations.Includes(t.Domain) && now.Before(until) {
			paused = append(paused, PausedTarget{Target: t, Rest: until.Sub(now)})
		}
	}
	return paused
}
