package roster

import (
	"maps"
	"slices"

	"hawthornway/target"
)

// countVersion adds a number of targets to those of a target's pool and version.
func (r *Roster) countVersion(t Target, n int) {
	counts := r.versions[t.Pool]
	if counts == nil {
		counts = map[target.Version]int{}
		r.versions[t.Pool] = counts
	}
	before := counts[t.Version]
	counts[t.Version] += n
	if counts[t.Version] == 0 {
		delete(counts, t.Version)
	}
	if len(counts) == 0 {
		delete(r.versions, t.Pool)
	}
	if before == 0 || before+n == 0 {
		close(r.versionsChanged)
		r.versionsChanged = make(chan struct{})
	}
}

// Versions returns the versions of the targets of each pool, also of those that drain, in
// lexical order.
func (r *Roster) Versions() map[target.Pool][]target.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	versions := make(map[target.Pool][]target.Version, len(r.versions))
	for pool, counts := range r.versions {
		versions[pool] = slices.Sorted(maps.Keys(counts))
	}
	return versions
}

// VersionsChanged returns a channel that is closed at the next change of the versions that
// Versions returns.
func (r *Roster) VersionsChanged() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.versionsChanged
}
