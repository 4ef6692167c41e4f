package limit

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/outcome"
	"hawthornway/team"
)

// A request must not be refused while a ledger is handed over: the old owner stops
// serving it 900 ms before the new one is recorded.
func TestRequestsWaitForLedgerHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := map[team.ID]Limit{"a": {Rate: 10, Burst: 100}}
		f := newTestFleet(t, 1, 1, 3, limits, testMutations{})
		defer f.stop()
		time.Sleep(3 * time.Second)
		owner := f.ownerOf("d0", "a")
		successor := f.hosts[0]
		if successor == owner {
			successor = f.hosts[1]
		}
		owner.setHandingOver(true)
		time.AfterFunc(900*time.Millisecond, func() { f.handOver(owner, successor) })
		var reserving sync.WaitGroup
		for _, host := range f.hosts {
			reserving.Go(func() {
				_, refusal := host.controller.Reserve(t.Context(), "a", 20)
				must.Nil(t, refusal)
			})
		}
		reserving.Wait()
	})
}

// A request must be refused in bounded time if the owner of the ledger has no lease and
// no other host takes over.
func TestRequestsForUnleasedLedger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1, 1, 3, map[team.ID]Limit{"a": {Rate: 10, Burst: 100}}, testMutations{})
		defer f.stop()
		time.Sleep(3 * time.Second)
		f.ownerOf("d0", "a").setHandingOver(true)
		begin := time.Now()
		_, refusal := f.hosts[0].controller.Reserve(t.Context(), "a", 20)
		must.NotNil(t, refusal)
		must.Eq(t, outcome.ReasonLedgerMissing, refusal.Reason)
		must.Positive(t, refusal.RetryAfter)
		must.LessEq(t, maxHandoverWait, time.Since(begin))
	})
}

func TestWholeBurstIsAdmittedAtOneHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := map[team.ID]Limit{"a": {Rate: 10, Burst: 100}}
		f := newTestFleet(t, 1, 3, 2, limits, testMutations{})
		defer f.stop()
		time.Sleep(30 * time.Second)
		f.request(f.hosts[0], "a", 101, 1, 0)
		must.Eq(t, 1, f.refused)
		f.request(f.hosts[0], "a", 100, 100, 0)
		must.SliceLen(t, 1, f.log)
		f.request(f.hosts[3], "a", 10, 10, 0)
		must.Eq(t, 2, f.refused)
		_, refusal := f.hosts[0].controller.Reserve(t.Context(), "a", 50)
		must.NotNil(t, refusal)
		must.Between(t, 4900*time.Millisecond, refusal.RetryAfter, 5100*time.Millisecond)
		time.Sleep(refusal.RetryAfter)
		f.request(f.hosts[0], "a", 50, 50, 0)
		must.SliceLen(t, 2, f.log)
		f.mustKeepBound(limits)
	})
}
