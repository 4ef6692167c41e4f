package engine

// EventNumber orders the prefix-cache events of an engine.
type EventNumber uint64

// EventKind says what happened to a prefix.
type EventKind string

// The kinds of event.
const (
	EventStored  EventKind = "stored"
	EventEvicted EventKind = "evicted"
)

// Event is one change of an engine's prefix cache.
type Event struct {
	Number EventNumber
	Kind   EventKind
	Prefix Prefix
}

// Events are some events, in order, with gaps.
type Events struct {
	Events []Event
	// Next is the number to continue after.
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
