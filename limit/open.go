package limit

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/member"
	"hawthornway/target"
	"hawthornway/team"
)

const (
	// openTimeout limits the opening of a ledger, and also one reconciliation of its
	// shares.
	openTimeout = time.Second
	// inheritTimeout limits the request for the state of the previous ledger.
	inheritTimeout = 300 * time.Millisecond
	// minOpenRetryDelay is the first delay between two attempts to open a ledger. It
	// doubles with each attempt.
	minOpenRetryDelay = 20 * time.Millisecond
	// openFailureDelay is the time after a failed opening until the next one may
	// start.
	openFailureDelay = 500 * time.Millisecond
)

// open opens the ledger of a team under the lease that this host has now.
func (m *ledgerManager) open(ctx context.Context, managed *managedLedger, limit Limit) error {
	ctx, cancel := m.timeout(ctx, openTimeout)
	defer cancel()
	if err := managed.lockRecord(ctx); err != nil {
		return trace.Wrap(err)
	}
	defer managed.unlockRecord()
	lease, ok := m.ownership.Lease(managed.shard, false)
	if !ok {
		return trace.CompareFailed("the lease of shard %d is not held by this host", managed.shard)
	}
	if managed.isOpen(lease.Fence) {
		return nil
	}
	if !managed.openFailedAt.IsZero() && m.clock.Since(managed.openFailedAt) < openFailureDelay {
		return trace.LimitExceeded("opening the ledger failed a moment ago")
	}
	o := &opening{manager: m, managed: managed, lease: lease}
	for pause := minOpenRetryDelay; ; pause *= 2 {
		err := o.try(ctx)
		if err == nil {
			o.finish(limit)
			return nil
		}
		if trace.IsCompareFailed(err) || trace.IsBadParameter(err) || !m.sleep(ctx, pause) {
			managed.openFailedAt = m.clock.Now()
			return trace.Wrap(err)
		}
	}
}

// opening is an attempt to open a ledger.
type opening struct {
	manager *ledgerManager
	managed *managedLedger
	lease   member.Lease

	// writeAttempted is set once try has started to write the record.
	writeAttempted bool
	entry          shareEntry
	shares         Shares
	// firstLedger is set when no ledger of the domain was opened before and its share
	// is still the initial one.
	firstLedger bool
	// previousEpoch is the epoch of the previous ledger, and inheritedState its state
	// if it handed it over.
	previousEpoch  target.Fence
	inheritedState *ledgerState
	// reopened is set when this host had already opened a ledger under the same fence.
	reopened bool
}

// try writes the ledger's fence to the record. After that, writes of earlier ledgers
// that are still in flight can no longer take effect.
func (o *opening) try(ctx context.Context) error {
	record, revision, err := o.manager.readRecord(ctx, o.managed.team)
	if err != nil {
		return trace.Wrap(err)
	}
	self := o.manager.ownership.Self()
	found := record.Domains[self.Domain]
	if found.Fence > o.lease.Fence {
		return trace.CompareFailed("a ledger with the higher fence %d was opened", found.Fence)
	}
	o.inspectEntry(ctx, found)
	mine := found
	mine.Fence = o.lease.Fence
	mine.Host = self.Host
	mine.Forgotten = false
	record.Domains[self.Domain] = mine
	o.writeAttempted = true
	if o.manager.mutations.noOpeningFence && found.Fence != 0 {
		o.entry, o.shares = mine, record.shares()
		return nil
	}
	if _, err = o.manager.store.Swap(ctx, recordKey(o.managed.team), revision, record.encode()); err != nil {
		return trace.Wrap(err)
	}
	o.entry = mine
	o.shares = record.shares()
	return nil
}

// inspectEntry finds out from the recorded entry whether there was a previous ledger,
// and requests its state.
func (o *opening) inspectEntry(ctx context.Context, found shareEntry) {
	switch {
	case found.Fence == o.lease.Fence:
		o.reopened = o.reopened || !o.writeAttempted
	case found.Fence == 0:
		o.firstLedger = !found.Raised
	case found.Fence != o.previousEpoch:
		o.firstLedger = false
		o.previousEpoch = found.Fence
		o.inheritedState = o.manager.requestState(ctx, o.managed, found, o.lease)
	}
}

