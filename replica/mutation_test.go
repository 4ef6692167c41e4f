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

// TestMutations runs scenarios with one mechanism switched off, where the
// violation must be found, and with it on, where none may be.
func TestMutations(t *testing.T) {
	for _, c := range []struct {
		name string
		off  mechanisms
		want string
		run  func(w *world)
	}{
		{"check of the hold before an order", mechanisms{noHoldCheck: true}, "memory overcommitted", wakeInOutage},
		{"reservation of memory that is not proved free", mechanisms{noReservation: true}, "memory overcommitted", burstOfModels},
		{"order horizon", mechanisms{noHorizon: true}, "memory overcommitted", lateOrderOfDeadOwner},
		{"record before order", mechanisms{noRecordFirst: true}, "memory overcommitted", frozenBeforeSending},
	} {
		t.Run(c.name, func(t *testing.T) {
			must.True(t, has(runScenario(t, c.off, c.run), c.want))
			must.SliceEmpty(t, runScenario(t, mechanisms{}, c.run))
		})
	}
}

func has(violations []string, want string) bool {
	return slices.ContainsFunc(violations, func(v string) bool { return strings.Contains(v, want) })
}

// runScenario runs a scenario on one engine with room for two models of three.
func runScenario(t *testing.T, off mechanisms, run func(w *world)) (violations []string) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, testConfig(1, 6), withOff(off), withQuiet(false))
		defer w.close()
		run(w)
		w.settle()
		violations = w.found()
	})
	return violations
}

// burstOfModels wants more models at once than there is memory for, while
// reports lag.
func burstOfModels(w *world) {
	w.engines["e0"].set(func(e *fakeEngine) { e.lag = 4 * time.Second })
	for i := range 4 {
		go w.askAll(testModel(i), 10*time.Second)
	}
	time.Sleep(12 * time.Second)
}

// wakeInOutage has an owner wake long after its pledges ran out, while it can't
// reach the store that its successor reaches.
func wakeInOutage(w *world) {
	old := w.owner()
	w.askAll("m0", 10*time.Second)
	old.setCutOff(true)
	w.noteOut()
	time.Sleep(2 * time.Second)
	// The want is in the old owner's line when it freezes.
	go w.ask(old, "m1", "a", time.Minute, 0)
	old.freezeBeforeOrder()
	time.Sleep(30 * time.Second)
	for i := 2; i < 4; i++ {
		go w.askAll(testModel(i), 20*time.Second)
	}
	time.Sleep(8 * time.Second)
	old.thaw()
	time.Sleep(10 * time.Second)
	old.setCutOff(false)
}

// lateOrderOfDeadOwner has an order of an outage arrive after its owner died.
func lateOrderOfDeadOwner(w *world) {
	e := w.engines["e0"]
	w.setStore(kvstore.Faults{Outage: true})
	time.Sleep(time.Second)
	e.set(func(e *fakeEngine) { e.orderDelay = 15 * time.Second })
	old := w.owner()
	go w.ask(old, "m0", "a", 10*time.Second, 0)
	time.Sleep(1500 * time.Millisecond)
	old.kill()
	w.setStore(kvstore.Faults{})
	e.set(func(e *fakeEngine) { e.orderDelay = 0 })
	time.Sleep(8 * time.Second)
	go w.askAll("m1", 40*time.Second)
	go w.askAll("m2", 40*time.Second)
	time.Sleep(45 * time.Second)
}

// frozenBeforeSending has an owner freeze between the check of its hold and the
// sending of an order, and send it when it wakes.
func frozenBeforeSending(w *world) {
	w.setLateSends()
	old := w.owner()
	go w.ask(old, "m0", "a", 2*time.Minute, 0)
	old.freezeBeforeSend()
	time.Sleep(45 * time.Second)
	go w.askAll("m1", 40*time.Second)
	go w.askAll("m2", 40*time.Second)
	time.Sleep(20 * time.Second)
	old.thaw()
	time.Sleep(time.Second)
}
