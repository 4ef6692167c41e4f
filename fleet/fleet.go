// Package fleet names the hosts that run hawthornway and the failure domains
// that they stand in.
package fleet

import "fmt"

// HostID names one host. It is stable over restarts of the host's process.
type HostID string

// DomainID names one failure domain.
type DomainID string

// Incarnation tells one run of a host's process from the next. It is the time of
// the start in nanoseconds since 1970, so that a later run has a higher one.
type Incarnation uint64

// Member is one run of a host in a failure domain.
type Member struct {
	Host        HostID
	Domain      DomainID
	Incarnation Incarnation
	// PeerAddress is the IP number and port of the host's peer listener.
	PeerAddress string
}

// String returns the member as "domain/host#incarnation".
func (m Member) String() string {
	return fmt.Sprintf("%s/%s#%d", m.Domain, m.Host, m.Incarnation)
}
