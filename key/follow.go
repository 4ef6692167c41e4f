package key

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"hawthornway/keyvalue"
)

const (
	// followPause is the time between two tries to follow the service.
	followPause = time.Second
	// callTimeout bounds one call to the service or a peer.
	callTimeout = 3 * time.Second
	// watchTimeout bounds one watch.
	watchTimeout = 30 * time.Second
	// watchersPerDomain is the number of hosts of a domain that watch.
	watchersPerDomain = 2
)

// follow keeps the records up to date with the service. A host that its peers
// keep in touch leaves the watching to its domain's watchers.
func (r *Store) follow(ctx context.Context) {
	var after keyvalue.Revision
	var failing bool
	for ctx.Err() == nil {
		if r.relies() {
			r.pause(ctx, followPause)
			continue
		}
		err := r.followOnce(ctx, &after)
		if err != nil && !failing && ctx.Err() == nil {
			r.log.Warn("key: service not reached", "error", err)
		}
		failing = err != nil
		if failing {
			r.pause(ctx, followPause)
		}
	}
}

// relies reports whether the peers keep this host up to date.
func (r *Store) relies() bool {
	return r.isLoaded() && !r.watches() && r.OutOfTouch() == 0
}

// followOnce reads all records first, and waits for changes from then on.
func (r *Store) followOnce(ctx context.Context, after *keyvalue.Revision) error {
	if !r.isLoaded() {
		return r.load(ctx, after)
	}
	return r.watch(ctx, after)
}

// watches reports whether this host is one of its domain's watchers: the first
// of the hosts that are linked with each other.
func (r *Store) watches() bool {
	self := r.mesh.Self()
	before := 0
	for _, p := range r.mesh.Peers() {
		if p.Domain == self.Domain && p.Host < self.Host {
			before++
		}
	}
	return before < watchersPerDomain
}

// load reads all records.
func (r *Store) load(ctx context.Context, after *keyvalue.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := r.clock.Now()
	entries, revision, err := r.store.List(ctx, keyPrefix)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, e := range entries {
		if err := r.takeEntry(e); err != nil {
			return trace.Wrap(err)
		}
	}
	*after = revision
	r.touch.reached(asked)
	r.updateTouch()
	r.setLoaded()
	return nil
}

// watch waits once for changes.
func (r *Store) watch(ctx context.Context, after *keyvalue.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	asked := r.clock.Now()
	events, next, err := r.store.Watch(ctx, keyPrefix, *after)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, event := range events {
		if err := r.takeEntry(event.Entry); err != nil {
			return trace.Wrap(err)
		}
	}
	*after = next
	r.touch.reached(asked)
	r.updateTouch()
	return nil
}

func (r *Store) takeEntry(e keyvalue.Entry) error {
	bucket, ok := parseBucketKey(e.Key)
	if !ok {
		return nil
	}
	return r.take(bucket, e.Revision, e.Value)
}

// pause waits, and reports false if the context ended.
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
