package quota

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornway/catalog"
	"hawthornway/outcome"
	"hawthornway/team"
)

// Lender lends tokens from the ledger, wherever that runs. It fails when the ledger can't
// be reached.
type Lender interface {
	Borrow(ctx context.Context, id team.ID, request BorrowRequest) (Grant, error)
}

const (
	// borrowTimeout limits the duration of a call to the ledger, which takes a few milliseconds.
	borrowTimeout = 300 * time.Millisecond
	// borrowAheadTime is the time for which a host borrows ahead, at the team's rate.
	borrowAheadTime = 20 * time.Millisecond
	// maxTokenWait is the time that a request waits for tokens at least. It is half of
	// the shortest objective that the platform's users have for a generation.
	maxTokenWait = 400 * time.Millisecond
	// minBorrowInterval is the minimum time between two borrow requests of a waiting
	// request.
	minBorrowInterval = 10 * time.Millisecond
	// reserveRecovery is the time in which the part of a reserve that may be spent at once is
	// there again. It is longer than the windows of the users' bounds, so that a series of
	// lost ledgers doesn't multiply it.
	reserveRecovery = 30 * time.Second
	// unavailableRetryDelay is the retry delay for callers of a host that can't reach the
	// ledger. Another host is likely to take the next connection.
	unavailableRetryDelay = 300 * time.Millisecond
	// failedLedgerDelay is the time after a failed call until the ledger is asked again.
	failedLedgerDelay = 100 * time.Millisecond
	// maxReturnAge is how long returned tokens count. The ledger would have dropped them
	// if its bucket was full when they were returned, which it can't know later.
	maxReturnAge = 500 * time.Millisecond
)

// TokenCache is the cache of tokens that one host may spend. It is safe for concurrent use.
type TokenCache struct {
	clock        clockwork.Clock
	lender       Lender
	takeoverTime time.Duration
	// random returns numbers from zero to one.
	random func() float64
	// background runs a function without waiting for it.
	background func(func())
	// probing is set while probeLedger asks the ledger.
	probing atomic.Bool

	mu     sync.Mutex
	cached map[team.ID]team.Tokens
	// maxCached limits cached, and returned holds what to return with the next request.
	maxCached map[team.ID]team.Tokens
	returned  map[team.ID]returnedTokens
	reserves  map[team.ID]*reserve
	// retryAt is the time before which the ledger isn't asked.
	retryAt time.Time
	// lostAt is the time of the first failed call since the last success; zero if there
	// was none.
	lostAt time.Time
}

// returnedTokens are tokens that the ledger is to get back.
type returnedTokens struct {
	tokens team.Tokens
	at     time.Time
}

// reserve is a token bucket for what this host may spend of a team's rate without the
// ledger. It grows by that part of the rate only while there is no ledger, which would lend it
// to others.
type reserve struct {
	level     float64
	updatedAt time.Time
	// share is the fraction of the team's rate that the ledger last assigned, start the level
	// that the reserve recovers to while there is a ledger, and most its highest level.
	share       float64
	start, most float64
	// overdraft is the length of the longest requests that may overdraw the reserve. One may
	// once the level is the part of its tokens that was drawn, so that all hosts together
	// spend what they have, although few of them have enough for a whole request.
	overdraft team.Tokens
	drawn     float64
	// spent is what hasn't been reported to the ledger.
	spent team.Tokens
}

// TokenCacheOption sets an option of a TokenCache.
type TokenCacheOption func(*TokenCache)

// WithBackground sets the function that runs work that no request waits for. The
// default starts a goroutine.
func WithBackground(run func(func())) TokenCacheOption {
	return func(c *TokenCache) { c.background = run }
}

// WithRandom sets the source of random numbers from zero to one. Without it, the reserve isn't
// overdrawn.
func WithRandom(random func() float64) TokenCacheOption {
	return func(c *TokenCache) { c.random = random }
}

