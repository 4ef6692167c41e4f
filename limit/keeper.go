package limit

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/member"
	"hawthornway/peer"
	"hawthornway/target"
	"hawthornway/team"
)

// Ownership tells who keeps the ledgers of each failure domain. It is the part
// of member.Ownership that limits need.
type Ownership interface {
	Self() fleet.Member
	Lease(shard member.Shard, checksFence bool) (member.Lease, bool)
	Owner(domain fleet.DomainID, shard member.Shard) (fleet.Member, bool)
	Reachable(domain fleet.DomainID) bool
}

// keeper keeps the ledgers of the teams whose shards this host holds.
type keeper struct {
	own     Ownership
	mesh    peer.Mesh
	store   keyvalue.Store
	limits  Limits
	domains func() []fleet.DomainID
	teams   func() []team.ID
	clock   clockwork.Clock
	log     *slog.Logger
	off     mutations
	// wake takes ledgers whose records have changed.
	wake   chan *kept
	shards [member.Shards]ledgerShard
}

type ledgerShard struct {
	mu   sync.Mutex
	kept map[team.ID]*kept
}

// mutations switch single mechanisms off. Only tests set them.
type mutations struct {
	refundCap    bool
	grantWait    bool
	lowerFirst   bool
	openingFence bool
}

// kept is the ledger of one team at this host. The turn is held by whoever
// reads or writes the record; the lock guards the ledger.
type kept struct {
	team  team.ID
	shard member.Shard
	turn  chan struct{}

	mu     sync.Mutex
	ledger *Ledger
	ready  time.Time
	// passedTo is the epoch of the ledger that took this one's place; zero
	// while this one may lend.
	passedTo target.Fence
	passed   state

	// These are used by the holder of the turn only.
	gift   *gift
	shares Shares
	// gone is the domains that were forgotten.
	gone []fleet.DomainID
	// credited is the recorded credit that the ledger has taken in.
	credited Micro
	// demand is that of the time before countedAt.
	demand    Demand
	countedAt time.Time
	readAt    time.Time
	// failedAt is when the ledger could not be opened; zero for never.
	failedAt time.Time
	// raised says that the record may hold a larger share.
	raised atomic.Bool
}

func (k *keeper) find(id team.ID) *kept {
	shard := member.ShardOf(string(id))
	s := &k.shards[shard]
	s.mu.Lock()
	defer s.mu.Unlock()
	one := s.kept[id]
	if one != nil {
		return one
	}
	if s.kept == nil {
		s.kept = make(map[team.ID]*kept)
	}
	one = &kept{team: id, shard: shard, turn: make(chan struct{}, 1)}
	s.kept[id] = one
	return one
}

// all returns the ledgers of the shards that this host holds, and forgets those
// of shards that it lost long ago.
func (k *keeper) all() []*kept {
	var all []*kept
	for i := range k.shards {
		if _, ok := k.own.Lease(member.Shard(i), false); !ok {
			continue
		}
		s := &k.shards[i]
		s.mu.Lock()
		for _, one := range s.kept {
			all = append(all, one)
		}
		s.mu.Unlock()
	}
	return all
}

// serve answers one request to a ledger of this host.
func (k *keeper) serve(ctx context.Context, from fleet.DomainID, request grantRequest) grantAnswer {
	missing, unheld := grantAnswer{Missing: true}, grantAnswer{Missing: true, Unheld: true}
	limit, known := k.limits(request.Team)
	if !known {
		return missing
	}
	one := k.find(request.Team)
	hold, ok := k.own.Lease(one.shard, false)
	if !ok {
		return unheld
	}
	if !one.openFor(hold.Fence) {
		if err := k.open(ctx, one, limit); err != nil {
			k.log.Debug("limit: ledger is not open", "team", request.Team, "error", err)
			return missing
		}
	}
	one.mu.Lock()
	defer one.mu.Unlock()
	hold, ok = k.own.Lease(one.shard, false)
	if !ok || one.ledger == nil || one.ledger.Epoch != hold.Fence || one.passedTo != 0 {
		return unheld
	}
	return one.serve(k.clock.Now(), from, limit, request)
}

func (o *kept) openFor(fence target.Fence) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ledger != nil && o.ledger.Epoch == fence && o.passedTo == 0
}

// serve answers a request. The caller holds the lock.
func (o *kept) serve(now time.Time, from fleet.DomainID, limit Limit, request grantRequest) grantAnswer {
	l := o.ledger
	l.Resize(now, l.Share(), limit)
	answer := grantAnswer{Epoch: l.Epoch}
	if request.Epoch == l.Epoch {
		answer.Mark = l.Take(now, from, request.Report)
	}
	answer.Grant = l.Lend(now, Ask{Domain: from, Need: request.Need, Extra: request.Extra})
	answer.Level = l.Level(now)
	answer.Rate, answer.Capacity = l.Inflow(now), l.Share().Of(limit).Capacity
	answer.ReadyMS = max(0, o.ready.Sub(now).Milliseconds())
	return answer
}

// takeTurn waits for the turn at a ledger's record.
func (o *kept) takeTurn(ctx context.Context) error {
	select {
	case o.turn <- struct{}{}:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

func (o *kept) endTurn() { <-o.turn }

// inherit gives the state of a ledger to the one that takes its place. It is
// given to one taker only, and the ledger never lends again.
func (k *keeper) inherit(request inheritRequest) inheritAnswer {
	one := k.find(request.Team)
	hold, holds := k.own.Lease(one.shard, false)
	one.mu.Lock()
	defer one.mu.Unlock()
	l := one.ledger
	if l == nil || l.Epoch != request.Old || request.New <= request.Old {
		return inheritAnswer{}
	}
	if holds && hold.Fence == request.Old {
		return inheritAnswer{}
	}
	now := k.clock.Now()
	switch one.passedTo {
	case 0:
		if now.Before(one.ready) {
			return inheritAnswer{}
		}
		one.passedTo = request.New
		one.passed = l.state(now)
	case request.New:
	default:
		return inheritAnswer{}
	}
	return inheritAnswer{Found: true, State: one.passed}
}
