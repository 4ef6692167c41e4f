package engine

import (
	"net/http"
	"strconv"
	"time"

	"hawthornway/engine"
	"hawthornway/standin/wire"
)

// maxEvents limits the number of events that an engine keeps.
const maxEvents = 8192

// eventLog keeps the last prefix-cache events, oldest first.
type eventLog struct {
	next   engine.EventNumber
	events []event
}

type event struct {
	number     engine.EventNumber
	kind       engine.EventKind
	prefix     engine.Prefix
	recordedAt time.Time
}

type wireEvents struct {
	Events []wireEvent        `json:"events"`
	Next   engine.EventNumber `json:"next"`
}

type wireEvent struct {
	Sequence engine.EventNumber `json:"sequence"`
	Kind     engine.EventKind   `json:"kind"`
	Prefix   engine.Prefix      `json:"prefix"`
}

// publish records an event or, with the probability EventLoss, drops it.
func (e *Engine) publish(kind engine.EventKind, prefix engine.Prefix) {
	log := &e.events
	log.next++
	if e.random.Float64() < e.settings.EventLoss {
		return
	}
	log.events = append(log.events, event{number: log.next, kind: kind, prefix: prefix, recordedAt: e.clock.Now()})
	if len(log.events) > maxEvents {
		log.events = log.events[1:]
	}
}

// eventsAfter returns the events after a number that are at least EventLag old.
func (e *Engine) eventsAfter(after engine.EventNumber) wireEvents {
	e.mu.Lock()
	defer e.mu.Unlock()
	batch := wireEvents{Events: []wireEvent{}, Next: after}
	visibleUntil := e.clock.Now().Add(-e.settings.EventLag)
	for _, ev := range e.events.events {
		if ev.number <= after || ev.recordedAt.After(visibleUntil) {
			continue
		}
		batch.Events = append(batch.Events, wireEvent{Sequence: ev.number, Kind: ev.kind, Prefix: ev.prefix})
		batch.Next = ev.number
	}
	return batch
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	e.awaitResume(r.Context())
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a number", http.StatusBadRequest)
		return
	}
	wire.WriteJSON(w, http.StatusOK, e.eventsAfter(engine.EventNumber(after)))
}
