package replica

import (
	"time"

	"hawthornway/config"
	"hawthornway/engine"
	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/member"
	"hawthornway/model"
	"hawthornway/target"
)

// Input is an event that a Group handles. It is one of Configured,
// LeaseChanged, LoadRequested, RequestWithdrawn, ReportReceived, ReportFailed,
// RecordRead, RecordWritten, OrderAnswered, UseReported, HostsChanged,
// WeightStoreRead and Tick.
type Input interface {
	input()
}

// Configured carries the engines of the group and the catalog of what they can
// load.
type Configured struct {
	Engines []config.Target
	Catalog *Catalog
	// MinReplicaModels names the models whose minimum number of replicas this
	// group maintains.
	MinReplicaModels []model.Name
}

// LeaseChanged carries this host's lease of the group's shard.
type LeaseChanged struct {
	// ChecksFence is set if the lease is for the engines that check fences,
	// clear if it is for the others.
	ChecksFence bool
	Lease       member.Lease
	OK          bool
	// OwnedElsewhere is set if another member owns the shard.
	OwnedElsewhere bool
}

// RequestID identifies a load request at its owner.
type RequestID uint64

// LoadRequested asks for a replica.
type LoadRequested struct {
	ID      RequestID
	Request LoadRequest
	// WaitForMemory makes the request wait for memory up to its deadline.
	// Without it, the request is refused once there has been no memory for
	// blockedTimeout.
	WaitForMemory bool
}

// RequestWithdrawn withdraws a load request.
type RequestWithdrawn struct {
	ID RequestID
}

// ReportReceived carries a target's report.
type ReportReceived struct {
	Report engine.Report
	// RequestedAt is the time at which the report was requested, by this host's
	// clock.
	RequestedAt time.Time
	// Fresh is set if the report was made after it was requested.
	Fresh bool
}

// ReportFailed means that a target did not respond to a request for its report.
type ReportFailed struct {
	Target target.ID
}

// RecordRead is the answer to ReadRecord.
type RecordRead struct {
	Target target.ID
	// OK is set if the key-value service answered.
	OK bool
	// Record is nil if the target has no record.
	Record   *Record
	Revision keyvalue.Revision
}

// WriteResult is the result of writing a record.
type WriteResult int

// The results of a write.
const (
	WriteDone WriteResult = iota
	// WriteConflict means that the record had another revision.
	WriteConflict
	// WriteUnavailable means that the write had no effect.
	WriteUnavailable
	// WriteUnknown means that the write may have taken effect.
	WriteUnknown
)

// RecordWritten is the answer to WriteRecord.
type RecordWritten struct {
	Target   target.ID
	Write    WriteID
	Result   WriteResult
	Revision keyvalue.Revision
}

// OrderAnswered is the answer to SendOrder.
type OrderAnswered struct {
	Target target.ID
	Order  engine.OrderID
	Result OrderResult
}

// RequestCounts counts a host's requests at one replica.
type RequestCounts struct {
	Target target.ID
	Model  model.Name
	// Started counts the requests that began since the last message.
	Started int
	// Running counts the requests that have not ended.
	Running int
}

// UseReported carries a host's use of the group's replicas. The host has no
// requests at replicas that are not in Uses.
type UseReported struct {
	Host fleet.HostID
	// SeenDigest is the latest digest that the host has applied.
	SeenDigest DigestSequence
	Uses       []RequestCounts
}

// HostsChanged lists the hosts that may send requests to the group's replicas.
type HostsChanged struct {
	Hosts []fleet.HostID
}

// WeightStoreRead carries the state of the weight store.
type WeightStoreRead struct {
	State WeightStoreState
}

// Tick advances the group's time.
type Tick struct{}

func (Configured) input()       {}
func (LeaseChanged) input()     {}
func (LoadRequested) input()    {}
func (RequestWithdrawn) input() {}
func (ReportReceived) input()   {}
func (ReportFailed) input()     {}
func (RecordRead) input()       {}
func (RecordWritten) input()    {}
func (OrderAnswered) input()    {}
func (UseReported) input()      {}
func (HostsChanged) input()     {}
func (WeightStoreRead) input()  {}
func (Tick) input()             {}
