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

// Input is one fact that a Group learns. It is one of Configured, Held, Wanted,
// Left, Reported, Unreached, RecordRead, RecordWritten, Ordered, Used,
// HostsChanged, WeightsRead and Tick.
type Input interface {
	input()
}

// Configured gives the engines of the group and what they can load.
type Configured struct {
	Engines []config.Target
	Catalog *Catalog
	// Keeps names the models whose least number of replicas this group keeps.
	Keeps []model.Name
}

// Held tells whether this host may act for the group's shard.
type Held struct {
	// ChecksFence names the engines that the hold is for.
	ChecksFence bool
	Hold        member.Lease
	OK          bool
	// Elsewhere says that another member owns the shard.
	Elsewhere bool
}

// WantID identifies a want at its owner.
type WantID uint64

// Wanted asks for a replica.
type Wanted struct {
	ID   WantID
	Want LoadRequest
	// Stay asks to wait for memory up to the deadline; without it a want for
	// which there is no memory is refused at once.
	Stay bool
}

// Left withdraws a want.
type Left struct {
	ID WantID
}

// Reported is a target's report.
type Reported struct {
	Report engine.Report
	// AskedAt is when the report was asked for, by this host's clock.
	AskedAt time.Time
	// Fresh says that the report was made after it was asked for.
	Fresh bool
}

// Unreached says that a target did not answer.
type Unreached struct {
	Target target.ID
}

// RecordRead is the answer to ReadRecord.
type RecordRead struct {
	Target target.ID
	// OK says that the service answered.
	OK bool
	// Record is nil if there is none.
	Record   *Record
	Revision keyvalue.Revision
}

// WriteResult says what came of a write.
type WriteResult int

// The results of a write.
const (
	WriteDone WriteResult = iota
	// WriteConflict says that the record had another revision.
	WriteConflict
	// WriteUnavailable says that the write had no effect.
	WriteUnavailable
	// WriteUnknown says that the write may have had effect.
	WriteUnknown
)

// RecordWritten is the answer to WriteRecord.
type RecordWritten struct {
	Target   target.ID
	Write    WriteID
	Result   WriteResult
	Revision keyvalue.Revision
}

// Ordered is the answer to GiveOrder.
type Ordered struct {
	Target target.ID
	Order  engine.OrderID
	Result OrderResult
}

// Use is what a host's requests do with one replica.
type Use struct {
	Target target.ID
	Model  model.Name
	// Started counts the requests begun since the last notice.
	Started int
	// Running counts the requests that have not ended.
	Running int
}

// Used tells what a host does with the group's replicas. Replicas that are not
// listed have no request of the host.
type Used struct {
	Host fleet.HostID
	// Seen is the last digest that the host acts by.
	Seen DigestSequence
	Uses []Use
}

// HostsChanged lists the hosts that may send requests to the group's replicas.
type HostsChanged struct {
	Hosts []fleet.HostID
}

// WeightsRead is the state of the weight store.
type WeightsRead struct {
	Weights WeightStoreState
}

// Tick lets time pass.
type Tick struct{}

func (Configured) input()    {}
func (Held) input()          {}
func (Wanted) input()        {}
func (Left) input()          {}
func (Reported) input()      {}
func (Unreached) input()     {}
func (RecordRead) input()    {}
func (RecordWritten) input() {}
func (Ordered) input()       {}
func (Used) input()          {}
func (HostsChanged) input()  {}
func (WeightsRead) input()   {}
func (Tick) input()          {}
