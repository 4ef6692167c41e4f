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
	// gossipPause is the time between two rounds of questions to peers.
	gossipPause = 500 * time.Millisecond
	// gossipTimeout bounds one question.
	gossipTimeout = time.Second
	// linksPerDomain is the number of peers of each other domain asked a round.
	linksPerDomain = 2
	// maxSyncBytes bounds the records of one answer.
	maxSyncBytes = 2 << 20
)

// The kinds of message between hosts.
const (
	kindTouch    peer.Kind = "key-touch"
	kindSync     peer.Kind = "key-sync"
	kindWithdraw peer.Kind = "key-withdraw"
)

// touchQuestion asks a peer what it knows and how recent that is.
type touchQuestion struct{}

// touchAnswer answers a touchQuestion. Ages are in milliseconds.
type touchAnswer struct {
	Loaded bool `cbor:"loaded"`
	// Records and Pending tell what the peer holds from other states.
	Records uint64 `cbor:"records"`
	Pending uint64 `cbor:"pending"`
	// PlatformMS is how old the peer's knowledge of the service is, or -1.
	PlatformMS int64 `cbor:"platform-ms"`
	// DomainsMS is how old its knowledge of each domain is.
	DomainsMS map[fleet.DomainID]int64 `cbor:"domains-ms"`
}

// syncQuestion asks for all that is newer than the asker's records.
type syncQuestion struct {
	Revisions []keyvalue.Revision `cbor:"revisions"`
}

// syncAnswer answers a syncQuestion.
type syncAnswer struct {
	Loaded  bool         `cbor:"loaded"`
	Records []syncRecord `cbor:"records"`
	Pending []withdrawal `cbor:"pending"`
	// More says that there are more records than one answer holds.
	More bool `cbor:"more"`
}

type syncRecord struct {
	Bucket   int               `cbor:"bucket"`
	Revision keyvalue.Revision `cbor:"revision"`
	Value    []byte            `cbor:"value"`
}

func (r *Store) handlePeers() {
	r.mesh.Handle(kindTouch, r.handleTouch)
	r.mesh.Handle(kindSync, r.handleSync)
	r.mesh.Handle(kindWithdraw, r.handleWithdraw)
}

// gossip asks a few peers every round. Knowledge that a peer had when it was
// asked is credited from the time of the question, and only once all that the
// peer holds was taken, so that late answers can't make it look newer.
func (r *Store) gossip(ctx context.Context) {
	ticker := r.clock.NewTicker(gossipPause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			r.askRound(ctx)
		}
	}
}

// asked is a peer's answer and when it was asked for.
type asked struct {
	peer   peer.Peer
	at     time.Time
	answer touchAnswer
}

// askRound asks a few peers at the same time and then takes what they know, one
// after the other.
func (r *Store) askRound(ctx context.Context) {
	r.round++
	for _, a := range r.askAll(ctx, choosePeers(r.mesh.Self(), r.mesh.Peers(), r.round)) {
		if err := r.learn(ctx, a); err != nil {
			r.log.Debug("key: nothing learned from peer", "host", a.peer.Host, "error", err)
		}
	}
	r.updateTouch()
}

func (r *Store) askAll(ctx context.Context, peers []peer.Peer) []asked {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	var mu sync.Mutex
	var all []asked
	var asking sync.WaitGroup
	for _, p := range peers {
		asking.Go(func() {
			a := asked{peer: p, at: r.clock.Now()}
			if err := r.mesh.Call(ctx, p.Host, kindTouch, touchQuestion{}, &a.answer); err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, a)
		})
	}
	asking.Wait()
	return all
}

