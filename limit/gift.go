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

// The times of the division among domains.
const (
	tendEvery = time.Second
	// giveEvery is the least mean time between two changes of one team's
	// shares, over all domains.
	giveEvery = 5 * time.Second
	// maxConflicts bounds the tries of one change in a row.
	maxConflicts = 5
	// readEvery is the time after which a ledger in use reads its record.
	readEvery = time.Minute
)

// gift is shares on their way to other domains. The giver has lowered its own
// share in memory, and writes the record when what it lent before has ended.
type gift struct {
	given Shares
	// tokens had no place any more in the giver's smaller bucket.
	tokens Micro
	// uncertain says that the swap of the record at the revision expected may
	// have had effect. The share stays low until the record shows whether.
	uncertain bool
	expected  keyvalue.Revision
}

// run opens the ledgers of this host's shards and divides their shares, until
// the context ends.
func (k *keeper) run(ctx context.Context) {
	ticker := k.clock.NewTicker(tendEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			k.openAll(ctx)
			k.tendAll(ctx)
		case one := <-k.wake:
			k.tendOne(ctx, one)
		}
	}
}

// openAll opens the ledgers of all teams whose shards this host holds.
func (k *keeper) openAll(ctx context.Context) {
	for _, id := range k.teams() {
		one := k.find(id)
		limit, known := k.limits(id)
		hold, ok := k.own.Lease(one.shard, false)
		if !known || !ok || one.openFor(hold.Fence) || ctx.Err() != nil {
			continue
		}
		if err := k.open(ctx, one, limit); err != nil {
			k.log.Warn("limit: ledger is not open", "team", id, "error", err)
			return
		}
	}
}

func (k *keeper) tendAll(ctx context.Context) {
	for _, one := range k.all() {
		k.tendOne(ctx, one)
	}
}

func (k *keeper) tendOne(ctx context.Context, one *kept) {
	if err := k.tend(ctx, one); err != nil {
		k.log.Debug("limit: shares not changed", "team", one.team, "error", err)
	}
}

// noteRaised has the record of a team read soon.
func (k *keeper) noteRaised(id team.ID) {
	one := k.find(id)
	one.raised.Store(true)
	select {
	case k.wake <- one:
	default:
	}
}

// tend takes one step of the division of one team's limit.
func (k *keeper) tend(ctx context.Context, one *kept) error {
	ctx, cancel := k.timeout(ctx, openTimeout)
	defer cancel()
	if err := one.takeTurn(ctx); err != nil {
		return trace.Wrap(err)
	}
	defer one.endTurn()
	limit, known := k.limits(one.team)
	hold, ok := k.own.Lease(one.shard, false)
	if !known || !ok || !one.openFor(hold.Fence) {
		return nil
	}
	demand := k.count(one)
	if one.gift == nil && !k.wantsRecord(one, demand, limit) {
		return nil
	}
	for range maxConflicts {
		err := k.divide(ctx, one, hold.Fence, demand, limit)
		if !isConflict(err) {
			return trace.Wrap(err)
		}
	}
	return nil
}

// divide reads a team's record, takes in what others gave, and gives. The
// caller has the turn.
func (k *keeper) divide(ctx context.Context, one *kept, fence target.Fence, demand Demand, limit Limit) error {
	record, revision, err := k.readRecord(ctx, one.team)
	if err != nil {
		return trace.Wrap(err)
	}
	mine := record.Domains[k.own.Self().Domain]
	if mine.Fence != fence {
		return trace.CompareFailed("the ledger with fence %d was opened", mine.Fence)
	}
	one.raised.Store(false)
	one.readAt, one.shares, one.gone = k.clock.Now(), record.shares(), record.forgotten()
	if given := one.endUncertainGift(revision); given != nil {
		k.tellRaised(one.team, given)
	}
	if one.gift == nil {
		one.gift = k.newGift(one, demand, limit)
	}
	if !k.adopt(one, mine, limit) {
		return nil
	}
	return trace.Wrap(k.give(ctx, one, record, revision))
}

// count returns the demand at a ledger when it is time to weigh its share, else
// nil.
func (k *keeper) count(one *kept) Demand {
	passed := k.clock.Since(one.countedAt)
	if passed < giveEvery*time.Duration(max(1, len(k.domains()))) {
		return nil
	}
	one.countedAt = k.clock.Now()
	own := k.own.Self().Domain
	one.mu.Lock()
	defer one.mu.Unlock()
	before := one.demand
	one.demand = one.ledger.Demand(own, passed)
	return one.demand.steady(before, own)
}

