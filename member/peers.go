package member

import (
	"time"

	"hawthornway/fleet"
)

// hostListEvery spaces reads of the platform's host list.
const hostListEvery = 10 * time.Second

// noteListed takes in the platform's host list.
func (c *Controller) noteListed(listed []ListedHost) {
	mine := map[fleet.HostID]bool{}
	var members []fleet.Member
	for _, h := range listed {
		if h.Domain == c.self.Domain {
			mine[h.Host] = true
		}
		members = append(members, fleet.Member{Host: h.Host, Domain: h.Domain, PeerAddress: h.Address})
	}
	c.mu.Lock()
	c.listed = members
	c.mu.Unlock()
	c.apply(hostsListed{listed: mine})
	c.updatePeers()
}

// updatePeers tells the links whom to keep links to: recorded members, then
// listed hosts, then the given addresses.
func (c *Controller) updatePeers() {
	c.mu.Lock()
	members := c.view.members()
	known := map[fleet.HostID]bool{}
	addresses := map[string]bool{}
	for _, m := range members {
		known[m.Host], addresses[m.PeerAddress] = true, true
	}
	for _, m := range c.listed {
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
