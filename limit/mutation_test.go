package limit

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/member"
	"hawthornway/team"
)

// saturate has hosts ask for more than a team's rate for a time. Requests use
// all that they reserve.
func (f *testFleet) saturate(hosts []*testHost, id team.ID, size team.Tokens, gap, length time.Duration) {
	for _, h := range hosts {
		f.running.Go(func() {
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(gap) {
				f.request(h, id, size, size, 0)
			}
		})
	}
	time.Sleep(length)
}

// moveShares has the traffic stand on one domain until shares have moved to it,
// and then on all.
func moveShares(f *testFleet) {
	f.saturate(f.hostsOf("d0"), "a", 5, 10*time.Millisecond, 40*time.Second)
	f.saturate(f.hosts, "a", 5, 10*time.Millisecond, 10*time.Second)
}

// writeLate has a ledger's gift reach the record after its host was replaced.
func writeLate(f *testFleet) {
	hosts := f.hostsOf("d1")
	f.giveShard(hosts[0])
	time.Sleep(3 * time.Second)
	f.setLateFor(12 * time.Second)
	f.running.Go(func() { f.saturate(f.hostsOf("d0"), "a", 5, 20*time.Millisecond, 90*time.Second) })
	for !hosts[0].givesLate() {
		time.Sleep(100 * time.Millisecond)
	}
	hosts[0].kill()
	f.setLateFor(0)
	time.Sleep(readEvery + 15*time.Second)
	f.saturate(f.hosts, "a", 5, 10*time.Millisecond, 20*time.Second)
}

// givesLate reports whether a gift of team a's share is on its way to the
// record.
func (h *testHost) givesLate() bool {
	one := h.controller.(*controller).keeper.find("a")
	one.turn <- struct{}{}
	defer one.endTurn()
	return one.gift != nil && one.gift.uncertain
}

// giveShard makes a host the owner of team a's shard in its domain, without
// notice.
func (f *testFleet) giveShard(to *testHost) {
	f.mu.Lock()
	defer f.mu.Unlock()
	shard := member.ShardOf("a")
	fence := f.owners[to.self.Domain][shard].fence + 1
	f.owners[to.self.Domain][shard] = ownerRecord{host: to.self.Host, fence: fence, since: time.Now()}
}

// TestMutations runs scenarios that depend on one mechanism each: the bound
// holds with it and is passed without it. TestMutationRefundCap and
// TestMutationGrantWait show the other mechanisms.
func TestMutations(t *testing.T) {
	cases := []struct {
		name    string
		domains int
		limit   Limit
		run     func(f *testFleet)
		off     mutations
	}{
		{"lower before raise", 2, Limit{Rate: 400, Burst: 300}, moveShares, mutations{lowerFirst: true}},
		{"opening fence", 2, Limit{Rate: 400, Burst: 300}, writeLate, mutations{openingFence: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run := func(off mutations) float64 {
				limits := map[team.ID]Limit{"a": c.limit}
				var f *testFleet
				synctest.Test(t, func(t *testing.T) {
					f = newTestFleet(t, 1, c.domains, 3, limits, off)
					c.run(f)
					f.stop()
				})
				return overrun(f.log, "a", c.limit)
			}
			must.LessEq(t, boundSlack, run(mutations{}))
			over := run(c.off)
			t.Logf("without %s the bound is passed by %.1f tokens", c.name, over)
			must.Greater(t, boundSlack, over)
		})
	}
}
