package member

import (
	"time"

	"hawthornway/fleet"
)

// hostListInterval is the shortest time between reads of the platform's host list.
const hostListInterval = 10 * time.Second

// handleHostList handles a new copy of the platform's host list.
func (c *Controller) handleHostList(listed []ListedHost) {
	ownDomain := map[fleet.HostID]bool{}
	var members []fleet.Member
	for _, h := range listed {
		if h.Domain == c.self.Domain {
			ownDomain[h.Host] = true
		}
		members = append(members, fleet.Member{Host: h.Host, Domain: h.Domain, PeerAddress: h.Address})
	}
	c.mu.Lock()
	c.listedHosts = members
	c.mu.Unlock()
	c.apply(hostsListed{listed: ownDomain})
	c.updatePeers()
}

// updatePeers sets the peers to keep links to: recorded members, then listed
// hosts, then the seed addresses.
func (c *Controller) updatePeers() {
	c.mu.Lock()
	members := c.view.members()
	known := map[fleet.HostID]bool{}
	addresses := map[string]bool{}
	for _, m := range members {
		known[m.Host], addresses[m.PeerAddress] = true, true
	}
	for _, m := range c.listedHosts {
		if !known[m.Host] && m.PeerAddress != "" {
			known[m.Host], addresses[m.PeerAddress] = true, true
			members = append(members, m)
		}
	}
	c.mu.Unlock()
	for _, address := range c.seeds {
		if !addresses[address] && address != c.self.PeerAddress {
			members = append(members, fleet.Member{PeerAddress: address})
		}
	}
	c.links.SetPeers(members)
}
