package config

import (
	"context"
	"slices"

	"hawthornway/keyvalue"
)

// unusedParts returns the parts that the next head no longer uses, at their
// revisions before that head is written. If a concurrent submission needs one
// of them, it writes the part again, which raises its revision and makes the
// removal fail.
func (s *Store) unusedParts(ctx context.Context, current, next head) []keyvalue.Entry {
	var unused []keyvalue.Entry
	for _, hash := range current.Parts {
		if slices.Contains(next.Parts, hash) {
			continue
		}
		if entry, err := s.kv.Get(ctx, partPrefix+string(hash)); err == nil {
			unused = append(unused, entry)
		}
	}
	return unused
}

// removeParts removes parts whose revision has not changed. It is best effort:
// a part that can't be removed is left in the key-value service.
func (s *Store) removeParts(ctx context.Context, unused []keyvalue.Entry) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for _, part := range unused {
		if err := s.kv.Delete(ctx, part.Key, part.Revision); err != nil {
			s.log.Debug("config: can't remove an unused part", "key", part.Key, "error", err)
		}
	}
}
