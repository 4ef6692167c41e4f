package replica

import (
	"time"
)

// outageRetry is the time between writes while the service can't be reached.
const outageRetry = time.Second

// writeRecord writes the decisions of an engine if the record differs from
// them. One write runs at a time.
func (g *Group) writeRecord(e *engineState) {
	claiming := e.phase == phaseClaiming
	open := e.phase == phaseOpen || e.phase == phaseProving
	if !claiming && !open {
		return
	}
	if e.writing != "" || e.reading || e.recorded >= e.version || g.now.Before(e.writeAt) {
		return
	}
	if open && g.off.noRecordFirst && e.calling() {
		return
	}
	if open && !e.claimed {
		// The takeover went on without the record: read it first.
		e.reading = true
		e.writeAt = g.now.Add(outageRetry)
		g.emit(ReadRecord{Target: e.cfg.Name})
		return
	}
	e.writes++
	e.written = e.version
	e.writing = g.writeID(e, e.writes)
	g.emit(WriteRecord{Target: e.cfg.Name, Expected: e.revision, Record: g.record(e)})
}

// record returns the record of an engine as it is to be.
func (g *Group) record(e *engineState) Record {
	r := Record{
		Write: e.writing, Group: g.key.String(), Fence: e.fence,
		Released: e.releaseVersion > 0 && e.version >= e.releaseVersion,
	}
	for _, en := range e.entries {
		r.Decisions = append(r.Decisions, en.decision())
	}
	return r
}

// recordWritten takes in the result of a write.
func (g *Group) recordWritten(in RecordWritten) {
	e := g.engine(in.Target)
	if e == nil || e.writing != in.Write {
		return
	}
	switch in.Result {
	case WriteDone:
		g.writeDone(e, in)
	case WriteUnavailable:
		e.writing = ""
		g.writeFailed(e)
	case WriteConflict, WriteUnknown:
		// The record tells whether the write had effect.
		e.reading = true
		g.emit(ReadRecord{Target: e.cfg.Name})
	}
}

func (g *Group) writeDone(e *engineState, in RecordWritten) {
	e.writing = ""
	e.outage = false
	e.revision = in.Revision
	e.recorded = e.written
	if e.phase == phaseClaiming {
		g.claimDone(e)
	}
}

// writeFailed goes on without the record for the time being. Only an engine
// that was claimed, or one that checks fences, is acted for meanwhile.
func (g *Group) writeFailed(e *engineState) {
	e.writeAt = g.now.Add(outageRetry)
	if e.claimed || e.cfg.ChecksFence {
		e.outage = true
	}
	if e.phase == phaseClaiming && e.cfg.ChecksFence {
		g.giveFence(e)
	}
}

// settleWrite takes in the record after a write whose result is not known, or
// the record that could not be read at the takeover.
func (g *Group) settleWrite(e *engineState, in RecordRead) {
	write := e.writing
	if !in.OK {
		e.writing = ""
		g.writeFailed(e)
		return
	}
	r := in.Record
	switch {
	case r != nil && write != "" && r.Write == write:
		g.writeDone(e, RecordWritten{Revision: in.Revision})
	case e.claimed && in.Revision == e.revision, e.phase == phaseClaiming && in.Revision == e.revision:
		// The write had no effect, or may have it yet; the next one takes its
		// place by the revision.
		e.writing = ""
	case r != nil && (r.Group != g.key.String() && !r.Released || r.Group == g.key.String() && r.Fence > e.fence):
		g.lose(e)
	case r != nil && r.Fence == e.fence && g.ownWrite(e, r.Write):
		// An earlier write of this owner took effect late.
		e.writing = ""
		e.revision = in.Revision
	case !e.claimed && e.phase != phaseClaiming:
		e.writing = ""
		e.revision = in.Revision
		e.claimed = true
		e.changed()
	default:
		e.writing = ""
		e.phase = phaseReading
		e.claimed = false
	}
}

// lose stops acting for an engine whose record another owner has written.
func (g *Group) lose(e *engineState) {
	e.writing = ""
	e.claimed = false
	e.phase = phaseReading
	e.retryAt = g.now.Add(retryEvery)
}

// writeID returns the id of an owner's n-th write.
func (g *Group) writeID(e *engineState, n uint64) WriteID {
	return WriteID(g.ownID(e, n))
}

// ownWrite reports whether a write is one of this owner's last.
func (g *Group) ownWrite(e *engineState, id WriteID) bool {
	const remembered = 8
	for n := e.writes; n > 0 && n+remembered > e.writes; n-- {
		if id == g.writeID(e, n) {
			return true
		}
	}
	return false
}
