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
	// TakeRetry takes one retry from the budget. It returns false if none is
	// left.
	TakeRetry() bool
}

const (
	// The window is a ring of windowBuckets buckets, each bucketWidth wide.
	windowBuckets = 10
	bucketWidth   = time.Second
	// DefaultBudgetShare is the default fraction of recent requests that may be
	// retried.
	DefaultBudgetShare = 0.1
	// DefaultBudgetFloor is the default number of retries per window that are
	// allowed however few requests there are.
	DefaultBudgetFloor = 3
)

// BudgetOption sets an option of a Budget.
type BudgetOption func(*budget)

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

// NewBudget returns a new Budget over a sliding window of ten seconds.
func NewBudget(clock clockwork.Clock, opts ...BudgetOption) Budget {
	b := &budget{clock: clock, start: clock.Now(), share: DefaultBudgetShare, floor: DefaultBudgetFloor, slack: func() float64 { return 0 }}
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
	slack func() float64

	mu      sync.Mutex
	buckets [windowBuckets]budgetBucket
}

// CountRequest implements Budget.
func (b *budget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current().requests++
}

// TakeRetry implements Budget.
func (b *budget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.current()
	requests, retries := b.sum(bucket.index)
	allowed := max(b.floor, int(b.slack()+b.share*float64(requests)))
	if retries >= allowed {
		return false
	}
	bucket.retries++
	return true
}

// current returns the current bucket. It clears the bucket first if it holds
// counts of an earlier window.
func (b *budget) current() *budgetBucket {
	index := int64(b.clock.Since(b.start) / bucketWidth)
	bucket := &b.buckets[index%windowBuckets]
	if bucket.index != index {
		*bucket = budgetBucket{index: index}
	}
	return bucket
}

// sum returns the requests and retries in the window that ends with the bucket
// of the given index.
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
