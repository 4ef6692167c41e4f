package quota_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
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

// takeoverTime is the time that the next coordinator takes at most in these tests.
const takeoverTime = 2 * time.Second

// hostLender is a host's connection to the ledger, which can be cut.
type hostLender struct {
	ledger *quota.Ledger
	host   fleet.HostID
	mu     sync.Mutex
	cut    bool
}

// useLedger makes the host borrow from another ledger.
func (l *hostLender) useLedger(ledger *quota.Ledger) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger = ledger
}

func (l *hostLender) restore() { l.setCut(false) }

// setCut cuts the host off from the ledger.
func (l *hostLender) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *hostLender) Borrow(_ context.Context, id team.ID, request quota.BorrowRequest) (quota.Grant, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return quota.Grant{}, errors.New("cut off")
	}
	return l.ledger.Borrow(l.host, id, request), nil
}

func TestChargeWithinAndBeyondTheLimit(t *testing.T) {
	clock := clockwork.NewFakeClock()
	lender := &hostLender{ledger: quota.NewLedger(clock, limits, quota.WithFullBuckets()), host: "a"}
	cache := quota.NewTokenCache(lender, clock, takeoverTime)
	_, refusal := cache.Charge(t.Context(), limited, 900, 0)
	must.Nil(t, refusal)
	_, refusal = cache.Charge(t.Context(), limited, 900, 0)
	must.NotNil(t, refusal)
	must.Eq(t, outcome.ReasonRate, refusal.Reason)
	must.Between(t, 700*time.Millisecond, refusal.RetryAfter, 900*time.Millisecond)
	clock.Advance(refusal.RetryAfter)
	_, refusal = cache.Charge(t.Context(), limited, 900, 0)
	must.Nil(t, refusal)
}

func TestRefundIsSpentAgain(t *testing.T) {
	clock := clockwork.NewFakeClock()
	lender := &hostLender{ledger: quota.NewLedger(clock, limits, quota.WithFullBuckets()), host: "a"}
	cache := quota.NewTokenCache(lender, clock, takeoverTime)
	refund, refusal := cache.Charge(t.Context(), limited, 1000, 0)
	must.Nil(t, refusal)
	refund()
	_, refusal = cache.Charge(t.Context(), limited, 1000, 0)
	must.Nil(t, refusal)
}

// In a large fleet, a host rarely borrows for the same team twice within a second. What a
// request that didn't run gives back must reach the ledger without that.
func TestRefundReachesLedgerFromHostWithoutFurtherRequests(t *testing.T) {
	clock := clockwork.NewFakeClock()
	tolerance := quota.Tolerance{Window: 8 * time.Second, Share: 0.1}
	ledger := quota.NewLedger(clock, limits, quota.WithTolerance(tolerance, 0), quota.WithFullBuckets())
	for i := range 200 {
		ledger.RecordReport(fleet.HostID(fmt.Sprint("host", i)), 200, nil)
	}
	cache := quota.NewTokenCache(&hostLender{ledger: ledger, host: "host1"}, clock, takeoverTime, quota.WithBackground(func(f func()) { f() }))
	refund, refusal := cache.Charge(t.Context(), limited, 900, 0)
	must.Nil(t, refusal)
	must.Eq(t, 0, ledger.Borrow("host2", "one", quota.BorrowRequest{Need: 800}).Tokens)
	refund()
	must.Eq(t, 800, ledger.Borrow("host2", "one", quota.BorrowRequest{Need: 800}).Tokens)
}

func TestLaterLedgerStartsEmpty(t *testing.T) {
	clock := clockwork.NewFakeClock()
	ledger := quota.NewLedger(clock, limits)
	must.Eq(t, 0, ledger.Borrow("a", "one", quota.BorrowRequest{Need: 500}).Tokens)
	clock.Advance(500 * time.Millisecond)
	must.Eq(t, 500, ledger.Borrow("a", "one", quota.BorrowRequest{Need: 500}).Tokens)
}

func TestHostWithoutLedgerSpendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cache := quota.NewTokenCache(&hostLender{cut: true}, clockwork.NewRealClock(), takeoverTime)
		start := time.Now()
		_, refusal := cache.Charge(t.Context(), limited, 1, 0)
		must.NotNil(t, refusal)
		must.Eq(t, outcome.ReasonLedgerMissing, refusal.Reason)
		must.Positive(t, refusal.RetryAfter)
		must.LessEq(t, takeoverTime+200*time.Millisecond, time.Since(start))
		// The ledger is known to be unavailable by now: the next request is refused at
		// once.
		start = time.Now()
		_, refusal = cache.Charge(t.Context(), limited, 1, 0)
		must.NotNil(t, refusal)
		must.Less(t, 10*time.Millisecond, time.Since(start))
	})
}

// Many requests of one team arrive at once at an empty bucket, as after a restart. As many
// as the rate can serve within the maximum wait are served, and the others are refused.
func TestBurstOfRequestsWaitsForRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		ledger := quota.NewLedger(clock, limits)
		start := time.Now()
		served, refused := 0, 0
		var mu sync.Mutex
		var requests sync.WaitGroup
		for i := range 8 {
			cache := quota.NewTokenCache(&hostLender{ledger: ledger, host: fleet.HostID(fmt.Sprint("host", i))}, clock, takeoverTime)
			requests.Go(func() {
				_, refusal := cache.Charge(t.Context(), limited, 100, 0)
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
		requests.Wait()
		must.Between(t, 3, served, 4) // of 1000 tokens a second
		must.Eq(t, 8, served+refused)
		must.LessEq(t, 500*time.Millisecond, time.Since(start))
	})
}

// Requests must not be refused while one coordinator replaces another: they wait for the
// ledger for as long as a takeover lasts, which includes the old coordinator's lease.
func TestRequestsWaitForTheNextLedger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		lender := &hostLender{ledger: quota.NewLedger(clock, limits, quota.WithFullBuckets()), host: "a", cut: true}
		cache := quota.NewTokenCache(lender, clock, takeoverTime)
		time.AfterFunc(takeoverTime-100*time.Millisecond, func() { lender.restore() })
		_, refusal := cache.Charge(t.Context(), limited, 100, 0)
		must.Nil(t, refusal)
	})
}

// A team sends several times its rate. The requests that can't get tokens soon are refused
// at once, and are told a time after those that wait will have theirs.
func TestCrowdBeyondTheRateIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cache := quota.NewTokenCache(&hostLender{ledger: quota.NewLedger(clockwork.NewRealClock(), limits), host: "a"}, clockwork.NewRealClock(), takeoverTime)
		var requests sync.WaitGroup
		var mu sync.Mutex
		served := 0
		for range 20 {
			requests.Go(func() {
				start := time.Now()
				_, refusal := cache.Charge(t.Context(), limited, 100, 0)
				mu.Lock()
				defer mu.Unlock()
				if refusal == nil {
					served++
					return
				}
				must.Eq(t, 0, time.Since(start))
				must.Less(t, refusal.RetryAfter, 400*time.Millisecond)
			})
		}
		requests.Wait()
		must.Between(t, 3, served, 4) // 1,000 tokens a second, for 400 ms
	})
}

// frozenLender is a host's connection to the ledger of a host that is suspended: calls get
// no answer.
type frozenLender struct {
	hostLender
	frozen atomic.Bool
}

func (l *frozenLender) Borrow(ctx context.Context, id team.ID, request quota.BorrowRequest) (quota.Grant, error) {
	if l.frozen.Load() {
		<-ctx.Done()
		return quota.Grant{}, ctx.Err()
	}
	return l.hostLender.Borrow(ctx, id, request)
}

