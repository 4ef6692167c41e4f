package key

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"hawthornway/keyvalue"
)

const (
	// followInterval is the delay before the key-value service is called again
	// after a failure, and the interval at which a host checks whether it can
	// still rely on its peers and writes pending withdrawals.
	followInterval = time.Second
	// callTimeout limits the read of all records, or one round of writes.
	callTimeout = 3 * time.Second
	// watchTimeout limits one watch.
	watchTimeout = 30 * time.Second
	// watchersPerDomain is the number of hosts of a domain that watch the
	// records.
	watchersPerDomain = 2
)

// follow keeps the records up to date with the key-value service until the
// context ends. A host that is kept up to date by its peers leaves watching to
// its domain's watchers.
func (s *Store) follow(ctx context.Context) {
	var after keyvalue.Revision
	var failing bool
	for ctx.Err() == nil {
		if s.reliesOnPeers() {
			s.pause(ctx, followInterval)
			continue
		}
		err := s.followOnce(ctx, &after)
		if err != nil && !failing && ctx.Err() == nil {
			s.log.Warn("key: can't reach the key-value service", "error", err)
		}
		failing = err != nil
		if failing {
			s.pause(ctx, followInterval)
		}
	}
}

// reliesOnPeers reports whether peers keep this host up to date, so that it
// needn't call the key-value service.
func (s *Store) reliesOnPeers() bool {
	return s.isLoaded() && !s.isWatcher() && s.StaleFor() == 0
}

// followOnce reads all records, or waits for changes once they are loaded.
func (s *Store) followOnce(ctx context.Context, after *keyvalue.Revision) error {
	if !s.isLoaded() {
		return s.load(ctx, after)
	}
	return s.watchRecords(ctx, after)
}

// isWatcher reports whether this host is one of its domain's watchers: the
// first hosts, by ID, among this host and its linked peers of the domain.
func (s *Store) isWatcher() bool {
	self := s.mesh.Self()
	rank := 0
	for _, p := range s.mesh.Peers() {
		if p.Domain == self.Domain && p.Host < self.Host {
			rank++
		}
	}
	return rank < watchersPerDomain
}

// load reads all records from the key-value service.
func (s *Store) load(ctx context.Context, after *keyvalue.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	requestedAt := s.clock.Now()
	entries, revision, err := s.kv.List(ctx, recordPrefix)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, e := range entries {
		if err := s.applyEntry(e); err != nil {
			return trace.Wrap(err)
		}
	}
	*after = revision
	s.syncTimes.keyValueSynced(requestedAt)
	s.updateFreshness()
	s.setLoaded()
	return nil
}

// watchRecords waits once for changes of the records. It updates the sync time
// also if there were none.
func (s *Store) watchRecords(ctx context.Context, after *keyvalue.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	requestedAt := s.clock.Now()
	events, next, err := s.kv.Watch(ctx, recordPrefix, *after)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, event := range events {
		if err := s.applyEntry(event.Entry); err != nil {
			return trace.Wrap(err)
		}
	}
	*after = next
	s.syncTimes.keyValueSynced(requestedAt)
	s.updateFreshness()
	return nil
}

func (s *Store) applyEntry(e keyvalue.Entry) error {
	bucket, ok := parseRecordKey(e.Key)
	if !ok {
		return nil
	}
	return s.applyRecord(bucket, e.Revision, e.Value)
}

// pause waits for a duration. It returns false if the context ends first.
func (s *Store) pause(ctx context.Context, d time.Duration) bool {
	timer := s.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.Chan():
		return true
	}
}
