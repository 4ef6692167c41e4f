package key

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"hawthornway/keyvalue"
)

const (
	// followInterval is the delay before the service is called again after a
	// failure, and the interval at which pending withdrawals are written.
	followInterval = time.Second
	// callTimeout limits the read of all records, or one round of writes.
	callTimeout = 3 * time.Second
	// watchTimeout limits one watch.
	watchTimeout = 30 * time.Second
	// watchersPerDomain is the number of hosts of a domain that watch the
	// records.
	watchersPerDomain = 2
)

// follow keeps the records up to date with the service until the context ends.
// A host that is kept up to date by its peers leaves watching to its domain's
// watchers.
func (r *Store) follow(ctx context.Context) {
	var after keyvalue.Revision
	var failing bool
	for ctx.Err() == nil {
		if r.reliesOnPeers() {
			r.pause(ctx, followInterval)
			continue
		}
		err := r.followOnce(ctx, &after)
		if err != nil && !failing && ctx.Err() == nil {
			r.log.Warn("key: can't reach the key-value service", "error", err)
		}
		failing = err != nil
		if failing {
			r.pause(ctx, followInterval)
		}
	}
}

// reliesOnPeers reports whether peers keep this host up to date, so that it
// needn't call the service.
func (r *Store) reliesOnPeers() bool {
	return r.isLoaded() && !r.isWatcher() && r.StaleFor() == 0
}

// followOnce reads all records, or waits for changes once they are loaded.
func (r *Store) followOnce(ctx context.Context, after *keyvalue.Revision) error {
	if !r.isLoaded() {
		return r.load(ctx, after)
	}
	return r.watch(ctx, after)
}

// isWatcher reports whether this host is one of its domain's watchers: the
// first hosts, by id, among this host and its linked peers of the domain.
func (r *Store) isWatcher() bool {
	self := r.mesh.Self()
	rank := 0
	for _, p := range r.mesh.Peers() {
		if p.Domain == self.Domain && p.Host < self.Host {
			rank++
		}
	}
	return rank < watchersPerDomain
}

// load reads all records from the service.
func (r *Store) load(ctx context.Context, after *keyvalue.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	requestedAt := r.clock.Now()
	entries, revision, err := r.store.List(ctx, keyPrefix)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, e := range entries {
		if err := r.applyEntry(e); err != nil {
			return trace.Wrap(err)
		}
	}
	*after = revision
	r.syncTimes.platformSynced(requestedAt)
	r.updateFreshness()
	r.setLoaded()
	return nil
}

// watch waits once for changes of the records. It also updates the sync time if
// the service reports none.
func (r *Store) watch(ctx context.Context, after *keyvalue.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	requestedAt := r.clock.Now()
	events, next, err := r.store.Watch(ctx, keyPrefix, *after)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, event := range events {
		if err := r.applyEntry(event.Entry); err != nil {
			return trace.Wrap(err)
		}
	}
	*after = next
	r.syncTimes.platformSynced(requestedAt)
	r.updateFreshness()
	return nil
}

func (r *Store) applyEntry(e keyvalue.Entry) error {
	bucket, ok := parseBucketKey(e.Key)
	if !ok {
		return nil
	}
	return r.applyRecord(bucket, e.Revision, e.Value)
}

// pause waits for a duration. It returns false if the context ended before.
func (r *Store) pause(ctx context.Context, d time.Duration) bool {
	timer := r.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.Chan():
		return true
	}
}
