package retry

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Budget limits retries in proportion to the number of recent requests.
type Budget interface {
	// CountRequest counts a first attempt.
	CountRequest()
	// Reserve takes one retry from the budget, which is sent later. It returns nil if none is
	// left.
	Reserve() *Reservation
	// TakeRetry takes one retry from the budget, which is sent now. It returns false if none
	// is left.
	TakeRetry() bool
}

const (
	// DefaultBudgetWindow is the default length of the window.
	DefaultBudgetWindow = 10 * time.Second
	// DefaultBudgetShare is the default fraction of recent requests that may be
	// retried.
	DefaultBudgetShare = 0.1
	// DefaultBudgetFloor is the default number of retries per window that are
	// allowed however few requests there are.
	DefaultBudgetFloor = 3
	// bucketsPerWindow is the number of buckets of one window, in which requests and retries
	// are counted.
	bucketsPerWindow = 100
	// transitBuckets is for how many more buckets a retry counts, since one that was sent
	// before another may arrive after it.
	transitBuckets = 5
	// keptBuckets also covers the bucket that reaches over the beginning of the window.
	keptBuckets = bucketsPerWindow + transitBuckets + 1
)

// BudgetOption sets an option of a Budget.
type BudgetOption func(*budget)

// WithWindow sets the length of the window. The limit holds in each span of that length.
func WithWindow(window time.Duration) BudgetOption {
	return func(b *budget) { b.width = window / bucketsPerWindow }
}

// WithShare sets the fraction of recent requests that may be retried.
func WithShare(share float64) BudgetOption {
	return func(b *budget) { b.share = share }
}

// WithFloor sets the number of retries per window that are allowed however few
// requests there are.
func WithFloor(n int) BudgetOption {
	return func(b *budget) { b.floor = n }
}

// WithSlack sets the number of retries per window that are allowed on top of
// the share. It may be a fraction of one. The function is called for each retry,
// since a host's part of the fleet's slack changes with the size of the fleet.
func WithSlack(slack func() float64) BudgetOption {
	return func(b *budget) { b.slack = slack }
}

// WithUnknownPast withholds the slack for the first window. The process may follow one that
// has spent it just before it ended.
func WithUnknownPast() BudgetOption {
	return func(b *budget) { b.unknownPast = true }
}

// NewBudget returns a new Budget over a sliding window.
func NewBudget(clock clockwork.Clock, opts ...BudgetOption) Budget {
	b := &budget{
		clock: clock, start: clock.Now(), width: DefaultBudgetWindow / bucketsPerWindow,
		share: DefaultBudgetShare, floor: DefaultBudgetFloor, slack: func() float64 { return 0 },
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

type budgetBucket struct {
	index    int64
	requests int
	retries  int
}

type budget struct {
	clock       clockwork.Clock
	start       time.Time
	width       time.Duration
	share       float64
	floor       int
	slack       func() float64
	unknownPast bool

	mu      sync.Mutex
	buckets [keptBuckets]budgetBucket
	// reserved counts the retries that have been taken and not been sent yet.
	reserved int
}

// Reservation is a retry that has been taken from a budget. It counts until it is returned or,
// once it is sent, for a window. The methods do nothing on a nil Reservation or after one of
// them has been called.
type Reservation struct {
	budget *budget
	once   sync.Once
}

// Sent tells that the retry is sent now.
func (r *Reservation) Sent() {
	r.end(func(b *budget) { b.current().retries++ })
}

// Return gives the retry back, which was not sent.
func (r *Reservation) Return() {
	r.end(func(*budget) {})
}

func (r *Reservation) end(record func(*budget)) {
	if r == nil {
		return
	}
	r.once.Do(func() {
		r.budget.mu.Lock()
		defer r.budget.mu.Unlock()
		r.budget.reserved--
		record(r.budget)
	})
}

// CountRequest implements Budget.
func (b *budget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current().requests++
}

// Reserve implements Budget.
func (b *budget) Reserve() *Reservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	index := b.current().index
	requests, retries := b.sum(index)
	slack := 0.0
	if !b.unknownPast || index >= keptBuckets {
		slack = b.slack()
	}
	allowed := max(b.floor, int(slack+b.share*float64(requests)))
	if retries+b.reserved >= allowed {
		return nil
	}
	b.reserved++
	return &Reservation{budget: b}
}

// TakeRetry implements Budget.
func (b *budget) TakeRetry() bool {
	r := b.Reserve()
	r.Sent()
	return r != nil
}

// current returns the current bucket. It clears the bucket first if it holds
// counts of an earlier window.
func (b *budget) current() *budgetBucket {
	index := int64(b.clock.Since(b.start) / b.width)
	bucket := &b.buckets[index%keptBuckets]
	if bucket.index != index {
		*bucket = budgetBucket{index: index}
	}
	return bucket
}

// sum returns the requests and retries up to the bucket of the given index. Requests count
// only if they are certainly within the window, and retries unless they certainly aren't.
func (b *budget) sum(index int64) (requests, retries int) {
	for i := range b.buckets {
		bucket := &b.buckets[i]
		age := index - bucket.index
		if age < bucketsPerWindow {
			requests += bucket.requests
		}
		if age < keptBuckets {
			retries += bucket.retries
		}
	}
	return requests, retries
}
