package overload

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"hawthornway/model"
	"hawthornway/target"
)

const (
	// retryInterval is the wait after which a refused request is admitted with its flow's share
	// as the probability. The shares follow the demand within about as long.
	retryInterval = time.Second
	// maxRetryAfter limits the wait that callers are told, within which demand shifts.
	maxRetryAfter = 8 * time.Second
)

// Table holds the allocations of pools that a host was told last. It is safe for concurrent use.
type Table struct {
	clock clockwork.Clock
	// maxAge is how long allocations are used.
	maxAge time.Duration

	mu     sync.Mutex
	shares map[target.Pool]map[FlowID]float64
	// weights holds the engines' allotments by model.
	weights map[target.Pool]map[model.Name]map[target.ID]float64
	at      time.Time
	// settled is set unless the shares are early ones.
	settled bool
}

// NewTable returns a Table that admits all requests. It uses allocations for maxAge, which should
// cover the time until a new coordinator has heard from all hosts.
func NewTable(clock clockwork.Clock, maxAge time.Duration) *Table {
	return &Table{clock: clock, maxAge: maxAge}
}

// Set replaces the allocations of all pools. Early ones, which admit too much, don't replace those that
// are still used.
func (t *Table) Set(allocations map[target.Pool]Allocation, early bool) {
	shares, weights := map[target.Pool]map[FlowID]float64{}, map[target.Pool]map[model.Name]map[target.ID]float64{}
	for pool, a := range allocations {
		shares[pool], weights[pool] = map[FlowID]float64{}, map[model.Name]map[target.ID]float64{}
		for _, s := range a.Shares {
			shares[pool][s.FlowID] = s.Admitted
		}
		for _, part := range a.Allotments {
			if weights[pool][part.Model] == nil {
				weights[pool][part.Model] = map[target.ID]float64{}
			}
			weights[pool][part.Model][part.Target] = float64(part.Rate)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if early && t.settled && t.current() {
		return
	}
	t.shares, t.weights, t.at, t.settled = shares, weights, t.clock.Now(), !early
}

// current reports whether the allocations are still used.
func (t *Table) current() bool { return t.clock.Since(t.at) <= t.maxAge }

// Weights returns the allotments for a model by engine, or nil if all of its requests are admitted.
func (t *Table) Weights(pool target.Pool, name model.Name) map[target.ID]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.current() {
		return nil
	}
	return t.weights[pool][name]
}

// Len returns the number of flows that aren't admitted in full.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, flows := range t.shares {
		n += len(flows)
	}
	return n
}

// Admit reports whether a request is admitted, and if not, after which time it is likely to be.
// The answer for a request is the same until the share changes.
func (t *Table) Admit(pool target.Pool, flow FlowID, request string) (admitted bool, retryAfter time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	share, ok := t.shares[pool][flow]
	if !ok || !t.current() {
		return true, 0
	}
	uniform := float64(xxhash.Sum64String(request)>>11) / (1 << 53) // the bits that a float64 holds
	if uniform < share {
		return true, 0
	}
	if share*maxRetryAfter.Seconds() < retryInterval.Seconds() {
		return false, maxRetryAfter
	}
	return false, time.Duration(float64(retryInterval) / share)
}
