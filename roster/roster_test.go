package roster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/boottime"
	"hawthornway/roster"
	"hawthornway/target"
)

func ids(targets []roster.Target) []target.ID {
	var out []target.ID
	for _, t := range targets {
		out = append(out, t.ID)
	}
	return out
}

func TestDrainingTargetsGetNoRequests(t *testing.T) {
	r := roster.New(boottime.NewFakeClock(1))
	r.Put(roster.Target{ID: "a", Pool: "p", Address: "10.0.0.1:1"})
	r.Put(roster.Target{ID: "b", Pool: "p", Address: "10.0.0.2:1"})
	r.Put(roster.Target{ID: "b", Pool: "p", Address: "10.0.0.2:1", Draining: true})
	r.Put(roster.Target{ID: "c", Pool: "q", Address: "10.0.0.3:1"})
	must.Eq(t, []target.ID{"a"}, ids(r.Ready("p")))
	must.Eq(t, []target.ID{"a", "b", "c"}, ids(r.All()))
}

func TestReusedAddressRemovesOlderTarget(t *testing.T) {
	r := roster.New(boottime.NewFakeClock(1))
	r.Put(roster.Target{ID: "old", Pool: "p", Address: "10.0.0.1:1", Revision: 1})
	r.Put(roster.Target{ID: "new", Pool: "q", Address: "10.0.0.1:1", Revision: 2})
	must.Eq(t, []target.ID{"new"}, ids(r.All()))
}

// Registrations that lapse during an outage of the store are renewed within two seconds
// after it if their targets still run. Until then, the targets must stay in the roster.
func TestLapsedRegistrations(t *testing.T) {
	cases := []struct {
		name     string
		outage   bool
		draining bool
		after    time.Duration
		renewed  bool
		want     bool
	}{
		{name: "removed without outage", want: false},
		{name: "lapsed during an outage", outage: true, after: 1900 * time.Millisecond, want: true},
		{name: "not renewed in time", outage: true, after: 2100 * time.Millisecond, want: false},
		{name: "renewed in time", outage: true, after: 5 * time.Second, renewed: true, want: true},
		{name: "draining", outage: true, draining: true, want: false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			clock := boottime.NewFakeClock(boottime.Instant(time.Hour))
			r := roster.New(clock)
			registered := roster.Target{ID: "a", Pool: "p", Address: "10.0.0.1:1", Draining: tc.draining}
			r.Put(registered)
			if tc.outage {
				r.StoreLost()
				clock.Advance(6 * time.Second)
				r.StoreRegained()
			}
			r.Remove("a", 0)
			if tc.renewed {
				r.Put(registered)
			}
			clock.Advance(tc.after)
			_, ok := r.Get("a")
			must.Eq(t, tc.want, ok)
			must.Eq(t, tc.want, len(r.All()) == 1)
		})
	}
}

func TestReplaceRemovesMissingTargets(t *testing.T) {
	r := roster.New(boottime.NewFakeClock(1))
	r.Put(roster.Target{ID: "a", Address: "10.0.0.1:1"})
	changed := r.Changed()
	r.Replace([]roster.Target{{ID: "b", Address: "10.0.0.2:1"}}, 0)
	must.Eq(t, []target.ID{"b"}, ids(r.All()))
	select {
	case <-changed:
	default:
		t.Fatal("the channel was not closed at the change")
	}
}

// The lists are cached between changes, but a lapsed registration expires without a
// change.
func TestLapsedRegistrationExpiresFromLists(t *testing.T) {
	clock := boottime.NewFakeClock(boottime.Instant(time.Hour))
	r := roster.New(clock)
	r.Put(roster.Target{ID: "a", Pool: "p", Address: "10.0.0.1:1"})
	r.Put(roster.Target{ID: "b", Pool: "p", Address: "10.0.0.2:1"})
	r.StoreLost()
	r.StoreRegained()
	r.Remove("a", 0)
	must.Eq(t, []target.ID{"a", "b"}, ids(r.Ready("p")))
	clock.Advance(1900 * time.Millisecond)
	must.Eq(t, []target.ID{"a", "b"}, ids(r.Ready("p")))
	clock.Advance(200 * time.Millisecond)
	must.Eq(t, []target.ID{"b"}, ids(r.Ready("p")))
	must.Eq(t, []target.ID{"b"}, ids(r.All()))
}

