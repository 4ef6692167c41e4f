package member

import (
	"hawthornway/fleet"
	"hawthornway/keyvalue"
)

// effect is an action that the state machine requests.
type effect interface {
	effect()
}

type (
	// sendHeartbeat sends a heartbeat to a peer.
	sendHeartbeat struct {
		to        fleet.HostID
		heartbeat heartbeat
	}
	// swapRecord writes the record if its current revision is the expected one.
	swapRecord struct {
		expected keyvalue.Revision
		record   record
		reason   string
	}
	// readRecord reads this domain's record from the key-value service.
	readRecord struct{}
	// fetchRecord asks a peer for the newest record that it knows.
	fetchRecord struct{ from fleet.HostID }
	// requestJoin asks a member to add this host to the record.
	requestJoin struct {
		sponsor   fleet.HostID
		livePeers []process
	}
	// broadcastRecord sends the record that this host wrote to all peers of this
	// domain.
	broadcastRecord struct{}
	// membershipChanged reports that members, owners or leases have changed.
	membershipChanged struct{}
)

func (sendHeartbeat) effect()     {}
func (swapRecord) effect()        {}
func (readRecord) effect()        {}
func (fetchRecord) effect()       {}
func (requestJoin) effect()       {}
func (broadcastRecord) effect()   {}
func (membershipChanged) effect() {}
