package limit

import (
	"math"
	"time"

	"hawthornway/fleet"
	"hawthornway/target"
	"hawthornway/team"
)

// GrantID names a grant within one ledger.
type GrantID uint64

// The lives of grants. A host spends a grant within grantLife after it asked.
// A ledger counts the grant as spent when grantKept has passed since it made
// it; the difference leaves time to return what was not spent.
const (
	grantLife = 2 * time.Second
	grantKept = 2500 * time.Millisecond
)

// maxExtraPart is the part of the level that a ledger lends beyond the need.
const maxExtraPart = 8

// leastGrants is the number of grants from which a demand is more than chance.
const leastGrants = 8

// Grant is tokens lent to a host.
type Grant struct {
	ID     GrantID
	Tokens Micro
}

// Refund is tokens that were spent at the mark and not used.
type Refund struct {
	Mark   Mark
	Tokens Micro
}

// Report is what a host did with the grants of one ledger.
type Report struct {
	Spent    []Grant
	Returned []Grant
	Refunds  []Refund
}

// Ask is a host's wish for tokens.
type Ask struct {
	Domain fleet.DomainID
	// Need is what a request needs, and Extra what the host expects to spend
	// soon after.
	Need  Micro
	Extra Micro
}

// Ledger keeps the bucket of one team in one failure domain, and its grants.
//
// A Ledger is not safe for concurrent use.
type Ledger struct {
	// Epoch tells the ledger from those before it.
	Epoch  target.Fence
	share  Share
	limit  Limit
	bucket *Bucket
	grants map[GrantID]lending
	// line holds the grants in the order in which they end.
	line  []GrantID
	last  GrantID
	taken map[fleet.DomainID]taking
	// back measures what hosts give back.
	back meter
}

// taking is what one domain's hosts took.
type taking struct {
	tokens Micro
	grants int
}

type lending struct {
	tokens Micro
	made   time.Time
}

// NewLedger returns a new Ledger that is empty until the time ready, and starts
// to fill then.
func NewLedger(ready time.Time, epoch target.Fence, share Share, limit Limit) *Ledger {
	return &Ledger{
		Epoch:  epoch,
		share:  share,
		limit:  limit,
		bucket: NewBucket(ready, share.Of(limit)),
		grants: make(map[GrantID]lending),
		taken:  make(map[fleet.DomainID]taking),
	}
}

// Fill fills the ledger. It is for the first ledger of a domain.
func (l *Ledger) Fill() { l.bucket.Fill() }

// Share returns the share that the ledger spends.
func (l *Ledger) Share() Share { return l.share }

// Resize changes the share or the whole limit, and returns the tokens that were
// dropped as they no longer fit.
func (l *Ledger) Resize(now time.Time, share Share, limit Limit) Micro {
	if share == l.share && limit == l.limit {
		return 0
	}
	l.share, l.limit = share, limit
	return l.bucket.Resize(now, share.Of(limit))
}

// Credit adds tokens that another domain's ledger gave away.
func (l *Ledger) Credit(now time.Time, tokens Micro) { l.bucket.Credit(now, tokens) }

// Fits reports whether the tokens in the bucket and those lent fit into its
// capacity. They may not, for a short time, after a Resize to a smaller one.
func (l *Ledger) Fits(now time.Time) bool {
	l.expire(now)
	return l.bucket.Held(now) <= float64(l.share.Of(l.limit).Capacity)
}

// Lend makes a grant of at most the need and the extra. It lends what there is
// when the need is more than that.
func (l *Ledger) Lend(now time.Time, ask Ask) Grant {
	l.expire(now)
	level := l.bucket.Level(now)
	tokens := min(ask.Need, level)
	if tokens == ask.Need {
		tokens += min(ask.Extra, (level-tokens)/maxExtraPart)
	}
	if tokens <= 0 || !l.bucket.Lend(now, tokens) {
		return Grant{}
	}
	l.last++
	l.grants[l.last] = lending{tokens: tokens, made: now}
	l.line = append(l.line, l.last)
	taken := l.taken[ask.Domain]
	l.taken[ask.Domain] = taking{tokens: taken.tokens + tokens, grants: taken.grants + 1}
	return Grant{ID: l.last, Tokens: tokens}
}

// Take takes a report in and returns the mark for refunds of what was spent.
func (l *Ledger) Take(now time.Time, from fleet.DomainID, report Report) Mark {
	l.expire(now)
	mark := Mark(0)
	for _, grant := range report.Spent {
		if tokens := l.close(grant); tokens > 0 {
			mark = l.bucket.Spend(now, tokens)
		}
	}
	if mark == 0 {
		mark = l.bucket.Spend(now, 0)
	}
	for _, grant := range report.Returned {
		tokens := l.close(grant)
		l.bucket.Return(now, tokens)
		l.back.add(now, tokens)
		taken := l.taken[from]
		taken.tokens -= tokens
		l.taken[from] = taken
	}
	for _, refund := range report.Refunds {
		l.back.add(now, l.bucket.Refund(now, refund.Mark, refund.Tokens))
	}
	return mark
}

// Inflow returns the millionths of tokens a second that come into the bucket:
// its rate and what hosts gave back of late.
func (l *Ledger) Inflow(now time.Time) float64 {
	return l.share.Of(l.limit).Rate + l.back.rate(now)
}

// Level returns the tokens that can be lent.
func (l *Ledger) Level(now time.Time) Micro {
	l.expire(now)
	return l.bucket.Level(now)
}

// Demand returns the tokens a second that each domain took in the time since
// the last call, and starts to count anew. Domains other than the ledger's own
// that took too few grants to tell are left out.
func (l *Ledger) Demand(own fleet.DomainID, since time.Duration) Demand {
	demand := make(Demand, len(l.taken))
	for domain, taken := range l.taken {
		if domain != own && taken.grants < leastGrants {
			continue
		}
		tokens := float64(max(0, taken.tokens)) / microsPerToken
		demand[domain] = team.TokensPerSecond(tokens / since.Seconds())
	}
	clear(l.taken)
	return demand
}

// state is what a ledger passes on to the next.
type state struct {
	Level float64 `cbor:"level"`
	Lent  float64 `cbor:"lent"`
}

func (l *Ledger) state(now time.Time) state {
	l.expire(now)
	held := l.bucket.Held(now)
	return state{Level: held - l.bucket.lent, Lent: l.bucket.lent}
}

// resume takes over the state of the ledger before. What it had lent counts as
// one grant that is made now.
func (l *Ledger) resume(now time.Time, s state) {
	lent := Micro(math.Ceil(s.Lent))
	l.last++
	l.grants[l.last] = lending{tokens: lent, made: now}
	l.line = append(l.line, l.last)
	l.bucket.lent = float64(lent)
	l.bucket.level = s.Level
	l.bucket.clip()
}

// close takes tokens off a grant and returns how many it still had of them.
func (l *Ledger) close(grant Grant) Micro {
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

// expire counts grants that have ended, and were not reported, as spent.
func (l *Ledger) expire(now time.Time) {
	ended := 0
	for _, id := range l.line {
		open, ok := l.grants[id]
		if ok && leastPassed(open.made, now) < grantKept {
			break
		}
		if ok {
			l.bucket.Spend(now, open.tokens)
			delete(l.grants, id)
		}
		ended++
	}
	l.line = l.line[ended:]
}
