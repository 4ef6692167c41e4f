package coordinator

import (
	"slices"
	"strings"

	"hawthornway/boottime"
	"hawthornway/keyvalue"
	"hawthornway/roster"
	"hawthornway/target"
)

// registrations are the targets that the coordinator relays to hosts, so that
// connected hosts don't have to watch the store. They are guarded by the
// coordinator's lock.
type registrations struct {
	boot    boottime.Clock
	targets map[target.ID]registration
	// digests covers the targets in the same way as roster.Roster.Digests.
	digests roster.Digests
	// lastList is the list of the last update.
	lastList []roster.Target
	// readRevision is the store revision up to which the targets are known.
	readRevision keyvalue.Revision
}

// registration is a target with the version of the view that sent its last change.
type registration struct {
	target  roster.Target
	wire    wireTarget
	digest  uint64
	removed bool
	version uint64
	// removedAt is the store revision of the removal, or zero.
	removedAt keyvalue.Revision
}

func (r registration) wireRemoved() wireRemoved {
	return wireRemoved{ID: r.wire.ID, Version: r.version, Revision: r.removedAt}
}

// sent returns the target as it is sent at an instant.
func (r registration) sent(now boottime.Instant) wireTarget {
	w := r.wire
	switch expiresAt := r.target.ExpiresAt; expiresAt {
	case 0:
	case roster.NotBeforeReturn:
		w.LapseLeft = lapseHeld
	default:
		w.LapseLeft = max(1, expiresAt.Sub(now).Milliseconds())
	}
	return w
}

func newRegistrations(boot boottime.Clock) registrations {
	return registrations{boot: boot, targets: map[target.ID]registration{}}
}

// update applies the roster's targets, as of the given store revision or later, and
// returns the changes under the given version.
//
// The models of a published engine are sent with the engine, so a registration that
// differs only in its models doesn't count as changed.
func (r *registrations) update(read keyvalue.Revision, targets []roster.Target, version uint64, published func(target.ID) bool, removedAt func(target.ID) keyvalue.Revision) (changed []wireTarget, removed []wireRemoved) {
	r.readRevision = read
	if sameList(targets, r.lastList) {
		return nil, nil
	}
	r.lastList = targets
	registered := map[target.ID]bool{}
	for _, t := range targets {
		wire, digest := newWireTarget(t), t.Digest()
		wire.Version = version
		registered[t.ID] = true
		previous, ok := r.targets[t.ID]
		ok = ok && !previous.removed && previous.target.SameRegistration(t)
		if ok && previous.digest == digest {
			previous.wire.Revision = t.Revision
			r.targets[t.ID] = previous
			continue
		}
		if ok && published(t.ID) {
			wire.Version = previous.version
			r.set(t.ID, registration{target: t, wire: wire, digest: digest, version: previous.version})
			continue
		}
		known := registration{target: t, wire: wire, digest: digest, version: version}
		r.set(t.ID, known)
		changed = append(changed, known.sent(r.boot.Now()))
	}
	for id, previous := range r.targets {
		if !registered[id] && !previous.removed {
			ended := registration{wire: previous.wire, removed: true, version: version, removedAt: removedAt(id)}
			r.set(id, ended)
			removed = append(removed, ended.wireRemoved())
		}
	}
	return changed, removed
}

// sameList reports whether two lists share their memory, as the lists returned by
// roster.Roster.All do while nothing changes.
func sameList(a, b []roster.Target) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// set replaces a registration and updates the digests. A removed registration has
// the digest zero.
func (r *registrations) set(id target.ID, updated registration) {
	r.digests[roster.BucketOf(id)] ^= r.targets[id].digest ^ updated.digest
	r.targets[id] = updated
}

// addDiffering adds to a view all targets of the buckets whose digests differ, if the view has
// those that changed since a version. It is used for hosts that have no view of the
// coordinator's term yet, or that have read the store themselves.
func (r *registrations) addDiffering(digests []uint64, since uint64, view *wireView) {
	for i, digest := range r.digests {
		if digests[i] != digest {
			view.CompleteBuckets = append(view.CompleteBuckets, roster.Bucket(i))
		}
	}
	for id, known := range r.targets {
		added := since > 0 && known.version > since
		if !known.removed && !added && slices.Contains(view.CompleteBuckets, roster.BucketOf(id)) {
			view.Targets = append(view.Targets, known.sent(r.boot.Now()))
		}
	}
	slices.SortFunc(view.Targets, func(a, b wireTarget) int { return strings.Compare(string(a.ID), string(b.ID)) })
}

// addChangedSince adds the registrations that changed after the given version to a
// view.
func (r *registrations) addChangedSince(version uint64, view *wireView) {
	for _, known := range r.targets {
		switch {
		case known.version <= version:
		case known.removed:
			view.Removed = append(view.Removed, known.wireRemoved())
		default:
			view.Targets = append(view.Targets, known.sent(r.boot.Now()))
		}
	}
	slices.SortFunc(view.Targets, func(a, b wireTarget) int { return strings.Compare(string(a.ID), string(b.ID)) })
	slices.SortFunc(view.Removed, func(a, b wireRemoved) int { return strings.Compare(string(a.ID), string(b.ID)) })
}
