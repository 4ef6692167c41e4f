// Package gate bounds what one host has running at the engines of each pool, so
// that teams wait in this host's fair queues rather than in the engines' own.
package gate

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornway/fair"
	"hawthornway/outcome"
	"hawthornway/target"
	"hawthornway/team"
)

// adjustInterval is the time between two settings of the slots.
const adjustInterval = 250 * time.Millisecond

// Work is what the engines of a pool do, as their last reports say.
type Work struct {
	Slots   int
	Running int
	Queued  int
}

// Gate lets requests through to pools.
type Gate interface {
	// Enter waits for the request's turn at a pool. It returns a ticket, or why
	// the request can't start before its deadline.
	Enter(ctx context.Context, pool target.Pool, entry fair.Entry) (fair.Ticket, *outcome.NotRun)
	// Run adjusts the slots until the context ends.
	Run(ctx context.Context) error
}

type gate struct {
	// settings gives a team's part and bounds.
	settings func(team.ID) fair.Settings
	// load gives the work of a pool.
	load func(target.Pool) Work
	// hosts gives the number of hosts that send to the pools.
	hosts func() int
	clock clockwork.Clock

	mu    sync.Mutex
	pools map[target.Pool]*poolQueue
}

// New returns a new Gate that reads teams' settings, pools' work and the number
// of hosts from the functions given.
func New(settings func(team.ID) fair.Settings, load func(target.Pool) Work, hosts func() int, clock clockwork.Clock) Gate {
	return &gate{
		settings: settings,
		load:     load,
		hosts:    hosts,
		clock:    clock,
		pools:    make(map[target.Pool]*poolQueue),
	}
}

// poolQueue is the queue of one pool.
type poolQueue struct {
	queue   fair.Queue
	mu      sync.Mutex
	running int
}

// Enter waits for the request's turn.
func (g *gate) Enter(ctx context.Context, pool target.Pool, entry fair.Entry) (fair.Ticket, *outcome.NotRun) {
	p := g.pool(pool)
	ticket, refusal := p.queue.Wait(ctx, entry)
	if refusal != nil {
		notRun := refusal.Outcome()
		return nil, &notRun
	}
	p.addRunning(1)
	return &countedTicket{Ticket: ticket, pool: p}, nil
}

func (g *gate) pool(name target.Pool) *poolQueue {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.pools[name]
	if !ok {
		slots := Slots(g.load(name), 0, g.hosts())
		p = &poolQueue{queue: fair.New(slots, g.settings, fair.WithClock(g.clock))}
		g.pools[name] = p
	}
	return p
}

func (p *poolQueue) addRunning(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running += n
}

func (p *poolQueue) runningCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running
}

// countedTicket is a ticket that counts what this host has running.
type countedTicket struct {
	fair.Ticket
	pool *poolQueue
	once sync.Once
}

// Done frees the slot.
func (c *countedTicket) Done(used team.Tokens) {
	c.once.Do(func() { c.pool.addRunning(-1) })
	c.Ticket.Done(used)
}

// Run adjusts the slots until the context ends.
func (g *gate) Run(ctx context.Context) error {
	ticker := g.clock.NewTicker(adjustInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			g.adjust()
		}
	}
}

func (g *gate) adjust() {
	g.mu.Lock()
	defer g.mu.Unlock()
	hosts := g.hosts()
	for name, p := range g.pools {
		p.queue.SetSlots(Slots(g.load(name), p.runningCount(), hosts))
	}
}
