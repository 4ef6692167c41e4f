package key

import (
	"cmp"
	"context"
	"encoding/binary"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"hawthornway/config"
	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/outcome"
	"hawthornway/peer"
	"hawthornway/team"
)

// Directory provides what the package needs of the configuration and the
// membership.
type Directory interface {
	// Domains returns the failure domains that this host must be in sync with.
	// If one is missing, this host can miss withdrawals from there without
	// noticing. If one has no hosts, requests are refused while the key-value
	// service is unavailable.
	Domains() []fleet.DomainID
	// Hosts returns all hosts that are members.
	Hosts() []fleet.HostID
	// WhenCutOff returns the team's policy for a host that is cut off.
	WhenCutOff(id team.ID) config.CutOffPolicy
}

// Store holds all keys. It follows the platform's key-value service and the
// peers, and serves checks from memory.
type Store struct {
	kv        keyvalue.Store
	mesh      peer.Mesh
	directory Directory
	clock     clockwork.Clock
	log       *slog.Logger

	buckets   [bucketCount]bucketState
	pending   pending
	syncTimes syncTimes
	createdAt time.Time
	// freshAsOf is the result of syncTimes.hostAsOf, in nanoseconds since
	// createdAt. Requests read it without a lock.
	freshAsOf atomic.Int64
	// wakeWriter makes write retry at once.
	wakeWriter chan struct{}
	loaded     chan struct{}
	loadedOnce sync.Once
	// round counts the gossip rounds, to query the peers of other domains in
	// turn.
	round int
}

// Option configures a Store.
type Option func(*Store)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(s *Store) { s.clock = clock }
}

// WithLogger sets the logger.
func WithLogger(log *slog.Logger) Option {
	return func(s *Store) { s.log = log }
}

// NewStore returns a Store without keys. Run loads them. The watches of the
// key-value service should end after a second without changes, since each end of
// a watch confirms that the host is in sync with the service.
func NewStore(kv keyvalue.Store, mesh peer.Mesh, directory Directory, opts ...Option) *Store {
	s := &Store{
		kv:         kv,
		mesh:       mesh,
		directory:  directory,
		clock:      clockwork.NewRealClock(),
		log:        slog.Default(),
		pending:    pending{items: map[Hash]pendingItem{}},
		syncTimes:  syncTimes{domains: map[fleet.DomainID]time.Time{}},
		wakeWriter: make(chan struct{}, 1),
		loaded:     make(chan struct{}),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.createdAt = s.clock.Now()
	// The host counts as cut off until freshAsOf is first computed.
	s.freshAsOf.Store(int64(-maxStateAge - 1))
	s.handlePeers()
	return s
}

// Run loads the keys and follows them until the context ends.
func (s *Store) Run(ctx context.Context) error {
	var running sync.WaitGroup
	running.Go(func() { s.follow(ctx) })
	running.Go(func() { s.gossip(ctx) })
	running.Go(func() { s.write(ctx) })
	running.Wait()
	return nil
}

// Loaded returns a channel that is closed when the keys are loaded.
func (s *Store) Loaded() <-chan struct{} { return s.loaded }

func (s *Store) isLoaded() bool {
	select {
	case <-s.loaded:
		return true
	default:
		return false
	}
}

func (s *Store) setLoaded() { s.loadedOnce.Do(func() { close(s.loaded) }) }

// Check returns the team of a presented key and a channel that is closed when
// the key is withdrawn, or the reason why the key is refused.
func (s *Store) Check(presented string) (team.ID, <-chan struct{}, *outcome.NotRun) {
	secret := Secret(presented)
	if !secret.Valid() {
		return "", nil, &outcome.NotRun{Reason: outcome.ReasonNoKey, Detail: "the request has no well-formed key"}
	}
	if !s.isLoaded() {
		return "", nil, &outcome.NotRun{Reason: outcome.ReasonStarting, RetryAfter: followInterval, Detail: "the host is still loading the keys"}
	}
	hash := secret.Hash()
	entry, withdrawn, ok := s.buckets[hash.bucket()].find(hash)
	switch {
	case !ok:
		return "", nil, &outcome.NotRun{Reason: outcome.ReasonNoKey, Detail: "the key is not known"}
	case entry.Withdrawn():
		return "", nil, &outcome.NotRun{Reason: outcome.ReasonKeyWithdrawn, Detail: "the key was withdrawn"}
	}
	if refused := s.checkFreshness(entry.Team); refused != nil {
		return "", nil, refused
	}
	return entry.Team, withdrawn, nil
}

// checkFreshness refuses a team's requests if this host may have missed a
// withdrawal and the team's policy is not to serve then.
func (s *Store) checkFreshness(id team.ID) *outcome.NotRun {
	staleFor := s.StaleFor()
	if staleFor == 0 || s.directory.WhenCutOff(id) == config.CutOffServe {
		return nil
	}
	// The host is expected to stay cut off for as long as it has been so far.
	return &outcome.NotRun{
		Reason:     outcome.ReasonCutOff,
		RetryAfter: min(staleFor, maxRetryAfter),
		Detail:     "the host is cut off and may have missed that the key was withdrawn",
	}
}

// maxRetryAfter limits the delay that callers are given while the host is cut
// off.
const maxRetryAfter = time.Minute

// StaleFor returns for how long the host may have missed withdrawals, or zero
// if its state is recent enough.
func (s *Store) StaleFor() time.Duration {
	age := s.clock.Since(s.createdAt) - time.Duration(s.freshAsOf.Load())
	if age <= maxStateAge {
		return 0
	}
	return age
}

// updateFreshness recomputes freshAsOf from the sync times.
func (s *Store) updateFreshness() {
	asOf := s.syncTimes.hostAsOf(s.mesh.Self().Domain, s.directory.Domains(), s.clock.Now())
	s.freshAsOf.Store(int64(asOf.Sub(s.createdAt)))
}

// Watch returns a channel that is closed when the key is withdrawn. It is nil
// if the key is not known.
func (s *Store) Watch(h Hash) <-chan struct{} {
	_, withdrawn, _ := s.buckets[h.bucket()].find(h)
	return withdrawn
}

// List returns all keys, by team and ID.
func (s *Store) List() []Entry {
	var all []Entry
	for i := range s.buckets {
		all = append(all, s.buckets[i].entries()...)
	}
	slices.SortFunc(all, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.ID, b.ID))
	})
	return all
}

// applyRecord applies a bucket's record if it is newer than the one that this
// host holds.
func (s *Store) applyRecord(bucket int, revision keyvalue.Revision, value []byte) error {
	entries, err := parseEntries(value)
	if err != nil {
		return trace.Wrap(err, "record %q is not a list of keys", recordKey(bucket))
	}
	if s.buckets[bucket].replace(revision, value, entries, &s.pending) {
		s.pending.removeWritten(entries)
	}
	return nil
}

// revisions returns the revision of each bucket's record.
func (s *Store) revisions() []keyvalue.Revision {
	all := make([]keyvalue.Revision, bucketCount)
	for i := range s.buckets {
		all[i], _ = s.buckets[i].stored()
	}
	return all
}

// digest identifies the state of all records.
func (s *Store) digest() uint64 {
	var data []byte
	for _, revision := range s.revisions() {
		data = binary.BigEndian.AppendUint64(data, uint64(revision))
	}
	return xxhash.Sum64(data)
}
