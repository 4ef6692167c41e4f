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

// Ownership is the part of member.Ownership that the limiter needs to find the
// ledgers of each failure domain.
type Ownership interface {
	Self() fleet.Member
	Lease(shard member.Shard, checksFence bool) (member.Lease, bool)
	Owner(domain fleet.DomainID, shard member.Shard) (fleet.Member, bool)
	Reachable(domain fleet.DomainID) bool
}

// ledgerManager runs the ledgers of the teams whose shards this host has leased.
type ledgerManager struct {
	ownership Ownership
	mesh      peer.Mesh
	store     keyvalue.Store
	limits    Limits
	domains   func() []fleet.DomainID
	teams     func() []team.ID
	clock     clockwork.Clock
	log       *slog.Logger
	mutations testMutations
	// changedRecords receives the ledgers whose records are to be read soon.
	changedRecords chan *managedLedger
	shards         [member.Shards]ledgerShard
}

type ledgerShard struct {
	mu      sync.Mutex
	ledgers map[team.ID]*managedLedger
}

// testMutations switches off single mechanisms, so that mutation tests can show that
// the limits depend on them. Only tests set it.
type testMutations struct {
	noRefundCap    bool
	noGrantWait    bool
	noLowerFirst   bool
	noOpeningFence bool
}

// managedLedger is the ledger of one team at this host. Whoever reads or writes the
// record holds recordLock, a channel so that waiting for it can be cancelled; mu
// guards the ledger.
type managedLedger struct {
	team       team.ID
	shard      member.Shard
	recordLock chan struct{}

	mu      sync.Mutex
	ledger  *Ledger
	readyAt time.Time
	// successor is the epoch of the ledger that replaced this one; zero while this
	// one may lend.
	successor target.Fence
	// handedOver is the state that the successor got.
	handedOver ledgerState

	// The following fields are guarded by recordLock.
	transfer *shareTransfer
	shares   Shares
	// forgotten lists the domains that the record marks as forgotten.
	forgotten []fleet.DomainID
	// appliedCredit is the recorded credit that has been added to the ledger.
	appliedCredit MicroTokens
	// demand is the last measured demand, before it is smoothed.
	demand           Demand
	demandMeasuredAt time.Time
	recordReadAt     time.Time
	// openFailedAt is the time of the last failure to open the ledger; zero if there
	// was none since the last success.
	openFailedAt time.Time
	// shareRaised is set while the record may hold a larger share. It needs no lock.
	shareRaised atomic.Bool
}

// ledgerFor returns the ledger of a team, which it creates if needed. It may not be
// open.
func (m *ledgerManager) ledgerFor(id team.ID) *managedLedger {
	shard := member.ShardOf(string(id))
	s := &m.shards[shard]
	s.mu.Lock()
	defer s.mu.Unlock()
	managed := s.ledgers[id]
	if managed != nil {
		return managed
	}
	if s.ledgers == nil {
		s.ledgers = make(map[team.ID]*managedLedger)
	}
	managed = &managedLedger{team: id, shard: shard, recordLock: make(chan struct{}, 1)}
	s.ledgers[id] = managed
	return managed
}

// leasedLedgers returns the ledgers of the shards that this host has leased.
func (m *ledgerManager) leasedLedgers() []*managedLedger {
	var all []*managedLedger
	for i := range m.shards {
		if _, ok := m.ownership.Lease(member.Shard(i), false); !ok {
			continue
		}
		s := &m.shards[i]
		s.mu.Lock()
		for _, managed := range s.ledgers {
			all = append(all, managed)
		}
		s.mu.Unlock()
	}
	return all
}

// serve answers a request to a ledger of this host.
func (m *ledgerManager) serve(ctx context.Context, from fleet.DomainID, request grantRequest) grantAnswer {
	missing, notLeased := grantAnswer{Missing: true}, grantAnswer{Missing: true, NotLeased: true}
	limit, known := m.limits(request.Team)
	if !known {
		return missing
	}
	managed := m.ledgerFor(request.Team)
	lease, ok := m.ownership.Lease(managed.shard, false)
	if !ok {
		return notLeased
	}
	if !managed.isOpen(lease.Fence) {
		if err := m.open(ctx, managed, limit); err != nil {
			m.log.Debug("limit: failed to open ledger", "team", request.Team, "error", err)
			return missing
		}
	}
	managed.mu.Lock()
	defer managed.mu.Unlock()
	lease, ok = m.ownership.Lease(managed.shard, false)
	if !ok || managed.ledger == nil || managed.ledger.Epoch != lease.Fence || managed.successor != 0 {
		return notLeased
	}
	return managed.serve(m.clock.Now(), from, limit, request)
}

// isOpen reports whether the ledger is open under the fence and may lend.
func (l *managedLedger) isOpen(fence target.Fence) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger != nil && l.ledger.Epoch == fence && l.successor == 0
}

// serve answers a request. The caller holds the mutex.
func (l *managedLedger) serve(now time.Time, from fleet.DomainID, limit Limit, request grantRequest) grantAnswer {
	ledger := l.ledger
	ledger.Resize(now, ledger.Share(), limit)
	answer := grantAnswer{Epoch: ledger.Epoch}
	if request.Epoch == ledger.Epoch {
		answer.Sequence = ledger.ApplyReport(now, from, request.Report)
	}
	answer.Grant = ledger.Lend(now, TokenRequest{Domain: from, Need: request.Need, Extra: request.Extra})
	answer.Level = ledger.Level(now)
	answer.Rate, answer.Capacity = ledger.Inflow(now), ledger.Share().Of(limit).Capacity
	answer.ReadyMS = max(0, l.readyAt.Sub(now).Milliseconds())
	return answer
}

// lockRecord acquires recordLock, or fails when the context ends.
func (l *managedLedger) lockRecord(ctx context.Context) error {
	select {
	case l.recordLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

func (l *managedLedger) unlockRecord() { <-l.recordLock }

// handOver returns the state of a ledger to its successor. Only one successor ever
// gets the state, and the ledger never lends again.
func (m *ledgerManager) handOver(request inheritRequest) inheritAnswer {
	managed := m.ledgerFor(request.Team)
	lease, leased := m.ownership.Lease(managed.shard, false)
	managed.mu.Lock()
	defer managed.mu.Unlock()
	ledger := managed.ledger
	if ledger == nil || ledger.Epoch != request.Old || request.New <= request.Old {
		return inheritAnswer{}
	}
	if leased && lease.Fence == request.Old {
		return inheritAnswer{}
	}
	now := m.clock.Now()
	switch managed.successor {
	case 0:
		if now.Before(managed.readyAt) {
			return inheritAnswer{}
		}
		managed.successor = request.New
		managed.handedOver = ledger.state(now)
	case request.New:
	default:
		return inheritAnswer{}
	}
	return inheritAnswer{Found: true, State: managed.handedOver}
}
