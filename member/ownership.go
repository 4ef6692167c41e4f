package member

import (
	"time"

	"hawthornway/fleet"
	"hawthornway/target"
)

// Lease says that this host may act for a shard.
type Lease struct {
	Shard Shard
	// Fence rises with each owner of the shard.
	Fence target.Fence
	// Until is the time until which the hold lasts unless it is renewed. It is
	// zero for a hold that only fences guard. Check the hold again before each
	// order all the same: it can end earlier.
	Until time.Time
	// Since is when this host learned that it owns the shard under this fence.
	Since time.Time
	// HandedOver says that the owner before this one stopped in an orderly
	// manner, so that none of its orders is still in flight.
	HandedOver bool
}

// Ownership tells who owns the shards of each failure domain.
type Ownership interface {
	// Self returns this host's own membership.
	Self() fleet.Member
	// Lease reports whether this host may act for a shard of its own domain
	// right now. With checksFence it answers for targets that refuse orders
	// with an old fence, and needs no pledges of other hosts.
	Lease(shard Shard, checksFence bool) (Lease, bool)
	// Owner returns the recorded owner of a shard.
	Owner(domain fleet.DomainID, shard Shard) (fleet.Member, bool)
	// Members returns the recorded members of a domain, ordered by host.
	Members(domain fleet.DomainID) []fleet.Member
	// Domains returns the domains with a record, in order.
	Domains() []fleet.DomainID
	// Reachable reports whether a host of the domain has a live link to this
	// host. A host always reaches its own domain.
	Reachable(domain fleet.DomainID) bool
	// Changed returns a channel that is closed at the next change of members,
	// owners, holds or reachability. Call it before reading the state.
	Changed() <-chan struct{}
}
