package replica

import (
	"time"

	"hawthornway/config"
	"hawthornway/engine"
	"hawthornway/keyvalue"
	"hawthornway/model"
	"hawthornway/target"
	"hawthornway/team"
)

// replicaState is the stage of a replica's lifecycle on its engine.
type replicaState int

const (
	// replicaDecided replicas wait for their record to be written and their
	// load order to be sent.
	replicaDecided replicaState = iota
	// replicaLoading replicas have a load order that was sent, or may have
	// been.
	replicaLoading
	// replicaReady replicas were reported ready by the engine.
	replicaReady
	// replicaDraining replicas take no new requests.
	replicaDraining
	// replicaUnloading replicas wait for their unload order and for
	// confirmation that they are gone.
	replicaUnloading
)

// orderStatus tracks the copies of one order that were sent.
type orderStatus struct {
	id engine.OrderID
	// maybeSent is set if this owner or an earlier one may have sent a copy.
	maybeSent bool
	// inFlight is set while a call that sends a copy is running.
	inFlight bool
	// accepted is set if the engine accepted the order.
	accepted   bool
	acceptedAt time.Time
	sequence   engine.Sequence
	// mayArrive is set if a copy without a known result may still arrive.
	mayArrive bool
	// lastSentAt is an upper bound of the time at which the last such copy was
	// sent.
	lastSentAt time.Time
	retryAt    time.Time
	refusals   int
}

// placedReplica is a replica that was decided or that an engine reported. Its
// memory is reserved until the replica is confirmed gone.
type placedReplica struct {
	engine *engineState
	ref    model.Ref
	bytes  model.Bytes
	team   team.ID
	item   *Item
	state  replicaState
	// orderFence is the fence of the last order that this host sent for the
	// replica.
	orderFence target.Fence
	// loadVersion is the first version of the engine's decisions that includes
	// the replica.
	loadVersion uint64
	source      Source
	load        orderStatus
	unload      orderStatus

	// missing is set if the last report neither listed the replica nor
	// confirmed it gone.
	missing bool
	// seen is set once a report has listed the replica.
	seen         bool
	seenBoot     engine.BootID
	seenSequence engine.Sequence
	seenAt       time.Time

	// decidedBoot is the engine's boot when the replica was decided; zero if
	// unknown.
	decidedBoot      engine.BootID
	decidedAt        time.Time
	loadStartedAt    time.Time
	expectedLoadTime time.Duration
	readyAt          time.Time
	lastUse          time.Time
	// usedSinceReady is set once a host has reported a request since the
	// replica was ready.
	usedSinceReady bool
	// unloadVersion is the first version of the engine's decisions that
	// includes the unload.
	unloadVersion uint64
	// unloadsArriveUntil is the time after which no unload order of an earlier
	// owner can arrive.
	unloadsArriveUntil time.Time
	// drainDigest is the number of the first digest without the replica; zero
	// until there is one.
	drainDigest    uint64
	drainStartedAt time.Time
}

// serving reports whether requests may be sent to the replica.
func (rep *placedReplica) serving() bool { return rep.state == replicaReady }

// pending reports whether the replica is decided or loading.
func (rep *placedReplica) pending() bool {
	return rep.state == replicaDecided || rep.state == replicaLoading
}

// startUnload marks the replica to be unloaded. The unload order is sent once
// that is recorded.
func (rep *placedReplica) startUnload() {
	rep.state = replicaUnloading
	rep.engine.decisionsChanged()
	rep.unloadVersion = rep.engine.version
}

// decision returns the replica as the record stores it.
func (rep *placedReplica) decision() Decision {
	d := Decision{ID: rep.load.id, Ref: rep.ref, Bytes: rep.bytes, Team: rep.team, State: DecisionDecided}
	switch {
	case rep.state == replicaUnloading:
		d.State = DecisionUnloading
	case rep.state == replicaReady || rep.state == replicaDraining:
		d.State = DecisionReady
	case rep.seen || rep.load.accepted && !rep.load.mayArrive:
		d.State = DecisionAccepted
	}
	return d
}

// takeoverPhase is the stage of an engine's takeover.
type takeoverPhase int