// While the coordinator's host is suspended, only the request that notices it waits for
// the call to the ledger. Others spend from the reserve at once.
func TestFrozenLedgerDelaysOnlyTheFirstRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		lender := &frozenLender{hostLender: hostLender{ledger: quota.NewLedger(clock, limits, quota.WithFullBuckets()), host: "a"}}
		cache := quota.NewTokenCache(lender, clock, takeoverTime)
		charge := func() time.Duration {
			start := time.Now()
			_, refusal := cache.Charge(t.Context(), limited, 25, 0)
			must.Nil(t, refusal)
			return time.Since(start)
		}
		must.Eq(t, 0, charge())
		lender.frozen.Store(true)
		must.Positive(t, charge())
		for range 8 {
			must.Eq(t, 0, charge())
			time.Sleep(150 * time.Millisecond)
		}
		lender.frozen.Store(false)
		time.Sleep(500 * time.Millisecond)
		must.Eq(t, 0, charge()) // from the reserve; the ledger is found to be back
		time.Sleep(time.Millisecond)
		must.Eq(t, 0, charge())
		synctest.Wait()
	})
}

// A host that has most of a team's callers gets most of the reserve, for the case that it
// loses the ledger.
func TestReserveFollowsUse(t *testing.T) {
	clock := clockwork.NewFakeClock()
	ledger := quota.NewLedger(clock, limits, quota.WithFullBuckets())
	for _, host := range []fleet.HostID{"quiet-1", "quiet-2", "quiet-3"} {
		ledger.Borrow(host, "one", quota.BorrowRequest{Need: 1})
	}
	ledger.Borrow("busy", "one", quota.BorrowRequest{Need: 600})
	grant := ledger.Borrow("busy", "one", quota.BorrowRequest{Need: 1})
	must.Greater(t, 0.7*quota.TotalReserveShare, grant.ReserveShare)
	must.Less(t, quota.TotalReserveShare, grant.ReserveShare)
}

// tolerance is what the platform's users accept of their largest teams. Their slack of
// 11,000 tokens is a third of what they may use in a second. Here, that is 333 of 1,000.
var tolerance = quota.Tolerance{Window: 8 * time.Second, Share: 0.1, Slack: 333}

// Many requests arrive after all hosts were restarted or the coordinator was lost. The new
// ledger must serve the first of them at once.
func TestLaterLedgerStartsWithPartOfTolerance(t *testing.T) {
	clock := clockwork.NewFakeClock()
	ledger := quota.NewLedger(clock, limits, quota.WithTolerance(tolerance, 200*time.Millisecond))
	must.Eq(t, 300, ledger.Borrow("a", "one", quota.BorrowRequest{Need: 300}).Tokens)
	must.Eq(t, 0, ledger.Borrow("a", "one", quota.BorrowRequest{Need: 300}).Tokens)
}

// Under any mix of lost connections and demand, all hosts together must not spend more in
// any window of eight seconds than rate and burst allow, plus the tenth and the slack that the
// users accept.
func TestHostsTogetherStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checkWindows(t, rapidChoices{t}, workload{limit: limit, maxRequest: 300, slack: 333})
	})
}

// The same bound applies while coordinators replace each other, each after the lease of
// its predecessor has expired. The sizes are those of the platform's users, in tens of
// tokens: their largest and smallest teams, requests of 40 to 4,000 tokens and a slack of
// 11,000.
func TestLaterLedgersStayWithinTheLimit(t *testing.T) {
	mixes := []workload{
		{limit: catalog.Limit{ByTokens: true, Rate: 3370, Burst: 3370}, maxRequest: 400, slack: 1100, takeovers: true},
		{limit: catalog.Limit{ByTokens: true, Rate: 270, Burst: 270}, maxRequest: 270, slack: 1100, takeovers: true},
	}
	for _, w := range mixes {
		t.Run(fmt.Sprint("rate ", w.limit.Rate), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { checkWindows(t, rapidChoices{t}, w) })
		})
	}
}

