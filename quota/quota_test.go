package quota_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"hawthornway/catalog"
	"hawthornway/fleet"
	"hawthornway/outcome"
	"hawthornway/quota"
	"hawthornway/team"
)

var limit = catalog.Limit{ByTokens: true, Rate: 1000, Burst: 1000}

var limited = catalog.Team{ID: "one", Limit: &limit}

func limits(team.ID) (catalog.Limit, bool) { return limit, true }

// lender is a host's way to the ledger, which can be cut.
type lender struct {
	ledger *quota.Ledger
	host   fleet.HostID
	mu     sync.Mutex
	cut    bool
}

// follow has the host borrow from the ledger of the next coordinator.
func (l *lender) follow(ledger *quota.Ledger) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger = ledger
}

func (l *lender) restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = false
}

func (l *lender) Borrow(_ context.Context, id team.ID, loan quota.BorrowRequest) (quota.Grant, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return quota.Grant{}, errors.New("cut off")
	}
	return l.ledger.Borrow(l.host, id, loan), nil
}

func TestChargeWithinAndBeyondTheLimit(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := &lender{ledger: quota.NewLedger(clock, limits, quota.WithFullBuckets()), host: "a"}
	purse := quota.NewTokenCache(l, clock)
	_, refusal := purse.Charge(t.Context(), limited, 900)
	must.Nil(t, refusal)
	_, refusal = purse.Charge(t.Context(), limited, 900)
	must.NotNil(t, refusal)
	must.Eq(t, outcome.ReasonRate, refusal.Reason)
	must.Between(t, 700*time.Millisecond, refusal.RetryAfter, 900*time.Millisecond)
	clock.Advance(refusal.RetryAfter)
	_, refusal = purse.Charge(t.Context(), limited, 900)
	must.Nil(t, refusal)
}

func TestRefundIsSpentAgain(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := &lender{ledger: quota.NewLedger(clock, limits, quota.WithFullBuckets()), host: "a"}
	purse := quota.NewTokenCache(l, clock)
	refund, refusal := purse.Charge(t.Context(), limited, 1000)
	must.Nil(t, refusal)
	refund()
	_, refusal = purse.Charge(t.Context(), limited, 1000)
	must.Nil(t, refusal)
}

func TestANewLedgerOfALaterTermStartsEmpty(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := quota.NewLedger(clock, limits)
	must.Eq(t, 0, l.Borrow("a", "one", quota.BorrowRequest{Need: 500}).Tokens)
	clock.Advance(500 * time.Millisecond)
	must.Eq(t, 500, l.Borrow("a", "one", quota.BorrowRequest{Need: 500}).Tokens)
}

func TestAHostThatNeverReachedTheLedgerSpendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		purse := quota.NewTokenCache(&lender{cut: true}, clockwork.NewRealClock())
		began := time.Now()
		_, refusal := purse.Charge(t.Context(), limited, 1)
		must.NotNil(t, refusal)
		must.Eq(t, outcome.ReasonLedgerMissing, refusal.Reason)
		must.Positive(t, refusal.RetryAfter)
		must.LessEq(t, 1200*time.Millisecond, time.Since(began))
		// It is known to be lost by now: the next request is refused at once.
		began = time.Now()
		_, refusal = purse.Charge(t.Context(), limited, 1)
		must.NotNil(t, refusal)
		must.Less(t, 10*time.Millisecond, time.Since(began))
	})
}

// Pattern: a crowd of one team's requests comes at once, as after a restart, to a
// bucket that is empty. As many as the rate serves in a moment wait for it, and
// the others are refused.
func TestCrowdWaitsForTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		ledger := quota.NewLedger(clock, limits)
		began := time.Now()
		served, refused := 0, 0
		var mu sync.Mutex
		var crowd sync.WaitGroup
		for i := range 8 {
			purse := quota.NewTokenCache(&lender{ledger: ledger, host: fleet.HostID(fmt.Sprint("host", i))}, clock)
			crowd.Go(func() {
				_, refusal := purse.Charge(t.Context(), limited, 100)
				mu.Lock()
				defer mu.Unlock()
				if refusal == nil {
					served++
					return
				}
				refused++
				must.Positive(t, refusal.RetryAfter)
			})
		}
		crowd.Wait()
		must.Between(t, 3, served, 4) // of 1000 tokens a second
		must.Eq(t, 8, served+refused)
		must.LessEq(t, 500*time.Millisecond, time.Since(began))
	})
}

