package key

import (
	"context"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"hawthornway/team"
)

// Grant lets callers with a key act for a team. The key itself stays with the
// operator: hosts only learn its hash, so that a grant can be repeated.
type Grant struct {
	Hash Hash
	ID   ID
	Team team.ID
}

// Grant writes keys, a record at a time, and returns when all are in the
// service. Grants that are there already are left as they are, also when they
// were withdrawn since. The context should have a deadline: without the service
// nothing can be granted.
func (r *Store) Grant(ctx context.Context, grants []Grant) error {
	byBucket := map[int][]Grant{}
	for _, g := range grants {
		if !g.ID.Valid() || g.Team == "" {
			return trace.BadParameter("grant %q needs an id of letters, digits and any of . _ @ - and a team", g.ID)
		}
		byBucket[g.Hash.bucket()] = append(byBucket[g.Hash.bucket()], g)
	}
	var group errgroup.Group
	group.SetLimit(parallelWrites)
	for bucket, some := range byBucket {
		group.Go(func() error { return r.update(ctx, bucket, r.granting(some)) })
	}
	return trace.Wrap(group.Wait())
}

// granting returns the change that adds keys.
func (r *Store) granting(grants []Grant) change {
	now := r.clock.Now().UTC()
	return func(entries []Entry) ([]Entry, bool) {
		known := make(map[Hash]bool, len(entries))
		for _, e := range entries {
			known[e.Hash] = true
		}
		changed := false
		for _, g := range grants {
			if known[g.Hash] {
				continue
			}
			known[g.Hash] = true
			entries = append(entries, Entry{Hash: g.Hash, ID: g.ID, Team: g.Team, Times: Times{GrantedAt: now}})
			changed = true
		}
		return entries, changed
	}
}
