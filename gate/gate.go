// Package gate limits the requests that one host has in progress at the engines
// of each pool, so that teams wait in the host's fair queues rather than in the
// queues of the engines.
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

// adjustInterval is the interval at which the slots are recalculated.
const adjustInterval = 250 * time.Millisecond

// PoolLoad is the load of a pool's engines according to their last reports.
type PoolLoad struct {
	// Slots is the number of requests that the engines can run at the same time, and
	// Running and Queued count the requests at them.
	Slots   int
	Running int
	Queued  int
}

// Gate admits requests to pools.
type Gate interface {
	// Enter waits until the request may be sent to a pool. It returns a ticket
	// to hold while the request runs, or the reason why the request can't start
	// before its deadline.
	Enter(ctx context.Context, pool target.Pool, entry fair.Entry) (fair.Ticket, *outcome.NotRun)
	// Run adjusts the number of slots until the context ends.
	Run(ctx context.Context) error
}

type gate struct {
	// settings returns a team's fair-queue settings.
	settings func(team.ID) fair.Settings
	// load returns the load of a pool.
	load func(target.Pool) PoolLoad
	// hosts returns the number of hosts that send requests to the pools.
	hosts func() int
	clock clockwork.Clock

	mu    sync.Mutex
	pools map[target.Pool]*poolQueue
}

// New returns a new Gate. It calls the functions settings, load and hosts
// whenever it needs a current value.
func New(settings func(team.ID) fair.Settings, load func(target.Pool) PoolLoad, hosts func() int, clock clockwork.Clock) Gate {
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

// Enter implements Gate.
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

// countedTicket is a ticket that is counted among the host's requests in
// progress.
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

// Run implements Gate.
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
