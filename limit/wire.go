package limit

import (
	"time"

	"hawthornway/fleet"
	"hawthornway/peer"
	"hawthornway/target"
	"hawthornway/team"
)

// The kinds of messages between hosts.
const (
	// kindGrant requests tokens from a ledger and reports to it.
	kindGrant peer.Kind = "limit-grant"
	// kindSettle reports to several ledgers of one host.
	kindSettle peer.Kind = "limit-settle"
	// kindInherit requests the state of the previous ledger from its host.
	kindInherit peer.Kind = "limit-inherit"
	// kindRaised notifies the owner of a ledger that its share in the record has grown.
	kindRaised peer.Kind = "limit-raised"
)

type grantRequest struct {
	Team team.ID `cbor:"team"`
	// Epoch is the epoch of the ledger that the report is for.
	Epoch  target.Fence `cbor:"epoch,omitempty"`
	Need   MicroTokens  `cbor:"need,omitempty"`
	Extra  MicroTokens  `cbor:"extra,omitempty"`
	Report Report       `cbor:"report"`
}

type grantAnswer struct {
	Epoch target.Fence `cbor:"epoch"`
	Grant Grant        `cbor:"grant"`
	// Sequence is for refunds of what the report listed as spent.
	Sequence Sequence    `cbor:"mark"`
	Level    MicroTokens `cbor:"level"`
	Rate     float64     `cbor:"rate"`
	Capacity MicroTokens `cbor:"capacity"`
	// ReadyMS is the time, in milliseconds, until the ledger starts to fill.
	ReadyMS int64 `cbor:"ready-ms,omitempty"`
	// Missing is set when the host has no such ledger open.
	Missing bool `cbor:"missing,omitempty"`
	// NotLeased is set when the reason is that the host does not, or not yet, have the
	// lease of the shard.
	NotLeased bool `cbor:"unheld,omitempty"`
}

func (a grantAnswer) readyDelay() time.Duration {
	return time.Duration(a.ReadyMS) * time.Millisecond
}

type settleRequest struct {
	Reports []grantRequest `cbor:"reports"`
}

type settleAnswer struct {
	Answers []grantAnswer `cbor:"answers"`
}

type inheritRequest struct {
	Team team.ID `cbor:"team"`
	// Old is the epoch of the ledger whose state is requested, and New that of its
	// successor.
	Old target.Fence `cbor:"old"`
	New target.Fence `cbor:"new"`
}

type inheritAnswer struct {
	Found bool        `cbor:"found"`
	State ledgerState `cbor:"state"`
}

type raisedNotice struct {
	Team team.ID `cbor:"team"`
	// Domain is the domain that transferred shares.
	Domain fleet.DomainID `cbor:"domain"`
}
