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

// throughputWindow is the time constant of the measurement of the throughput.
const throughputWindow = 5 * time.Second

// Option changes a setting of a Queue.
type Option func(*queue)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(q *queue) { q.clock = clock }
}

// New returns a new Queue with a number of slots. The function settings returns the
// current settings of a team.
func New(slots int, settings func(team.ID) Settings, opts ...Option) Queue {
	q := &queue{
		settings:  settings,
		clock:     clockwork.NewRealClock(),
		scheduler: newScheduler(),
		slots:     slots,
	}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

type queue struct {
	settings func(team.ID) Settings
	clock    clockwork.Clock

	mu         sync.Mutex
	scheduler  *scheduler
	slots      int
	running    int
	throughput throughputMeter
}

// Wait implements Queue.
func (q *queue) Wait(ctx context.Context, entry Entry) (Ticket, *Refusal) {
	n, refusal := q.enqueue(entry)
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
	return q.dequeue(ctx, n)
}

// enqueue adds a request to its team's queue, or returns why it is refused.
func (q *queue) enqueue(entry Entry) (*node, *Refusal) {
	settings := q.settings(entry.Team)
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	t := q.scheduler.teamQueue(entry.Team, settings.Weight)
	free := q.running < q.slots && q.scheduler.waiting == 0
	if !free && (t.len() >= settings.Entries || t.bytes+entry.Bytes > settings.Bytes) {
		return nil, &Refusal{
			Reason:     outcome.ReasonQueueFull,
			RetryAfter: q.expectedWait(now, t, entry.Deadline),
			Detail:     "the team has as much waiting as it may",
		}
	}
	lateBy := q.expectedWait(now, t, entry.Deadline) - entry.Deadline.Sub(now)
	if !free && lateBy > 0 {
		return nil, refuseDeadline(lateBy)
	}
	n := &node{entry: entry, started: make(chan struct{})}
	q.scheduler.push(n, settings.Weight)
	q.startNext(now)
	return n, nil
}

// expectedWait returns the expected time until a request of a team with the deadline
// starts: after those of the team with earlier deadlines, at the team's part of the
// throughput, or after all waiting requests, if that is sooner. It is zero while the
// throughput is unknown.
func (q *queue) expectedWait(now time.Time, t *teamQueue, deadline time.Time) time.Duration {
	rate := q.throughput.rate(now)
	if rate <= 0 {
		return 0
	}
	totalWeight := q.scheduler.waitingWeight
	if t.heapIndex < 0 {
		totalWeight += t.weight
	}
	teamCost := float64(t.costBefore(deadline)) * totalWeight / t.weight
	costAhead := min(teamCost, float64(q.scheduler.waitingCost))
	return time.Duration(math.Min(costAhead/rate*float64(time.Second), math.MaxInt64/2))
}

// dequeue removes a request whose caller left or whose deadline has passed. It returns a
// ticket if the request has started meanwhile.
func (q *queue) dequeue(ctx context.Context, n *node) (Ticket, *Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if n.running {
		return &ticket{queue: q, entry: n.entry}, nil
	}
	q.scheduler.remove(n)
	if ctx.Err() != nil {
		return nil, &Refusal{Reason: outcome.ReasonCallerLeft, Detail: "the caller left before the request started"}
	}
	now := q.clock.Now()
	return nil, refuseDeadline(q.expectedWait(now, q.scheduler.teams[n.entry.Team], now))
}

// startNext starts requests while there are free slots.
func (q *queue) startNext(now time.Time) {
	for q.running < q.slots {
		n := q.scheduler.pop()
		if n == nil {
			return
		}
		q.running++
		q.throughput.add(now, n.entry.Cost, q.scheduler.waiting > 0)
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
	return q.scheduler.waiting
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
		t.queue.scheduler.refund(t.entry.Team, t.entry.Cost-used)
		t.queue.startNext(t.queue.clock.Now())
	})
}

// minRetryAfter is the shortest retry delay of a request that was refused because of its
// deadline.
const minRetryAfter = 100 * time.Millisecond

func refuseDeadline(lateBy time.Duration) *Refusal {
	return &Refusal{
		Reason:     outcome.ReasonDeadline,
		RetryAfter: max(lateBy, minRetryAfter),
		Detail:     "the request would not start before its deadline",
	}
}
