package limit

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/target"
	"hawthornway/team"
)

const (
	// reconcileInterval is the time between two rounds of reconciliation.
	reconcileInterval = time.Second
	// minShareChangeInterval is the minimum mean time between two changes of one team's
	// shares, over all domains.
	minShareChangeInterval = 5 * time.Second
	// maxSwapAttempts is the number of consecutive attempts at one change of a
	// record.
	maxSwapAttempts = 5
	// maxRecordAge is the time after which a ledger in use reads its record again.
	maxRecordAge = time.Minute
)

// shareTransfer is a transfer of shares to other domains that is in progress. The
// ledger that transfers them has lowered its own share in memory, and writes the record
// once its outstanding grants fit into the smaller bucket.
type shareTransfer struct {
	shares Shares
	// droppedTokens is the number of tokens that no longer fit into the smaller
	// bucket. They are credited to the domains that receive the shares.
	droppedTokens MicroTokens
	// outcomeUnknown is set when the swap of the record at expectedRevision may have
	// taken effect. The share stays lowered until the record shows whether it has.
	outcomeUnknown   bool
	expectedRevision keyvalue.Revision
}

// run opens the ledgers of the shards that this host has leased, and reconciles their
// shares, until the context ends.
func (m *ledgerManager) run(ctx context.Context) {
	ticker := m.clock.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			m.openAll(ctx)
			m.reconcileAll(ctx)
		case managed := <-m.changedRecords:
			m.reconcileAndLog(ctx, managed)
		}
	}
}

// openAll opens the ledgers of all teams whose shards this host has leased.
func (m *ledgerManager) openAll(ctx context.Context) {
	for _, id := range m.teams() {
		managed := m.ledgerFor(id)
		limit, known := m.limits(id)
		lease, ok := m.ownership.Lease(managed.shard, false)
		if !known || !ok || managed.isOpen(lease.Fence) || ctx.Err() != nil {
			continue
		}
		if err := m.open(ctx, managed, limit); err != nil {
			m.log.Warn("limit: failed to open ledger", "team", id, "error", err)
			return
		}
	}
}

func (m *ledgerManager) reconcileAll(ctx context.Context) {
	for _, managed := range m.leasedLedgers() {
		m.reconcileAndLog(ctx, managed)
	}
}

func (m *ledgerManager) reconcileAndLog(ctx context.Context, managed *managedLedger) {
	if err := m.reconcile(ctx, managed); err != nil {
		m.log.Debug("limit: failed to reconcile shares", "team", managed.team, "error", err)
	}
}

// recordChanged schedules an early read of a team's record, since it may hold a larger
// share.
func (m *ledgerManager) recordChanged(id team.ID) {
	managed := m.ledgerFor(id)
	managed.shareRaised.Store(true)
	select {
	case m.changedRecords <- managed:
	default:
	}
}

// reconcile takes the next step of dividing a team's limit among the domains, if one
// is due.
func (m *ledgerManager) reconcile(ctx context.Context, managed *managedLedger) error {
	ctx, cancel := m.timeout(ctx, openTimeout)
	defer cancel()
	if err := managed.lockRecord(ctx); err != nil {
		return trace.Wrap(err)
	}
	defer managed.unlockRecord()
	limit, known := m.limits(managed.team)
	lease, ok := m.ownership.Lease(managed.shard, false)
	if !known || !ok || !managed.isOpen(lease.Fence) {
		return nil
	}
	demand := m.measureDemand(managed)
	if managed.transfer == nil && !m.needsRecord(managed, demand, limit) {
		return nil
	}
	for range maxSwapAttempts {
		err := m.reconcileShares(ctx, managed, lease.Fence, demand, limit)
		if !isConflict(err) {
			return trace.Wrap(err)
		}
	}
	return nil
}

// reconcileShares reads a team's record, applies the share in it to the ledger, and
// transfers shares to other domains. The caller holds the record lock.
func (m *ledgerManager) reconcileShares(ctx context.Context, managed *managedLedger, fence target.Fence, demand Demand, limit Limit) error {
	record, revision, err := m.readRecord(ctx, managed.team)
	if err != nil {
		return trace.Wrap(err)
	}
	mine := record.Domains[m.ownership.Self().Domain]
	if mine.Fence != fence {
		return trace.CompareFailed("a ledger with fence %d was opened since", mine.Fence)
	}
	managed.shareRaised.Store(false)
	managed.recordReadAt, managed.shares, managed.forgotten = m.clock.Now(), record.shares(), record.forgotten()
	if shares := managed.resolveUnknownTransfer(revision); shares != nil {
		m.notifyRaised(managed.team, shares)
	}
	if managed.transfer == nil {
		managed.transfer = m.planTransfer(managed, demand, limit)
	}
	if !m.applyShare(managed, mine, limit) {
		return nil
	}
	return trace.Wrap(m.writeTransfer(ctx, managed, record, revision))
}

// measureDemand returns the demand at a ledger if the next measurement is due, else
// nil.
func (m *ledgerManager) measureDemand(managed *managedLedger) Demand {
	elapsed := m.clock.Since(managed.demandMeasuredAt)
	if elapsed < minShareChangeInterval*time.Duration(max(1, len(m.domains()))) {
		return nil
	}
	managed.demandMeasuredAt = m.clock.Now()
	own := m.ownership.Self().Domain
	managed.mu.Lock()
	defer managed.mu.Unlock()
	previous := managed.demand
	managed.demand = managed.ledger.Demand(own, elapsed)
	return managed.demand.smoothed(previous, own)
}