// Pattern: one coordinator follows another within a second. Requests of that
// second wait for the ledger instead of being refused.
func TestRequestsWaitForTheNextLedger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		l := &lender{ledger: quota.NewLedger(clock, limits, quota.WithFullBuckets()), host: "a", cut: true}
		purse := quota.NewTokenCache(l, clock)
		time.AfterFunc(600*time.Millisecond, func() { l.restore() })
		_, refusal := purse.Charge(t.Context(), limited, 100)
		must.Nil(t, refusal)
	})
}

// Pattern: one host has most of a team's callers when it loses the ledger. It
// may spend most of what is left aside.
func TestWhatIsLeftAsideFollowsUse(t *testing.T) {
	clock := clockwork.NewFakeClock()
	ledger := quota.NewLedger(clock, limits, quota.WithFullBuckets())
	for _, host := range []fleet.HostID{"quiet-1", "quiet-2", "quiet-3"} {
		ledger.Borrow(host, "one", quota.BorrowRequest{Need: 1})
	}
	ledger.Borrow("busy", "one", quota.BorrowRequest{Need: 600})
	lent := ledger.Borrow("busy", "one", quota.BorrowRequest{Need: 1})
	must.Greater(t, 0.7*quota.AsideShare, lent.ReserveShare)
	must.Less(t, quota.AsideShare, lent.ReserveShare)
}

// tolerance is what the platform's users concede to their largest teams. Their
// slack of 11,000 tokens is a third of what those may use in a second.
var tolerance = quota.Tolerance{Window: 8 * time.Second, Share: 0.1, Slack: 333}

// Pattern: a crowd comes back after all hosts were restarted, or the coordinator
// was lost. The new ledger serves the first of it at once.
func TestLaterLedgerStartsWithAPartOfTheTolerance(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := quota.NewLedger(clock, limits, quota.WithTolerance(tolerance, 200*time.Millisecond))
	must.Eq(t, 300, l.Borrow("a", "one", quota.BorrowRequest{Need: 300}).Tokens)
	must.Eq(t, 0, l.Borrow("a", "one", quota.BorrowRequest{Need: 300}).Tokens)
}

// Pattern: any mix of cuts and demand over several hosts. In no window of eight
// seconds do all hosts together spend more than the rate and burst allow, with
// the tenth that the users concede.
func TestHostsTogetherStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkWindows(t, mix{limit: limit, largest: 300, slack: 333}) })
}

// Pattern: coordinators follow each other meanwhile, each after the lease of the
// one before has run out. The sizes are those of the platform's users, in tens of
// tokens: their largest and smallest teams, requests of 40 to 4,000 tokens and a
// slack of 11,000.
func TestLaterLedgersStayWithinTheLimit(t *testing.T) {
	mixes := []mix{
		{limit: catalog.Limit{ByTokens: true, Rate: 3370, Burst: 3370}, largest: 400, slack: 1100, takeovers: true},
		{limit: catalog.Limit{ByTokens: true, Rate: 270, Burst: 270}, largest: 270, slack: 1100, takeovers: true},
	}
	for _, m := range mixes {
		t.Run(fmt.Sprint("rate ", m.limit.Rate), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { checkWindows(t, m) })
		})
	}
}

// Pattern: a hundred hosts, each of which may keep tokens that its team then spends
// at once: what was borrowed ahead, and what came back from requests that did not run.
// One team is calm and then sends several times its rate.
func TestManyHostsStayWithinTheLimit(t *testing.T) {
	m := mix{limit: catalog.Limit{ByTokens: true, Rate: 7300, Burst: 7300}, largest: 400, slack: 1100, hosts: 100, bursts: true, refunds: true}
	rapid.Check(t, func(t *rapid.T) { checkWindows(t, m) })
}

