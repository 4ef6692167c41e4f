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

// The times of asking ledgers.
const (
	askTimeout = 250 * time.Millisecond
	// extraSpan is the spending that a host borrows ahead.
	extraSpan = 100 * time.Millisecond
	// After asking in vain a host asks no ledger for a time that doubles each
	// time, so that a team over its rate does not cost ever more messages.
	shortestCalm = 5 * time.Millisecond
	longestCalm  = 160 * time.Millisecond
	// reportEvery is the time between two reports of a host.
	reportEvery = 250 * time.Millisecond
	// hastyPause gathers what is reported before the next round.
	hastyPause = 2 * time.Millisecond
)

func (c *controller) shard(id team.ID) *purseShard {
	return &c.purses[xxhash.Sum64String(string(id))%purseShards]
}

// gather asks the ledgers for what a request lacks. The caller holds the purse's
// turn.
func (c *controller) gather(ctx context.Context, p *purse, most Micro) (Charge, *Refusal) {
	if charged := c.take(p, most); charged != nil {
		return charged, nil
	}
	accounts := c.accounts(p)
	if refusal := c.hopeless(p, accounts, most); refusal != nil {
		return nil, refusal
	}
	if calm := p.calmUntil.Sub(c.clock.Now()); calm > 0 {
		refusal := c.refuse(p, accounts, most)
		refusal.RetryAfter = max(refusal.RetryAfter, calm)
		return nil, refusal
	}
	for _, a := range accounts {
		missing := p.missing(c.clock.Now(), most)
		if missing <= 0 || ctx.Err() != nil {
			break
		}
		if c.worthAsking(p, a) {
			c.ask(ctx, p, a, missing)
		}
	}
	if charged := c.take(p, most); charged != nil {
		p.calm = 0
		c.changed(p, p.isLarge(most))
		return charged, nil
	}
	p.calm = min(max(2*p.calm, shortestCalm), longestCalm)
	p.calmUntil = c.clock.Now().Add(p.calm)
	p.giveAllBack()
	c.changed(p, true)
	return nil, c.refuse(p, accounts, most)
}

// accounts returns the accounts of all ledgers in the order in which they are
// to be asked: the fullest first, since a full one can't refill, with some
// favour for the own domain's, which is nearer.
func (c *controller) accounts(p *purse) []*account {
	domains := c.keeper.domains()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range domains {
		p.account(d)
	}
	now := c.clock.Now()
	own := p.accounts[0]
	order := slices.Clone(p.accounts)
	slices.SortStableFunc(order, func(a, b *account) int {
		return cmp.Compare(b.fullness(now, b == own), a.fullness(now, a == own))
	})
	return order
}

// hopeless refuses a request if what the host knows of all ledgers says that
// they have too little.
func (c *controller) hopeless(p *purse, accounts []*account, most Micro) *Refusal {
	p.mu.Lock()
	now := c.clock.Now()
	sum := float64(p.held(now))
	for _, a := range accounts {
		level, known := a.expected(now)
		if !known && c.own.Reachable(a.domain) {
			p.mu.Unlock()
			return nil
		}
		sum += level
	}
	p.mu.Unlock()
	if sum >= float64(most) {
		return nil
	}
	return c.refuse(p, accounts, most)
}

func (c *controller) worthAsking(p *purse, a *account) bool {
	if !c.own.Reachable(a.domain) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	level, known := a.expected(c.clock.Now())
	return !known || level >= 1
}

// ask asks one ledger for tokens, and reports to it.
func (c *controller) ask(ctx context.Context, p *purse, a *account, need Micro) {
	ctx, cancel := c.timeout(ctx, askTimeout)
	defer cancel()
	asked := c.clock.Now()
	p.mu.Lock()
	extra := Micro(p.spending.rate(asked) * extraSpan.Seconds())
	request := grantRequest{Team: p.team, Epoch: a.epoch, Need: need, Extra: extra}
	var sent *batch
	request.Report, sent = a.report()
	p.mu.Unlock()
	answer, err := c.callLedger(ctx, a.domain, request)
	p.mu.Lock()
	defer p.mu.Unlock()
	c.takeAnswer(p, a, asked, sent, answer, err)
}

// takeAnswer takes a ledger's answer in, or that there was none, and logs a
// ledger lost or regained. The caller holds the purse's lock.
func (c *controller) takeAnswer(
	p *purse, a *account, asked time.Time, sent *batch, answer grantAnswer, err error,
) {
	now, lost := c.clock.Now(), a.view.missing
	if err == nil && answer.Missing {
		err = errNotKept
	}
	if err != nil {
		a.failed(now, sent, answer.Unheld)
	} else {
		a.answered(asked, now, sent, answer)
	}
	switch {
	case !lost && err != nil:
		c.keeper.log.Warn("limit: ledger not reached", "team", p.team, "domain", a.domain,
			"took", now.Sub(asked), "error", err)
	case lost && err == nil:
		c.keeper.log.Info("limit: ledger reached again", "team", p.team, "domain", a.domain, "epoch", answer.Epoch)
	}
}

// errNotKept says that the host asked keeps no ledger of the team.
var errNotKept = errors.New("the host keeps no open ledger of the team")

func (c *controller) callLedger(ctx context.Context, domain fleet.DomainID, request grantRequest) (grantAnswer, error) {
	owner, ok := c.keeper.hostOf(domain, request.Team)
	if !ok {
		return grantAnswer{}, trace.NotFound("no host keeps the ledger of %q in %q", request.Team, domain)
	}
	self := c.own.Self()
	if owner.Host == self.Host {
		return c.keeper.serve(ctx, self.Domain, request), nil
	}
	var answer grantAnswer
	err := c.mesh.Call(ctx, owner.Host, kindGrant, request, &answer)
	return answer, trace.Wrap(err)
}
