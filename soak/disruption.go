package soak

import (
	"sync"
	"time"
)

// contactTime is the platform's time after a disruption from which the bounds hold again.
const contactTime = 3 * time.Second

// disruptions are the spans of time in which something was disrupted. The zero value has none.
type disruptions struct {
	mu    sync.Mutex
	spans []span
}

// span is a span of time that goes on if to is zero.
type span struct{ from, to time.Time }

// begin begins a disruption. The returned function ends it; it may be called several times.
func (d *disruptions) begin() (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := len(d.spans)
	d.spans = append(d.spans, span{from: time.Now()})
	return sync.OnceFunc(func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.spans[i].to = time.Now()
	})
}

// strike records a disruption without duration.
func (d *disruptions) strike() { d.begin()() }

// within reports whether there was a disruption at any time in a span.
func (d *disruptions) within(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.spans {
		if !s.from.After(to) && (s.to.IsZero() || !s.to.Before(from)) {
			return true
		}
	}
	return false
}

// calm reports whether there was no disruption in a span, nor in contactTime before it.
func (d *disruptions) calm(from, to time.Time) bool { return !d.within(from.Add(-contactTime), to) }

// targetState is what befell a target: ended while it was gone or its path was cut, and faulty
// while it answered wrongly or not at all.
type targetState struct{ ended, faulty disruptions }

// state returns what befell a target.
func (s *soak) state(id string) *targetState {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.states[id] == nil {
		s.states[id] = &targetState{}
	}
	return s.states[id]
}