func manyTargets(n int) []roster.Target {
	var targets []roster.Target
	for i := range n {
		targets = append(targets, roster.Target{
			ID: target.ID(fmt.Sprintf("i-%05d", i)), Pool: "p", Address: fmt.Sprintf("10.0.%d.%d:1", i/200, i%200), Revision: int64(i),
		})
	}
	return targets
}

// BenchmarkReplace measures applying a list of 3,000 registrations, and BenchmarkReady
// the lookup of targets for a request.
func BenchmarkReplace(b *testing.B) {
	targets := manyTargets(3000)
	r := roster.New(boottime.SystemClock{})
	for b.Loop() {
		r.Replace(targets, 0)
	}
}

func BenchmarkReady(b *testing.B) {
	r := roster.New(boottime.SystemClock{})
	r.Replace(manyTargets(3000), 0)
	for b.Loop() {
		_ = r.Ready("p")
	}
}

// Models set by SetModels apply to one start of an engine only.
func TestSetModelsAppliesToOneStart(t *testing.T) {
	r := roster.New(boottime.NewFakeClock(1))
	r.Put(roster.Target{ID: "a", Pool: "p", Address: "10.0.0.1:1", Start: 5})
	before := r.Digests()
	r.SetModels("a", 4, []roster.Resident{{Model: "m"}})
	must.Eq(t, before, r.Digests())
	r.SetModels("a", 5, []roster.Resident{{Model: "m"}})
	must.True(t, r.Ready("p")[0].Holdings.Has("m", ""))
	must.NotEq(t, before, r.Digests())
	r.Put(roster.Target{ID: "a", Pool: "p", Address: "10.0.0.1:1", Start: 6})
	must.False(t, r.Ready("p")[0].Holdings.Has("m", ""))
}

// Guards against rosters that count as equal although the target that both know is about to
// expire in one of them.
func TestLapsedTargetsAreNotInDigests(t *testing.T) {
	r := roster.New(boottime.NewFakeClock(boottime.Instant(time.Hour)))
	r.Put(roster.Target{ID: "a", Pool: "p", Address: "10.0.0.1:1"})
	without := r.Digests()
	b := roster.Target{ID: "b", Pool: "p", Address: "10.0.0.2:1"}
	r.Put(b)
	with := r.Digests()
	r.StoreLost()
	r.StoreRegained()
	r.Remove("b", 0)
	must.Eq(t, 1, r.Lapses())
	must.Eq(t, without, r.Digests())
	r.Put(b)
	must.Eq(t, with, r.Digests())
}

// Guards against a host that relies on another one for the store's state after an outage, and
// takes what is removed long after that for a lapse.
func TestRelayedStateEndsAnOutage(t *testing.T) {
	const lostAt = boottime.Instant(time.Hour)
	cases := []struct {
		name string
		// confirmed is the instant as of which the state was relayed.
		confirmed boottime.Instant
		left      int
	}{
		{"relayed after the outage", lostAt.Add(time.Second), 0},
		{"relayed before the outage", lostAt.Add(-time.Second), 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			clock := boottime.NewFakeClock(lostAt)
			r := roster.New(clock)
			r.Put(roster.Target{ID: "a", Pool: "p", Address: "10.0.0.1:1"})
			r.StoreLost()
			clock.Advance(2 * time.Second)
			r.StoreLost() // each failed call
			r.StoreRelayed(tc.confirmed)
			clock.Advance(5 * time.Second)
			r.StoreRegained()
			r.Remove("a", 0)
			must.SliceLen(t, tc.left, r.All())
		})
	}
}