// The same bound applies to requests that are longer than what a host's part of the rate yields
// in a takeover: each host could spend one that the ledger has lent to another.
func TestLongRequestsStayWithinTheLimit(t *testing.T) {
	for _, takeovers := range []bool{false, true} {
		w := workload{limit: catalog.Limit{ByTokens: true, Rate: 1400, Burst: 1400}, maxRequest: 1200, minRequest: 600, hosts: 8, slack: 1100, takeovers: takeovers}
		t.Run(fmt.Sprint("takeovers ", takeovers), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { checkWindows(t, rapidChoices{t}, w) })
		})
	}
}

// The same bound applies to a hundred hosts, each of which may cache tokens that its team
// can spend at once: those borrowed ahead, and refunds of requests that did not run. One
// team sends little for a while, and then several times its rate.
func TestManyHostsStayWithinTheLimit(t *testing.T) {
	w := workload{limit: catalog.Limit{ByTokens: true, Rate: 7300, Burst: 7300}, maxRequest: 400, slack: 1100, hosts: 100, bursts: true, refunds: true}
	rapid.Check(t, func(t *rapid.T) { checkWindows(t, rapidChoices{t}, w) })
}

// workload describes what the hosts of a property test do.
type workload struct {
	hosts int // drawn if zero
	// bursts makes hosts alternate between little traffic and much, and refunds makes some
	// requests give their tokens back.
	bursts, refunds bool

	limit                  catalog.Limit
	minRequest, maxRequest int // tokens of a request
	slack                  team.Tokens
	takeovers              bool
	// cutRarity and takeoverRarity are the most steps between two changes of a host's
	// connection, and between two coordinators, on average. They default to the constants.
	cutRarity, takeoverRarity int
	// idle is the part of the steps in which a host has no request, in percent.
	idle int
}

// The defaults of a workload.
const (
	defaultCutRarity      = 60
	defaultTakeoverRarity = 30
)

// choices makes the random decisions of checkWindows.
type choices interface {
	// number returns a number from a range that includes both ends.
	number(label string, from, to int) int
	seed() uint64
}

type rapidChoices struct{ t *rapid.T }

func (c rapidChoices) number(label string, from, to int) int {
	return rapid.IntRange(from, to).Draw(c.t, label)
}

func (c rapidChoices) seed() uint64 { return rapid.Uint64().Draw(c.t, "seed") }

type seededChoices struct{ rng *rand.Rand }

func (c seededChoices) number(_ string, from, to int) int { return from + c.rng.IntN(to-from+1) }

func (c seededChoices) seed() uint64 { return c.rng.Uint64() }

// minTerm is the minimum time between two coordinators: the lease of the first, and the
// time to elect the next.
const minTerm = 2 * time.Second

