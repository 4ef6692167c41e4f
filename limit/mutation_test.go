package limit

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/member"
	"hawthornway/team"
)

// saturate sends requests to each of the hosts for a time, one after each gap. They use
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

// moveShares sends traffic to one domain until shares have been transferred to it, and
// then to all.
func moveShares(f *testFleet) {
	f.saturate(f.hostsOf("d0"), "a", 5, 10*time.Millisecond, 40*time.Second)
	f.saturate(f.hosts, "a", 5, 10*time.Millisecond, 10*time.Second)
}

// delayTransferWrite delays the write of a transfer of shares until the ledger's host
// has been replaced.
func delayTransferWrite(f *testFleet) {
	hosts := f.hostsOf("d1")
	f.giveShard(hosts[0])
	time.Sleep(3 * time.Second)
	f.setWriteDelay(12 * time.Second)
	f.running.Go(func() { f.saturate(f.hostsOf("d0"), "a", 5, 20*time.Millisecond, 90*time.Second) })
	for !hosts[0].transferOutcomeUnknown() {
		time.Sleep(100 * time.Millisecond)
	}
	hosts[0].kill()
	f.setWriteDelay(0)
	time.Sleep(maxRecordAge + 15*time.Second)
	f.saturate(f.hosts, "a", 5, 10*time.Millisecond, 20*time.Second)
}

// transferOutcomeUnknown reports whether the host has a transfer of team a's shares
// whose write may or may not have taken effect.
func (h *testHost) transferOutcomeUnknown() bool {
	managed := h.controller.(*controller).ledgers.ledgerFor("a")
	managed.recordLock <- struct{}{}
	defer managed.unlockRecord()
	return managed.transfer != nil && managed.transfer.outcomeUnknown
}

// giveShard makes a host the owner of team a's shard in its domain, without a handover.
func (f *testFleet) giveShard(to *testHost) {
	f.mu.Lock()
	defer f.mu.Unlock()
	shard := member.ShardOf("a")
	fence := f.owners[to.self.Domain][shard].fence + 1
	f.owners[to.self.Domain][shard] = ownerRecord{host: to.self.Host, fence: fence, since: time.Now()}
}

// TestMutations runs scenarios that depend on one mechanism each: the bound holds with it
// and is exceeded without it. TestMutationRefundCap and TestMutationGrantWait cover the
// other mechanisms.
func TestMutations(t *testing.T) {
	cases := []struct {
		name      string
		domains   int
		limit     Limit
		run       func(f *testFleet)
		mutations testMutations
	}{
		{"lower before raise", 2, Limit{Rate: 400, Burst: 300}, moveShares, testMutations{noLowerFirst: true}},
		{"opening fence", 2, Limit{Rate: 400, Burst: 300}, delayTransferWrite, testMutations{noOpeningFence: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run := func(mutations testMutations) float64 {
				limits := map[team.ID]Limit{"a": c.limit}
				var f *testFleet
				synctest.Test(t, func(t *testing.T) {
					f = newTestFleet(t, 1, c.domains, 3, limits, mutations)
					c.run(f)
					f.stop()
				})
				return overrun(f.log, "a", c.limit)
			}
			must.LessEq(t, boundSlack, run(testMutations{}))
			overrunWithout := run(c.mutations)
			t.Logf("without %s the bound is exceeded by %.1f tokens", c.name, overrunWithout)
			must.Greater(t, boundSlack, overrunWithout)
		})
	}
}
