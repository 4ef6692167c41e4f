package replica

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/standin/kvstore"
)

// TestMutations runs scenarios with one safeguard disabled, where the violation
// must be detected, and with all enabled, where there must be none.
func TestMutations(t *testing.T) {
	for _, c := range []struct {
		name     string
		disabled disabledSafeguards
		want     string
		run      func(sim *simulation)
	}{
		{"lease check before an order", disabledSafeguards{noLeaseCheck: true}, "memory overcommitted", resumeDuringOutage},
		{"reservation of memory until a replica is confirmed gone", disabledSafeguards{noReservation: true}, "memory overcommitted", requestModelsAtOnce},
		{"wait for the maximum order delay", disabledSafeguards{noOrderDelayWait: true}, "memory overcommitted", delayOrderOfDeadOwner},
		{"record before order", disabledSafeguards{noRecordFirst: true}, "memory overcommitted", freezeBeforeSending},
	} {
		t.Run(c.name, func(t *testing.T) {
			must.True(t, containsText(runScenario(t, c.disabled, c.run), c.want))
			must.SliceEmpty(t, runScenario(t, disabledSafeguards{}, c.run))
		})
	}
}

func containsText(violations []string, want string) bool {
	return slices.ContainsFunc(violations, func(v string) bool { return strings.Contains(v, want) })
}

// runScenario runs a scenario on one engine whose memory fits two models.
func runScenario(t *testing.T, disabled disabledSafeguards, run func(sim *simulation)) (violations []string) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 3, testConfig(1, 6), withDisabled(disabled), withBufferedLog(false))
		defer sim.close()
		run(sim)
		sim.settle()
		violations = sim.foundViolations()
	})
	return violations
}

// requestModelsAtOnce requests more models at once than fit into memory, while
// reports lag.
func requestModelsAtOnce(sim *simulation) {
	sim.engines["e0"].update(func(e *fakeEngine) { e.reportLag = 4 * time.Second })
	for i := range 4 {
		go sim.ensureAtAllHosts(testModel(i), 10*time.Second)
	}
	time.Sleep(12 * time.Second)
}

// resumeDuringOutage freezes an owner and resumes it long after its lease
// expired, while it can't reach the key-value service that its successor
// reaches.
func resumeDuringOutage(sim *simulation) {
	old := sim.owner()
	sim.ensureAtAllHosts("m0", 10*time.Second)
	old.setStoreUnreachable(true)
	sim.noteStoreFault()
	time.Sleep(2 * time.Second)
	// The load is in the old owner's queue when it freezes.
	go sim.ensureAndUse(old, "m1", "a", time.Minute, 0)
	old.freezeBeforeOrder()
	time.Sleep(30 * time.Second)
	for i := 2; i < 4; i++ {
		go sim.ensureAtAllHosts(testModel(i), 20*time.Second)
	}
	time.Sleep(8 * time.Second)
	old.resume()
	time.Sleep(10 * time.Second)
	old.setStoreUnreachable(false)
}

// delayOrderOfDeadOwner delivers an order that was sent during an outage of the
// key-value service after its owner died.
func delayOrderOfDeadOwner(sim *simulation) {
	e := sim.engines["e0"]
	sim.setStoreFaults(kvstore.Faults{Outage: true})
	time.Sleep(time.Second)
	e.update(func(e *fakeEngine) { e.orderDelay = 15 * time.Second })
	old := sim.owner()
	go sim.ensureAndUse(old, "m0", "a", 10*time.Second, 0)
	time.Sleep(1500 * time.Millisecond)
	old.kill()
	sim.setStoreFaults(kvstore.Faults{})
	e.update(func(e *fakeEngine) { e.orderDelay = 0 })
	time.Sleep(8 * time.Second)
	go sim.ensureAtAllHosts("m1", 40*time.Second)
	go sim.ensureAtAllHosts("m2", 40*time.Second)
	time.Sleep(45 * time.Second)
}

// freezeBeforeSending freezes an owner between the check of its lease and the
// sending of an order. The order is sent when the owner resumes.
func freezeBeforeSending(sim *simulation) {
	sim.setSendAfterTimeout()
	old := sim.owner()
	go sim.ensureAndUse(old, "m0", "a", 2*time.Minute, 0)
	old.freezeBeforeSend()
	time.Sleep(45 * time.Second)
	go sim.ensureAtAllHosts("m1", 40*time.Second)
	go sim.ensureAtAllHosts("m2", 40*time.Second)
	time.Sleep(20 * time.Second)
	old.resume()
	time.Sleep(time.Second)
}