// needsRecord reports whether the record has to be read.
func (m *ledgerManager) needsRecord(managed *managedLedger, demand Demand, limit Limit) bool {
	if managed.shareRaised.Load() {
		return true
	}
	if len(demand) > 0 && m.clock.Since(managed.recordReadAt) >= maxRecordAge {
		return true
	}
	return m.planTransfer(managed, demand, limit) != nil
}

// planTransfer returns the transfer that the demand calls for, or nil.
func (m *ledgerManager) planTransfer(managed *managedLedger, demand Demand, limit Limit) *shareTransfer {
	if demand == nil {
		return nil
	}
	shares := managed.shares.Transfer(m.ownership.Self().Domain, exclude(m.domains(), managed.forgotten), demand, limit)
	if shares.Sum() == 0 {
		return nil
	}
	return &shareTransfer{shares: shares}
}

// resolveUnknownTransfer ends a transfer with an unknown outcome once the revision of
// the record has changed: the swap can no longer take effect, and if it did, the
// record shows it. It returns the shares that may have been transferred, or nil.
func (l *managedLedger) resolveUnknownTransfer(revision keyvalue.Revision) Shares {
	if l.transfer == nil || !l.transfer.outcomeUnknown || l.transfer.expectedRevision == revision {
		return nil
	}
	shares := l.transfer.shares
	l.transfer = nil
	return shares
}

// applyShare sets the ledger to the recorded share minus the shares of the transfer in
// progress, and reports whether there is a transfer that may be written now.
func (m *ledgerManager) applyShare(managed *managedLedger, recorded shareEntry, limit Limit) bool {
	managed.mu.Lock()
	defer managed.mu.Unlock()
	now := m.clock.Now()
	managed.ledger.Resize(now, managed.ledger.Share(), limit)
	transferred := Share(0)
	if managed.transfer != nil {
		transferred = managed.transfer.shares.Sum()
	}
	if recorded.Share < transferred {
		managed.transfer, transferred = nil, 0
	}
	if m.mutations.noLowerFirst {
		transferred = 0
	}
	dropped := managed.ledger.Resize(now, recorded.Share-transferred, limit)
	if managed.transfer != nil {
		managed.transfer.droppedTokens += dropped
	}
	managed.ledger.Credit(now, recorded.Credit-managed.appliedCredit)
	managed.appliedCredit = recorded.Credit
	return managed.transfer != nil && (managed.ledger.Fits(now) || m.mutations.noLowerFirst)
}

// writeTransfer writes the transfer in progress to the record.
func (m *ledgerManager) writeTransfer(ctx context.Context, managed *managedLedger, record shareRecord, revision keyvalue.Revision) error {
	self := m.ownership.Self().Domain
	moved := record.transfer(self, managed.transfer.shares, managed.transfer.droppedTokens)
	_, err := m.store.Swap(ctx, recordKey(managed.team), revision, moved.encode())
	switch {
	case err == nil:
		m.log.Info("limit: share transferred", "team", managed.team, "given", managed.transfer.shares)
		shares := managed.transfer.shares
		managed.transfer, managed.shares = nil, moved.shares()
		m.notifyRaised(managed.team, shares)
		return nil
	case isConflict(err), errors.Is(err, keyvalue.ErrUnavailable):
		return trace.Wrap(err)
	}
	managed.transfer.outcomeUnknown, managed.transfer.expectedRevision = true, revision
	return trace.Wrap(err)
}

// notifyRaised notifies the owners of the ledgers whose shares have grown. If a
// notice is lost, the owner learns of it when it next reads the record.
func (m *ledgerManager) notifyRaised(id team.ID, raised Shares) {
	self := m.ownership.Self().Domain
	for domain := range raised {
		owner, ok := m.ledgerHost(domain, id)
		if !ok {
			continue
		}
		if err := m.mesh.Notify(owner.Host, kindRaised, raisedNotice{Team: id, Domain: self}); err != nil {
			m.log.Debug("limit: failed to notify the owner of a larger share", "team", id, "domain", domain, "error", err)
		}
	}
}

// forgetDomain transfers the shares of a domain that is permanently gone to the
// others, for all teams.
func (m *ledgerManager) forgetDomain(ctx context.Context, gone fleet.DomainID) error {
	entries, _, err := m.store.List(ctx, recordPrefix)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, entry := range entries {
		if err := m.forgetDomainInRecord(ctx, entry, gone); err != nil {
			return trace.Wrap(err, "record %q", entry.Key)
		}
	}
	return nil
}

func (m *ledgerManager) forgetDomainInRecord(ctx context.Context, entry keyvalue.Entry, gone fleet.DomainID) error {
	record, err := decodeShareRecord(entry.Value)
	if err != nil {
		return trace.Wrap(err)
	}
	others := exclude(m.domains(), append(record.forgotten(), gone))
	if record.Domains[gone].Forgotten || len(others) == 0 {
		return nil
	}
	moved := record.forgetDomain(gone, others)
	if _, err := m.store.Swap(ctx, entry.Key, entry.Revision, moved.encode()); err != nil {
		return trace.Wrap(err)
	}
	m.notifyRaised(team.ID(strings.TrimPrefix(entry.Key, recordPrefix)), moved.shares())
	return nil
}

// exclude returns the domains without those that are gone.
func exclude(domains, gone []fleet.DomainID) []fleet.DomainID {
	return slices.DeleteFunc(slices.Clone(domains), func(d fleet.DomainID) bool {
		return slices.Contains(gone, d)
	})
}

func isConflict(err error) bool {
	var conflict *keyvalue.ConflictError
	return errors.As(err, &conflict)
}
