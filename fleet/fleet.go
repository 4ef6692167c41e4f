// Package fleet defines identifiers of the hosts that run hawthornway and of their
// failure domains.
package fleet

import "fmt"

// HostID identifies a host. It stays the same when the host's process restarts.
type HostID string

// DomainID identifies a failure domain.
type DomainID string

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
