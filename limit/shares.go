package limit

import (
	"maps"
	"slices"

	"hawthornway/fleet"
	"hawthornway/team"
)

// Share is a failure domain's share of a team's limit, in millionths.
type Share int64

// WholeLimit is the whole of a team's limit, which the sum of its shares never exceeds.
const WholeLimit Share = 1_000_000

// The rules by which a domain transfers shares to others.
const (
	// floorFraction is the fraction of an equal split that a domain always keeps, so
	// that it can serve some requests while it is cut off.
	floorFraction = 0.25
	// ownDemandFactor is the multiple of its own demand that a domain keeps.
	ownDemandFactor = 1.25
	// minTransferFraction is the fraction of a domain's share that another domain must
	// have taken before the domain transfers shares to it.
	minTransferFraction = 0.2
)

// Of returns the part of a limit that the share amounts to.
func (s Share) Of(limit Limit) BucketLimit {
	return BucketLimit{
		Rate:     float64(limit.Rate) * float64(s),
		Capacity: MicroTokens(limit.Burst) * MicroTokens(s),
	}
}

// Shares divides a team's limit among failure domains.
type Shares map[fleet.DomainID]Share

// EqualShares returns new Shares that divide the whole limit equally, up to one
// millionth.
func EqualShares(domains []fleet.DomainID) Shares {
	s := make(Shares, len(domains))
	for i, d := range domains {
		start := WholeLimit * Share(i) / Share(len(domains))
		end := WholeLimit * Share(i+1) / Share(len(domains))
		s[d] = end - start
	}
	return s
}

// Demand is the tokens per second that each domain's hosts took from one ledger.
type Demand map[fleet.DomainID]team.TokensPerSecond

// smoothed returns the demand with the values of domains other than the ledger's own
// averaged with the previous ones, so that shares don't follow a short peak.
func (d Demand) smoothed(previous Demand, own fleet.DomainID) Demand {
	smoothed := make(Demand, len(d))
	for domain, rate := range d {
		if domain != own {
			rate = (rate + previous[domain]) / 2
		}
		smoothed[domain] = rate
	}
	return smoothed
}

// Transfer returns the shares that the domain from transfers to others, by the demand
// at its own ledger. Only the domains listed receive shares; a domain that is no
// longer listed transfers all of its own. It returns nil if there is nothing to
// transfer.
func (s Shares) Transfer(from fleet.DomainID, domains []fleet.DomainID, demand Demand, limit Limit) Shares {
	if len(domains) == 0 || s[from] == 0 {
		return nil
	}
	if !slices.Contains(domains, from) {
		return s.transferAll(from, domains)
	}
	equal := WholeLimit / Share(len(domains))
	floor := Share(floorFraction * float64(equal))
	deficits := s.deficits(from, domains, demand, limit, floor)
	var total Share
	for _, deficit := range deficits {
		total += deficit
	}
	keep := max(floor, Share(ownDemandFactor*float64(shareForRate(demand[from], limit))))
	available := min(total, s[from]-keep)
	if available <= 0 {
		return nil
	}
	return deficits.scale(available, total)
}

// deficits returns the shares that other domains lack: what their hosts took from this
// domain's ledger, and at least what is missing to the floor.
func (s Shares) deficits(from fleet.DomainID, domains []fleet.DomainID, demand Demand, limit Limit, floor Share) Shares {
	deficits := make(Shares)
	for _, d := range domains {
		if d == from {
			continue
		}
		taken := shareForRate(demand[d], limit)
		if float64(taken) >= minTransferFraction*float64(s[from]) {
			deficits[d] = taken
		}
		if s[d] < floor/2 {
			deficits[d] = max(deficits[d], floor-s[d])
		}
	}
	return deficits
}

// transferAll divides all of a domain's share equally among others.
func (s Shares) transferAll(from fleet.DomainID, domains []fleet.DomainID) Shares {
	return EqualShares(domains).scale(s[from], WholeLimit)
}

// scale returns the shares multiplied by part/whole, rounded down.
func (s Shares) scale(part, whole Share) Shares {
	scaled := make(Shares, len(s))
	for d, share := range s {
		scaled[d] = Share(float64(share) * float64(part) / float64(whole))
	}
	return scaled
}

// Sum returns the sum of all shares.
func (s Shares) Sum() Share {
	var sum Share
	for share := range maps.Values(s) {
		sum += share
	}
	return sum
}

// shareForRate returns the share of a limit that a rate amounts to.
func shareForRate(rate team.TokensPerSecond, limit Limit) Share {
	if limit.Rate <= 0 {
		return 0
	}
	return Share(min(1, float64(rate/limit.Rate)) * float64(WholeLimit))
}
