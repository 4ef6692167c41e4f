package key

import (
	"context"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"hawthornway/team"
)

// Grant is a key to grant to a team. It has only the key's hash, since the key
// itself stays with the operator. Repeating a grant has no effect.
type Grant struct {
	Hash Hash
	ID   ID
	Team team.ID
}

// Grant adds keys, with one write for each bucket, and returns when the
// key-value service holds all of them. Keys that exist already are left as they
// are, even if they were withdrawn. The context should have a deadline, since
// Grant retries while the key-value service is unavailable.
func (s *Store) Grant(ctx context.Context, grants []Grant) error {
	byBucket := map[int][]Grant{}
	for _, g := range grants {
		if !g.ID.Valid() || g.Team == "" {
			return trace.BadParameter("grant %q needs an id of letters, digits and any of . _ @ - and a team", g.ID)
		}
		byBucket[g.Hash.bucket()] = append(byBucket[g.Hash.bucket()], g)
	}
	var group errgroup.Group
	group.SetLimit(parallelWrites)
	for bucket, batch := range byBucket {
		group.Go(func() error { return s.update(ctx, bucket, s.grantChange(batch)) })
	}
	return trace.Wrap(group.Wait())
}

// grantChange returns the change that adds keys.
func (s *Store) grantChange(grants []Grant) change {
	now := s.clock.Now().UTC()
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
