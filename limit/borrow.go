package limit

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"hawthornway/fleet"
	"hawthornway/team"
)

const (
	// ledgerCallTimeout limits the duration of a call to a ledger.
	ledgerCallTimeout = 250 * time.Millisecond
	// borrowAheadTime is the time for which a host borrows ahead, at its recent
	// rate of spending.
	borrowAheadTime = 100 * time.Millisecond
	// After ledgers had too little to lend, a host backs off for a time that doubles
	// with each failure, so that a team over its rate does not cost ever more
	// messages.
	minBackoff = 5 * time.Millisecond
	maxBackoff = 160 * time.Millisecond
	// reportInterval is the time between two regular rounds of reports.
	reportInterval = 250 * time.Millisecond
	// urgentReportDelay is the time for which an urgent report gathers charges
	// before it is sent.
	urgentReportDelay = 2 * time.Millisecond
)

func (c *controller) cacheShard(id team.ID) *tokenCacheShard {
	return &c.cacheShards[xxhash.Sum64String(string(id))%cacheShardCount]
}

// borrowAndCharge borrows the tokens that the cache lacks for a request, and charges
// it. The caller holds the cache's borrowLock.
func (c *controller) borrowAndCharge(ctx context.Context, cache *tokenCache, maxTokens MicroTokens) (Charge, *Refusal) {
	if charged := c.chargeCached(cache, maxTokens); charged != nil {
		return charged, nil
	}
	accounts := c.rankedAccounts(cache)
	if refusal := c.refuseEarly(cache, accounts, maxTokens); refusal != nil {
		return nil, refusal
	}
	if pause := cache.backoffUntil.Sub(c.clock.Now()); pause > 0 {
		refusal := c.refuse(cache, accounts, maxTokens)
		refusal.RetryAfter = max(refusal.RetryAfter, pause)
		return nil, refusal
	}
	for _, a := range accounts {
		missing := cache.missing(c.clock.Now(), maxTokens)
		if missing <= 0 || ctx.Err() != nil {
			break
		}
		if c.mayLend(cache, a) {
			c.borrow(ctx, cache, a, missing)
		}
	}
	if charged := c.chargeCached(cache, maxTokens); charged != nil {
		cache.backoff = 0
		c.scheduleReport(cache, cache.isLarge(maxTokens))
		return charged, nil
	}
	cache.backoff = min(max(2*cache.backoff, minBackoff), maxBackoff)
	cache.backoffUntil = c.clock.Now().Add(cache.backoff)
	cache.returnAllGrants()
	c.scheduleReport(cache, true)
	return nil, c.refuse(cache, accounts, maxTokens)
}

// rankedAccounts returns the accounts with all ledgers in the order in which to ask
// them: the fullest first, since a full ledger loses its refill, with a bonus for
// the own domain's, which is nearer.
func (c *controller) rankedAccounts(cache *tokenCache) []*ledgerAccount {
	domains := c.ledgers.domains()
	cache.mu.Lock()
	defer cache.mu.Unlock()
	for _, d := range domains {
		cache.account(d)
	}
	now := c.clock.Now()
	own := cache.accounts[0]
	order := slices.Clone(cache.accounts)
	slices.SortStableFunc(order, func(a, b *ledgerAccount) int {
		return cmp.Compare(b.fillRatio(now, b == own), a.fillRatio(now, a == own))
	})
	return order
}

// refuseEarly refuses a request if, by their last views, all ledgers together have
// too little. It returns nil if a reachable ledger has no recent view.
func (c *controller) refuseEarly(cache *tokenCache, accounts []*ledgerAccount, maxTokens MicroTokens) *Refusal {
	cache.mu.Lock()
	now := c.clock.Now()
	sum := float64(cache.spendable(now))
	for _, a := range accounts {
		level, known := a.expectedLevel(now)
		if !known && c.ownership.Reachable(a.domain) {
			cache.mu.Unlock()
			return nil
		}
		sum += level
	}
	cache.mu.Unlock()
	if sum >= float64(maxTokens) {
		return nil
	}
	return c.refuse(cache, accounts, maxTokens)
}

// mayLend reports whether a ledger is reachable and may have tokens to lend.
func (c *controller) mayLend(cache *tokenCache, a *ledgerAccount) bool {
	if !c.ownership.Reachable(a.domain) {
		return false
	}
	cache.mu.Lock()
	defer cache.mu.Unlock()
	level, known := a.expectedLevel(c.clock.Now())
	return !known || level >= 1
}

// borrow requests tokens from one ledger, and sends it the pending report.
func (c *controller) borrow(ctx context.Context, cache *tokenCache, a *ledgerAccount, need MicroTokens) {
	ctx, cancel := c.timeout(ctx, ledgerCallTimeout)
	defer cancel()
	requestedAt := c.clock.Now()
	cache.mu.Lock()
	extra := MicroTokens(cache.spendRate.rate(requestedAt) * borrowAheadTime.Seconds())
	request := grantRequest{Team: cache.team, Epoch: a.epoch, Need: need, Extra: extra}
	var sent *reportBatch
	request.Report, sent = a.takeReport()
	cache.mu.Unlock()
	answer, err := c.requestGrant(ctx, a.domain, request)
	cache.mu.Lock()
	defer cache.mu.Unlock()
	c.applyAnswer(cache, a, requestedAt, sent, answer, err)
}

// applyAnswer updates an account from a ledger's answer or a failed call, and logs
// when a ledger becomes unavailable or available again. The caller holds the
// cache's mutex.
func (c *controller) applyAnswer(
	cache *tokenCache, a *ledgerAccount, requestedAt time.Time, sent *reportBatch, answer grantAnswer, err error,
) {
	now, wasUnavailable := c.clock.Now(), a.view.unavailable
	if err == nil && answer.Missing {
		err = errLedgerNotOpen
	}
	if err != nil {
		a.recordFailure(now, sent, answer.NotLeased)
	} else {
		a.applyAnswer(requestedAt, now, sent, answer)
	}
	switch {
	case !wasUnavailable && err != nil:
		c.ledgers.log.Warn("limit: ledger unavailable", "team", cache.team, "domain", a.domain,
			"took", now.Sub(requestedAt), "error", err)
	case wasUnavailable && err == nil:
		c.ledgers.log.Info("limit: ledger available again", "team", cache.team, "domain", a.domain, "epoch", answer.Epoch)
	}
}

// errLedgerNotOpen is the error of a call to a host that has no open ledger of the
// team.
var errLedgerNotOpen = errors.New("the host has no open ledger of the team")

// requestGrant sends a request to the host of a team's ledger in a domain.
func (c *controller) requestGrant(ctx context.Context, domain fleet.DomainID, request grantRequest) (grantAnswer, error) {
	owner, ok := c.ledgers.ledgerHost(domain, request.Team)
	if !ok {
		return grantAnswer{}, trace.NotFound("no host owns the ledger of team %q in domain %q", request.Team, domain)
	}
	self := c.ownership.Self()
	if owner.Host == self.Host {
		return c.ledgers.serve(ctx, self.Domain, request), nil
	}
	var answer grantAnswer
	err := c.mesh.Call(ctx, owner.Host, kindGrant, request, &answer)
	return answer, trace.Wrap(err)
}