// NewTokenCache returns a new TokenCache that borrows from a lender. Requests wait for
// the ledger up to takeoverTime after it became unavailable, since the next coordinator
// may be about to take over.
func NewTokenCache(lender Lender, clock clockwork.Clock, takeoverTime time.Duration, opts ...TokenCacheOption) *TokenCache {
	c := &TokenCache{
		clock: clock, lender: lender, takeoverTime: takeoverTime, random: func() float64 { return 1 }, background: func(f func()) { go f() }, cached: map[team.ID]team.Tokens{}, maxCached: map[team.ID]team.Tokens{},
		returned: map[team.ID]returnedTokens{}, reserves: map[team.ID]*reserve{},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Charge charges a request of a team with tokens, or returns why it is refused. The
// function refund gives the tokens back. The request waits for tokens for maxWait, if that
// is longer than requests usually do.
func (c *TokenCache) Charge(ctx context.Context, t catalog.Team, tokens team.Tokens, maxWait time.Duration) (refund func(), refusal *outcome.NotRun) {
	if t.Limit == nil {
		return func() {}, nil
	}
	cached := c.takeCached(t.ID, tokens)
	missing := tokens - cached
	if missing == 0 {
		return c.refund(t, tokens), nil
	}
	if c.ledgerLost() && c.takeReserve(t, missing) {
		c.probeLedger(t)
		return c.refund(t, tokens), nil
	}
	maxWait = max(maxWait, maxTokenWait)
	// A small request that comes later may take tokens that this one waits for.
	waited, queued := time.Duration(0), false
	for {
		grant, err := c.borrow(ctx, t, BorrowRequest{Need: missing, MaxWait: maxWait - waited, Queued: queued})
		pause := failedLedgerDelay
		switch {
		case err != nil && c.takeReserve(t, missing):
			return c.refund(t, tokens), nil
		case err != nil && (!c.ledgerMayReturn() || ctx.Err() != nil):
			c.put(t.ID, cached)
			return nil, &outcome.NotRun{
				Reason:     outcome.ReasonLedgerMissing,
				RetryAfter: unavailableRetryDelay,
				Detail:     "the host can't tell how much the team may use",
			}
		case err != nil:
		case grant.Tokens > 0:
			c.put(t.ID, grant.Tokens-missing)
			return c.refund(t, tokens), nil
		case waited+grant.Wait > maxWait || ctx.Err() != nil:
			c.put(t.ID, cached)
			return nil, &outcome.NotRun{
				Reason:     outcome.ReasonRate,
				RetryAfter: grant.Wait,
				Detail:     "the team is beyond its rate and burst",
			}
		default:
			pause, queued = max(grant.Wait, minBorrowInterval), true
			waited += pause
		}
		select {
		case <-ctx.Done():
		case <-c.clock.After(pause):
		}
	}
}

// ReserveShares returns the fractions of rates that this host may spend from its reserves.
func (c *TokenCache) ReserveShares() map[team.ID]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	shares := make(map[team.ID]float64, len(c.reserves))
	for id, r := range c.reserves {
		shares[id] = r.share
	}
	return shares
}

// ledgerLost reports whether the last call to the ledger failed.
func (c *TokenCache) ledgerLost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.lostAt.IsZero()
}

// probeLedger asks a lost ledger in the background whether it is back, so that requests
// that the reserve covers don't wait for the call's timeout.
func (c *TokenCache) probeLedger(t catalog.Team) {
	if !c.probing.CompareAndSwap(false, true) {
		return
	}
	c.background(func() {
		defer c.probing.Store(false)
		// The borrow itself records whether the ledger is back.
		_, _ = c.borrow(context.Background(), t, BorrowRequest{})
	})
}

// ledgerMayReturn reports whether the ledger became unavailable so recently that the next
// coordinator may be about to take over.
func (c *TokenCache) ledgerMayReturn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.lostAt.IsZero() && c.clock.Since(c.lostAt) < c.takeoverTime
}

// refund returns a function that gives tokens back. Those that this host may not cache
// are returned at once, since a host of a large fleet may not borrow for the same team
// again before they have expired.
func (c *TokenCache) refund(t catalog.Team, tokens team.Tokens) func() {
	return func() {
		if !c.put(t.ID, tokens) {
			return
		}
		c.background(func() {
			// If the ledger can't be reached, the tokens expire here.
			_, _ = c.borrow(context.Background(), t, BorrowRequest{})
		})
	}
}

