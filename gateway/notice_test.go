package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/platform/platformtest"
)

// An engine says in its answers that it leaves, and its registration never does. Hosts
// that haven't asked it either must learn of it, and its model is served by another one.
func TestEngineThatSaysItLeavesGetsNoRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t, config(1), 3)
	e := f.engines[0]
	e.Leave()
	must.Eq(t, http.StatusOK, f.call(f.hosts[0], "secret", "m0").status)
	time.Sleep(time.Second) // reports and views of all hosts
	before := e.LastRun()
	for range 3 {
		for _, h := range f.hosts {
			r := f.call(h, "secret", "m0")
			must.Eq(t, http.StatusOK, r.status)
			must.Eq(t, fullStream(r.id), r.body)
		}
	}
	must.Eq(t, before, e.LastRun())
}

// The only target of a pool turns a request away and asks for a pause. The request isn't
// lost, and the target gets nothing more from that host until the pause has ended.
func TestPausedTargetGetsNoRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t, config(1), 1)
	f.plain.TurnAway("1.5")
	time.AfterFunc(time.Second, func() { f.plain.TurnAway("") })
	sent := time.Now()
	r := f.send(f.hosts[0], platformtest.Call{Key: "secret"})
	must.Eq(t, http.StatusOK, r.status)
	must.GreaterEq(t, 1500*time.Millisecond, time.Since(sent))
	must.Eq(t, 1, f.plain.TurnedAway())
}
