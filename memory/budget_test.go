package memory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"hawthornway/memory"
)

func ExampleBudget() {
	budget := memory.NewBudget(100, clockwork.NewRealClock())
	loan, ok := budget.Take(80)
	fmt.Println(ok, budget.Used())
	_, ok = budget.Take(30)
	fmt.Println(ok)
	loan.Release()
	fmt.Println(budget.Used())
	// Output:
	// true 80
	// false
	// 0
}

// Whatever is taken, grown and released in any order, the sum of what is lent is the sum of the
// loans, and within the limit.
func TestBudgetAtRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1000
		clock := clockwork.NewFakeClock()
		budget := memory.NewBudget(limit, clock)
		held := map[*memory.Loan]memory.Bytes{}
		for range 100 {
			clock.Advance(time.Duration(rapid.IntRange(0, 1000).Draw(t, "pause")) * time.Millisecond)
			n := memory.Bytes(rapid.IntRange(0, 400).Draw(t, "bytes"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				if loan, ok := budget.Take(n); ok {
					held[loan] = n
				}
			case 1:
				for loan := range held {
					if loan.Grow(n) {
						held[loan] += n
					}
					break
				}
			case 2:
				for loan := range held {
					if loan.GrowAnswer(n) {
						held[loan] += n
					}
					break
				}
			case 3:
				for loan := range held {
					held[loan] -= max(0, loan.Answers()-n)
					loan.ShrinkAnswers(n)
					break
				}
			default:
				for loan := range held {
					loan.Release()
					loan.Release()
					delete(held, loan)
					break
				}
			}
			sum := memory.Bytes(0)
			for _, bytes := range held {
				sum += bytes
			}
			must.Eq(t, sum, budget.Used())
			must.LessEq(t, limit, budget.Used())
			must.Between(t, 100*time.Millisecond, budget.Wait(n), 2*time.Second)
		}
	})
}

func TestWaitFollowsHowLongLoansAreHeld(t *testing.T) {
	clock := clockwork.NewFakeClock()
	budget := memory.NewBudget(100, clock)
	for range 100 {
		loan, ok := budget.Take(50)
		must.True(t, ok)
		clock.Advance(4 * time.Second)
		loan.Release()
	}
	_, ok := budget.Take(100)
	must.True(t, ok)
	must.Between(t, 900*time.Millisecond, budget.Wait(25), 1100*time.Millisecond)
}

// Guards against faulty targets whose answers take all memory of a host, so that the requests of
// other callers are refused.
func TestAnswersLeaveRoomForRequests(t *testing.T) {
	budget := memory.NewBudget(1000, clockwork.NewFakeClock())
	var loans []*memory.Loan
	for range 20 {
		loan, ok := budget.Take(10)
		must.True(t, ok)
		loans = append(loans, loan)
		loan.GrowAnswer(100)
	}
	must.Eq(t, 700, budget.Used())
	other, ok := budget.Take(300)
	must.True(t, ok)
	other.Release()
	for _, loan := range loans {
		loan.ShrinkAnswers(40)
		loan.Release()
	}
	must.Zero(t, budget.Used())
	whole, ok := budget.Take(0)
	must.True(t, ok)
	must.True(t, whole.GrowAnswer(500))
	must.False(t, whole.GrowAnswer(1))
}

// Without a loan, there is no limit.
func TestNilLoan(t *testing.T) {
	var loan *memory.Loan
	must.True(t, loan.Grow(1<<40))
	must.True(t, loan.GrowAnswer(1<<40))
	loan.ShrinkAnswers(0)
	loan.Shrink(1 << 40)
	loan.Release()
	must.Zero(t, loan.Answers())
}
