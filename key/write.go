package key

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"hawthornway/keyvalue"
)

const (
	// parallelWrites bounds the records that are written at once.
	parallelWrites = 8
	// adoptAfter is the age at which a withdrawal that another host took in
	// is written by the domain's watchers too.
	adoptAfter = 10 * time.Second
	// rewritePause is the time between two tries to write a record.
	rewritePause = 100 * time.Millisecond
)

// change edits the entries of a record. It returns them unchanged, with false,
// if there is nothing to write.
type change func(entries []Entry) ([]Entry, bool)

// write writes the pending withdrawals until the context ends.
func (r *Store) write(ctx context.Context) {
	ticker := r.clock.NewTicker(followPause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.writing:
		case <-ticker.Chan():
		}
		if err := r.writePending(ctx); err != nil {
			r.log.Warn("key: withdrawals not written yet", "error", err)
		}
	}
}

// writePending writes this host's own withdrawals, and those of others that
// have waited for long.
func (r *Store) writePending(ctx context.Context) error {
	until := time.Time{}
	if r.watches() {
		until = r.clock.Now().Add(-adoptAfter)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.writeWithdrawals(ctx, r.pending.list(until, r.mesh.Self().Host))
}

func (r *Store) writeWithdrawals(ctx context.Context, all []withdrawal) error {
	byBucket := map[int][]withdrawal{}
	for _, w := range all {
		byBucket[w.Hash.bucket()] = append(byBucket[w.Hash.bucket()], w)
	}
	var group errgroup.Group
	group.SetLimit(parallelWrites)
	for bucket, some := range byBucket {
		group.Go(func() error { return r.update(ctx, bucket, withdrawing(some)) })
	}
	return trace.Wrap(group.Wait())
}

// withdrawing returns the change that marks keys as withdrawn. A key that the
// record does not hold is added, withdrawn.
func withdrawing(all []withdrawal) change {
	return func(entries []Entry) ([]Entry, bool) {
		index := make(map[Hash]int, len(entries))
		for i, e := range entries {
			index[e.Hash] = i
		}
		changed := false
		for _, w := range all {
			i, known := index[w.Hash]
			if !known {
				i = len(entries)
				entries = append(entries, Entry{Hash: w.Hash, ID: NewID(w.Hash)})
			}
			if !entries[i].Withdrawn() {
				entries[i].WithdrawnAt = w.at()
				changed = true
			}
		}
		return entries, changed
	}
}

// update changes a record by compare-and-swap, from what this host holds. On a
// conflict, which also follows a lost answer to a swap that had effect, it reads
// the record and goes on until the change is in it or the context ends. It fails with an error that wraps
// keyvalue.ErrUnknown if the change may be in the record then.
func (r *Store) update(ctx context.Context, bucket int, edit change) error {
	failure := keyvalue.ErrUnavailable
	for {
		err := r.updateOnce(ctx, bucket, edit)
		if err == nil {
			return nil
		}
		if errors.Is(err, keyvalue.ErrUnknown) {
			failure = keyvalue.ErrUnknown
		}
		var conflict *keyvalue.ConflictError
		if errors.As(err, &conflict) {
			err = r.reload(ctx, bucket)
		}
		if err != nil {
			r.pause(ctx, rewritePause)
		}
		if ctx.Err() != nil {
			return trace.Wrap(failure, "no time left to write %q", bucketKey(bucket))
		}
	}
}

func (r *Store) updateOnce(ctx context.Context, bucket int, edit change) error {
	revision, value := r.shards[bucket].stored()
	entries, err := parseEntries(value)
	if err != nil {
		return trace.Wrap(err)
	}
	entries, changed := edit(entries)
	if !changed {
		return nil
	}
	next, err := json.Marshal(entries)
	if err != nil {
		return trace.Wrap(err)
	}
	written, err := r.store.Swap(ctx, bucketKey(bucket), revision, next)
	if err != nil {
		return trace.Wrap(err)
	}
	return r.take(bucket, written, next)
}

// reload reads one record.
func (r *Store) reload(ctx context.Context, bucket int) error {
	entry, err := r.store.Get(ctx, bucketKey(bucket))
	if errors.Is(err, keyvalue.ErrNotFound) {
		return nil
	}
	if err != nil {
		return trace.Wrap(err)
	}
	return r.takeEntry(entry)
}
