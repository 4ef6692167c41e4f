package limit

import (
	"maps"
	"slices"

	"hawthornway/fleet"
	"hawthornway/team"
)

// Share is a failure domain's part of a team's limit, in millionths.
type Share int64

// WholeLimit is the sum that a team's shares never pass.
const WholeLimit Share = 1_000_000

// The rules by which a domain gives shares away.
const (
	// floorPart is the part of an equal split that no domain gives away, so
	// that a domain that is cut off can serve something.
	floorPart = 0.25
	// reserve is how much more than its own demand a domain keeps.
	reserve = 1.25
	// leastMove is the part of its share that another domain must have taken
	// before a domain gives to it.
	leastMove = 0.2
)

// Of returns the part of a limit that the share stands for.
func (s Share) Of(limit Limit) Part {
	return Part{
		Rate:     float64(limit.Rate) * float64(s),
		Capacity: Micro(limit.Burst) * Micro(s),
	}
}

// Shares divides a team's limit among failure domains.
type Shares map[fleet.DomainID]Share

// EqualShares returns new Shares in which all domains have the same, but for
// one millionth.
func EqualShares(domains []fleet.DomainID) Shares {
	s := make(Shares, len(domains))
	for i, d := range domains {
		begin := WholeLimit * Share(i) / Share(len(domains))
		end := WholeLimit * Share(i+1) / Share(len(domains))
		s[d] = end - begin
	}
	return s
}

// Demand is the tokens a second that each domain's hosts took from one ledger.
type Demand map[fleet.DomainID]team.TokensPerSecond

// steady returns the demand that lasted: for domains other than the ledger's
// own, the mean of two demands in a row.
func (d Demand) steady(before Demand, own fleet.DomainID) Demand {
	steady := make(Demand, len(d))
	for domain, rate := range d {
		if domain != own {
			rate = (rate + before[domain]) / 2
		}
		steady[domain] = rate
	}
	return steady
}

// Give returns what the domain from gives to others, given the demand at its
// own ledger. Only domains in the list get any; a domain that is no longer in
// it gives all. Nil means nothing.
func (s Shares) Give(from fleet.DomainID, domains []fleet.DomainID, demand Demand, limit Limit) Shares {
	if len(domains) == 0 || s[from] == 0 {
		return nil
	}
	if !slices.Contains(domains, from) {
		return s.giveAll(from, domains)
	}
	equal := WholeLimit / Share(len(domains))
	floor := Share(floorPart * float64(equal))
	wants := s.wants(from, domains, demand, limit, floor)
	var total Share
	for _, want := range wants {
		total += want
	}
	kept := max(floor, Share(reserve*float64(shareOf(demand[from], limit))))
	free := min(total, s[from]-kept)
	if free <= 0 {
		return nil
	}
	return wants.scale(free, total)
}

// wants returns what other domains lack: what their hosts took here, and what
// is missing to the floor.
func (s Shares) wants(from fleet.DomainID, domains []fleet.DomainID, demand Demand, limit Limit, floor Share) Shares {
	wants := make(Shares)
	for _, d := range domains {
		if d == from {
			continue
		}
		taken := shareOf(demand[d], limit)
		if float64(taken) >= leastMove*float64(s[from]) {
			wants[d] = taken
		}
		if s[d] < floor/2 {
			wants[d] = max(wants[d], floor-s[d])
		}
	}
	return wants
}

func (s Shares) giveAll(from fleet.DomainID, domains []fleet.DomainID) Shares {
	return EqualShares(domains).scale(s[from], WholeLimit)
}

// scale returns the shares times part/whole, rounded down.
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

func shareOf(rate team.TokensPerSecond, limit Limit) Share {
	if limit.Rate <= 0 {
		return 0
	}
	return Share(min(1, float64(rate/limit.Rate)) * float64(WholeLimit))
}
