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

// Directory is what the ring reads of the configuration and the membership.
type Directory interface {
	// Domains returns the failure domains that must be heard. One that is
	// left out by mistake could withdraw keys unheard; one that has no hosts
	// makes an outage of the service refuse requests.
	Domains() []fleet.DomainID
	// Hosts returns all hosts that are members.
	Hosts() []fleet.HostID
	// WhenCutOff returns the team's policy.
	WhenCutOff(id team.ID) config.CutOffPolicy
}

// Store holds all keys.
type Store struct {
	store     keyvalue.Store
	mesh      peer.Mesh
	directory Directory
	clock     clockwork.Clock
	log       *slog.Logger

	shards  [buckets]shard
	pending pending
	touch   touch
	// began is when the ring was made, and touched the time from then until
	// the host was in touch last.
	began   time.Time
	touched atomic.Int64
	// writing wakes the writer of withdrawals.
	writing chan struct{}
	loaded  chan struct{}
	once    sync.Once
	round   int
}

// Option changes a Ring.
type Option func(*Store)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(r *Store) { r.clock = clock }
}

// WithLogger sets the logger.
func WithLogger(log *slog.Logger) Option {
	return func(r *Store) { r.log = log }
}

// NewStore returns a new Ring without keys. Run loads them. The store's watches
// should end after a second without changes, since each end of a watch shows
// that the service is reached.
func NewStore(store keyvalue.Store, mesh peer.Mesh, directory Directory, opts ...Option) *Store {
	r := &Store{
		store:     store,
		mesh:      mesh,
		directory: directory,
		clock:     clockwork.NewRealClock(),
		log:       slog.Default(),
		pending:   pending{items: map[Hash]pendingItem{}},
		touch:     touch{domains: map[fleet.DomainID]time.Time{}},
		writing:   make(chan struct{}, 1),
		loaded:    make(chan struct{}),
	}
	for _, opt := range opts {
		opt(r)
	}
	r.began = r.clock.Now()
	r.touched.Store(int64(-touchBound - 1))
	r.handlePeers()
	return r
}

// Run loads the keys and follows them until the context ends.
func (r *Store) Run(ctx context.Context) error {
	var running sync.WaitGroup
	running.Go(func() { r.follow(ctx) })
	running.Go(func() { r.gossip(ctx) })
	running.Go(func() { r.write(ctx) })
	running.Wait()
	return nil
}

// Loaded returns a channel that is closed when the ring holds the keys.
func (r *Store) Loaded() <-chan struct{} { return r.loaded }

func (r *Store) isLoaded() bool {
	select {
	case <-r.loaded:
		return true
	default:
		return false
	}
}

func (r *Store) setLoaded() { r.once.Do(func() { close(r.loaded) }) }

// Check returns the team of a key and a channel that is closed when the key is
// withdrawn, or why the key is refused.
func (r *Store) Check(presented string) (team.ID, <-chan struct{}, *outcome.NotRun) {
	text := Text(presented)
	if !text.Valid() {
		return "", nil, &outcome.NotRun{Reason: outcome.ReasonNoKey, Detail: "the request has no well-formed key"}
	}
	if !r.isLoaded() {
		return "", nil, &outcome.NotRun{Reason: outcome.ReasonStarting, RetryAfter: followPause, Detail: "the host is still loading the keys"}
	}
	hash := text.Hash()
	entry, gone, ok := r.shards[hash.bucket()].find(hash)
	switch {
	case !ok:
		return "", nil, &outcome.NotRun{Reason: outcome.ReasonNoKey, Detail: "the key is not known"}
	case entry.Withdrawn():
		return "", nil, &outcome.NotRun{Reason: outcome.ReasonKeyWithdrawn, Detail: "the key was withdrawn"}
	}
	if refused := r.checkTouch(entry.Team); refused != nil {
		return "", nil, refused
	}
	return entry.Team, gone, nil
}

// checkTouch refuses a team's requests if a withdrawal may have been missed.
func (r *Store) checkTouch(id team.ID) *outcome.NotRun {
	out := r.OutOfTouch()
	if out == 0 || r.directory.WhenCutOff(id) == config.CutOffServe {
		return nil
	}
	// A cut of some length is expected to last as long again.
	return &outcome.NotRun{
		Reason:     outcome.ReasonCutOff,
		RetryAfter: min(out, maxRetryAfter),
		Detail:     "the host is cut off and may have missed that the key was withdrawn",
	}
}

// maxRetryAfter bounds the time to return during a cut.
const maxRetryAfter = time.Minute

// OutOfTouch returns for how long the host may have missed withdrawals. Zero
// means that it is in touch.
func (r *Store) OutOfTouch() time.Duration {
	age := r.clock.Since(r.began) - time.Duration(r.touched.Load())
	if age <= touchBound {
		return 0
	}
	return age
}

// updateTouch works out anew when the host was in touch last. Requests read
// only the result.
func (r *Store) updateTouch() {
	last := r.touch.last(r.mesh.Self().Domain, r.directory.Domains(), r.clock.Now())
	r.touched.Store(int64(last.Sub(r.began)))
}

// Watch returns a channel that is closed when the key is withdrawn. It is nil
// if the key is not known.
func (r *Store) Watch(h Hash) <-chan struct{} {
	_, gone, _ := r.shards[h.bucket()].find(h)
	return gone
}

// List returns all keys, by team and id.
func (r *Store) List() []Entry {
	var all []Entry
	for i := range r.shards {
		all = append(all, r.shards[i].entries()...)
	}
	slices.SortFunc(all, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.ID, b.ID))
	})
	return all
}

// take takes a newer record of a bucket.
func (r *Store) take(bucket int, revision keyvalue.Revision, value []byte) error {
	entries, err := parseEntries(value)
	if err != nil {
		return trace.Wrap(err, "key %q does not hold keys", bucketKey(bucket))
	}
	if r.shards[bucket].replace(revision, value, entries, &r.pending) {
		r.pending.written(entries)
	}
	return nil
}

// revisions returns the revision of each bucket.
func (r *Store) revisions() []keyvalue.Revision {
	all := make([]keyvalue.Revision, buckets)
	for i := range r.shards {
		all[i], _ = r.shards[i].stored()
	}
	return all
}

// digest tells one state of the records from another.
func (r *Store) digest() uint64 {
	var data []byte
	for _, revision := range r.revisions() {
		data = binary.BigEndian.AppendUint64(data, uint64(revision))
	}
	return xxhash.Sum64(data)
}
