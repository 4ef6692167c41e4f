package config

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"hawthornway/boottime"
	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/outdated"
	"hawthornway/peer"
)

const (
	// retryInterval is the delay before a failing key-value service is called
	// again, and the interval at which a host checks whether it can still rely
	// on its peers.
	retryInterval = time.Second
	// gossipInterval is the time between two periodic notices, each of which
	// goes to one peer.
	gossipInterval = time.Second
	// maxConfirmationAge is the age of the last confirmation at which a host
	// that relies on its peers reads from the key-value service itself. It is
	// longer than a watch without changes, since each end of a watch confirms
	// the head.
	maxConfirmationAge = 30 * time.Second
	// callTimeout limits one call to the key-value service or a peer.
	callTimeout = 5 * time.Second
	// watchTimeout limits one watch, including the time that the key-value
	// service waits for a change.
	watchTimeout = 90 * time.Second
	// watchersPerDomain is the number of hosts of a domain that watch the head.
	watchersPerDomain = 2
	// MaxActivationDelay is the time within which an accepted revision has to be in force
	// at every host that can be told of it.
	MaxActivationDelay = 5 * time.Second
)

// ErrUnknown reports that a change may have been accepted. Applying it again
// with the same change ID returns the outcome.
var ErrUnknown = errors.New("the change may have been accepted; repeat it with the same change id")

// Store holds the accepted configuration. It follows the platform's key-value
// service and the peers, and never goes back to an older revision.
type Store struct {
	kv    keyvalue.Store
	mesh  peer.Mesh
	clock clockwork.Clock
	log   *slog.Logger

	current atomic.Pointer[Snapshot]
	// known tracks the revisions that this host has been told of.
	known     *outdated.Tracker[Revision]
	bootClock boottime.Clock

	mu          sync.Mutex
	head        head
	parts       map[Hash][]byte
	confirmedAt time.Time
	subscribers map[chan *Snapshot]struct{}
	// changed is closed and replaced when a new head is installed.
	changed chan struct{}
	// pullRequests carries the host IDs of peers that have a newer head.
	pullRequests chan fleet.HostID
	// round counts the periodic notices, to notify the peers in turn.
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

// WithBootClock sets the clock for times that include suspension.
func WithBootClock(clock boottime.Clock) Option {
	return func(s *Store) { s.bootClock = clock }
}

// NewStore returns a Store without a configuration. Run loads one.
func NewStore(kv keyvalue.Store, mesh peer.Mesh, opts ...Option) *Store {
	s := &Store{
		kv:           kv,
		mesh:         mesh,
		clock:        clockwork.NewRealClock(),
		bootClock:    boottime.SystemClock{},
		log:          slog.Default(),
		parts:        map[Hash][]byte{},
		subscribers:  map[chan *Snapshot]struct{}{},
		changed:      make(chan struct{}),
		pullRequests: make(chan fleet.HostID, 1),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.known = outdated.NewTracker[Revision](s.bootClock, MaxActivationDelay)
	s.handlePeers()
	return s
}

// State compares the current configuration to the newest one that this host has been told of.
func (s *Store) State() outdated.State { return s.known.State() }

// Current returns the current configuration, or nil if none is loaded yet.
func (s *Store) Current() *Snapshot { return s.current.Load() }

// AgeUnknown is the age of a configuration that was never confirmed as the
// newest in the key-value service.
const AgeUnknown time.Duration = math.MaxInt64

// Age returns the time since the current configuration was last confirmed as
// the newest in the key-value service, or AgeUnknown.
func (s *Store) Age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.age()
}

// age is Age for callers that hold the lock.
func (s *Store) age() time.Duration {
	if s.confirmedAt.IsZero() {
		return AgeUnknown
	}
	return s.clock.Since(s.confirmedAt)
}

// History returns the latest accepted changes, newest first.
func (s *Store) History() []Accepted {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Accepted(nil), s.head.History...)
}

// Subscribe returns a channel of the current and each new configuration, and a
// function that ends the subscription. A slow reader gets the newest one only.
func (s *Store) Subscribe() (updates <-chan *Snapshot, unsubscribe func()) {
	subscriber := make(chan *Snapshot, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers[subscriber] = struct{}{}
	if snapshot := s.current.Load(); snapshot != nil {
		subscriber <- snapshot
	}
	return subscriber, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subscribers, subscriber)
	}
}

// Run loads the configuration and follows it until the context ends.
func (s *Store) Run(ctx context.Context) error {
	var running sync.WaitGroup
	running.Go(func() { s.follow(ctx) })
	running.Go(func() { s.gossip(ctx) })
	running.Go(func() { s.pull(ctx) })
	running.Wait()
	return nil
}

// install makes a head and its parts current, unless the current head is as new
// or newer.
func (s *Store) install(h head, parts [][]byte) error {
	files, err := decodeFiles(parts, h.Content)
	if err != nil {
		return trace.Wrap(err)
	}
	merged, err := mergeAccepted(files)
	if err != nil {
		return trace.Wrap(err, "revision %d can't be read", h.Revision)
	}
	next := NewSnapshot(h.Revision, merged)
	next.files, next.author, next.acceptedAt = files, h.Author, h.At
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.Revision <= s.head.Revision {
		return nil
	}
	s.replace(h, parts, next)
	if age, late := s.known.Apply(h.Revision); late {
		s.log.Warn("config: revision in force late; calls were refused", "revision", h.Revision, "known-for", age)
	}
	s.log.Info("config: installed a new revision", "revision", h.Revision, "author", h.Author)
	return nil
}

// replace sets the current head and notifies subscribers. The caller holds the
// lock.
func (s *Store) replace(h head, parts [][]byte, next *Snapshot) {
	s.head = h
	s.parts = make(map[Hash][]byte, len(parts))
	for i, hash := range h.Parts {
		s.parts[hash] = parts[i]
	}
	s.current.Store(next)
	close(s.changed)
	s.changed = make(chan struct{})
	for subscriber := range s.subscribers {
		select {
		case <-subscriber:
		default:
		}
		subscriber <- next
	}
}

// confirm records that the key-value service had no newer head at the given
// time.
func (s *Store) confirm(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

// installed returns the current head and a channel that is closed when it
// changes.
func (s *Store) installed() (head, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.head, s.changed
}

// part returns a part of the current head.
func (s *Store) part(hash Hash) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	part, ok := s.parts[hash]
	return part, ok
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
