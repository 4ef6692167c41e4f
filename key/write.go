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
	// parallelWrites is the maximum number of records written concurrently.
	parallelWrites = 8
	// adoptDelay is the time after which the domain's watchers write a pending
	// withdrawal that another host received, in case that host has stopped.
	adoptDelay = 10 * time.Second
	// rewriteInterval is the time between two attempts to write a record.
	rewriteInterval = 100 * time.Millisecond
)

// change edits the entries of a record. It reports whether it changed any.
type change func(entries []Entry) ([]Entry, bool)

// write writes pending withdrawals to the key-value service until the context
// ends.
func (s *Store) write(ctx context.Context) {
	ticker := s.clock.NewTicker(followInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wakeWriter:
		case <-ticker.Chan():
		}
		if err := s.writePending(ctx); err != nil {
			s.log.Warn("key: can't write withdrawals to the key-value service yet", "error", err)
		}
	}
}

// writePending writes the pending withdrawals that this host received. A
// watcher also writes those of other hosts after adoptDelay.
func (s *Store) writePending(ctx context.Context) error {
	until := time.Time{}
	if s.isWatcher() {
		until = s.clock.Now().Add(-adoptDelay)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.writeWithdrawals(ctx, s.pending.list(until, s.mesh.Self().Host))
}

// writeWithdrawals writes withdrawals, with one write for each bucket.
func (s *Store) writeWithdrawals(ctx context.Context, withdrawals []withdrawal) error {
	byBucket := map[int][]withdrawal{}
	for _, w := range withdrawals {
		byBucket[w.Hash.bucket()] = append(byBucket[w.Hash.bucket()], w)
	}
	var group errgroup.Group
	group.SetLimit(parallelWrites)
	for bucket, batch := range byBucket {
		group.Go(func() error { return s.update(ctx, bucket, withdrawChange(batch)) })
	}
	return trace.Wrap(group.Wait())
}

// withdrawChange returns the change that marks keys as withdrawn. Keys that the
// record does not have are added as withdrawn.
func withdrawChange(withdrawals []withdrawal) change {
	return func(entries []Entry) ([]Entry, bool) {
		index := make(map[Hash]int, len(entries))
		for i, e := range entries {
			index[e.Hash] = i
		}
		changed := false
		for _, w := range withdrawals {
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

// update changes a record by compare-and-swap, starting from the revision that
// this host holds. After a conflict, which can also be with its own swap if the
// response was lost, it reads the record again. It retries until the record has
// the change or the context ends. In the latter case the error wraps
// keyvalue.ErrUnknown if the change may have been written, else
// keyvalue.ErrUnavailable.
func (s *Store) update(ctx context.Context, bucket int, edit change) error {
	cause := keyvalue.ErrUnavailable
	for {
		err := s.updateOnce(ctx, bucket, edit)
		if err == nil {
			return nil
		}
		if errors.Is(err, keyvalue.ErrUnknown) {
			cause = keyvalue.ErrUnknown
		}
		var conflict *keyvalue.ConflictError
		if errors.As(err, &conflict) {
			err = s.reload(ctx, bucket)
		}
		if err != nil {
			s.pause(ctx, rewriteInterval)
		}
		if ctx.Err() != nil {
			return trace.Wrap(cause, "no time left to write %q", recordKey(bucket))
		}
	}
}

// updateOnce makes one attempt to change a record.
func (s *Store) updateOnce(ctx context.Context, bucket int, edit change) error {
	revision, value := s.buckets[bucket].stored()
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
	written, err := s.kv.Swap(ctx, recordKey(bucket), revision, next)
	if err != nil {
		return trace.Wrap(err)
	}
	return s.applyRecord(bucket, written, next)
}

// reload reads one record from the key-value service.
func (s *Store) reload(ctx context.Context, bucket int) error {
	entry, err := s.kv.Get(ctx, recordKey(bucket))
	if errors.Is(err, keyvalue.ErrNotFound) {
		return nil
	}
	if err != nil {
		return trace.Wrap(err)
	}
	return s.applyEntry(entry)
}