// finish creates the ledger. Unless the previous one handed over its state, it lends
// nothing until all grants of the previous one have expired.
func (o *opening) finish(limit Limit) {
	m, managed := o.manager, o.managed
	managed.mu.Lock()
	defer managed.mu.Unlock()
	now := m.clock.Now()
	readyAt := now
	switch {
	case o.reopened:
		readyAt = now.Add(ledgerGrantTTL)
	case o.previousEpoch != 0 && o.inheritedState == nil:
		readyAt = o.lease.Since.Add(ledgerGrantTTL)
	}
	if readyAt.Before(now) || m.mutations.noGrantWait {
		readyAt = now
	}
	l := NewLedger(readyAt, o.lease.Fence, o.entry.Share, limit)
	l.bucket.headroom.ignoreHistory = m.mutations.noRefundCap
	switch {
	case o.inheritedState != nil:
		l.restoreState(now, *o.inheritedState)
	case o.firstLedger:
		l.Fill()
	}
	managed.ledger, managed.readyAt = l, readyAt
	managed.successor, managed.handedOver = 0, ledgerState{}
	managed.transfer, managed.shares, managed.appliedCredit = nil, o.shares, o.entry.Credit
	managed.openFailedAt = time.Time{}
	managed.demand, managed.demandMeasuredAt, managed.recordReadAt = nil, now, now
	m.log.Info("limit: ledger opened", "team", managed.team, "fence", l.Epoch, "share", l.share,
		"wait", readyAt.Sub(now), "inherited", o.inheritedState != nil)
}

// requestState requests the state of the previous ledger from its host. It returns nil
// if it did not get the state.
func (m *ledgerManager) requestState(ctx context.Context, managed *managedLedger, found shareEntry, lease member.Lease) *ledgerState {
	request := inheritRequest{Team: managed.team, Old: found.Fence, New: lease.Fence}
	if found.Host == m.ownership.Self().Host {
		answer := m.handOver(request)
		return answer.state()
	}
	ctx, cancel := m.timeout(ctx, inheritTimeout)
	defer cancel()
	var answer inheritAnswer
	if err := m.mesh.Call(ctx, found.Host, kindInherit, request, &answer); err != nil {
		m.log.Debug("limit: failed to request the state of the previous ledger", "team", managed.team, "host", found.Host, "error", err)
		return nil
	}
	return answer.state()
}

// state returns the state that was handed over, or nil.
func (a inheritAnswer) state() *ledgerState {
	if !a.Found {
		return nil
	}
	return &a.State
}

// readRecord returns a team's record, or the initial one if none is stored.
func (m *ledgerManager) readRecord(ctx context.Context, id team.ID) (shareRecord, keyvalue.Revision, error) {
	entry, err := m.store.Get(ctx, recordKey(id))
	if errors.Is(err, keyvalue.ErrNotFound) {
		domains := m.domains()
		if len(domains) == 0 {
			return shareRecord{}, 0, trace.NotFound("no failure domain is configured")
		}
		return newShareRecord(domains), 0, nil
	}
	if err != nil {
		return shareRecord{}, 0, trace.Wrap(err)
	}
	record, err := decodeShareRecord(entry.Value)
	return record, entry.Revision, trace.Wrap(err)
}

// timeout returns a context that is cancelled after a time by the manager's clock.
func (m *ledgerManager) timeout(ctx context.Context, bound time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	timer := m.clock.AfterFunc(bound, cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

// sleep waits for a time, and reports whether it passed before the context ended.
func (m *ledgerManager) sleep(ctx context.Context, pause time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-m.clock.After(pause):
		return true
	}
}

// ledgerHost returns the host that owns a team's ledger in a domain.
func (m *ledgerManager) ledgerHost(domain fleet.DomainID, id team.ID) (fleet.Member, bool) {
	return m.ownership.Owner(domain, member.ShardOf(string(id)))
}
