package limit

import (
	"math"
	"time"

	"hawthornway/fleet"
	"hawthornway/target"
	"hawthornway/team"
)

// GrantID identifies a grant within one ledger.
type GrantID uint64

// The lifetimes of grants. A host spends a grant within grantTTL of requesting it. A
// ledger counts an unreported grant as spent once ledgerGrantTTL has passed since it
// made it; the difference leaves time to return what was not spent.
const (
	grantTTL       = 2 * time.Second
	ledgerGrantTTL = 2500 * time.Millisecond
)

// extraDivisor limits what a ledger lends beyond the need: the level that remains
// after the need, divided by it.
const extraDivisor = 8

// minDemandGrants is the number of grants from which the demand of another domain
// counts as more than chance.
const minDemandGrants = 8

// Grant is a number of tokens that is lent to a host.
type Grant struct {
	ID     GrantID
	Tokens MicroTokens
}

// Refund returns tokens that were reported as spent at a sequence and not used.
type Refund struct {
	Sequence Sequence `cbor:"Mark"`
	Tokens   MicroTokens
}

// Report is a host's account of what it did with the grants of one ledger.
type Report struct {
	Spent    []Grant
	Returned []Grant
	Refunds  []Refund
}

// TokenRequest is a host's request for a grant.
type TokenRequest struct {
	Domain fleet.DomainID
	// Need is what a waiting request lacks, and Extra what the host expects to spend
	// soon after.
	Need  MicroTokens
	Extra MicroTokens
}

// Ledger keeps the bucket of one team in one failure domain, and its grants.
//
// A Ledger is not safe for concurrent use.
type Ledger struct {
	// Epoch distinguishes the ledger from earlier ones. It is the fence of its lease.
	Epoch  target.Fence
	share  Share
	limit  Limit
	bucket *Bucket
	grants map[GrantID]openGrant
	// expiryQueue holds the grants in the order in which they expire.
	expiryQueue []GrantID
	lastGrant   GrantID
	taken       map[fleet.DomainID]domainDemand
	// returnRate measures the tokens that hosts return and refund.
	returnRate rateMeter
}

// domainDemand counts what the hosts of one domain took.
type domainDemand struct {
	tokens MicroTokens
	grants int
}

// openGrant is the part of a grant that is neither reported nor returned yet.
type openGrant struct {
	tokens    MicroTokens
	grantedAt time.Time
}

// NewLedger returns a new Ledger that is empty and starts to fill at the time readyAt.
func NewLedger(readyAt time.Time, epoch target.Fence, share Share, limit Limit) *Ledger {
	return &Ledger{
		Epoch:  epoch,
		share:  share,
		limit:  limit,
		bucket: NewBucket(readyAt, share.Of(limit)),
		grants: make(map[GrantID]openGrant),
		taken:  make(map[fleet.DomainID]domainDemand),
	}
}

// Fill fills the ledger's bucket. It is for the first ledger of a domain.
func (l *Ledger) Fill() { l.bucket.Fill() }

// Share returns the share of the limit that the ledger lends from.
func (l *Ledger) Share() Share { return l.share }

// Resize changes the share or the whole limit, and returns the number of tokens that
// were dropped because they no longer fit.
func (l *Ledger) Resize(now time.Time, share Share, limit Limit) MicroTokens {
	if share == l.share && limit == l.limit {
		return 0
	}
	l.share, l.limit = share, limit
	return l.bucket.Resize(now, share.Of(limit))
}

// Credit adds tokens that another domain's ledger dropped when it transferred shares.
func (l *Ledger) Credit(now time.Time, tokens MicroTokens) { l.bucket.Credit(now, tokens) }

// Fits reports whether the tokens in the bucket and those lent fit into its capacity.
// For a short time after a Resize to a smaller one, they may not.
func (l *Ledger) Fits(now time.Time) bool {
	l.expire(now)
	return l.bucket.Total(now) <= float64(l.share.Of(l.limit).Capacity)
}

