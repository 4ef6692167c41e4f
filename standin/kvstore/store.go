// Package kvstore is a stand-in for the platform's key-value service. Tests use
// it in process as a keyvalue.Store or over HTTP.
package kvstore

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"hawthornway/keyvalue"
)

// Store is an in-memory key-value service with injectable faults.
type Store struct {
	clock     clockwork.Clock
	watchWait time.Duration
	writes    *rate.Limiter
	reads     *rate.Limiter

	mu        sync.Mutex
	era       keyvalue.Era
	revision  keyvalue.Revision
	records   map[string]record
	leases    map[LeaseID]*lease
	nextLease LeaseID
	waiters   map[*waiter]struct{}
	faults    Faults
	random    *rand.Rand
	counts    Counts
}

var _ keyvalue.Store = (*Store)(nil)

// record is the last write to a key. A deleted key keeps its record so that
// watches see the deletion.
type record struct {
	keyvalue.Event
	lease LeaseID
}

// waiter is a watch that is waiting for a change.
type waiter struct {
	prefix string
	wake   chan struct{}
}

// New returns an empty Store.
func New(opts ...Option) *Store {
	s := &Store{
		clock:     clockwork.NewRealClock(),
		watchWait: DefaultWatchWait,
		writes:    newLimiter(0),
		reads:     newLimiter(0),
		records:   make(map[string]record),
		leases:    make(map[LeaseID]*lease),
		waiters:   make(map[*waiter]struct{}),
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// SetFaults replaces the faults. An outage fails the waiting watches.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.random = rand.New(rand.NewPCG(faults.Seed, 0))
	if faults.Outage {
		s.wakeAll()
	}
}

// Era returns the number of times that the store has returned from a copy.
func (s *Store) Era() keyvalue.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Copy is a copy of the store's contents at some time.
type Copy struct {
	revision keyvalue.Revision
	records  map[string]record
}

// Copy returns a copy of the store's contents.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.revision, maps.Clone(s.records)}
}

// Restore replaces the contents by an older copy, as after the loss of the store. Leases end,
// and revisions are given out again.
func (s *Store) Restore(older Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.records = older.revision, maps.Clone(older.records)
	for id, l := range s.leases {
		l.timer.Stop()
		delete(s.leases, id)
	}
	s.wakeAll()
}

// Counts returns the number of calls received so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Get returns the entry of key, or an error that wraps keyvalue.ErrNotFound.
func (s *Store) Get(ctx context.Context, key string) (keyvalue.Entry, error) {
	var entry keyvalue.Entry
	err := s.read(ctx, func(c *Counts) *int64 { return &c.Gets }, func() error {
		r, found := s.records[key]
		if !found || r.Deleted {
			return fmt.Errorf("get %q: %w", key, keyvalue.ErrNotFound)
		}
		entry = r.Entry
		return nil
	})
	return copyEntry(entry), err
}

// List returns all entries under prefix, sorted by key.
func (s *Store) List(ctx context.Context, prefix string) ([]keyvalue.Entry, keyvalue.Revision, error) {
	var entries []keyvalue.Entry
	var revision keyvalue.Revision
	err := s.read(ctx, func(c *Counts) *int64 { return &c.Lists }, func() error {
		entries = s.entries(prefix)
		revision = s.revision
		return nil
	})
	return entries, revision, err
}

func (s *Store) entries(prefix string) []keyvalue.Entry {
	var entries []keyvalue.Entry
	for key, r := range s.records {
		if strings.HasPrefix(key, prefix) && !r.Deleted {
			entries = append(entries, copyEntry(r.Entry))
		}
	}
	slices.SortFunc(entries, func(a, b keyvalue.Entry) int { return cmp.Compare(a.Key, b.Key) })
	return entries
}

// Swap writes value if the key's current revision is the expected one.
func (s *Store) Swap(ctx context.Context, key string, expected keyvalue.Revision, value []byte) (keyvalue.Revision, error) {
	return s.SwapWithLease(ctx, key, expected, value, 0)
}

