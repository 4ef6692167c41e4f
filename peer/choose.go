package peer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hawthornway/fleet"
)

// chooseLinks returns the members that a host keeps links to: all members of its
// own domain, all addresses whose host isn't known yet, and linksPerDomain members
// of each other domain. The latter are selected by rendezvous hashing, so that the
// number of links doesn't grow with the size of other domains.
func chooseLinks(self fleet.Member, members []fleet.Member) []fleet.Member {
	var chosen []fleet.Member
	byDomain := map[fleet.DomainID][]fleet.Member{}
	for _, m := range members {
		switch {
		case m.Host == self.Host || m.PeerAddress == self.PeerAddress:
		case m.Host == "" || m.Domain == self.Domain:
			chosen = append(chosen, m)
		default:
			byDomain[m.Domain] = append(byDomain[m.Domain], m)
		}
	}
	for _, candidates := range byDomain {
		slices.SortFunc(candidates, func(a, b fleet.Member) int {
			return cmp.Compare(linkScore(self.Host, b.Host), linkScore(self.Host, a.Host))
		})
		chosen = append(chosen, candidates[:min(linksPerDomain, len(candidates))]...)
	}
	return chosen
}

func linkScore(from, to fleet.HostID) uint64 {
	return xxhash.Sum64String(string(from) + "\x00" + string(to))
}
