package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test"

	"hawthornway/catalog"
	"hawthornway/fleet"
	"hawthornway/quota"
	"hawthornway/team"
)

// Guards against hosts that lose the ledger one after the other, each while most of a team's
// requests reach it, so that each goes on with most of the team's reserve.
func TestReservesTogetherStayWithinTheirShare(t *testing.T) {
	cases := []struct {
		name string
		// term is how many of the hosts each coordinator outlasts.
		term int
		// answersLost is set if hosts don't get the answers to their last requests.
		answersLost bool
	}{
		{"one coordinator", 6, false},
		{"a coordinator for each host", 1, false},
		{"a coordinator for two hosts", 2, false},
		{"answers are lost", 6, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			const hosts, steps = 6, 20
			clock := clockwork.NewFakeClock()
			ledger := quota.NewLedger(clock, limits, quota.WithTolerance(tolerance, 0), quota.WithFullBuckets())
			shares := make([]float64, hosts)
			borrow := func(i int, need team.Tokens, lost bool) {
				id := fleet.HostID(fmt.Sprint("host", i))
				ledger.RecordReport(id, hosts, map[team.ID]float64{"one": shares[i]})
				grant := ledger.Borrow(id, "one", quota.BorrowRequest{Need: need, ReserveShare: &shares[i]})
				if !lost {
					shares[i] = grant.ReserveShare
				}
			}
			for lost := range hosts {
				if lost > 0 && lost%tc.term == 0 {
					ledger = quota.NewLedger(clock, limits, quota.WithTolerance(tolerance, 0))
				}
				for step := range steps {
					clock.Advance(100 * time.Millisecond)
					for i := lost + 1; i < hosts; i++ {
						borrow(i, 0, false)
					}
					borrow(lost, 50, false)
					if step == steps-1 && tc.answersLost {
						clock.Advance(time.Second)
						borrow(hosts-1, 900, false)
						borrow(lost, 0, true)
					}
				}
				sum := 0.0
				for _, share := range shares {
					sum += share
				}
				test.LessEq(t, quota.TotalReserveShare+1e-9, sum)
			}
		})
	}
}

// Guards against hosts that have no reserve for half a minute after a rolling restart, since the
// next ledger takes the parts of the former processes for held.
func TestRestartedHostsFreeTheirReserves(t *testing.T) {
	const hosts = 6
	clock := clockwork.NewFakeClock()
	ledger := quota.NewLedger(clock, limits, quota.WithTolerance(tolerance, 0))
	shares := make([]float64, hosts)
	for range 2 {
		for i := range hosts {
			clock.Advance(100 * time.Millisecond)
			id := fleet.HostID(fmt.Sprint("host", i))
			ledger.RecordReport(id, hosts, map[team.ID]float64{})
			shares[i] = ledger.Borrow(id, "one", quota.BorrowRequest{Need: 1, ReserveShare: &shares[i]}).ReserveShare
		}
	}
	sum := 0.0
	for _, share := range shares {
		sum += share
	}
	test.Between(t, 0.7*quota.TotalReserveShare, sum, quota.TotalReserveShare+1e-9)
}

// A host of an older build doesn't tell its part of the reserve to a new ledger.
func TestHostOfOlderBuildHoldsAnEvenPartOfTheReserve(t *testing.T) {
	const hosts = 4
	clock := clockwork.NewFakeClock()
	ledger := quota.NewLedger(clock, limits, quota.WithTolerance(tolerance, 0))
	sum := 0.0
	for i := range hosts {
		id := fleet.HostID(fmt.Sprint("host", i))
		ledger.RecordReport(id, hosts, nil)
		sum += ledger.Borrow(id, "one", quota.BorrowRequest{Need: 1}).ReserveShare
	}
	test.LessEq(t, quota.TotalReserveShare+1e-9, sum)
	test.Greater(t, quota.TotalReserveShare/2, sum)
}

// Guards against a team that passes its limit where cuts and takeovers are rarer or more
// frequent, or requests fewer, than in the tests whose cases rapid draws.
func TestLimitHoldsForAnyRarityOfCuts(t *testing.T) {
	const runs = 150
	workloads := []workload{
		{limit: catalog.Limit{ByTokens: true, Rate: 1400, Burst: 1400}, maxRequest: 1200, minRequest: 600, hosts: 8, slack: 1100, takeovers: true},
		{limit: catalog.Limit{ByTokens: true, Rate: 3370, Burst: 3370}, maxRequest: 400, slack: 1100, takeovers: true},
		{limit: catalog.Limit{ByTokens: true, Rate: 270, Burst: 270}, maxRequest: 270, slack: 1100, takeovers: true},
	}
	for _, w := range workloads {
		t.Run(fmt.Sprint("rate ", w.limit.Rate), func(t *testing.T) {
			for seed := range uint64(runs) {
				rng := rand.New(rand.NewPCG(seed, 1))
				varied := w
				varied.cutRarity, varied.takeoverRarity, varied.idle = 1+rng.IntN(100), 1+rng.IntN(60), rng.IntN(100)
				varied.maxRequest = max(1, w.minRequest) + rng.IntN(w.maxRequest-w.minRequest)
				checkWindows(t, seededChoices{rng}, varied)
			}
		})
	}
}
