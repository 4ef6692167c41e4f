package quota_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test"

	"hawthornway/catalog"
	"hawthornway/fleet"
	"hawthornway/quota"
	"hawthornway/team"
)

// Guards against callers of a team within its limit being refused while one coordinator replaces
// another, and just after that.
func TestTeamWithinItsLimitIsServedDuringTakeover(t *testing.T) {
	const (
		maxRefusedShare = 0.01
		tokens          = 1631
		takeovers       = 10
		period          = 40 * time.Second
		lossTime        = 2 * time.Second
		leaseMargin     = 200 * time.Millisecond
	)
	cases := []struct {
		hosts int
		rate  team.Tokens
		// use is the part of the rate that the team uses.
		use float64
	}{
		{8, 14_000, 0.5},
		{8, 66_000, 0.5},
		{8, 66_000, 0.8},
		{60, 66_000, 0.5},
		{195, 140_000, 0.5},
	}
	for _, tc := range cases {
		t.Run(fmt.Sprintf("%d hosts, rate %d, use %.1f", tc.hosts, tc.rate, tc.use), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limit := catalog.Limit{ByTokens: true, Rate: team.TokensPerSecond(tc.rate), Burst: tc.rate}
				limits := func(team.ID) (catalog.Limit, bool) { return limit, true }
				tolerance := quota.Tolerance{Window: 8 * time.Second, Share: 0.1, Slack: 11_000}
				clock := clockwork.NewRealClock()
				ledger := quota.NewLedger(clock, limits, quota.WithTolerance(tolerance, 0), quota.WithFullBuckets())
				random := rand.New(rand.NewPCG(1, 1))
				var lenders []*hostLender
				var caches []*quota.TokenCache
				for i := range tc.hosts {
					lenders = append(lenders, &hostLender{ledger: ledger, host: fleet.HostID(fmt.Sprint("host", i))})
					caches = append(caches, quota.NewTokenCache(lenders[i], clock, takeoverTime+leaseMargin, quota.WithRandom(rand.New(rand.NewPCG(2, uint64(i))).Float64)))
				}
				var wg sync.WaitGroup
				var mu sync.Mutex
				sent, refused, waited := 0, 0, time.Duration(0)
				start := time.Now()
				lost := false
				for time.Since(start) < takeovers*period {
					before := lost
					lost = time.Since(start)%period > period-lossTime
					if before && !lost {
						ledger = quota.NewLedger(clock, limits, quota.WithTolerance(tolerance, leaseMargin))
					}
					for i, l := range lenders {
						if !lost {
							ledger.RecordReport(l.host, tc.hosts, caches[i].ReserveShares())
							l.useLedger(ledger)
						}
						l.setCut(lost)
					}
					affected := lost || time.Since(start)%period < lossTime
					cache := caches[random.IntN(len(caches))]
					wg.Go(func() {
						from := time.Now()
						_, refusal := cache.Charge(t.Context(), catalog.Team{ID: "one", Limit: &limit}, tokens, 0)
						mu.Lock()
						defer mu.Unlock()
						if !affected {
							return
						}
						sent++
						waited += time.Since(from)
						if refusal != nil {
							refused++
						}
					})
					time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) * tokens / (tc.use * float64(tc.rate))))
				}
				wg.Wait()
				t.Logf("%d of %d refused, %s waited on average", refused, sent, waited/time.Duration(sent))
				test.LessEq(t, maxRefusedShare*float64(sent), float64(refused))
			})
		})
	}
}
