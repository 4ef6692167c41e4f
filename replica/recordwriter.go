package replica

import (
	"time"
)

// outageRetryInterval is the time between writes while the key-value service
// can't be reached.
const outageRetryInterval = time.Second

// writeRecord writes the decisions of an engine if they differ from the record.
// Only one write runs at a time.
func (g *Group) writeRecord(e *engineState) {
	claiming := e.phase == phaseClaiming
	active := e.phase == phaseActive || e.phase == phaseConfirming
	if !claiming && !active {
		return
	}
	if e.pendingWrite != "" || e.rereadingRecord || e.recordedVersion >= e.version || g.now.Before(e.nextWriteAt) {
		return
	}
	if active && g.disabled.noRecordFirst && e.orderInFlight() {
		return
	}
	if active && !e.claimed {
		// The takeover proceeded without the record, so the record is read
		// first.
		e.rereadingRecord = true
		e.nextWriteAt = g.now.Add(outageRetryInterval)
		g.emit(ReadRecord{Target: e.cfg.Name})
		return
	}
	e.writeCount++
	e.pendingVersion = e.version
	e.pendingWrite = g.writeID(e, e.writeCount)
	g.emit(WriteRecord{Target: e.cfg.Name, Expected: e.recordRevision, Record: g.record(e)})
}

// record returns the record to write for an engine.
func (g *Group) record(e *engineState) Record {
	r := Record{
		Write: e.pendingWrite, Group: g.key.String(), Fence: e.fence,
		Released: e.releaseVersion > 0 && e.version >= e.releaseVersion,
	}
	for _, rep := range e.replicas {
		r.Decisions = append(r.Decisions, rep.decision())
	}
	return r
}

// handleRecordWritten handles the result of a write.
func (g *Group) handleRecordWritten(in RecordWritten) {
	e := g.engine(in.Target)
	if e == nil || e.pendingWrite != in.Write {
		return
	}
	switch in.Result {
	case WriteDone:
		g.writeSucceeded(e, in)
	case WriteUnavailable:
		e.pendingWrite = ""
		g.writeFailed(e)
	case WriteConflict, WriteUnknown:
		// The record shows whether the write took effect.
		e.rereadingRecord = true
		g.emit(ReadRecord{Target: e.cfg.Name})
	}
}

func (g *Group) writeSucceeded(e *engineState, in RecordWritten) {
	e.pendingWrite = ""
	e.storeOutage = false
	e.recordRevision = in.Revision
	e.recordedVersion = e.pendingVersion
	if e.phase == phaseClaiming {
		g.finishClaim(e)
	}
}

// writeFailed continues without the record until the next attempt. Meanwhile
// the group acts only for engines that it has claimed or that check fences.
func (g *Group) writeFailed(e *engineState) {
	e.nextWriteAt = g.now.Add(outageRetryInterval)
	if e.claimed || e.cfg.ChecksFence {
		e.storeOutage = true
	}
	if e.phase == phaseClaiming && e.cfg.ChecksFence {
		g.sendFence(e)
	}
}

// resolveWrite handles a record that was read again: after a conflict, after a
// write with an unknown result, or because it could not be read during the
// takeover.
func (g *Group) resolveWrite(e *engineState, in RecordRead) {
	write := e.pendingWrite
	if !in.OK {
		e.pendingWrite = ""
		g.writeFailed(e)
		return
	}
	r := in.Record
	switch {
	case r != nil && write != "" && r.Write == write:
		g.writeSucceeded(e, RecordWritten{Revision: in.Revision})
	case e.claimed && in.Revision == e.recordRevision, e.phase == phaseClaiming && in.Revision == e.recordRevision:
		// The write had no effect, or may still take effect. The next write
		// expects the same revision, so only one of them can succeed.
		e.pendingWrite = ""
	case r != nil && (r.Group != g.key.String() && !r.Released || r.Group == g.key.String() && r.Fence > e.fence):
		g.loseClaim(e)
	case r != nil && r.Fence == e.fence && g.isOwnWrite(e, r.Write):
		// An earlier write of this owner took effect late.
		e.pendingWrite = ""
		e.recordRevision = in.Revision
	case !e.claimed && e.phase != phaseClaiming:
		e.pendingWrite = ""
		e.recordRevision = in.Revision
		e.claimed = true
		e.decisionsChanged()
	default:
		e.pendingWrite = ""
		e.phase = phaseReading
		e.claimed = false
	}
}

// loseClaim stops acting for an engine that another owner has taken over.
func (g *Group) loseClaim(e *engineState) {
	e.pendingWrite = ""
	e.claimed = false
	e.phase = phaseReading
	e.takeoverRetryAt = g.now.Add(retryInterval)
}

// writeID returns the id of this owner's write number n.
func (g *Group) writeID(e *engineState, n uint64) WriteID {
	return WriteID(g.uniqueID(e, n))
}

// isOwnWrite reports whether id is that of one of this owner's recent writes.
func (g *Group) isOwnWrite(e *engineState, id WriteID) bool {
	const recentWrites = 8
	for n := e.writeCount; n > 0 && n+recentWrites > e.writeCount; n-- {
		if id == g.writeID(e, n) {
			return true
		}
	}
	return false
}