// takeCached takes up to a number of cached tokens, and returns how many it took.
func (c *TokenCache) takeCached(id team.ID, tokens team.Tokens) team.Tokens {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := min(c.cached[id], tokens)
	c.cached[id] -= taken
	return taken
}

// put caches tokens for later requests. Those beyond what the ledger lets this host
// cache are returned with the next borrow request: if many hosts cached more, the team
// could spend it on top of its burst. It reports whether there are tokens to return.
func (c *TokenCache) put(id team.ID, tokens team.Tokens) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cached[id] += tokens
	excess := c.cached[id] - c.maxCached[id]
	if excess <= 0 {
		return false
	}
	c.cached[id] -= excess
	now := c.clock.Now()
	r := c.returned[id]
	if now.Sub(r.at) > maxReturnAge {
		r = returnedTokens{}
	}
	c.returned[id] = returnedTokens{tokens: r.tokens + excess, at: now}
	return true
}

func (c *TokenCache) borrow(ctx context.Context, t catalog.Team, request BorrowRequest) (Grant, error) {
	c.mu.Lock()
	if c.clock.Now().Before(c.retryAt) {
		c.mu.Unlock()
		return Grant{}, errLedgerUnavailable
	}
	if request.Need > 0 {
		request.Extra = team.Tokens(float64(t.Limit.Rate) * borrowAheadTime.Seconds())
	}
	request.ReserveShare = new(float64)
	if r, ok := c.reserves[t.ID]; ok {
		request.ReserveSpent, *request.ReserveShare = r.spent, r.share
	}
	if !c.lostAt.IsZero() {
		request.Ledgerless = c.clock.Since(c.lostAt)
	}
	// A request without an answer may have reached the ledger, so the tokens that it
	// returned are not returned again.
	if r := c.returned[t.ID]; c.clock.Since(r.at) <= maxReturnAge {
		request.Returned = r.tokens
	}
	delete(c.returned, t.ID)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	grant, err := c.lender.Borrow(ctx, t.ID, request)
	c.settle(t, request, grant, err)
	return grant, err
}

// settle records the result of a call to the ledger.
func (c *TokenCache) settle(t catalog.Team, request BorrowRequest, grant Grant, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if err != nil {
		c.retryAt = now.Add(failedLedgerDelay)
		if c.lostAt.IsZero() {
			c.lostAt = now
		}
		return
	}
	r, ok := c.reserves[t.ID]
	if !ok {
		r = &reserve{level: float64(grant.ReserveStart), updatedAt: now, drawn: c.random()}
		c.reserves[t.ID] = r
	}
	c.lostAt = time.Time{}
	c.maxCached[t.ID] = grant.MaxCached
	r.share, r.start, r.most, r.overdraft = grant.ReserveShare, float64(grant.ReserveStart), float64(grant.MaxReserve), grant.MaxOverdraft
	r.recover(now)
	r.spent -= request.ReserveSpent
}

// recover brings a reserve up to date, while there was a ledger.
func (r *reserve) recover(now time.Time) {
	grown := r.start * min(1, now.Sub(r.updatedAt).Seconds()/reserveRecovery.Seconds())
	r.level = min(r.start, r.level+grown)
	r.updatedAt = now
}

// grow brings a reserve up to date of a team with a rate, whose ledger was lost at a time.
func (r *reserve) grow(now, lostAt time.Time, rate team.TokensPerSecond) {
	if r.updatedAt.Before(lostAt) {
		r.recover(lostAt)
	}
	r.level = min(r.most, r.level+float64(rate)*r.share*now.Sub(r.updatedAt).Seconds())
	r.updatedAt = now
}

// takeReserve takes tokens from this host's reserve, and reports whether it had them.
func (c *TokenCache) takeReserve(t catalog.Team, tokens team.Tokens) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.reserves[t.ID]
	if !ok {
		return false // the ledger has never assigned a reserve for this team
	}
	r.grow(c.clock.Now(), c.lostAt, t.Limit.Rate)
	needed := float64(tokens)
	if tokens <= r.overdraft {
		needed *= r.drawn
	}
	if r.level < needed {
		return false
	}
	r.level -= float64(tokens)
	r.drawn = c.random()
	r.spent += tokens
	return true
}
