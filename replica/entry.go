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

// entryState is how far a replica has come.
type entryState int

const (
	// entryDecided waits for its record and for its load order.
	entryDecided entryState = iota
	// entryLoading was ordered, or may have been.
	entryLoading
	// entryReady was reported as ready by the engine.
	entryReady
	// entryDraining takes no new requests.
	entryDraining
	// entryUnloading waits for its unload order and for the proof of its end.
	entryUnloading
)

// orderCopies follows the copies of one order that were sent.
type orderCopies struct {
	id engine.OrderID
	// sent says that a copy may have left this or an earlier owner.
	sent bool
	// inFlight says that a call is running.
	inFlight bool
	// accepted says that the engine took the order.
	accepted   bool
	acceptedAt time.Time
	sequence   engine.Sequence
	// unknown says that some copy may still arrive.
	unknown bool
	// lastSent is when the last such copy was sent, or later.
	lastSent time.Time
	retryAt  time.Time
	refusals int
}

// entry is one replica that was decided, or that an engine reports. Its memory
// is reserved until the entry is proved gone.
type entry struct {
	engine *engineState
	ref    model.Ref
	bytes  model.Bytes
	team   team.ID
	item   *Item
	state  entryState
	// fence is that of the last order that this host gave for the entry.
	fence target.Fence
	// version is that of the engine's decisions in which the entry first stood.
	version uint64
	source  Source
	load    orderCopies
	unload  orderCopies

	// missing says that the last report did not show the entry and proved
	// nothing.
	missing bool
	// seen says that a report has shown the entry.
	seen         bool
	seenBoot     engine.Boot
	seenSequence engine.Sequence
	seenAt       time.Time

	// decidedBoot is the engine's boot when the entry was decided; zero if not
	// known.
	decidedBoot engine.Boot
	decidedAt   time.Time
	startedAt   time.Time
	expected    time.Duration
	readyAt     time.Time
	lastUse     time.Time
	// usedOnce says that a host has told of a request since it was ready.
	usedOnce bool
	// unloadVersion is that of the engine's decisions in which the unload first
	// stood.
	unloadVersion uint64
	// lateUnload is when no unload order of an earlier owner can arrive any
	// more.
	lateUnload time.Time
	// drainFrom is the digest that told hosts to send nothing more.
	drainFrom uint64
	drainAt   time.Time
}

// serving reports whether requests may be sent to the entry.
func (en *entry) serving() bool { return en.state == entryReady }

// coming reports whether the entry is on its way to be ready.
func (en *entry) coming() bool { return en.state == entryDecided || en.state == entryLoading }

// endUse has the entry unloaded. The unload order follows once that is
// recorded.
func (en *entry) endUse() {
	en.state = entryUnloading
	en.engine.changed()
	en.unloadVersion = en.engine.version
}

// decision returns what the record holds of the entry.
func (en *entry) decision() Decision {
	d := Decision{ID: en.load.id, Ref: en.ref, Bytes: en.bytes, Team: en.team, State: DecisionDecided}
	switch {
	case en.state == entryUnloading:
		d.State = DecisionUnloading
	case en.state == entryReady || en.state == entryDraining:
		d.State = DecisionReady
	case en.seen || en.load.accepted && !en.load.unknown:
		d.State = DecisionAccepted
	}
	return d
}

// phase is how far the takeover of an engine has come.
type phase int

const (
	// phaseOff means that this host does not act for the engine.
	phaseOff phase = iota
	phaseReading
	phaseClaiming
	phaseFencing
	// phaseProving waits for a report that shows all that earlier owners did.
	phaseProving
	phaseOpen
)

// engineState is what the owner knows of one engine.
type engineState struct {
	cfg   config.Target
	phase phase
	fence target.Fence
	since time.Time
	// retryAt is when a failed step of the takeover is tried again.
	retryAt time.Time
	busy    bool
	// proveFrom is the time before which no report is asked that ends the
	// takeover.
	proveFrom time.Time
	fenceID   engine.OrderID
	// foreignSince is when the record was first found to name another group that
	// has not released the engine; zero if it doesn't.
	foreignSince time.Time
	fencedAt     time.Time
	// gone says that the configuration has moved the engine elsewhere.
	gone bool

	revision keyvalue.Revision
	// claimed says that the record was written under this fence.
	claimed bool
	// version counts changes of the decisions; recorded is the last one that
	// the record holds.
	version  uint64
	recorded uint64
	writing  WriteID
	written  uint64
	writes   uint64
	writeAt  time.Time
	// releaseVersion is the version from which the record says that the engine
	// is released; zero before that.
	releaseVersion uint64
	// outage says that the service could not be reached for the last write.
	outage  bool
	reading bool

	entries  []*entry
	nextID   uint64
	reported bool
	report   engine.Report
	askedAt  time.Time
	askFrom  time.Time
	// unreached counts failed reports in a row.
	unreached int
	// failures counts the loads that failed since one ended well.
	failures int
	// avoid holds the models that failed to load here, until a time.
	avoid map[model.Name]time.Time
}

// unreachedLimit is the number of failed reports after which an engine gets no
// new loads.
const unreachedLimit = 3

// memory returns the engine's memory.
func (e *engineState) memory() model.Bytes {
	if e.report.Memory > 0 && (e.cfg.Memory == 0 || e.report.Memory < e.cfg.Memory) {
		return e.report.Memory
	}
	return e.cfg.Memory
}

// reserved returns the memory of all entries that are not proved gone, and what
// the engine uses beside its replicas.
func (e *engineState) reserved() model.Bytes {
	var sum model.Bytes
	for _, en := range e.entries {
		sum += en.bytes
	}
	return sum + e.overhead()
}

// overhead returns what the engine uses beside its replicas.
func (e *engineState) overhead() model.Bytes {
	rest := e.report.Used
	for _, r := range e.report.Replicas {
		rest -= r.Bytes
	}
	return max(0, rest)
}

// find returns the entry of a model, or nil.
func (e *engineState) find(name model.Name) *entry {
	for _, en := range e.entries {
		if en.ref.Name == name {
			return en
		}
	}
	return nil
}

// source returns where a load of a model would come from.
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

// takes reports whether new loads may be placed on the engine.
func (e *engineState) takes() bool {
	return e.phase == phaseOpen && !e.gone && !e.report.Draining && e.unreached < unreachedLimit
}

// changed notes that the decisions differ from the record.
func (e *engineState) changed() { e.version++ }
