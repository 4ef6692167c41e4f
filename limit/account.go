package limit

import (
	"time"

	"hawthornway/fleet"
	"hawthornway/target"
)

// Parameters of the token cache that a host keeps for each ledger.
const (
	// maxUnspentAge is how long a host keeps borrowed tokens that it does not spend.
	maxUnspentAge = time.Second
	// maxScarceUnspentAge replaces maxUnspentAge while the ledger has little left.
	maxScarceUnspentAge = 200 * time.Millisecond
	// scarceFraction is the fraction of its capacity below which a ledger has
	// little left.
	scarceFraction = 0.25
	// spendMargin is how long before the expiry of a grant a host stops spending
	// it.
	spendMargin = 100 * time.Millisecond
	// maxViewAge is how long a host relies on the level that a ledger reported.
	maxViewAge = 500 * time.Millisecond
	// ownDomainBonus is added to the fill ratio of the own domain's ledger, so that
	// it is asked first unless another ledger is fuller by more than this.
	ownDomainBonus = 0.25
	// failedLedgerDelay is the time after a failed call until a ledger is asked
	// again.
	failedLedgerDelay = time.Second
	// notLeasedDelay replaces failedLedgerDelay for a ledger that is being handed
	// over to another host, which takes some tenths of a second.
	notLeasedDelay = 100 * time.Millisecond
)

// cachedGrant is the unspent part of a grant to this host.
type cachedGrant struct {
	id     GrantID
	epoch  target.Fence
	tokens MicroTokens
	// requestedAt is the time at which the host requested the grant.
	requestedAt time.Time
}

func (g cachedGrant) isSpendable(now time.Time) bool {
	return maxElapsed(g.requestedAt, now) < grantTTL-spendMargin
}

// reportBatch identifies the charges that are reported to a ledger in one report.
type reportBatch struct {
	epoch target.Fence
	// sequence is the ledger's number for the report; zero until it has answered.
	sequence Sequence
	// lost is set when the report failed or was not applied, so that its charges
	// cannot be refunded.
	lost bool
	// unused is the number of tokens to refund once the sequence is known.
	unused MicroTokens
}

// ledgerView is the last known state of a ledger.
type ledgerView struct {
	receivedAt time.Time
	level      float64
	rate       float64
	capacity   float64
	readyAt    time.Time
	// unavailable is set when the last call failed, and notLeased when the reason
	// was that the host that was asked did not have the lease of the shard.
	unavailable bool
	notLeased   bool
}

// ledgerAccount is a host's account with one team's ledger in one domain: the
// grants that the host has, and what it has yet to report. It is guarded by the
// mutex of its token cache.
type ledgerAccount struct {
	domain    fleet.DomainID
	epoch     target.Fence
	grants    []cachedGrant
	openBatch *reportBatch
	spent     map[GrantID]MicroTokens
	returned  []Grant
	// refundable holds the batches with unused tokens.
	refundable []*reportBatch
	view       ledgerView
}

func newLedgerAccount(domain fleet.DomainID) *ledgerAccount {
	return &ledgerAccount{domain: domain, openBatch: &reportBatch{}, spent: make(map[GrantID]MicroTokens)}
}

// spendable returns the number of tokens that can be spent now, and marks expired
// grants to be returned.
func (a *ledgerAccount) spendable(now time.Time) MicroTokens {
	var sum MicroTokens
	unexpired := a.grants[:0]
	for _, g := range a.grants {
		if !g.isSpendable(now) {
			a.returnGrant(g)
			continue
		}
		sum += g.tokens
		unexpired = append(unexpired, g)
	}
	a.grants = unexpired
	return sum
}

// returnGrant returns the rest of a grant with the next report.
func (a *ledgerAccount) returnGrant(g cachedGrant) {
	if g.epoch == a.epoch && g.tokens > 0 {
		a.returned = append(a.returned, Grant{ID: g.id, Tokens: g.tokens})
	}
}

func (a *ledgerAccount) returnAllGrants() {
	for _, g := range a.grants {
		a.returnGrant(g)
	}
	a.grants = nil
}

// spend takes up to n tokens from the oldest grants, and appends what it took from
// each to parts.
func (a *ledgerAccount) spend(n MicroTokens, parts []chargePart) []chargePart {
	for n > 0 && len(a.grants) > 0 {
		g := &a.grants[0]
		taken := min(n, g.tokens)
		n -= taken
		g.tokens -= taken
		parts = append(parts, chargePart{account: a, batch: a.openBatch, grant: *g, tokens: taken})
		if g.epoch == a.epoch {
			a.spent[g.id] += taken
		}
		if g.tokens == 0 {
			a.grants = a.grants[1:]
		}
	}
	return parts
}

// refund gives back n tokens of a charge. Tokens that have not been reported as
// spent go back to their grant.
func (a *ledgerAccount) refund(from chargePart, n MicroTokens) {
	if from.batch.lost || from.grant.epoch != a.epoch {
		return
	}
	if from.batch != a.openBatch {
		if from.batch.unused == 0 {
			a.refundable = append(a.refundable, from.batch)
		}
		from.batch.unused += n
		return
	}
	a.spent[from.grant.id] -= n
	refunded := from.grant
	refunded.tokens = n
	a.restore(refunded)
}

