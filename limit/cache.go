package limit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornway/fleet"
	"hawthornway/team"
)

// largeChargeDivisor defines large charges: those of at least the ledger's capacity
// divided by it.
const largeChargeDivisor = 8

// tokenCache holds the tokens of one team that this host has borrowed from ledgers.
type tokenCache struct {
	team team.ID
	// borrowLock is held by the request that borrows from ledgers. It is a channel
	// so that waiting for it can be cancelled.
	borrowLock chan struct{}
	// backoff is the pause after ledgers had too little to lend, and backoffUntil
	// its end. They are guarded by borrowLock.
	backoff      time.Duration
	backoffUntil time.Time

	mu sync.Mutex
	// accounts begins with the host's own domain.
	accounts  []*ledgerAccount
	spendRate rateMeter
	// urgentReport is set while an urgent report is scheduled.
	urgentReport atomic.Bool
	// waiting is the number of requests in Reserve.
	waiting atomic.Int64
}

func newTokenCache(id team.ID, own fleet.DomainID) *tokenCache {
	return &tokenCache{
		team:       id,
		borrowLock: make(chan struct{}, 1),
		accounts:   []*ledgerAccount{newLedgerAccount(own)},
	}
}

// charge charges a request with n tokens, or returns nil if the cache has fewer.
func (t *tokenCache) charge(now time.Time, n MicroTokens) *charge {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.spendable(now) < n {
		return nil
	}
	c := &charge{cache: t, total: n}
	for _, a := range t.accounts {
		if n > 0 {
			c.parts = a.spend(n, c.parts)
			n = c.missing()
		}
	}
	t.spendRate.add(now, c.total)
	return c
}

// missing returns how many of n tokens the cache lacks.
func (t *tokenCache) missing(now time.Time, n MicroTokens) MicroTokens {
	t.mu.Lock()
	defer t.mu.Unlock()
	return n - t.spendable(now)
}

// spendable returns the number of tokens that can be spent now. The caller holds
// the mutex.
func (t *tokenCache) spendable(now time.Time) MicroTokens {
	var sum MicroTokens
	for _, a := range t.accounts {
		sum += a.spendable(now)
	}
	return sum
}

// returnAllGrants returns all tokens with the next reports.
func (t *tokenCache) returnAllGrants() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.accounts {
		a.returnAllGrants()
	}
}

// account returns the account with a domain's ledger. The caller holds the mutex.
func (t *tokenCache) account(domain fleet.DomainID) *ledgerAccount {
	for _, a := range t.accounts {
		if a.domain == domain {
			return a
		}
	}
	a := newLedgerAccount(domain)
	t.accounts = append(t.accounts, a)
	return a
}

// isLarge reports whether n is a large part of the own domain's ledger's capacity.
func (t *tokenCache) isLarge(n MicroTokens) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return largeChargeDivisor*float64(n) >= t.accounts[0].view.capacity
}

func (t *tokenCache) lockBorrowing(ctx context.Context) bool {
	select {
	case t.borrowLock <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *tokenCache) unlockBorrowing() { <-t.borrowLock }

// returnUnspent returns tokens that have not been spent for too long, and reports
// whether all accounts are idle.
func (t *tokenCache) returnUnspent(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	idle := true
	for _, a := range t.accounts {
		maxAge := maxUnspentAge
		if a.isScarce(now) {
			maxAge = maxScarceUnspentAge
		}
		kept := a.grants[:0]
		for _, g := range a.grants {
			if maxElapsed(g.requestedAt, now) >= maxAge {
				a.returnGrant(g)
				continue
			}
			kept = append(kept, g)
		}
		a.grants = kept
		idle = idle && a.isIdle()
	}
	return idle
}

// charge holds the tokens that one admitted request was charged. It implements
// Charge.
type charge struct {
	cache *tokenCache
	total MicroTokens
	parts []chargePart
	// scheduleReport schedules the report of the refund. It is set by the controller.
	scheduleReport func(cache *tokenCache, urgent bool)
	clock          clockwork.Clock
	settled        bool
}

// chargePart is the part of a charge that came from one grant.
type chargePart struct {
	account *ledgerAccount
	batch   *reportBatch
	grant   cachedGrant
	tokens  MicroTokens
}

// missing returns the number of tokens that no part covers yet.
func (c *charge) missing() MicroTokens {
	missing := c.total
	for _, p := range c.parts {
		missing -= p.tokens
	}
	return missing
}

// Settle implements Charge.
func (c *charge) Settle(used team.Tokens) {
	c.cache.mu.Lock()
	defer c.cache.mu.Unlock()
	if c.settled {
		return
	}
	c.settled = true
	unused := c.total - toMicroTokens(max(0, used))
	now, scarce := c.clock.Now(), false
	for _, p := range c.parts {
		n := min(unused, p.tokens)
		if n <= 0 {
			break
		}
		unused -= n
		p.account.refund(p, n)
		scarce = scarce || p.account.isScarce(now)
	}
	c.scheduleReport(c.cache, scarce)
}
