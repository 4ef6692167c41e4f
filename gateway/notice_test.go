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

// Once a host has passed on that an engine leaves, nothing that binds callers or models to
// the engine brings it further requests or loads.
func TestLeavingEngineIsNotUsedAgain(t *testing.T) {
	t.Parallel()
	kept := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	t.Cleanup(kept.CloseIdleConnections)
	cases := []struct {
		name string
		// first makes the host learn of the notice, and then is done after that.
		first, then func(f *fleet, e *platformtest.Engine)
	}{
		{"callers on kept connections", func(f *fleet, _ *platformtest.Engine) {
			must.Eq(f.t, http.StatusOK, f.sendWith(kept, f.hosts[0], platformtest.Call{Key: "secret", Model: "m0"}).status)
		}, func(f *fleet, _ *platformtest.Engine) {
			for range 3 {
				must.Eq(f.t, http.StatusOK, f.sendWith(kept, f.hosts[0], platformtest.Call{Key: "secret", Model: "m0"}).status)
			}
		}},
		{"sessions", func(f *fleet, _ *platformtest.Engine) {
			must.Eq(f.t, http.StatusOK, f.send(f.hosts[0], platformtest.Call{Key: "secret", Model: "m0", Prefix: "shared:8,own:2"}).status)
		}, func(f *fleet, _ *platformtest.Engine) {
			for range 3 {
				must.Eq(f.t, http.StatusOK, f.send(f.hosts[0], platformtest.Call{Key: "secret", Model: "m0", Prefix: "shared:8,own:2"}).status)
			}
		}},
		{"resumption of a stream", func(*fleet, *platformtest.Engine) {}, func(f *fleet, e *platformtest.Engine) {
			// The host knows the notice once the response has begun.
			r := f.sendAnd(&http.Client{}, f.hosts[0], platformtest.Call{Key: "secret", Model: "m0"}, e.BreakOff)
			must.NoError(f.t, r.err)
			must.Eq(f.t, fullStream(r.id), r.body)
			must.Eq(f.t, 1, e.Runs()[r.id])
		}},
		{"loads", func(f *fleet, _ *platformtest.Engine) {
			must.Eq(f.t, http.StatusOK, f.call(f.hosts[0], "secret", "m0").status)
		}, func(f *fleet, e *platformtest.Engine) {
			time.Sleep(time.Second) // until the coordinator knows, and orders before that are done
			before, _ := e.Orders()
			for _, model := range models(12) {
				must.Eq(f.t, http.StatusOK, f.call(f.hosts[0], "secret", model).status)
			}
			after, _ := e.Orders()
			must.SliceLen(f.t, len(before), after)
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t, config(1), 1)
			e := f.engines[0] // the only one with m0
			e.Leave()
			tc.first(f, e)
			runs := len(e.Runs())
			tc.then(f, e)
			must.LessEq(t, max(1, runs), len(e.Runs()))
			f.checkOrders()
		})
	}
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

// Targets ask for a long pause. Once all that have a model do, a request for it is refused at
// once, although it waits, and its caller learns when to come back.
func TestWaitingRequestIsRefusedWhenHoldersPause(t *testing.T) {
	t.Parallel()
	f := newFleet(t, config(1), 1)
	for _, e := range f.engines {
		e.TurnAway("30")
	}
	for _, model := range []string{"m0", "m2", "m6"} { // the last has to be loaded first
		sent := time.Now()
		r := f.call(f.hosts[0], "secret", model)
		must.Eq(t, http.StatusServiceUnavailable, r.status)
		must.StrContains(t, r.body, "ask for a pause")
		must.Less(t, 4*time.Second, time.Since(sent)) // the caller would wait for eight
	}
	for _, e := range f.engines {
		must.LessEq(t, 1, e.TurnedAway())
	}
}
