package quota

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornway/catalog"
	"hawthornway/outcome"
	"hawthornway/team"
)

// Lender lends tokens from the ledger, wherever it is kept. It fails when the
// ledger can't be reached.
type Lender interface {
	Borrow(ctx context.Context, id team.ID, loan BorrowRequest) (Grant, error)
}

// The bounds of a Purse.
const (
	// borrowTimeout bounds a call to the ledger, which takes a few milliseconds.
	borrowTimeout = 300 * time.Millisecond
	// spareTime is the time for which a purse borrows ahead, by the team's rate.
	spareTime = 20 * time.Millisecond
	// mostWait is the longest that a request waits for tokens that will be there.
	// It is half of the shortest objective of a generation that the platform's
	// users have.
	mostWait = 400 * time.Millisecond
	// leastWait bounds how often a waiting request asks the ledger.
	leastWait = 10 * time.Millisecond
	// asideBurst is the time for which what is left aside may pile up.
	asideBurst = 500 * time.Millisecond
	// asideLeast is the number of requests for which what is left aside may pile
	// up at least, so that a small share lets large requests pass in the end.
	asideLeast = 1
	// missingWait is when a caller should try again whose host lacks the ledger.
	// Another host is likely to take the next connection.
	missingWait = 300 * time.Millisecond
	// changeTime is the time in which one coordinator mostly follows another.
	// Requests wait for the ledger that long after it was lost.
	changeTime = time.Second
	// ledgerPause is the time for which a ledger that didn't answer isn't asked
	// again.
	ledgerPause = 100 * time.Millisecond
)

// TokenCache holds the tokens that one host may spend. It may be used concurrently.
type TokenCache struct {
	clock  clockwork.Clock
	lender Lender

	mu   sync.Mutex
	lent map[team.ID]team.Tokens
	// keep is the most that lent may be, and back what goes back to the ledger.
	keep   map[team.ID]team.Tokens
	back   map[team.ID]team.Tokens
	aside  map[team.ID]*aside
	silent time.Time // the ledger isn't asked before
	// lost is when the ledger first didn't answer, or zero while it does.
	lost time.Time
}

// aside is what this host may spend of a team's tokens without the ledger.
type aside struct {
	level float64
	at    time.Time
	// share is the part of the team's rate, by the ledger's last word.
	share float64
	// spent is what the ledger hasn't been told of.
	spent team.Tokens
}

// NewTokenCache returns a new Purse that borrows from a lender.
func NewTokenCache(lender Lender, clock clockwork.Clock) *TokenCache {
	return &TokenCache{
		clock: clock, lender: lender, lent: map[team.ID]team.Tokens{}, keep: map[team.ID]team.Tokens{},
		back: map[team.ID]team.Tokens{}, aside: map[team.ID]*aside{},
	}
}

// Charge takes tokens for a request of a team, or says why there are none. The
// refund gives them back.
func (p *TokenCache) Charge(ctx context.Context, t catalog.Team, tokens team.Tokens) (refund func(), refusal *outcome.NotRun) {
	if t.Limit == nil {
		return func() {}, nil
	}
	held := p.take(t.ID, tokens)
	missing := tokens - held
	if missing == 0 {
		return p.refund(t.ID, tokens), nil
	}
	lent, err := p.borrow(ctx, t, missing)
	// Others may take the tokens that a request waits for. Small requests are
	// served first then.
	for began := p.clock.Now(); err == nil && lent.Tokens == 0 && p.clock.Since(began)+lent.Wait <= mostWait && ctx.Err() == nil; {
		select {
		case <-ctx.Done():
		case <-p.clock.After(max(lent.Wait, leastWait)):
			lent, err = p.borrow(ctx, t, missing)
		}
	}
	for err != nil && !p.takeAside(t, missing) {
		if !p.mayReturn() || ctx.Err() != nil {
			p.put(t.ID, held)
			return nil, &outcome.NotRun{
				Reason:     outcome.ReasonLedgerMissing,
				RetryAfter: missingWait,
				Detail:     "the host can't tell how much the team may use",
			}
		}
		select {
		case <-ctx.Done():
		case <-p.clock.After(ledgerPause):
		}
		lent, err = p.borrow(ctx, t, missing)
	}
	switch {
	case err != nil:
		return p.refund(t.ID, tokens), nil
	case lent.Tokens == 0:
		p.put(t.ID, held)
		return nil, &outcome.NotRun{
			Reason:     outcome.ReasonRate,
			RetryAfter: lent.Wait,
			Detail:     "the team is beyond its rate and burst",
		}
	}
	p.put(t.ID, lent.Tokens-missing)
	return p.refund(t.ID, tokens), nil
}

// mayReturn reports whether the ledger was lost so recently that the next
// coordinator may be there in a moment.
func (p *TokenCache) mayReturn() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.lost.IsZero() && p.clock.Since(p.lost) < changeTime
}

func (p *TokenCache) refund(id team.ID, tokens team.Tokens) func() {
	return func() { p.put(id, tokens) }
}

// take takes up to a number of tokens from those that are kept.
func (p *TokenCache) take(id team.ID, tokens team.Tokens) team.Tokens {
	p.mu.Lock()
	defer p.mu.Unlock()
	taken := min(p.lent[id], tokens)
	p.lent[id] -= taken
	return taken
}

// put keeps tokens for later requests. Those beyond what the ledger lets this host
// keep go back with the next loan: many hosts that kept them would let the team spend
// them on top of its burst.
func (p *TokenCache) put(id team.ID, tokens team.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lent[id] += tokens
	if over := p.lent[id] - p.keep[id]; over > 0 {
		p.lent[id] -= over
		p.back[id] += over
	}
}

func (p *TokenCache) borrow(ctx context.Context, t catalog.Team, need team.Tokens) (Grant, error) {
	p.mu.Lock()
	if p.clock.Now().Before(p.silent) {
		p.mu.Unlock()
		return Grant{}, errSilent
	}
	loan := BorrowRequest{Need: need, Extra: team.Tokens(float64(t.Limit.Rate) * spareTime.Seconds())}
	if a, ok := p.aside[t.ID]; ok {
		loan.ReserveSpent = a.spent
	}
	// A loan that isn't answered may have reached the ledger, so that what it gave
	// back is not given back again.
	loan.Returned = p.back[t.ID]
	delete(p.back, t.ID)
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	lent, err := p.lender.Borrow(ctx, t.ID, loan)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.silent = p.clock.Now().Add(ledgerPause)
		if p.lost.IsZero() {
			p.lost = p.clock.Now()
		}
		return lent, err
	}
	p.lost = time.Time{}
	a, ok := p.aside[t.ID]
	if !ok {
		a = &aside{}
		p.aside[t.ID] = a
	}
	p.keep[t.ID] = lent.MaxCached
	a.share = lent.ReserveShare
	a.spent -= loan.ReserveSpent
	return lent, nil
}

// takeAside takes tokens from what the ledger leaves aside for this host.
func (p *TokenCache) takeAside(t catalog.Team, tokens team.Tokens) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, ok := p.aside[t.ID]
	if !ok {
		return false // the ledger has never spoken of the team
	}
	now := p.clock.Now()
	rate := float64(t.Limit.Rate) * a.share
	most := max(rate*asideBurst.Seconds(), asideLeast*float64(tokens))
	if a.at.IsZero() {
		a.at, a.level = now, most
	}
	a.level = min(most, a.level+rate*now.Sub(a.at).Seconds())
	a.at = now
	if a.level < float64(tokens) {
		return false
	}
	a.level -= float64(tokens)
	a.spent += tokens
	return true
}
