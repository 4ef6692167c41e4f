package replica

import (
	"slices"

	"hawthornway/model"
	"hawthornway/target"
)

// DigestSequence orders the digests of a group: by the owner's fence, then by
// the number under one owner.
type DigestSequence struct {
	Fence  target.Fence
	Number uint64
}

// before reports whether s is older than o.
func (s DigestSequence) before(o DigestSequence) bool {
	if s.Fence != o.Fence {
		return s.Fence < o.Fence
	}
	return s.Number < o.Number
}

// Listing is one replica of a digest.
type Listing struct {
	Target target.ID
	Ref    model.Ref
}

// Digest lists the replicas that hosts may send requests to.
type Digest struct {
	Sequence DigestSequence
	Listings []Listing
}

// Digest returns the current digest, or false while this host does not know all
// replicas.
func (g *Group) Digest() (Digest, bool) {
	if !g.HasLease() || !g.allEnginesReported() {
		return Digest{}, false
	}
	return Digest{Sequence: g.Sequence(), Listings: g.listings}, true
}

// Sequence returns the sequence of the current digest.
func (g *Group) Sequence() DigestSequence {
	lease := g.leases[0]
	if !lease.OK {
		lease = g.leases[1]
	}
	return DigestSequence{Fence: lease.Lease.Fence, Number: g.digestNumber}
}

// HasLease reports whether this host has a lease for any engine of the group.
func (g *Group) HasLease() bool { return g.leases[0].OK || g.leases[1].OK }

// allEnginesReported reports whether every engine has reported or is out of
// reach.
func (g *Group) allEnginesReported() bool {
	return !slices.ContainsFunc(g.engines, func(e *engineState) bool {
		return !e.removed && !e.hasReport && e.failedReports < maxFailedReports
	})
}

// updateDigest gives the digest a new number if its replicas have changed. A
// drain takes effect with the first digest that no longer lists the replica.
func (g *Group) updateDigest() {
	if !g.listingsStale {
		return
	}
	g.listingsStale = false
	var listings []Listing
	for _, e := range g.engines {
		for _, rep := range e.replicas {
			if rep.serving() && !e.removed && !e.report.Draining {
				listings = append(listings, Listing{Target: e.cfg.Name, Ref: rep.ref})
			}
		}
	}
	if !slices.Equal(listings, g.listings) || g.digestNumber == 0 {
		g.listings = listings
		g.digestNumber++
	}
	for _, e := range g.engines {
		for _, rep := range e.replicas {
			if rep.state == replicaDraining && rep.drainDigest == 0 {
				rep.drainDigest = g.digestNumber
			}
		}
	}
}
