package limit

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/fleet"
	"hawthornway/outcome"
	"hawthornway/standin/kvstore"
	"hawthornway/team"
)

// rollOutLimit changes a limit at each host at a random moment within a period.
func (f *testFleet) rollOutLimit(id team.ID, limit Limit, period time.Duration) {
	rng := f.fork()
	for _, h := range f.hosts {
		time.AfterFunc(time.Duration(rng.Int64N(int64(period))), func() { h.limits.Store(id, limit) })
	}
}

// between returns the admissions from one moment until just before another.
func (f *testFleet) between(from, to time.Time) []admission {
	f.mu.Lock()
	defer f.mu.Unlock()
	var log []admission
	for _, a := range f.log {
		if !a.at.Before(from) && a.at.Before(to) {
			log = append(log, a)
		}
	}
	return log
}

// TestLimitChanges changes a limit under more traffic than it allows, with hosts learning
// of it at different times. Until the last host has it, the larger of the rates and of
// the bursts apply; once the grants of that time have expired, the new ones do.
func TestLimitChanges(t *testing.T) {
	const rolloutTime = 3 * time.Second
	cases := []struct {
		name     string
		old, new Limit
	}{
		{"rate lowered", Limit{Rate: 500, Burst: 600}, Limit{Rate: 100, Burst: 600}},
		{"burst lowered", Limit{Rate: 300, Burst: 900}, Limit{Rate: 300, Burst: 90}},
		{"both lowered", Limit{Rate: 500, Burst: 900}, Limit{Rate: 50, Burst: 90}},
		{"rate raised", Limit{Rate: 100, Burst: 600}, Limit{Rate: 500, Burst: 600}},
		{"burst raised", Limit{Rate: 300, Burst: 90}, Limit{Rate: 300, Burst: 900}},
		{"rate lowered, burst raised", Limit{Rate: 300, Burst: 90}, Limit{Rate: 100, Burst: 900}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, 1, 3, 2, map[team.ID]Limit{"a": c.old}, testMutations{})
				defer f.stop()
				f.running.Go(func() { f.saturate(f.hosts, "a", 7, 50*time.Millisecond, 30*time.Second) })
				time.Sleep(10 * time.Second)
				changed := time.Now()
				f.rollOutLimit("a", c.new, rolloutTime)
				time.Sleep(20 * time.Second)
				larger := Limit{Rate: max(c.old.Rate, c.new.Rate), Burst: max(c.old.Burst, c.new.Burst)}
				settled := changed.Add(rolloutTime + ledgerGrantTTL)
				must.LessEq(t, boundSlack, overrun(f.between(time.Time{}, changed), "a", c.old))
				must.LessEq(t, boundSlack, overrun(f.between(time.Time{}, time.Now()), "a", larger))
				must.LessEq(t, boundSlack, overrun(f.between(settled, time.Now()), "a", c.new))
				var admitted team.Tokens
				for _, a := range f.between(settled, time.Now()) {
					admitted += a.tokens
				}
				must.Greater(t, 0.8*float64(c.new.Rate), float64(admitted)/time.Since(settled).Seconds())
			})
		})
	}
}

// recordedShares returns the recorded shares of team a.
func (f *testFleet) recordedShares() Shares {
	entry, err := f.store.Get(f.t.Context(), recordKey("a"))
	must.NoError(f.t, err)
	record, err := decodeShareRecord(entry.Value)
	must.NoError(f.t, err)
	return record.shares()
}

func TestForgottenDomainTransfersItsShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1, 3, 2, map[team.ID]Limit{"a": {Rate: 100, Burst: 300}}, testMutations{})
		defer f.stop()
		time.Sleep(3 * time.Second)
		for _, h := range f.hostsOf("d2") {
			h.kill()
		}
		time.Sleep(3 * time.Second)
		f.request(f.hosts[0], "a", 300, 300, 0)
		must.Eq(t, 1, f.refused)
		must.NoError(t, f.hosts[0].controller.Forget(t.Context(), "d2"))
		must.Zero(t, f.recordedShares()["d2"])
		must.GreaterEq(t, WholeLimit-2, f.recordedShares().Sum())
		time.Sleep(30 * time.Second)
		f.request(f.hosts[0], "a", 299, 299, 0)
		must.SliceLen(t, 1, f.log)
	})
}

func TestRemovedDomainTransfersItsShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1, 3, 2, map[team.ID]Limit{"a": {Rate: 100, Burst: 300}}, testMutations{})
		defer f.stop()
		time.Sleep(3 * time.Second)
		f.setDomains("d0", "d1")
		time.Sleep(time.Minute)
		must.Zero(t, f.recordedShares()["d2"])
		must.GreaterEq(t, WholeLimit-2, f.recordedShares().Sum())
	})
}

func TestAddedDomainGetsItsFloor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1, 3, 2, map[team.ID]Limit{"a": {Rate: 100, Burst: 300}}, testMutations{})
		defer f.stop()
		f.setDomains("d0", "d1")
		time.Sleep(3 * time.Second)
		must.Zero(t, f.recordedShares()["d2"])
		f.setDomains("d0", "d1", "d2")
		time.Sleep(time.Minute)
		must.GreaterEq(t, WholeLimit/3/8, f.recordedShares()["d2"])
		must.LessEq(t, WholeLimit, f.recordedShares().Sum())
	})
}

func (f *testFleet) setDomains(domains ...fleet.DomainID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configured = domains
}

func TestFirstUseInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1, 3, 2, map[team.ID]Limit{"a": {Rate: 100, Burst: 300}}, testMutations{})
		defer f.stop()
		f.store.SetFaults(kvstore.Faults{Outage: true})
		_, refusal := f.hosts[0].controller.Reserve(t.Context(), "a", 10)
		must.Eq(t, outcome.ReasonLedgerMissing, refusal.Reason)
		must.Positive(t, refusal.RetryAfter)
		time.Sleep(10 * time.Second)
		must.Less(t, 400, f.store.Counts().Reads())
		f.store.SetFaults(kvstore.Faults{})
		time.Sleep(refusal.RetryAfter)
		_, refusal = f.hosts[0].controller.Reserve(t.Context(), "a", 300)
		must.Nil(t, refusal)
	})
}
