package key

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/peer"
)

const (
	// gossipInterval is the time between two rounds of requests to peers.
	gossipInterval = 500 * time.Millisecond
	// gossipTimeout limits the requests of one round, and one sync.
	gossipTimeout = time.Second
	// peersPerDomain is the number of peers of each other domain that a round
	// queries, and that forward a withdrawal within their domain.
	peersPerDomain = 2
	// maxSyncBytes limits the size of the records in one sync response.
	maxSyncBytes = 2 << 20
)

// The kinds of message between hosts.
const (
	kindFreshness peer.Kind = "key-touch"
	kindSync      peer.Kind = "key-sync"
	kindWithdraw  peer.Kind = "key-withdraw"
)

// freshnessRequest requests a digest of a peer's state and its sync times.
type freshnessRequest struct{}

// freshnessResponse is the response to a freshnessRequest. Ages are in
// milliseconds.
type freshnessResponse struct {
	Loaded bool `cbor:"loaded"`
	// RecordsDigest and PendingDigest identify the peer's records and its
	// pending withdrawals.
	RecordsDigest uint64 `cbor:"records"`
	PendingDigest uint64 `cbor:"pending"`
	// KeyValueAgeMS is the time since the peer was in sync with the key-value
	// service, or -1 if it never was.
	KeyValueAgeMS int64 `cbor:"platform-ms"`
	// DomainAgesMS is the time since the peer was in sync with each domain.
	DomainAgesMS map[fleet.DomainID]int64 `cbor:"domains-ms"`
}

// syncRequest requests the records that are newer than the given revisions, one
// for each bucket, and all pending withdrawals.
type syncRequest struct {
	Revisions []keyvalue.Revision `cbor:"revisions"`
}

// syncResponse is the response to a syncRequest.
type syncResponse struct {
	Loaded  bool         `cbor:"loaded"`
	Records []syncRecord `cbor:"records"`
	Pending []withdrawal `cbor:"pending"`
	// More is set if there are more records than fit into one response.
	More bool `cbor:"more"`
}

// syncRecord is the record of one bucket.
type syncRecord struct {
	Bucket   int               `cbor:"bucket"`
	Revision keyvalue.Revision `cbor:"revision"`
	Value    []byte            `cbor:"value"`
}

func (s *Store) handlePeers() {
	s.mesh.Handle(kindFreshness, s.handleFreshness)
	s.mesh.Handle(kindSync, s.handleSync)
	s.mesh.Handle(kindWithdraw, s.handleWithdraw)
}

// gossip syncs with a few peers every round. It updates the sync times from the
// time at which a request was sent, not from that of its response, and only
// after everything that the peer holds was applied. A late response thus can't
// make the state look newer than it is.
func (s *Store) gossip(ctx context.Context) {
	ticker := s.clock.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			s.gossipRound(ctx)
		}
	}
}

// peerState is a peer's response and the time at which it was requested.
type peerState struct {
	peer        peer.Peer
	requestedAt time.Time
	response    freshnessResponse
}

// gossipRound queries a few peers concurrently and then syncs with them one
// after the other.
func (s *Store) gossipRound(ctx context.Context) {
	s.round++
	for _, state := range s.queryPeers(ctx, selectPeers(s.mesh.Self(), s.mesh.Peers(), s.round)) {
		if err := s.syncFrom(ctx, state); err != nil {
			s.log.Debug("key: can't sync with a peer", "host", state.peer.Host, "error", err)
		}
	}
	s.updateFreshness()
}

// queryPeers returns the states of the peers that respond in time.
func (s *Store) queryPeers(ctx context.Context, peers []peer.Peer) []peerState {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	var mu sync.Mutex
	var all []peerState
	var calls sync.WaitGroup
	for _, p := range peers {
		calls.Go(func() {
			state := peerState{peer: p, requestedAt: s.clock.Now()}
			if err := s.mesh.Call(ctx, p.Host, kindFreshness, freshnessRequest{}, &state.response); err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, state)
		})
	}
	calls.Wait()
	return all
}

