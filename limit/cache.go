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

// largePart is the part of a ledger's capacity from which a charge is large.
const largePart = 8

// purse is what a host holds of one team's limit.
type purse struct {
	team team.ID
	// turn is held by the one request that asks ledgers.
	turn chan struct{}
	// calm is the pause after asking in vain, and calmUntil its end. They are
	// used by the holder of the turn only.
	calm      time.Duration
	calmUntil time.Time

	mu sync.Mutex
	// accounts begins with the host's own domain.
	accounts []*account
	spending meter
	// hasty says that a report is about to be sent.
	hasty atomic.Bool
	// waiting is the number of requests in Reserve.
	waiting atomic.Int64
}

func newPurse(id team.ID, own fleet.DomainID) *purse {
	return &purse{
		team:     id,
		turn:     make(chan struct{}, 1),
		accounts: []*account{newAccount(own)},
	}
}

// take charges a request if the purse holds enough.
func (p *purse) take(now time.Time, n Micro) *charge {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held(now) < n {
		return nil
	}
	c := &charge{purse: p, total: n}
	for _, a := range p.accounts {
		if n > 0 {
			c.parts = a.spend(n, c.parts)
			n = c.missing()
		}
	}
	p.spending.add(now, c.total)
	return c
}

// missing returns how much of a request the purse lacks.
func (p *purse) missing(now time.Time, n Micro) Micro {
	p.mu.Lock()
	defer p.mu.Unlock()
	return n - p.held(now)
}

func (p *purse) held(now time.Time) Micro {
	var sum Micro
	for _, a := range p.accounts {
		sum += a.held(now)
	}
	return sum
}

// giveAllBack returns all tokens with the next reports.
func (p *purse) giveAllBack() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.accounts {
		a.giveAllBack()
	}
}

// account returns the account of a domain's ledger.
func (p *purse) account(domain fleet.DomainID) *account {
	for _, a := range p.accounts {
		if a.domain == domain {
			return a
		}
	}
	a := newAccount(domain)
	p.accounts = append(p.accounts, a)
	return a
}

// isLarge reports whether n is a large part of what the own domain's ledger
// holds.
func (p *purse) isLarge(n Micro) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return largePart*float64(n) >= p.accounts[0].view.capacity
}

func (p *purse) takeTurn(ctx context.Context) bool {
	select {
	case p.turn <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (p *purse) endTurn() { <-p.turn }

// giveBackIdle returns tokens that were not spent for long, and reports whether
// the purse is empty.
func (p *purse) giveBackIdle(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := true
	for _, a := range p.accounts {
		keep := keepUnspent
		if a.scarce(now) {
			keep = keepScarce
		}
		kept := a.pieces[:0]
		for _, piece := range a.pieces {
			if mostPassed(piece.asked, now) >= keep {
				a.giveBack(piece)
				continue
			}
			kept = append(kept, piece)
		}
		a.pieces = kept
		idle = idle && a.idle()
	}
	return idle
}

// charge is the tokens of one admitted request.
type charge struct {
	purse *purse
	total Micro
	parts []part
	// changed says that the purse has something to report.
	changed func(p *purse, now bool)
	clock   clockwork.Clock
	settled bool
}

// part is the tokens of a charge that came from one grant.
type part struct {
	account *account
	batch   *batch
	piece   piece
	tokens  Micro
}

func (c *charge) missing() Micro {
	missing := c.total
	for _, p := range c.parts {
		missing -= p.tokens
	}
	return missing
}

// Settle implements Charge.
func (c *charge) Settle(used team.Tokens) {
	c.purse.mu.Lock()
	defer c.purse.mu.Unlock()
	if c.settled {
		return
	}
	c.settled = true
	left := c.total - microOf(max(0, used))
	now, scarce := c.clock.Now(), false
	for _, p := range c.parts {
		n := min(left, p.tokens)
		if n <= 0 {
			break
		}
		left -= n
		p.account.refund(p, n)
		scarce = scarce || p.account.scarce(now)
	}
	c.changed(c.purse, scarce)
}