// failer is the part of a test's T that checkWindows needs.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// checkWindows runs a workload, and checks the bound in each window of eight seconds.
func checkWindows(t failer, c choices, w workload) {
	t.Helper()
	const step = 100 * time.Millisecond
	const window = int(8 * time.Second / step)
	clock := clockwork.NewFakeClock()
	limits := func(team.ID) (catalog.Limit, bool) { return w.limit, true }
	limitedTeam := catalog.Team{ID: "one", Limit: &w.limit}
	tolerance := quota.Tolerance{Window: 8 * time.Second, Share: 0.1, Slack: w.slack}
	ledger := quota.NewLedger(clock, limits, quota.WithTolerance(tolerance, 0), quota.WithFullBuckets())
	start := clock.Now()
	count := w.hosts
	if count == 0 {
		count = c.number("hosts", 1, 8)
	}
	cutRarity, takeoverRarity := cmp.Or(w.cutRarity, defaultCutRarity), cmp.Or(w.takeoverRarity, defaultTakeoverRarity)
	rng := rand.New(rand.NewPCG(c.seed(), 0))
	quiet := w.bursts
	var lenders []*hostLender
	var caches []*quota.TokenCache
	for i := range count {
		lender := &hostLender{ledger: ledger, host: fleet.HostID(fmt.Sprint("host", i))}
		lenders = append(lenders, lender)
		caches = append(caches, quota.NewTokenCache(lender, clock, takeoverTime, quota.WithRandom(rng.Float64), quota.WithBackground(func(f func()) { f() })))
		ledger.Borrow(lender.host, "one", quota.BorrowRequest{Need: 1})
	}
	var spent []float64
	for range 300 {
		if w.takeovers && clock.Since(start) > minTerm && c.number("takeover", 0, takeoverRarity) == 0 {
			clock.Advance(2 * step) // the previous ledger ends before its lease does
			spent = append(spent, 0, 0)
			start = clock.Now()
			ledger = quota.NewLedger(clock, limits, quota.WithTolerance(tolerance, 2*step))
			for _, lender := range lenders {
				lender.useLedger(ledger)
			}
		}
		sum := 0.0
		if w.bursts && rng.IntN(25) == 0 {
			quiet = !quiet
		}
		for i, cache := range caches {
			if w.bursts {
				ledger.RecordReport(lenders[i].host, count, caches[i].ReserveShares())
				if quiet && rng.IntN(60) != 0 {
					continue
				}
				ctx, cancel := context.WithCancel(context.Background())
				cancel()
				tokens := team.Tokens(1 + rng.IntN(w.maxRequest))
				refund, refusal := cache.Charge(ctx, limitedTeam, tokens, 0)
				switch {
				case refusal != nil:
				case w.refunds && rng.IntN(3) == 0:
					refund()
				default:
					sum += float64(tokens)
				}
				continue
			}
			if c.number("turn", 0, cutRarity) == 0 {
				lenders[i].cut = !lenders[i].cut
			}
			if !lenders[i].cut {
				ledger.RecordReport(lenders[i].host, count, caches[i].ReserveShares())
			}
			if w.idle > 0 && rng.IntN(100) < w.idle {
				continue
			}
			tokens := team.Tokens(c.number("tokens", max(1, w.minRequest), w.maxRequest))
			// The context is cancelled, since waiting would need the clock to advance.
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			if _, refusal := cache.Charge(ctx, limitedTeam, tokens, 0); refusal == nil {
				sum += float64(tokens)
			}
		}
		spent = append(spent, sum)
		clock.Advance(step)
	}
	allowed := (float64(w.limit.Rate)*8+float64(w.limit.Burst))*(1+tolerance.Share) + float64(w.slack)
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

// Guards against streams that break off with all hosts and are then refused, one after the
// other, because their team's tokens go to new requests that come at the same time: callers
// who have a part of a response lose it, and those who have nothing come back anyway.
func TestTakeUpsWaitForTokens(t *testing.T) {
	const (
		cost     = 20 // fifty requests a second
		takeUps  = 40
		arrivals = 100 // new requests a second
		patience = 1500 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		ledger := quota.NewLedger(clockwork.NewRealClock(), limits) // empty, as after a restart of all hosts
		var caches []*quota.TokenCache
		for i := range 9 {
			lender := &hostLender{ledger: ledger, host: fleet.HostID(fmt.Sprint("host", i))}
			caches = append(caches, quota.NewTokenCache(lender, clockwork.NewRealClock(), takeoverTime))
		}
		var served [2]atomic.Int64
		var wg sync.WaitGroup
		charge := func(i int, maxWait time.Duration, counter *atomic.Int64) {
			wg.Go(func() {
				if _, refusal := caches[i%len(caches)].Charge(t.Context(), limited, cost, maxWait); refusal == nil {
					counter.Add(1)
				}
			})
		}
		for i := range 3 * arrivals {
			if i >= arrivals/10 && i < arrivals/10+takeUps {
				charge(i, patience, &served[0])
			}
			charge(i, 0, &served[1])
			time.Sleep(time.Second / arrivals)
		}
		wg.Wait()
		t.Logf("%d of %d taken up, %d of %d new ones served", served[0].Load(), takeUps, served[1].Load(), 3*arrivals)
		must.GreaterEq(t, takeUps*9/10, int(served[0].Load()))
		must.GreaterEq(t, 3*arrivals/10, int(served[1].Load()))
	})
}
