package config

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"hawthornway/fleet"
	"hawthornway/keyvalue"
)

// follow keeps the head up to date until the context ends. The watchers of a
// domain watch the key-value service. Other hosts rely on their peers, and read
// the head from the key-value service only when its last confirmation is too old.
func (s *Store) follow(ctx context.Context) {
	var after keyvalue.Revision
	var failing bool
	for ctx.Err() == nil {
		if s.reliesOnPeers() {
			s.pause(ctx, retryInterval)
			continue
		}
		err := s.followOnce(ctx, &after)
		if err != nil && !failing && ctx.Err() == nil {
			s.log.Warn("config: can't reach the key-value service", "error", err)
		}
		failing = err != nil
		if failing {
			s.loadFromPeers(ctx)
			s.pause(ctx, s.retryDelay())
		}
	}
}

// reliesOnPeers reports whether peers keep this host up to date, so that it
// needn't call the key-value service.
func (s *Store) reliesOnPeers() bool {
	return !s.isWatcher() && s.Age() < maxConfirmationAge
}

// retryDelay returns the delay after a failed call. A host that has a
// configuration and is not a watcher waits longer, to spare the key-value
// service.
func (s *Store) retryDelay() time.Duration {
	if s.Current() == nil || s.isWatcher() {
		return retryInterval
	}
	return maxConfirmationAge / 3
}

// followOnce reads the head, or waits for a change of it if this host is a
// watcher with a confirmed head.
func (s *Store) followOnce(ctx context.Context, after *keyvalue.Revision) error {
	if s.ConfirmedAt().IsZero() || !s.isWatcher() {
		return s.load(ctx, after)
	}
	return s.watchHead(ctx, after)
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

// load reads the head from the key-value service, installs it if it is newer and
// records the confirmation.
func (s *Store) load(ctx context.Context, after *keyvalue.Revision) error {
	requestedAt := s.clock.Now()
	h, err := s.readHead(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := s.fetch(ctx, h, ""); err != nil {
		return trace.Wrap(err)
	}
	s.confirm(requestedAt)
	*after = h.keyRevision
	return nil
}

// watchHead waits once for a change of the head and installs it. It records the
// confirmation also if there was no change.
func (s *Store) watchHead(ctx context.Context, after *keyvalue.Revision) error {
	watchCtx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	requestedAt := s.clock.Now()
	events, next, err := s.kv.Watch(watchCtx, headKey, *after)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, event := range events {
		if err := s.applyEvent(ctx, event); err != nil {
			return trace.Wrap(err)
		}
	}
	s.confirm(requestedAt)
	*after = next
	return nil
}

func (s *Store) applyEvent(ctx context.Context, event keyvalue.Event) error {
	if event.Deleted || event.Key != headKey {
		return nil
	}
	h, err := parseHead(event.Entry)
	if err != nil {
		return trace.Wrap(err)
	}
	return s.fetch(ctx, h, "")
}

// readHead returns the head in the key-value service, or an empty one if there
// is none.
func (s *Store) readHead(ctx context.Context) (head, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := s.kv.Get(ctx, headKey)
	if errors.Is(err, keyvalue.ErrNotFound) {
		return head{}, nil
	}
	if err != nil {
		return head{}, trace.Wrap(err)
	}
	return parseHead(entry)
}

// fetch gets the parts of a head and installs it, if it is newer than the
// current one. The parts come from a peer if one is given, else from the
// key-value service.
func (s *Store) fetch(ctx context.Context, h head, from fleet.HostID) error {
	if current, _ := s.installed(); h.Revision <= current.Revision {
		return nil
	}
	s.learn(h.Revision)
	parts := make([][]byte, len(h.Parts))
	for i, hash := range h.Parts {
		part, err := s.fetchPart(ctx, hash, from)
		if err != nil {
			return trace.Wrap(err)
		}
		parts[i] = part
	}
	return s.install(h, parts)
}

// learn records that a revision exists.
func (s *Store) learn(revision Revision) {
	if s.known.Learn(revision) {
		s.log.Info("config: told of a newer revision", "revision", revision)
	}
}

// fetchPart returns a part from the current head if it has it, else from the
// peer or the key-value service.
func (s *Store) fetchPart(ctx context.Context, hash Hash, from fleet.HostID) ([]byte, error) {
	if part, ok := s.part(hash); ok {
		return part, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if from != "" {
		return s.partFromPeer(ctx, hash, from)
	}
	entry, err := s.kv.Get(ctx, partPrefix+string(hash))
	return entry.Value, trace.Wrap(err)
}

// loadFromPeers requests the heads of all peers and installs the newest that
// can be fetched.
func (s *Store) loadFromPeers(ctx context.Context) {
	type candidate struct {
		from fleet.HostID
		headResponse
	}
	var candidates []candidate
	for _, p := range s.mesh.Peers() {
		if h, err := s.headFromPeer(ctx, p.Host); err == nil {
			candidates = append(candidates, candidate{p.Host, h})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.Revision, a.Revision) })
	for _, c := range candidates {
		if err := s.applyHead(ctx, c.from, c.headResponse); err == nil {
			return
		}
	}
}

// timeAgo returns the time a number of milliseconds ago.
func (s *Store) timeAgo(ms int64) time.Time {
	return s.clock.Now().Add(-time.Duration(ms) * time.Millisecond)
}