// restore adds refunded tokens to the rest of their grant.
func (a *ledgerAccount) restore(refunded cachedGrant) {
	for i, g := range a.grants {
		if g.id == refunded.id && g.epoch == refunded.epoch {
			a.grants[i].tokens += refunded.tokens
			return
		}
	}
	a.grants = append(a.grants, refunded)
}

// isIdle reports whether the account has no grants and nothing to report.
func (a *ledgerAccount) isIdle() bool {
	return len(a.grants) == 0 && len(a.returned) == 0 && len(a.refundable) == 0 && len(a.spent) == 0
}

// hasReport reports whether the next report would have any content.
func (a *ledgerAccount) hasReport() bool {
	if len(a.returned) > 0 || len(a.spent) > 0 {
		return true
	}
	for _, b := range a.refundable {
		if b.sequence != 0 {
			return true
		}
	}
	return false
}

// takeReport returns the next report with its batch, and starts a new batch.
func (a *ledgerAccount) takeReport() (Report, *reportBatch) {
	report := Report{Returned: a.returned}
	for grant, tokens := range a.spent {
		if tokens > 0 {
			report.Spent = append(report.Spent, Grant{ID: grant, Tokens: tokens})
		}
	}
	unanswered := a.refundable[:0]
	for _, b := range a.refundable {
		switch {
		case b.lost:
		case b.sequence == 0:
			unanswered = append(unanswered, b)
		default:
			report.Refunds = append(report.Refunds, Refund{Sequence: b.sequence, Tokens: b.unused})
			b.unused = 0
		}
	}
	sent := a.openBatch
	a.refundable, a.returned, a.openBatch = unanswered, nil, &reportBatch{epoch: a.epoch}
	clear(a.spent)
	return report, sent
}

// applyAnswer updates the account from a ledger's answer.
func (a *ledgerAccount) applyAnswer(requestedAt, now time.Time, sent *reportBatch, answer grantAnswer) {
	if answer.Epoch != a.epoch {
		a.changeEpoch(answer.Epoch)
	}
	if sent.sequence = answer.Sequence; sent.sequence == 0 {
		sent.lost = true
	}
	a.view = ledgerView{
		receivedAt: now,
		level:      float64(answer.Level),
		rate:       float64(answer.Rate),
		capacity:   float64(answer.Capacity),
		readyAt:    now.Add(answer.readyDelay()),
	}
	if answer.Grant.Tokens > 0 {
		a.grants = append(a.grants, cachedGrant{
			id: answer.Grant.ID, epoch: answer.Epoch, tokens: answer.Grant.Tokens, requestedAt: requestedAt,
		})
	}
}

// recordFailure updates the account after a failed call to the ledger.
func (a *ledgerAccount) recordFailure(now time.Time, sent *reportBatch, notLeased bool) {
	sent.lost = true
	a.view = ledgerView{receivedAt: now, unavailable: true, notLeased: notLeased}
}

// retryAt returns the time at which an unavailable ledger may be asked again.
func (v ledgerView) retryAt() time.Time {
	if v.notLeased {
		return v.receivedAt.Add(notLeasedDelay)
	}
	return v.receivedAt.Add(failedLedgerDelay)
}

// changeEpoch resets the account for a new ledger. Grants of the old one can be
// spent until they expire, since the new ledger lends nothing before then.
func (a *ledgerAccount) changeEpoch(epoch target.Fence) {
	a.openBatch.lost = true
	a.epoch = epoch
	a.openBatch = &reportBatch{epoch: epoch}
	a.returned, a.refundable = nil, nil
	clear(a.spent)
}

// expectedLevel returns the highest level that the ledger can have now. It returns
// false if that is unknown: no view is recent enough, or an unavailable ledger may be
// asked again.
func (a *ledgerAccount) expectedLevel(now time.Time) (float64, bool) {
	age := now.Sub(a.view.receivedAt)
	switch {
	case a.view.receivedAt.IsZero():
		return 0, false
	case a.view.unavailable:
		return 0, now.Before(a.view.retryAt())
	case age >= maxViewAge:
		return 0, false
	}
	return a.levelAt(now), true
}

// fillRatio returns the level of the ledger as a fraction of its capacity, plus
// ownDomainBonus for the own domain's ledger. A ledger that was never asked counts
// as full, and one that is unavailable as empty.
func (a *ledgerAccount) fillRatio(now time.Time, own bool) float64 {
	ratio := 1.0
	switch {
	case a.view.unavailable && now.Before(a.view.retryAt()):
		return 0
	case a.view.capacity > 0:
		ratio = a.levelAt(now) / a.view.capacity
	}
	if own {
		ratio += ownDomainBonus
	}
	return ratio
}

// isScarce reports whether the ledger has little left by its last view.
func (a *ledgerAccount) isScarce(now time.Time) bool {
	return a.levelAt(now) < scarceFraction*a.view.capacity
}

// levelAt extrapolates the level of the ledger from its last view.
func (a *ledgerAccount) levelAt(at time.Time) float64 {
	if a.view.unavailable {
		return 0
	}
	start := a.view.receivedAt
	if a.view.readyAt.After(start) {
		start = a.view.readyAt
	}
	elapsed := max(0, at.Sub(start).Seconds())
	return min(a.view.capacity, a.view.level+elapsed*a.view.rate)
}
