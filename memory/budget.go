// Package memory bounds the memory that requests in progress hold together, so that a host
// refuses what it has no room for instead of exceeding its limit.
package memory

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Bytes is an amount of memory.
type Bytes int64

const (
	// holdWeight is the weight of the newest loan in the mean time for which loans are held.
	holdWeight = 0.1
	// minWait and maxWait bound the expected time until there is room. Within maxWait, most
	// of what is held now has been given back, whatever it was.
	minWait = 100 * time.Millisecond
	maxWait = 2 * time.Second
	// answerShare is the part of a budget that is lent for answers at most. Faulty targets that
	// send without end fill it, and callers' requests still have the rest.
	answerShare = 0.5
)

// Budget is an amount of memory that is lent. It is safe for concurrent use.
type Budget struct {
	clock clockwork.Clock

	mu          sync.Mutex
	limit, used Bytes
	// answers is the part of used that is lent for answers.
	answers Bytes
	// meanHold is the mean time for which recent loans were held.
	meanHold time.Duration
}

// NewBudget returns a Budget. It lends any amount if limit is zero.
func NewBudget(limit Bytes, clock clockwork.Clock) *Budget {
	return &Budget{clock: clock, limit: limit, meanHold: minWait}
}

// Loan is memory that was lent. It must not be used concurrently. A nil Loan lends any amount.
type Loan struct {
	budget *Budget
	// bytes is what was lent in all, and answers the part of it for answers.
	bytes, answers Bytes
	at             time.Time
}

// Take lends memory, and reports whether there is room. The loan has to be released in any
// case; if there is no room, it is empty.
func (b *Budget) Take(n Bytes) (*Loan, bool) {
	loan := &Loan{budget: b, at: b.clock.Now()}
	return loan, loan.Grow(n)
}

// Grow lends more memory, and reports whether there is room.
func (l *Loan) Grow(n Bytes) bool {
	if l == nil {
		return true
	}
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit > 0 && n > b.limit-b.used {
		return false
	}
	b.used += n
	l.bytes += n
	return true
}

// Shrink gives back n bytes that Grow has lent.
func (l *Loan) Shrink(n Bytes) {
	if l == nil {
		return
	}
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	l.bytes -= n
}

// GrowAnswer lends more memory for what a target sends, and reports whether there is room.
func (l *Loan) GrowAnswer(n Bytes) bool {
	if l == nil {
		return true
	}
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit > 0 && (n > b.limit-b.used || n > Bytes(answerShare*float64(b.limit))-b.answers) {
		return false
	}
	b.used += n
	b.answers += n
	l.bytes += n
	l.answers += n
	return true
}

// Answers returns how much is lent for answers.
func (l *Loan) Answers() Bytes {
	if l == nil {
		return 0
	}
	return l.answers
}

// ShrinkAnswers gives back what is lent for answers beyond keep bytes.
func (l *Loan) ShrinkAnswers(keep Bytes) {
	if l == nil || l.answers <= keep {
		return
	}
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	n := l.answers - keep
	b.used -= n
	b.answers -= n
	l.bytes -= n
	l.answers -= n
}

// Wait returns the time after which as much memory is expected to be free in the loan's budget.
func (l *Loan) Wait(n Bytes) time.Duration {
	if l == nil {
		return minWait
	}
	return l.budget.Wait(n)
}

// Release gives the memory back. Further calls have no effect.
func (l *Loan) Release() {
	if l == nil {
		return
	}
	l.ShrinkAnswers(0)
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.bytes == 0 {
		return
	}
	b.used -= l.bytes
	l.bytes = 0
	b.meanHold += time.Duration(holdWeight * float64(b.clock.Since(l.at)-b.meanHold))
}

// Used returns how much is lent.
func (b *Budget) Used() Bytes {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Wait returns the time after which as much memory is expected to be free, if loans go on being
// held for as long as lately.
func (b *Budget) Wait(n Bytes) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	missing := n - (b.limit - b.used)
	if b.limit == 0 || missing <= 0 || b.used == 0 {
		return minWait
	}
	return max(minWait, min(maxWait, time.Duration(float64(b.meanHold)*float64(missing)/float64(b.used))))
}
