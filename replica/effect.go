package replica

import (
	"hawthornway/engine"
	"hawthornway/keyvalue"
	"hawthornway/outcome"
	"hawthornway/target"
)

// Effect is an action that a Group asks its caller to carry out. It is one of
// ReadRecord, WriteRecord, SendOrder, RequestReport and Answer.
type Effect interface {
	effect()
}

// ReadRecord reads the record of a target.
type ReadRecord struct {
	Target target.ID
}

// WriteRecord writes the record of a target if it has the expected revision.
type WriteRecord struct {
	Target   target.ID
	Expected keyvalue.Revision
	Record   Record
}

// SendOrder sends an order to a target if this host still has the group's lease
// under the order's fence.
type SendOrder struct {
	Target target.ID
	Order  engine.Order
}

// RequestReport requests a fresh report from a target.
type RequestReport struct {
	Target target.ID
}

// Answer ends a load request, with a replica or with a refusal.
type Answer struct {
	ID      RequestID
	Replica Replica
	Source  Source
	Refusal *outcome.NotRun
}

func (ReadRecord) effect()    {}
func (WriteRecord) effect()   {}
func (SendOrder) effect()     {}
func (RequestReport) effect() {}
func (Answer) effect()        {}
