// Package fleet defines identifiers of the hosts that run hawthornway and of their
// failure domains.
package fleet

import (
	"fmt"
	"slices"
	"strings"
)

// HostID identifies a host. It stays the same when the host's process restarts.
type HostID string

// DomainID identifies a failure domain.
type DomainID string

// RegionID identifies a region, a group of failure domains.
type RegionID string

// Regions maps failure domains to their regions.
type Regions map[DomainID]RegionID

// RegionSet is a set of regions, in a form that can be compared. The zero value means any region.
type RegionSet string

// regionSeparator can't occur in names of regions.
const regionSeparator = "\n"

// NewRegionSet returns the set of some regions, or of any region if there are none.
func NewRegionSet(regions ...RegionID) RegionSet {
	names := make([]string, 0, len(regions))
	for _, region := range regions {
		names = append(names, string(region))
	}
	slices.Sort(names)
	return RegionSet(strings.Join(slices.Compact(names), regionSeparator))
}

// Limited reports whether the set excludes any region.
func (s RegionSet) Limited() bool { return s != "" }

// Includes reports whether a region is in the set.
func (s RegionSet) Includes(region RegionID) bool {
	if !s.Limited() {
		return true
	}
	for name := range strings.SplitSeq(string(s), regionSeparator) {
		if name == string(region) {
			return true
		}
	}
	return false
}

// Incarnation identifies one run of a host's process. It is the start time in
// nanoseconds since the Unix epoch, so that later runs have higher values.
type Incarnation uint64

// Member is one incarnation of a host in a failure domain.
type Member struct {
	Host        HostID
	Domain      DomainID
	Incarnation Incarnation
	// PeerAddress is the IP address and port of the host's peer listener.
	PeerAddress string
}

// String returns the member as "domain/host#incarnation".
func (m Member) String() string {
	return fmt.Sprintf("%s/%s#%d", m.Domain, m.Host, m.Incarnation)
}
