package fair

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornway/outcome"
	"hawthornway/team"
)

// drainSpan is the time over which the speed of the queue is measured.
const drainSpan = 5 * time.Second

// Option changes a setting of a Queue.
type Option func(*queue)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(q *queue) { q.clock = clock }
}

// New returns a new Queue with a number of slots. Settings gives those of a
// team that are in force.
func New(slots int, settings func(team.ID) Settings, opts ...Option) Queue {
	q := &queue{
		settings: settings,
		clock:    clockwork.NewRealClock(),
		order:    newOrder(),
		slots:    slots,
	}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

type queue struct {
	settings func(team.ID) Settings
	clock    clockwork.Clock

	mu      sync.Mutex
	order   *order
	slots   int
	running int
	drain   drain
}

// Wait implements Queue.
func (q *queue) Wait(ctx context.Context, entry Entry) (Ticket, *Refusal) {
	n, refusal := q.enter(entry)
	if refusal != nil {
		return nil, refusal
	}
	timer := q.clock.NewTimer(entry.Deadline.Sub(q.clock.Now()))
	defer timer.Stop()
	select {
	case <-n.started:
		return &ticket{queue: q, entry: entry}, nil
	case <-ctx.Done():
	case <-timer.Chan():
	}
	return q.leave(ctx, n)
}

// enter puts a request into its team's line, or says why not.
func (q *queue) enter(entry Entry) (*node, *Refusal) {
	settings := q.settings(entry.Team)
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	t := q.order.team(entry.Team, settings.Weight)
	free := q.running < q.slots && q.order.size == 0
	if !free && (t.len() >= settings.Entries || t.bytes+entry.Bytes > settings.Bytes) {
		return nil, &Refusal{
			Reason:     outcome.ReasonQueueFull,
			RetryAfter: q.expect(now, t, entry.Deadline),
			Detail:     "the team has as much waiting as it may",
		}
	}
	late := q.expect(now, t, entry.Deadline) - entry.Deadline.Sub(now)
	if !free && late > 0 {
		return nil, refuseLate(late)
	}
	n := &node{entry: entry, started: make(chan struct{})}
	q.order.push(n, settings.Weight)
	q.startNext(now)
	return n, nil
}

// expect returns the time until a request with the deadline would start: when
// the earlier ones of its team have started at the team's part of the drain, or
// when all that waits has, if that is sooner.
func (q *queue) expect(now time.Time, t *teamLine, deadline time.Time) time.Duration {
	speed := q.drain.speed(now)
	if speed <= 0 {
		return 0
	}
	weights := q.order.weight
	if t.place < 0 {
		weights += t.weight
	}
	own := float64(t.costBefore(deadline)) * weights / t.weight
	ahead := min(own, float64(q.order.cost))
	return time.Duration(math.Min(ahead/speed*float64(time.Second), math.MaxInt64/2))
}

// leave takes a request out whose caller left or whose deadline came.
func (q *queue) leave(ctx context.Context, n *node) (Ticket, *Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if n.running {
		return &ticket{queue: q, entry: n.entry}, nil
	}
	q.order.remove(n)
	if ctx.Err() != nil {
		return nil, &Refusal{Reason: outcome.ReasonCallerLeft, Detail: "the caller left before the request started"}
	}
	now := q.clock.Now()
	return nil, refuseLate(q.expect(now, q.order.teams[n.entry.Team], now))
}

// startNext starts requests while there are free slots.
func (q *queue) startNext(now time.Time) {
	for q.running < q.slots {
		n := q.order.pop()
		if n == nil {
			return
		}
		q.running++
		q.drain.add(now, n.entry.Cost, q.order.size > 0)
		n.running = true
		close(n.started)
	}
}

// SetSlots implements Queue.
func (q *queue) SetSlots(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots = n
	q.startNext(q.clock.Now())
}

// Waiting implements Queue.
func (q *queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.order.size
}

type ticket struct {
	queue *queue
	entry Entry
	once  sync.Once
}

// Done implements Ticket.
func (t *ticket) Done(used team.Tokens) {
	t.once.Do(func() {
		t.queue.mu.Lock()
		defer t.queue.mu.Unlock()
		t.queue.running--
		t.queue.order.settle(t.entry.Team, t.entry.Cost-used)
		t.queue.startNext(t.queue.clock.Now())
	})
}

// leastRetry is the shortest time to return after a deadline that came too
// soon.
const leastRetry = 100 * time.Millisecond

func refuseLate(late time.Duration) *Refusal {
	return &Refusal{
		Reason:     outcome.ReasonDeadline,
		RetryAfter: max(late, leastRetry),
		Detail:     "the request would not start before its deadline",
	}
}