// Lend makes a grant of the need and up to the extra, or of what there is if that is
// less than the need.
func (l *Ledger) Lend(now time.Time, request TokenRequest) Grant {
	l.expire(now)
	level := l.bucket.Level(now)
	tokens := min(request.Need, level)
	if tokens == request.Need {
		tokens += min(request.Extra, (level-tokens)/extraDivisor)
	}
	if tokens <= 0 || !l.bucket.Lend(now, tokens) {
		return Grant{}
	}
	l.lastGrant++
	l.grants[l.lastGrant] = openGrant{tokens: tokens, grantedAt: now}
	l.expiryQueue = append(l.expiryQueue, l.lastGrant)
	taken := l.taken[request.Domain]
	l.taken[request.Domain] = domainDemand{tokens: taken.tokens + tokens, grants: taken.grants + 1}
	return Grant{ID: l.lastGrant, Tokens: tokens}
}

// ApplyReport applies a report, and returns the sequence for refunds of what it
// reports as spent.
func (l *Ledger) ApplyReport(now time.Time, from fleet.DomainID, report Report) Sequence {
	l.expire(now)
	sequence := Sequence(0)
	for _, grant := range report.Spent {
		if tokens := l.closeGrant(grant); tokens > 0 {
			sequence = l.bucket.Spend(now, tokens)
		}
	}
	if sequence == 0 {
		sequence = l.bucket.Spend(now, 0)
	}
	for _, grant := range report.Returned {
		tokens := l.closeGrant(grant)
		l.bucket.Return(now, tokens)
		l.returnRate.add(now, tokens)
		taken := l.taken[from]
		taken.tokens -= tokens
		l.taken[from] = taken
	}
	for _, refund := range report.Refunds {
		l.returnRate.add(now, l.bucket.Refund(now, refund.Sequence, refund.Tokens))
	}
	return sequence
}

// Inflow returns the rate, in millionths of a token per second, at which the bucket
// fills: its own rate and what hosts have recently returned.
func (l *Ledger) Inflow(now time.Time) float64 {
	return l.share.Of(l.limit).Rate + l.returnRate.rate(now)
}

// Level returns the number of tokens that can be lent.
func (l *Ledger) Level(now time.Time) MicroTokens {
	l.expire(now)
	return l.bucket.Level(now)
}

// Demand returns the tokens per second that each domain took in the time elapsed since
// the last call, and resets the counts. It leaves out domains other than the ledger's
// own that took fewer than minDemandGrants.
func (l *Ledger) Demand(own fleet.DomainID, elapsed time.Duration) Demand {
	demand := make(Demand, len(l.taken))
	for domain, taken := range l.taken {
		if domain != own && taken.grants < minDemandGrants {
			continue
		}
		tokens := float64(max(0, taken.tokens)) / microsPerToken
		demand[domain] = team.TokensPerSecond(tokens / elapsed.Seconds())
	}
	clear(l.taken)
	return demand
}

// ledgerState is what a ledger hands over to its successor.
type ledgerState struct {
	Level float64 `cbor:"level"`
	Lent  float64 `cbor:"lent"`
}

func (l *Ledger) state(now time.Time) ledgerState {
	l.expire(now)
	total := l.bucket.Total(now)
	return ledgerState{Level: total - l.bucket.lent, Lent: l.bucket.lent}
}

// restoreState restores the state of the previous ledger. The tokens that it had lent
// become one grant that is made now.
func (l *Ledger) restoreState(now time.Time, s ledgerState) {
	lent := MicroTokens(math.Ceil(s.Lent))
	l.lastGrant++
	l.grants[l.lastGrant] = openGrant{tokens: lent, grantedAt: now}
	l.expiryQueue = append(l.expiryQueue, l.lastGrant)
	l.bucket.lent = float64(lent)
	l.bucket.level = s.Level
	l.bucket.clampLevel()
}

// closeGrant removes tokens from an open grant, and returns how many of them it still
// had.
func (l *Ledger) closeGrant(grant Grant) MicroTokens {
	open, ok := l.grants[grant.ID]
	if !ok {
		return 0
	}
	tokens := max(0, min(grant.Tokens, open.tokens))
	open.tokens -= tokens
	if open.tokens == 0 {
		delete(l.grants, grant.ID)
		return tokens
	}
	l.grants[grant.ID] = open
	return tokens
}

// expire counts grants as spent that have expired without a report.
func (l *Ledger) expire(now time.Time) {
	expired := 0
	for _, id := range l.expiryQueue {
		open, ok := l.grants[id]
		if ok && minElapsed(open.grantedAt, now) < ledgerGrantTTL {
			break
		}
		if ok {
			l.bucket.Spend(now, open.tokens)
			delete(l.grants, id)
		}
		expired++
	}
	l.expiryQueue = l.expiryQueue[expired:]
}