// SwapWithLease is Swap for a key that is removed when its lease ends. Lease
// zero means no lease.
func (s *Store) SwapWithLease(ctx context.Context, key string, expected keyvalue.Revision, value []byte, id LeaseID) (keyvalue.Revision, error) {
	if len(value) > keyvalue.MaxValueBytes {
		return 0, fmt.Errorf("swap %q: value of %d bytes is over the bound of %d", key, len(value), keyvalue.MaxValueBytes)
	}
	var revision keyvalue.Revision
	err := s.write(ctx, func(c *Counts) *int64 { return &c.Swaps }, func() error {
		if err := s.check(key, expected); err != nil {
			return err
		}
		if _, live := s.leases[id]; id != 0 && !live {
			return fmt.Errorf("swap %q: %w", key, ErrNoLease)
		}
		event := keyvalue.Event{Entry: keyvalue.Entry{Key: key, Value: slices.Clone(value)}}
		revision = s.put(event, id)
		return nil
	})
	return revision, err
}

// Delete removes the key if its current revision is the expected one.
func (s *Store) Delete(ctx context.Context, key string, expected keyvalue.Revision) error {
	return s.write(ctx, func(c *Counts) *int64 { return &c.Deletes }, func() error {
		if err := s.check(key, expected); err != nil {
			return err
		}
		if expected != 0 {
			s.remove(key)
		}
		return nil
	})
}

// check returns a *keyvalue.ConflictError unless the key is at the expected
// revision.
func (s *Store) check(key string, expected keyvalue.Revision) error {
	r := s.records[key]
	current := r.Revision
	if r.Deleted {
		current = 0
	}
	if current == expected {
		return nil
	}
	return &keyvalue.ConflictError{Key: key, Expected: expected, Current: current}
}

// put stores the event under the next revision and wakes the watches of its key.
func (s *Store) put(event keyvalue.Event, id LeaseID) keyvalue.Revision {
	s.revision++
	event.Revision = s.revision
	s.records[event.Key] = record{Event: event, lease: id}
	for w := range s.waiters {
		if strings.HasPrefix(event.Key, w.prefix) {
			s.wake(w)
		}
	}
	return s.revision
}

func (s *Store) remove(key string) {
	s.put(keyvalue.Event{Entry: keyvalue.Entry{Key: key}, Deleted: true}, 0)
}

// Watch waits for changes after a revision and returns the last change of each
// key under prefix, ordered by revision. It returns no changes if there are none
// within the watch wait.
func (s *Store) Watch(ctx context.Context, prefix string, after keyvalue.Revision) ([]keyvalue.Event, keyvalue.Revision, error) {
	return s.watch(ctx, prefix, after, s.watchWait)
}

func (s *Store) watch(ctx context.Context, prefix string, after keyvalue.Revision, wait time.Duration) ([]keyvalue.Event, keyvalue.Revision, error) {
	var events []keyvalue.Event
	var next keyvalue.Revision
	var w *waiter
	err := s.read(ctx, func(c *Counts) *int64 { return &c.Watches }, func() error {
		events, next = s.changes(prefix, after)
		if len(events) == 0 {
			w = s.addWaiter(prefix)
		}
		return nil
	})
	if err != nil || w == nil {
		return events, next, err
	}
	return s.await(ctx, w, after, wait)
}

// await returns the changes once the waiter is woken, or no changes after the
// wait.
func (s *Store) await(ctx context.Context, w *waiter, after keyvalue.Revision, wait time.Duration) ([]keyvalue.Event, keyvalue.Revision, error) {
	timer := s.clock.NewTimer(wait)
	defer timer.Stop()
	var ended error
	select {
	case <-w.wake:
	case <-timer.Chan():
	case <-ctx.Done():
		ended = fmt.Errorf("watch %q: %w: %w", w.prefix, keyvalue.ErrUnavailable, ctx.Err())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, w)
	if ended != nil {
		return nil, after, ended
	}
	if s.faults.Outage {
		return nil, after, fmt.Errorf("watch %q: %w", w.prefix, keyvalue.ErrUnavailable)
	}
	events, next := s.changes(w.prefix, after)
	return events, next, nil
}