// wantsRecord reports whether the record is to be read.
func (k *keeper) wantsRecord(one *kept, demand Demand, limit Limit) bool {
	if one.raised.Load() {
		return true
	}
	if len(demand) > 0 && k.clock.Since(one.readAt) >= readEvery {
		return true
	}
	return k.newGift(one, demand, limit) != nil
}

func (k *keeper) newGift(one *kept, demand Demand, limit Limit) *gift {
	if demand == nil {
		return nil
	}
	given := one.shares.Give(k.own.Self().Domain, without(k.domains(), one.gone), demand, limit)
	if given.Sum() == 0 {
		return nil
	}
	return &gift{given: given}
}

// endUncertainGift ends a gift whose swap may have had effect, once the record
// has moved on: the swap can't have effect any more, and if it had, the record
// says so. It returns what may have been given, or nil.
func (o *kept) endUncertainGift(revision keyvalue.Revision) Shares {
	if o.gift == nil || !o.gift.uncertain || o.gift.expected == revision {
		return nil
	}
	given := o.gift.given
	o.gift = nil
	return given
}

// adopt sets the ledger to the recorded share less what is being given, and
// reports whether a gift may be written now.
func (k *keeper) adopt(one *kept, recorded shareEntry, limit Limit) bool {
	one.mu.Lock()
	defer one.mu.Unlock()
	now := k.clock.Now()
	one.ledger.Resize(now, one.ledger.Share(), limit)
	given := Share(0)
	if one.gift != nil {
		given = one.gift.given.Sum()
	}
	if recorded.Share < given {
		one.gift, given = nil, 0
	}
	if k.off.lowerFirst {
		given = 0
	}
	dropped := one.ledger.Resize(now, recorded.Share-given, limit)
	if one.gift != nil {
		one.gift.tokens += dropped
	}
	one.ledger.Credit(now, recorded.Credit-one.credited)
	one.credited = recorded.Credit
	return one.gift != nil && (one.ledger.Fits(now) || k.off.lowerFirst)
}

// give writes a gift into the record.
func (k *keeper) give(ctx context.Context, one *kept, record shareRecord, revision keyvalue.Revision) error {
	self := k.own.Self().Domain
	moved := record.move(self, one.gift.given, one.gift.tokens)
	_, err := k.store.Swap(ctx, recordKey(one.team), revision, moved.encode())
	switch {
	case err == nil:
		k.log.Info("limit: share given", "team", one.team, "given", one.gift.given)
		given := one.gift.given
		one.gift, one.shares = nil, moved.shares()
		k.tellRaised(one.team, given)
		return nil
	case isConflict(err), errors.Is(err, keyvalue.ErrUnavailable):
		return trace.Wrap(err)
	}
	one.gift.uncertain, one.gift.expected = true, revision
	return trace.Wrap(err)
}

// tellRaised tells the owners of the ledgers whose shares have grown. A notice
// that is lost is made up for when the owner next reads the record.
func (k *keeper) tellRaised(id team.ID, given Shares) {
	self := k.own.Self().Domain
	for domain := range given {
		owner, ok := k.hostOf(domain, id)
		if !ok {
			continue
		}
		if err := k.mesh.Notify(owner.Host, kindRaised, raisedNotice{Team: id, Domain: self}); err != nil {
			k.log.Debug("limit: larger share not told", "team", id, "domain", domain, "error", err)
		}
	}
}

// forget gives the shares of a domain that is gone for good to the others, for
// all teams.
func (k *keeper) forget(ctx context.Context, gone fleet.DomainID) error {
	entries, _, err := k.store.List(ctx, recordPrefix)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, entry := range entries {
		if err := k.forgetIn(ctx, entry, gone); err != nil {
			return trace.Wrap(err, "record %q", entry.Key)
		}
	}
	return nil
}

func (k *keeper) forgetIn(ctx context.Context, entry keyvalue.Entry, gone fleet.DomainID) error {
	record, err := decodeShareRecord(entry.Value)
	if err != nil {
		return trace.Wrap(err)
	}
	others := without(k.domains(), append(record.forgotten(), gone))
	if record.Domains[gone].Forgotten || len(others) == 0 {
		return nil
	}
	moved := record.forget(gone, others)
	if _, err := k.store.Swap(ctx, entry.Key, entry.Revision, moved.encode()); err != nil {
		return trace.Wrap(err)
	}
	k.tellRaised(team.ID(strings.TrimPrefix(entry.Key, recordPrefix)), moved.shares())
	return nil
}

func without(domains, gone []fleet.DomainID) []fleet.DomainID {
	return slices.DeleteFunc(slices.Clone(domains), func(d fleet.DomainID) bool {
		return slices.Contains(gone, d)
	})
}

func isConflict(err error) bool {
	var conflict *keyvalue.ConflictError
	return errors.As(err, &conflict)
}