// mix is what hosts do in a property test.
type mix struct {
	hosts int // drawn if zero
	// bursts has hosts send little for some time, and refunds has requests give
	// their tokens back.
	bursts, refunds bool

	limit     catalog.Limit
	largest   int // tokens of a request
	slack     team.Tokens
	takeovers bool
}

// leastTerm is the time after which a coordinator can be followed by another: its
// lease, and the time in which the next one is elected.
const leastTerm = 2 * time.Second

// checkWindows checks the bound in each window of eight seconds.
func checkWindows(t *rapid.T, m mix) {
	const step = 100 * time.Millisecond
	const window = int(8 * time.Second / step)
	clock := clockwork.NewFakeClock()
	limits := func(team.ID) (catalog.Limit, bool) { return m.limit, true }
	limited := catalog.Team{ID: "one", Limit: &m.limit}
	tolerance := quota.Tolerance{Window: 8 * time.Second, Share: 0.1, Slack: m.slack}
	ledger := quota.NewLedger(clock, limits, quota.WithTolerance(tolerance, 0), quota.WithFullBuckets())
	began := clock.Now()
	count := m.hosts
	if count == 0 {
		count = rapid.IntRange(1, 8).Draw(t, "hosts")
	}
	chance := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "chance"), 0))
	calm := m.bursts
	var lenders []*lender
	var purses []*quota.TokenCache
	for i := range count {
		l := &lender{ledger: ledger, host: fleet.HostID(fmt.Sprint("host", i))}
		lenders = append(lenders, l)
		purses = append(purses, quota.NewTokenCache(l, clock))
		ledger.Borrow(l.host, "one", quota.BorrowRequest{Need: 1})
	}
	var spent []float64
	for range 300 {
		if m.takeovers && clock.Since(began) > leastTerm && rapid.IntRange(0, 30).Draw(t, "takeover") == 0 {
			clock.Advance(2 * step) // the last ledger ends before its lease does
			spent = append(spent, 0, 0)
			began = clock.Now()
			ledger = quota.NewLedger(clock, limits, quota.WithTolerance(tolerance, 2*step))
			for _, l := range lenders {
				l.follow(ledger)
			}
		}
		sum := 0.0
		if m.bursts && chance.IntN(25) == 0 {
			calm = !calm
		}
		for i, purse := range purses {
			if m.bursts {
				ledger.RecordReport(lenders[i].host, count)
				if calm && chance.IntN(60) != 0 {
					continue
				}
				ctx, cancel := context.WithCancel(context.Background())
				cancel()
				tokens := team.Tokens(1 + chance.IntN(m.largest))
				refund, refusal := purse.Charge(ctx, limited, tokens)
				switch {
				case refusal != nil:
				case m.refunds && chance.IntN(3) == 0:
					refund()
				default:
					sum += float64(tokens)
				}
				continue
			}
			if rapid.IntRange(0, 60).Draw(t, "turn") == 0 {
				lenders[i].cut = !lenders[i].cut
			}
			if !lenders[i].cut {
				ledger.RecordReport(lenders[i].host, count)
			}
			tokens := team.Tokens(rapid.IntRange(1, m.largest).Draw(t, "tokens"))
			// A charge that waits would need the clock to move.
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			if _, refusal := purse.Charge(ctx, limited, tokens); refusal == nil {
				sum += float64(tokens)
			}
		}
		spent = append(spent, sum)
		clock.Advance(step)
	}
	allowed := (float64(m.limit.Rate)*8+float64(m.limit.Burst))*(1+tolerance.Share) + float64(m.slack)
	for from := 0; from+window <= len(spent); from++ {
		sum := 0.0
		for _, s := range spent[from : from+window] {
			sum += s
		}
		if sum > allowed {
			t.Fatalf("hosts spent %.0f tokens in a window that allows %.0f", sum, allowed)
		}
	}
}
