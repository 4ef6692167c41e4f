package relay

import (
	"sync"

	"hawthornway/retry"
	"hawthornway/target"
)

// poolBudgets holds the retry budget of each pool.
type poolBudgets struct {
	newBudget func() retry.Budget

	mu    sync.Mutex
	pools map[target.Pool]retry.Budget
}

func newPoolBudgets(newBudget func() retry.Budget) *poolBudgets {
	return &poolBudgets{newBudget: newBudget, pools: map[target.Pool]retry.Budget{}}
}

func (b *poolBudgets) forPool(pool target.Pool) retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, ok := b.pools[pool]
	if !ok {
		budget = b.newBudget()
		b.pools[pool] = budget
	}
	return budget
}
