package retry

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Budget bounds retries by the number of recent requests.
type Budget interface {
	// CountRequest counts a first attempt.
	CountRequest()
	// TakeRetry takes one retry from the budget, if there is any left.
	TakeRetry() bool
}

const (
	windowBuckets = 10
	bucketWidth   = time.Second
	// DefaultBudgetShare is the part of recent requests that may be retried.
	DefaultBudgetShare = 0.1
	// DefaultBudgetFloor is the number of retries that is always allowed over
	// the window.
	DefaultBudgetFloor = 3
)

// BudgetOption sets an option of a Budget.
type BudgetOption func(*budget)

// WithShare sets the part of recent requests that may be retried.
func WithShare(share float64) BudgetOption {
	return func(b *budget) { b.share = share }
}

// WithFloor sets the number of retries that is always allowed over the window.
func WithFloor(n int) BudgetOption {
	return func(b *budget) { b.floor = n }
}

// WithSlack sets the number of retries over the window that are allowed besides
// the share. It is asked for at each retry, since a host's part in a fleet's
// slack follows the fleet's size.
func WithSlack(slack func() int) BudgetOption {
	return func(b *budget) { b.slack = slack }
}

// NewBudget returns a new Budget over a window of ten seconds.
func NewBudget(clock clockwork.Clock, opts ...BudgetOption) Budget {
	b := &budget{clock: clock, start: clock.Now(), share: DefaultBudgetShare, floor: DefaultBudgetFloor, slack: func() int { return 0 }}
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
	clock clockwork.Clock
	start time.Time
	share float64
	floor int
	slack func() int

	mu      sync.Mutex
	buckets [windowBuckets]budgetBucket
}

// CountRequest counts a first attempt.
func (b *budget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current().requests++
}

// TakeRetry takes one retry from the budget, if there is any left.
func (b *budget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.current()
	requests, retries := b.sum(bucket.index)
	allowed := max(b.floor, b.slack()+int(b.share*float64(requests)))
	if retries >= allowed {
		return false
	}
	bucket.retries++
	return true
}

// current returns the bucket of this moment, emptied if it held an older one.
func (b *budget) current() *budgetBucket {
	index := int64(b.clock.Since(b.start) / bucketWidth)
	bucket := &b.buckets[index%windowBuckets]
	if bucket.index != index {
		*bucket = budgetBucket{index: index}
	}
	return bucket
}

// sum counts the requests and retries of the window that ends at index.
func (b *budget) sum(index int64) (requests, retries int) {
	for i := range b.buckets {
		bucket := &b.buckets[i]
		if index-bucket.index >= windowBuckets {
			continue
		}
		requests += bucket.requests
		retries += bucket.retries
	}
	return requests, retries
}
