package member

import (
	"time"

	"hawthornway/fleet"
	"hawthornway/target"
)

// Lease is the right of this host to act for a shard for a limited time.
type Lease struct {
	Shard Shard
	// Fence is the fencing token, which rises with each change of the owner.
	Fence target.Fence
	// Until is when the lease ends unless it is renewed. It is zero for a lease
	// that is guarded by fences only. A lease can end earlier, so callers must
	// check it again before each order.
	Until time.Time
	// Since is when this host learned that it owns the shard with this fence.
	Since time.Time
	// HandedOver is set if the previous owner stopped in an orderly manner, so
	// that none of its orders is still in flight.
	HandedOver bool
}

// Ownership provides the members and the shard owners of each failure domain.
type Ownership interface {
	// Self returns this host's own identity as a member.
	Self() fleet.Member
	// Lease returns this host's current lease on a shard of its own domain, and
	// whether there is one. If checksFence is set, the lease is valid only for
	// targets that refuse orders with an old fence, and needs no promises of other
	// hosts.
	Lease(shard Shard, checksFence bool) (Lease, bool)
	// Owner returns the owner of a shard according to the domain's record.
	Owner(domain fleet.DomainID, shard Shard) (fleet.Member, bool)
	// Members returns the members of a domain according to its record, ordered by
	// host.
	Members(domain fleet.DomainID) []fleet.Member
	// Domains returns the domains with a record, sorted.
	Domains() []fleet.DomainID
	// Reachable reports whether a host of the domain has a live link to this
	// host. A host always reaches its own domain.
	Reachable(domain fleet.DomainID) bool
	// Changed returns a channel that is closed at the next change of members,
	// owners, leases or reachability. Call it before reading the state.
	Changed() <-chan struct{}
}
