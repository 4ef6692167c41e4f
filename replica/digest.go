package replica

import (
	"slices"

	"hawthornway/model"
	"hawthornway/target"
)

// DigestSequence orders the digests of a group: by the owner's fence, and by
// number under one owner.
type DigestSequence struct {
	Fence  target.Fence
	Number uint64
}

// before reports whether a digest is older than another.
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

// Digest returns the present digest, or false while this host does not know all
// replicas.
func (g *Group) Digest() (Digest, bool) {
	if !g.Held() || !g.knowsAll() {
		return Digest{}, false
	}
	return Digest{Sequence: g.Sequence(), Listings: g.listed}, true
}

// Sequence returns the sequence of the present digest.
func (g *Group) Sequence() DigestSequence {
	h := g.holds[0]
	if !h.OK {
		h = g.holds[1]
	}
	return DigestSequence{Fence: h.Hold.Fence, Number: g.number}
}

// Held reports whether this host acts for any engine of the group.
func (g *Group) Held() bool { return g.holds[0].OK || g.holds[1].OK }

// knowsAll reports whether every engine has been read or can't be.
func (g *Group) knowsAll() bool {
	return !slices.ContainsFunc(g.engines, func(e *engineState) bool {
		return !e.gone && !e.reported && e.unreached < unreachedLimit
	})
}

// relist gives the digest a new number if its replicas have changed. A drain
// counts from the digest that no longer lists the replica.
func (g *Group) relist() {
	if !g.stale {
		return
	}
	g.stale = false
	var listings []Listing
	for _, e := range g.engines {
		for _, en := range e.entries {
			if en.serving() && !e.gone && !e.report.Draining {
				listings = append(listings, Listing{Target: e.cfg.Name, Ref: en.ref})
			}
		}
	}
	if !slices.Equal(listings, g.listed) || g.number == 0 {
		g.listed = listings
		g.number++
	}
	for _, e := range g.engines {
		for _, en := range e.entries {
			if en.state == entryDraining && en.drainFrom == 0 {
				en.drainFrom = g.number
			}
		}
	}
}
