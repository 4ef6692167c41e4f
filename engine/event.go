package engine

// EventNumber is the sequence number of an engine's prefix-cache events.
type EventNumber uint64

// EventKind is the kind of change to a cached prefix.
type EventKind string

// The kinds of event.
const (
	EventStored  EventKind = "stored"
	EventEvicted EventKind = "evicted"
)

// Event is one change to an engine's prefix cache.
type Event struct {
	Number EventNumber
	Kind   EventKind
	Prefix Prefix
}

// Events is a batch of events in order. Their numbers have gaps where events were
// lost.
type Events struct {
	Events []Event
	// Next is the number to pass as after in the next call.
	Next EventNumber
}

type wireEvents struct {
	Events []wireEvent `json:"events"`
	Next   EventNumber `json:"next"`
}

type wireEvent struct {
	Sequence EventNumber `json:"sequence"`
	Kind     EventKind   `json:"kind"`
	Prefix   Prefix      `json:"prefix"`
}

func (w wireEvents) batch() Events {
	b := Events{Next: w.Next}
	for _, e := range w.Events {
		b.Events = append(b.Events, Event{Number: e.Sequence, Kind: e.Kind, Prefix: e.Prefix})
	}
	return b
}