func (s *Store) changes(prefix string, after keyvalue.Revision) ([]keyvalue.Event, keyvalue.Revision) {
	var events []keyvalue.Event
	for key, r := range s.records {
		if r.Revision > after && strings.HasPrefix(key, prefix) {
			events = append(events, keyvalue.Event{Entry: copyEntry(r.Entry), Deleted: r.Deleted})
		}
	}
	slices.SortFunc(events, func(a, b keyvalue.Event) int { return cmp.Compare(a.Revision, b.Revision) })
	return events, max(after, s.revision)
}

func (s *Store) addWaiter(prefix string) *waiter {
	w := &waiter{prefix: prefix, wake: make(chan struct{})}
	s.waiters[w] = struct{}{}
	return w
}

func (s *Store) wake(w *waiter) {
	delete(s.waiters, w)
	close(w.wake)
}

func (s *Store) wakeAll() {
	for w := range s.waiters {
		s.wake(w)
	}
}

// read runs f under the lock, subject to the faults and the read limit.
func (s *Store) read(ctx context.Context, count func(*Counts) *int64, f func() error) error {
	delay, err := s.admit(s.reads, count)
	if err != nil {
		return err
	}
	if err := s.sleep(ctx, delay/2); err != nil {
		return fmt.Errorf("%w: %w", keyvalue.ErrUnavailable, err)
	}
	if err := s.apply(f); err != nil {
		return err
	}
	if err := s.sleep(ctx, delay-delay/2); err != nil {
		return fmt.Errorf("%w: %w", keyvalue.ErrUnavailable, err)
	}
	return nil
}

// write runs f under the lock, subject to the faults and the write limit. If the
// caller's context ends, the result is unknown: f may or may not have run.
func (s *Store) write(ctx context.Context, count func(*Counts) *int64, f func() error) error {
	delay, err := s.admit(s.writes, count)
	if err != nil {
		return err
	}
	if err := s.sleep(ctx, delay/2); err != nil {
		return fmt.Errorf("%w: %w", keyvalue.ErrUnknown, err)
	}
	lost, effect := s.drawResponseLoss()
	if effect {
		err = s.apply(f)
	}
	if lost {
		return keyvalue.ErrUnknown
	}
	if sleepErr := s.sleep(ctx, delay-delay/2); sleepErr != nil {
		return fmt.Errorf("%w: %w", keyvalue.ErrUnknown, sleepErr)
	}
	return err
}

// admit counts a call, checks the outage and the rate limit, and returns the
// call's delay.
func (s *Store) admit(limiter *rate.Limiter, count func(*Counts) *int64) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*count(&s.counts)++
	if s.faults.Outage {
		return 0, fmt.Errorf("%w: outage", keyvalue.ErrUnavailable)
	}
	if !limiter.AllowN(s.clock.Now(), 1) {
		s.counts.Limited++
		return 0, fmt.Errorf("%w: over the rate", keyvalue.ErrUnavailable)
	}
	return s.faults.Delay, nil
}

// drawResponseLoss returns whether the response to a write is lost, and whether
// the write takes effect.
func (s *Store) drawResponseLoss() (lost, effect bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseResponses == 0 {
		return false, true
	}
	s.faults.LoseResponses--
	return true, s.faults.Seed == 0 || s.random.IntN(2) == 0
}

func (s *Store) apply(f func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return fmt.Errorf("%w: outage", keyvalue.ErrUnavailable)
	}
	return f()
}

func (s *Store) sleep(ctx context.Context, d time.Duration) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if d <= 0 {
		return nil
	}
	timer := s.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func copyEntry(e keyvalue.Entry) keyvalue.Entry {
	e.Value = slices.Clone(e.Value)
	return e
}
