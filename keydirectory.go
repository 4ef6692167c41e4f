package hawthornway

import (
	"hawthornway/config"
	"hawthornway/fleet"
	"hawthornway/member"
	"hawthornway/team"
)

// keyDirectory gives the key store access to the configuration and the membership.
type keyDirectory struct {
	directory directory
	members   member.Ownership
}

// Domains returns the configured failure domains.
func (d keyDirectory) Domains() []fleet.DomainID { return d.directory.Domains() }

// Hosts returns the hosts of all domains.
func (d keyDirectory) Hosts() []fleet.HostID {
	var hosts []fleet.HostID
	for _, domain := range d.members.Domains() {
		for _, m := range d.members.Members(domain) {
			hosts = append(hosts, m.Host)
		}
	}
	return hosts
}

// WhenCutOff returns the team's policy for a host that is cut off.
func (d keyDirectory) WhenCutOff(id team.ID) config.CutOffPolicy {
	teamConfig, _ := d.directory.Team(id)
	return teamConfig.WhenCutOff
}