// choosePeers returns the peers to ask: of the own domain those at distances
// that double, which spreads news in a number of rounds that is logarithmic in
// the domain's size; of each other domain a few in turn.
func choosePeers(self fleet.Member, peers []peer.Peer, round int) []peer.Peer {
	byDomain := map[fleet.DomainID][]peer.Peer{}
	for _, p := range peers {
		byDomain[p.Domain] = append(byDomain[p.Domain], p)
	}
	own := byDomain[self.Domain]
	delete(byDomain, self.Domain)
	at, _ := slices.BinarySearchFunc(own, self.Host, func(p peer.Peer, h fleet.HostID) int {
		return compareHosts(p.Host, h)
	})
	var chosen []peer.Peer
	for step := 1; step <= len(own); step *= 2 {
		chosen = append(chosen, own[(at+step-1)%len(own)])
	}
	for _, others := range byDomain {
		for i := range min(linksPerDomain, len(others)) {
			chosen = append(chosen, others[(round+i)%len(others)])
		}
	}
	return chosen
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

// learn takes what a peer knows.
func (r *Store) learn(ctx context.Context, a asked) error {
	if !a.answer.Loaded {
		return nil
	}
	if a.answer.Records != r.digest() || a.answer.Pending != r.pending.digest() {
		if err := r.sync(ctx, a.peer.Host); err != nil {
			return trace.Wrap(err)
		}
	}
	r.setLoaded()
	r.credit(a.peer.Domain, a.answer, a.at)
	return nil
}

func (r *Store) credit(domain fleet.DomainID, answer touchAnswer, asked time.Time) {
	r.touch.heard(domain, asked)
	for other, ms := range answer.DomainsMS {
		r.touch.heard(other, asked.Add(-time.Duration(ms)*time.Millisecond))
	}
	if answer.PlatformMS >= 0 {
		r.touch.reached(asked.Add(-time.Duration(answer.PlatformMS) * time.Millisecond))
	}
	r.updateTouch()
}

// sync takes all records and withdrawals that a peer has and this host has not.
func (r *Store) sync(ctx context.Context, from fleet.HostID) error {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	for {
		var answer syncAnswer
		err := r.mesh.Call(ctx, from, kindSync, syncQuestion{r.revisions()}, &answer)
		if err != nil {
			return trace.Wrap(err)
		}
		for _, record := range answer.Records {
			if record.Bucket < 0 || record.Bucket >= buckets {
				return trace.BadParameter("peer %s sent bucket %d", from, record.Bucket)
			}
			if err := r.take(record.Bucket, record.Revision, record.Value); err != nil {
				return trace.Wrap(err)
			}
		}
		r.stop(answer.Pending)
		if !answer.More {
			return nil
		}
	}
}

func (r *Store) handleTouch(_ context.Context, _ fleet.Member, _ []byte) (any, error) {
	now := r.clock.Now()
	platform, domains := r.touch.known()
	answer := touchAnswer{
		Loaded:     r.isLoaded(),
		Records:    r.digest(),
		Pending:    r.pending.digest(),
		PlatformMS: -1,
		DomainsMS:  map[fleet.DomainID]int64{},
	}
	if !platform.IsZero() {
		answer.PlatformMS = ageMS(now, platform)
	}
	for domain, at := range domains {
		answer.DomainsMS[domain] = ageMS(now, at)
	}
	return answer, nil
}

// ageMS returns an age in milliseconds, rounded up.
func ageMS(now, at time.Time) int64 {
	return (now.Sub(at) + time.Millisecond - 1).Milliseconds()
}

func (r *Store) handleSync(_ context.Context, _ fleet.Member, body []byte) (any, error) {
	var question syncQuestion
	if err := peer.Decode(body, &question); err != nil {
		return nil, trace.Wrap(err)
	}
	if len(question.Revisions) != buckets {
		return nil, trace.BadParameter("sync names %d buckets, not %d", len(question.Revisions), buckets)
	}
	answer := syncAnswer{Loaded: r.isLoaded(), Pending: r.pending.list(r.clock.Now(), "")}
	size := 0
	for i := range r.shards {
		revision, value := r.shards[i].stored()
		if revision <= question.Revisions[i] {
			continue
		}
		if size > 0 && size+len(value) > maxSyncBytes {
			answer.More = true
			break
		}
		size += len(value)
		answer.Records = append(answer.Records, syncRecord{i, revision, value})
	}
	return answer, nil
}
