package member

import (
	"hawthornway/fleet"
	"hawthornway/keyvalue"
)

// input is an event that the state machine handles: a tick, a heartbeat, a
// record, the result of a write, the host list, or a request.
type input interface {
	input()
}

type (
	// tick advances the time. linked lists the peers of this domain that have a
	// live link.
	tick struct{ linked []fleet.Member }
	// heartbeatReceived is a heartbeat from a peer of this domain.
	heartbeatReceived struct {
		from      fleet.Member
		heartbeat heartbeat
	}
	// recordLearned is this domain's record, from the key-value service or a peer.
	recordLearned struct {
		record record
		// fromStore is set if the record was the newest one when it was read.
		fromStore bool
	}
	// recordMissing reports that the key-value service has no record of the domain.
	recordMissing struct {
		// revision is the revision of the service at that moment.
		revision keyvalue.Revision
	}
	// readFailed reports that reading from the key-value service failed.
	readFailed struct{}
	// swapEnded is the result of a swapRecord effect.
	swapEnded struct {
		result   swapResult
		revision keyvalue.Revision
	}
	// joinRequested is a peer's request to be added to the record.
	joinRequested struct {
		member    fleet.Member
		livePeers []process
	}
	// hostsListed is the platform's list of live hosts of this domain.
	hostsListed struct{ listed map[fleet.HostID]bool }
	// hostDeclaredDead is an operator's statement that a host's process is dead.
	hostDeclaredDead struct{ host fleet.HostID }
	// shardReleased reports that all orders of a shard with a pending handover are
	// answered.
	shardReleased struct{ shard Shard }
	// leaveRequested is the request that this host leaves its domain.
	leaveRequested struct{}
)

func (tick) input()              {}
func (heartbeatReceived) input() {}
func (recordLearned) input()     {}
func (recordMissing) input()     {}
func (readFailed) input()        {}
func (swapEnded) input()         {}
func (joinRequested) input()     {}
func (hostsListed) input()       {}
func (hostDeclaredDead) input()  {}
func (shardReleased) input()     {}
func (leaveRequested) input()    {}

// swapResult is the result of a write of the record.
type swapResult int

const (
	swapSucceeded swapResult = iota
	// After swapConflict and swapUnavailable the write had no effect.
	swapConflict
	swapUnavailable
	// After swapUnknown the write may have taken effect, or may still do so.
	swapUnknown
)