// selectPeers returns the peers to query in a round. In the host's own domain
// these are the peers at distances 1, 2, 4 and so on in the order of host IDs,
// which spreads an update in a number of rounds that is logarithmic in the
// domain's size. In each other domain these are a few peers in turn.
func selectPeers(self fleet.Member, peers []peer.Peer, round int) []peer.Peer {
	byDomain := map[fleet.DomainID][]peer.Peer{}
	for _, p := range peers {
		byDomain[p.Domain] = append(byDomain[p.Domain], p)
	}
	own := byDomain[self.Domain]
	delete(byDomain, self.Domain)
	next, _ := slices.BinarySearchFunc(own, self.Host, func(p peer.Peer, h fleet.HostID) int {
		return compareHosts(p.Host, h)
	})
	var selected []peer.Peer
	for step := 1; step <= len(own); step *= 2 {
		selected = append(selected, own[(next+step-1)%len(own)])
	}
	for _, others := range byDomain {
		for i := range min(peersPerDomain, len(others)) {
			selected = append(selected, others[(round+i)%len(others)])
		}
	}
	return selected
}

func compareHosts(a, b fleet.HostID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// syncFrom applies what a peer holds if it differs from this host's state, and
// then takes over the peer's sync times.
func (s *Store) syncFrom(ctx context.Context, state peerState) error {
	if !state.response.Loaded {
		return nil
	}
	if state.response.RecordsDigest != s.digest() || state.response.PendingDigest != s.pending.digest() {
		if err := s.sync(ctx, state.peer.Host); err != nil {
			return trace.Wrap(err)
		}
	}
	s.setLoaded()
	s.recordFreshness(state.peer.Domain, state.response, state.requestedAt)
	return nil
}

// recordFreshness updates the sync times from a peer whose state was applied.
func (s *Store) recordFreshness(domain fleet.DomainID, response freshnessResponse, requestedAt time.Time) {
	s.syncTimes.domainSynced(domain, requestedAt)
	for other, ms := range response.DomainAgesMS {
		s.syncTimes.domainSynced(other, requestedAt.Add(-time.Duration(ms)*time.Millisecond))
	}
	if response.KeyValueAgeMS >= 0 {
		s.syncTimes.keyValueSynced(requestedAt.Add(-time.Duration(response.KeyValueAgeMS) * time.Millisecond))
	}
	s.updateFreshness()
}

// sync fetches and applies the newer records and the pending withdrawals of a
// peer.
func (s *Store) sync(ctx context.Context, from fleet.HostID) error {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	for {
		var response syncResponse
		err := s.mesh.Call(ctx, from, kindSync, syncRequest{s.revisions()}, &response)
		if err != nil {
			return trace.Wrap(err)
		}
		for _, record := range response.Records {
			if record.Bucket < 0 || record.Bucket >= bucketCount {
				return trace.BadParameter("peer %s sent a record of bucket %d, which does not exist", from, record.Bucket)
			}
			if err := s.applyRecord(record.Bucket, record.Revision, record.Value); err != nil {
				return trace.Wrap(err)
			}
		}
		s.applyWithdrawals(response.Pending)
		if !response.More {
			return nil
		}
	}
}

func (s *Store) handleFreshness(_ context.Context, _ fleet.Member, _ []byte) (any, error) {
	now := s.clock.Now()
	keyValue, domains := s.syncTimes.asOf()
	response := freshnessResponse{
		Loaded:        s.isLoaded(),
		RecordsDigest: s.digest(),
		PendingDigest: s.pending.digest(),
		KeyValueAgeMS: -1,
		DomainAgesMS:  map[fleet.DomainID]int64{},
	}
	if !keyValue.IsZero() {
		response.KeyValueAgeMS = ageMS(now, keyValue)
	}
	for domain, at := range domains {
		response.DomainAgesMS[domain] = ageMS(now, at)
	}
	return response, nil
}

// ageMS returns an age in milliseconds, rounded up.
func ageMS(now, at time.Time) int64 {
	return (now.Sub(at) + time.Millisecond - 1).Milliseconds()
}

func (s *Store) handleSync(_ context.Context, _ fleet.Member, body []byte) (any, error) {
	var request syncRequest
	if err := peer.Decode(body, &request); err != nil {
		return nil, trace.Wrap(err)
	}
	if len(request.Revisions) != bucketCount {
		return nil, trace.BadParameter("sync names %d buckets, not %d", len(request.Revisions), bucketCount)
	}
	response := syncResponse{Loaded: s.isLoaded(), Pending: s.pending.list(s.clock.Now(), "")}
	size := 0
	for i := range s.buckets {
		revision, value := s.buckets[i].stored()
		if revision <= request.Revisions[i] {
			continue
		}
		if size > 0 && size+len(value) > maxSyncBytes {
			response.More = true
			break
		}
		size += len(value)
		response.Records = append(response.Records, syncRecord{i, revision, value})
	}
	return response, nil
}