const (
	// phaseInactive means that this host does not act for the engine.
	phaseInactive takeoverPhase = iota
	// phaseReading reads the record.
	phaseReading
	// phaseClaiming writes the record under this owner's fence.
	phaseClaiming
	// phaseFencing raises the fence of an engine that checks fences.
	phaseFencing
	// phaseConfirming waits for a report that shows the effect of every order
	// of earlier owners.
	phaseConfirming
	// phaseActive sends orders.
	phaseActive
)

// engineState is what the group's owner knows of one engine.
type engineState struct {
	cfg         config.Target
	phase       takeoverPhase
	fence       target.Fence
	leasedSince time.Time
	// takeoverRetryAt is the time at which a failed step of the takeover is
	// retried.
	takeoverRetryAt     time.Time
	takeoverCallRunning bool
	// confirmFrom is the earliest time of a report request whose report can end
	// the takeover.
	confirmFrom  time.Time
	fenceOrderID engine.OrderID
	// otherGroupSince is the time since which the record names another group
	// that has not released the engine; zero if it doesn't.
	otherGroupSince time.Time
	fencedAt        time.Time
	// removed is set if the configuration no longer lists the engine in this
	// group.
	removed bool

	recordRevision keyvalue.Revision
	// claimed is set if the record was written under this fence.
	claimed bool
	// version counts the changes of the decisions; recordedVersion is the
	// latest version that the record stores.
	version         uint64
	recordedVersion uint64
	// pendingWrite is the write of pendingVersion whose result is not known yet;
	// empty if there is none.
	pendingWrite   WriteID
	pendingVersion uint64
	writeCount     uint64
	nextWriteAt    time.Time
	// releaseVersion is the first version whose record marks the engine
	// released; zero before that.
	releaseVersion uint64
	// storeOutage is set if the key-value service could not be reached for the
	// last read or write.
	storeOutage bool
	// rereadingRecord is set while the record is read again, for resolveWrite.
	rereadingRecord bool

	replicas        []*placedReplica
	lastOrderNumber uint64
	hasReport       bool
	report          engine.Report
	// reportRequestedAt is the time at which the last fresh report was
	// requested.
	reportRequestedAt time.Time
	// nextReportAt is the earliest time of the next request for a fresh report.
	nextReportAt time.Time
	// failedReports counts consecutive failed reports.
	failedReports int
	// failedLoads counts the failed loads since the last one that succeeded.
	failedLoads int
	// avoidUntil maps each model that failed to load here to the time until
	// which it is not placed here.
	avoidUntil map[model.Name]time.Time
}

// maxFailedReports is the number of consecutive failed reports after which an
// engine gets no new loads.
const maxFailedReports = 3

// memory returns the engine's memory: the configured size, or the reported one
// if that is smaller or none is configured.
func (e *engineState) memory() model.Bytes {
	if e.report.Memory > 0 && (e.cfg.Memory == 0 || e.report.Memory < e.cfg.Memory) {
		return e.report.Memory
	}
	return e.cfg.Memory
}

// reserved returns the memory of all replicas that are not confirmed gone, plus
// the engine's overhead.
func (e *engineState) reserved() model.Bytes {
	var sum model.Bytes
	for _, rep := range e.replicas {
		sum += rep.bytes
	}
	return sum + e.overhead()
}

// overhead returns the memory that the engine uses besides its replicas.
func (e *engineState) overhead() model.Bytes {
	overhead := e.report.Used
	for _, r := range e.report.Replicas {
		overhead -= r.Bytes
	}
	return max(0, overhead)
}

// find returns the replica of a model, or nil.
func (e *engineState) find(name model.Name) *placedReplica {
	for _, rep := range e.replicas {
		if rep.ref.Name == name {
			return rep
		}
	}
	return nil
}

// source returns the fastest source that the engine has for a model's weights.
func (e *engineState) source(ref model.Ref) Source {
	best := SourceRemote
	for _, c := range e.report.Cached {
		if c.Name != ref.Name || c.Version != ref.Version {
			continue
		}
		if c.Tier == engine.TierMemory {
			return SourceMemory
		}
		best = SourceDisk
	}
	return best
}

// acceptsLoads reports whether new loads may be placed on the engine.
func (e *engineState) acceptsLoads() bool {
	return e.phase == phaseActive && !e.removed && !e.report.Draining && e.failedReports < maxFailedReports
}

// decisionsChanged marks the decisions as different from the record.
func (e *engineState) decisionsChanged() { e.version++ }
