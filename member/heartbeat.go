package member

import (
	"hawthornway/fleet"
	"hawthornway/keyvalue"
)

// heartbeat is the message that each member sends to every other member of its
// domain once a second.
type heartbeat struct {
	// Sequence numbers the sender's heartbeats, starting at 1.
	Sequence uint64 `cbor:"1,keyasint"`
	// Revision is the revision of the domain record that the sender knows.
	Revision keyvalue.Revision `cbor:"2,keyasint"`
	// Ack is the sequence of the last heartbeat that the sender received from the
	// receiver's incarnation AckIncarnation.
	Ack            uint64            `cbor:"3,keyasint"`
	AckIncarnation fleet.Incarnation `cbor:"4,keyasint"`
	// Promise is set if the sender won't take shards from the receiver until
	// Settings.PromiseTTL has passed since it received the heartbeat Ack.
	Promise bool `cbor:"5,keyasint"`
	// PossibleMembers lists the members that the sender may have added in a record
	// later than Revision by a write whose result it doesn't know yet.
	PossibleMembers []process `cbor:"6,keyasint,omitempty"`
	// Watching is set while the sender watches the records of all domains.
	Watching bool `cbor:"7,keyasint,omitempty"`
	// NewestRevision is the highest revision among the records of all domains that
	// the sender knows.
	NewestRevision keyvalue.Revision `cbor:"8,keyasint"`
}
