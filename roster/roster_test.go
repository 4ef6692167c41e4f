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

func TestLeavingTargetsGetNoRequests(t *testing.T) {
	r := roster.New(boottime.NewFakeClock(1))
	r.Put(roster.Target{ID: "a", Pool: "p", Address: "10.0.0.1:1"})
	r.Put(roster.Target{ID: "b", Pool: "p", Address: "10.0.0.2:1"})
	r.Put(roster.Target{ID: "b", Pool: "p", Address: "10.0.0.2:1", Draining: true})
	r.Put(roster.Target{ID: "c", Pool: "q", Address: "10.0.0.3:1"})
	must.Eq(t, []target.ID{"a"}, ids(r.Ready("p")))
	must.Eq(t, []target.ID{"a", "b", "c"}, ids(r.All()))
}

func TestAnAddressThatIsUsedAgainEndsItsOlderTarget(t *testing.T) {
	r := roster.New(boottime.NewFakeClock(1))
	r.Put(roster.Target{ID: "old", Pool: "p", Address: "10.0.0.1:1", Revision: 1})
	r.Put(roster.Target{ID: "new", Pool: "q", Address: "10.0.0.1:1", Revision: 2})
	must.Eq(t, []target.ID{"new"}, ids(r.All()))
}

// Registrations lapse while the store is away, and come back within two seconds
// of its return if their targets live.
func TestLapsedRegistrations(t *testing.T) {
	cases := []struct {
		name    string
		outage  bool
		leaving bool
		after   time.Duration
		back    bool
		want    bool
	}{
		{name: "removed in calm", want: false},
		{name: "lapsed in an outage", outage: true, after: 1900 * time.Millisecond, want: true},
		{name: "not back in time", outage: true, after: 2100 * time.Millisecond, want: false},
		{name: "back in time", outage: true, after: 5 * time.Second, back: true, want: true},
		{name: "was leaving", outage: true, leaving: true, want: false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			clock := boottime.NewFakeClock(boottime.Instant(time.Hour))
			r := roster.New(clock)
			entry := roster.Target{ID: "a", Pool: "p", Address: "10.0.0.1:1", Draining: tc.leaving}
			r.Put(entry)
			if tc.outage {
				r.StoreLost()
				clock.Advance(6 * time.Second)
				r.StoreRegained()
			}
			r.Remove("a")
			if tc.back {
				r.Put(entry)
			}
			clock.Advance(tc.after)
			_, ok := r.Get("a")
			must.Eq(t, tc.want, ok)
			must.Eq(t, tc.want, len(r.All()) == 1)
		})
	}
}

func TestReplaceRemovesWhatIsMissing(t *testing.T) {
	r := roster.New(boottime.NewFakeClock(1))
	r.Put(roster.Target{ID: "a", Address: "10.0.0.1:1"})
	changed := r.Changed()
	r.Replace([]roster.Target{{ID: "b", Address: "10.0.0.2:1"}})
	must.Eq(t, []target.ID{"b"}, ids(r.All()))
	select {
	case <-changed:
	default:
		t.Fatal("the change was not told")
	}
}

// The lists are kept between changes; a lapsed registration ends without one.
func TestListsEndWithALapsedRegistration(t *testing.T) {
	clock := boottime.NewFakeClock(boottime.Instant(time.Hour))
	r := roster.New(clock)
	r.Put(roster.Target{ID: "a", Pool: "p", Address: "10.0.0.1:1"})
	r.Put(roster.Target{ID: "b", Pool: "p", Address: "10.0.0.2:1"})
	r.StoreLost()
	r.StoreRegained()
	r.Remove("a")
	must.Eq(t, []target.ID{"a", "b"}, ids(r.Ready("p")))
	clock.Advance(1900 * time.Millisecond)
	must.Eq(t, []target.ID{"a", "b"}, ids(r.Ready("p")))
	clock.Advance(200 * time.Millisecond)
	must.Eq(t, []target.ID{"b"}, ids(r.Ready("p")))
	must.Eq(t, []target.ID{"b"}, ids(r.All()))
}

func large(n int) []roster.Target {
	var targets []roster.Target
	for i := range n {
		targets = append(targets, roster.Target{
			ID: target.ID(fmt.Sprintf("i-%05d", i)), Pool: "p", Address: fmt.Sprintf("10.0.%d.%d:1", i/200, i%200), Revision: int64(i),
		})
	}
	return targets
}

// BenchmarkReplace reads a list of 3,000 registrations, and BenchmarkReady looks
// for targets as each request does.
func BenchmarkReplace(b *testing.B) {
	targets := large(3000)
	r := roster.New(boottime.SystemClock{})
	for b.Loop() {
		r.Replace(targets)
	}
}

func BenchmarkReady(b *testing.B) {
	r := roster.New(boottime.SystemClock{})
	r.Replace(large(3000))
	for b.Loop() {
		_ = r.Ready("p")
	}
}

// What an engine holds by a newer word goes with its start only.
func TestHoldIsOfOneStart(t *testing.T) {
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
