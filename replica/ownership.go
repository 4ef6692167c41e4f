package replica

import (
	"time"

	"hawthornway/fleet"
	"hawthornway/target"
)

// Ownership tells which member owns a shard and whether this host may act for
// it.
type Ownership interface {
	Self() fleet.Member
	// Hold returns this host's hold of a shard, if it may act for it now.
	// ChecksFence says that the target concerned refuses old fences.
	Hold(shard Shard, checksFence bool) (Hold, bool)
	Owner(domain fleet.DomainID, shard Shard) (fleet.Member, bool)
	Members(domain fleet.DomainID) []fleet.Member
	Domains() []fleet.DomainID
	Reachable(domain fleet.DomainID) bool
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Shard is a part of the keys that is owned as one.
type Shard uint8

// Hold is the right to act for a shard.
type Hold struct {
	Shard Shard
	Fence target.Fence
	// Until is when the right ends unless it is renewed.
	Until time.Time
	// Since is when the right began.
	Since time.Time
	// HandedOver says that the owner before gave the shard up in order.
	HandedOver bool
}
