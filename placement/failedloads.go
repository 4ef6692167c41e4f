package placement

import (
	"maps"
	"slices"
	"time"

	"hawthornway/model"
	"hawthornway/target"
)

const (
	// maxFailedEngines is the number of engines on which loads of a model may fail until it
	// is held back. Each of them may have ended, with all that it held.
	maxFailedEngines = 3
	// A model is held back for minHold at first. After that one engine may load it; if that
	// fails too, it is held back for twice as long, up to maxHold.
	minHold = time.Minute
	maxHold = time.Hour
	// storePause is for how long a model is held back while all loads fail.
	storePause = 5 * time.Second
	// failureTTL is how long failures count.
	failureTTL = 2 * maxHold
)

// FailedLoads decides which models are held back because their loads fail or end engines.
// It is not safe for concurrent use.
type FailedLoads struct {
	models map[model.Name]*failedModel
	// loadedAt is when a load last succeeded, of any model.
	loadedAt time.Time
}

type failedModel struct {
	// engines are those on which loads failed since the last hold, and heldFor those that led to
	// that.
	engines     map[target.ID]bool
	heldFor     map[target.ID]bool
	since, last time.Time
	holds       int
	nextHold    time.Duration
	heldUntil   time.Time
}

// NewFailedLoads returns FailedLoads without failures.
func NewFailedLoads() *FailedLoads {
	return &FailedLoads{models: map[model.Name]*failedModel{}}
}

// RecordFailure records that an engine ended while it loaded a model, or didn't have it after
// the load. It returns for how long the model is held back from now on, or zero.
func (f *FailedLoads) RecordFailure(now time.Time, name model.Name, engine target.ID) time.Duration {
	maps.DeleteFunc(f.models, func(_ model.Name, m *failedModel) bool { return now.Sub(m.last) > failureTTL })
	m, ok := f.models[name]
	if !ok {
		m = &failedModel{engines: map[target.ID]bool{}, since: now, nextHold: minHold}
		f.models[name] = m
	}
	m.engines[engine] = true
	m.last = now
	allowed := maxFailedEngines
	if m.holds > 0 {
		allowed = 1
	}
	if len(m.engines) < allowed || now.Before(m.heldUntil) {
		return 0
	}
	hold := storePause
	if !f.allFail(name, m.since) {
		hold = m.nextHold
		m.holds++
		m.nextHold = min(2*hold, maxHold)
	}
	m.heldUntil = now.Add(hold)
	m.heldFor, m.engines = m.engines, map[target.ID]bool{}
	return hold
}

// Excuse forgets the failures on engines that ended for another reason. It returns the models that
// were held back only because of them, and aren't any more.
func (f *FailedLoads) Excuse(engines []target.ID) (released []model.Name) {
	for name, m := range f.models {
		excused := false
		for _, engine := range engines {
			excused = excused || m.engines[engine] || m.heldFor[engine]
			delete(m.engines, engine)
			delete(m.heldFor, engine)
		}
		switch {
		case !excused || len(m.engines) > 0 || len(m.heldFor) > 0:
			// the others still count
		default:
			delete(f.models, name)
			if m.holds > 0 || !m.heldUntil.IsZero() {
				released = append(released, name)
			}
		}
	}
	slices.Sort(released)
	return released
}

// FailedOn returns the engines on which loads of each model failed lately. Another engine may
// be sound.
func (f *FailedLoads) FailedOn() map[model.Name]map[target.ID]bool {
	failed := make(map[model.Name]map[target.ID]bool, len(f.models))
	for name, m := range f.models {
		failed[name] = maps.Clone(m.engines)
	}
	return failed
}

// allFail reports whether loads of other models fail too since the given time, and none
// succeeds: the fault is then not the model's.
func (f *FailedLoads) allFail(name model.Name, since time.Time) bool {
	if !f.loadedAt.Before(since) {
		return false
	}
	for other, m := range f.models {
		if other != name && !m.last.Before(since) {
			return true
		}
	}
	return false
}

// RecordLoaded records that an engine has loaded a model.
func (f *FailedLoads) RecordLoaded(now time.Time, name model.Name) {
	f.loadedAt = now
	delete(f.models, name)
}
