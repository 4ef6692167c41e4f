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

// The times of talks with the key-value service and with other hosts.
const (
	openTimeout    = time.Second
	inheritTimeout = 300 * time.Millisecond
	// retryPause is the first pause between two tries to open a ledger; each
	// pause is twice the one before.
	retryPause = 20 * time.Millisecond
	// openAgain is the time after a failure until a ledger is tried again.
	openAgain = 500 * time.Millisecond
)

// open opens the ledger of a team for the hold that this host has now.
func (k *keeper) open(ctx context.Context, one *kept, limit Limit) error {
	ctx, cancel := k.timeout(ctx, openTimeout)
	defer cancel()
	if err := one.takeTurn(ctx); err != nil {
		return trace.Wrap(err)
	}
	defer one.endTurn()
	hold, ok := k.own.Lease(one.shard, false)
	if !ok {
		return trace.CompareFailed("shard %d is not held", one.shard)
	}
	if one.openFor(hold.Fence) {
		return nil
	}
	if !one.failedAt.IsZero() && k.clock.Since(one.failedAt) < openAgain {
		return trace.LimitExceeded("the key-value service failed a moment ago")
	}
	o := &opening{keeper: k, kept: one, hold: hold}
	for pause := retryPause; ; pause *= 2 {
		err := o.try(ctx)
		if err == nil {
			o.finish(limit)
			return nil
		}
		if trace.IsCompareFailed(err) || trace.IsBadParameter(err) || !k.pause(ctx, pause) {
			one.failedAt = k.clock.Now()
			return trace.Wrap(err)
		}
	}
}

// opening is the way of a new ledger from the record to its first grant.
type opening struct {
	keeper *keeper
	kept   *kept
	hold   member.Lease

	tried  bool
	entry  shareEntry
	shares Shares
	// first says that no ledger was opened before and the share is the one
	// that the record began with.
	first bool
	// before is the epoch of the ledger before, and inherited its state.
	before    target.Fence
	inherited *state
	// reopened says that this host had opened a ledger under the same fence.
	reopened bool
}

// try writes the ledger's fence into the record. After that no write of an
// earlier ledger that is still under way can have effect.
func (o *opening) try(ctx context.Context) error {
	record, revision, err := o.keeper.readRecord(ctx, o.kept.team)
	if err != nil {
		return trace.Wrap(err)
	}
	self := o.keeper.own.Self()
	found := record.Domains[self.Domain]
	if found.Fence > o.hold.Fence {
		return trace.CompareFailed("a ledger with the higher fence %d was opened", found.Fence)
	}
	o.learn(ctx, found)
	mine := found
	mine.Fence = o.hold.Fence
	mine.Host = self.Host
	mine.Forgotten = false
	record.Domains[self.Domain] = mine
	o.tried = true
	if o.keeper.off.openingFence && found.Fence != 0 {
		o.entry, o.shares = mine, record.shares()
		return nil
	}
	if _, err = o.keeper.store.Swap(ctx, recordKey(o.kept.team), revision, record.encode()); err != nil {
		return trace.Wrap(err)
	}
	o.entry = mine
	o.shares = record.shares()
	return nil
}

// learn notes what the entry found says of the ledger before this one.
func (o *opening) learn(ctx context.Context, found shareEntry) {
	switch {
	case found.Fence == o.hold.Fence:
		o.reopened = o.reopened || !o.tried
	case found.Fence == 0:
		o.first = !found.Raised
	case found.Fence != o.before:
		o.first = false
		o.before = found.Fence
		o.inherited = o.keeper.askState(ctx, o.kept, found, o.hold)
	}
}

// finish puts the ledger into place.
func (o *opening) finish(limit Limit) {
	k, one := o.keeper, o.kept
	one.mu.Lock()
	defer one.mu.Unlock()
	now := k.clock.Now()
	ready := now
	switch {
	case o.reopened:
		ready = now.Add(grantKept)
	case o.before != 0 && o.inherited == nil:
		ready = o.hold.Since.Add(grantKept)
	}
	if ready.Before(now) || k.off.grantWait {
		ready = now
	}
	l := NewLedger(ready, o.hold.Fence, o.entry.Share, limit)
	l.bucket.room.uncapped = k.off.refundCap
	switch {
	case o.inherited != nil:
		l.resume(now, *o.inherited)
	case o.first:
		l.Fill()
	}
	one.ledger, one.ready = l, ready
	one.passedTo, one.passed = 0, state{}
	one.gift, one.shares, one.credited = nil, o.shares, o.entry.Credit
	one.failedAt = time.Time{}
	one.demand, one.countedAt, one.readAt = nil, now, now
	k.log.Info("limit: ledger opened", "team", one.team, "fence", l.Epoch, "share", l.share,
		"wait", ready.Sub(now), "inherited", o.inherited != nil)
}

// askState asks the host of the ledger before for its state.
func (k *keeper) askState(ctx context.Context, one *kept, found shareEntry, hold member.Lease) *state {
	request := inheritRequest{Team: one.team, Old: found.Fence, New: hold.Fence}
	if found.Host == k.own.Self().Host {
		answer := k.inherit(request)
		return answer.state()
	}
	ctx, cancel := k.timeout(ctx, inheritTimeout)
	defer cancel()
	var answer inheritAnswer
	if err := k.mesh.Call(ctx, found.Host, kindInherit, request, &answer); err != nil {
		k.log.Debug("limit: state of the ledger before not given", "team", one.team, "host", found.Host, "error", err)
		return nil
	}
	return answer.state()
}

func (a inheritAnswer) state() *state {
	if !a.Found {
		return nil
	}
	return &a.State
}

// readRecord returns a team's record, or the one that it begins with.
func (k *keeper) readRecord(ctx context.Context, id team.ID) (shareRecord, keyvalue.Revision, error) {
	entry, err := k.store.Get(ctx, recordKey(id))
	if errors.Is(err, keyvalue.ErrNotFound) {
		domains := k.domains()
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

func (k *keeper) timeout(ctx context.Context, bound time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	timer := k.clock.AfterFunc(bound, cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

func (k *keeper) pause(ctx context.Context, pause time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-k.clock.After(pause):
		return true
	}
}

// hostOf returns the host that keeps a team's ledger in a domain.
func (k *keeper) hostOf(domain fleet.DomainID, id team.ID) (fleet.Member, bool) {
	return k.own.Owner(domain, member.ShardOf(string(id)))
}
