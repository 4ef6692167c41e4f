package config

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"

	"hawthornway/boottime"
	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/outdated"
	"hawthornway/peer"
	"hawthornway/peer/peertest"
	"hawthornway/standin/kvstore"
)

// fixture runs the stores of several hosts on one key-value service.
type fixture struct {
	t       *testing.T
	kv      *kvstore.Store
	network *peertest.Network
}

func newFixture(t *testing.T) *fixture {
	// A single processor makes a seed reproducible. It also avoids a crash of
	// the race detector with the timers of a synctest bubble in Go 1.26.
	before := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(before) })
	return &fixture{t, kvstore.New(), peertest.NewNetwork(1)}
}

func (f *fixture) start(domain fleet.DomainID, host fleet.HostID) *Store {
	mesh := f.network.Join(fleet.Member{Host: host, Domain: domain, Incarnation: 1})
	s := NewStore(f.kv, mesh, WithBootClock(bubbleClock{}), WithLogger(slog.New(slog.NewTextHandler(io.Discard, nil))))
	ctx, cancel := context.WithCancel(f.t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = s.Run(ctx) })
	f.t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return s
}

func domainFile(name string) File {
	return File{name + ".yaml", []byte("domains: [{name: " + name + "}]")}
}

func submission(base Revision, change ChangeID, names ...string) Submission {
	s := Submission{Base: base, Change: change, Author: Author("by-" + change)}
	for _, name := range names {
		s.Files = append(s.Files, domainFile(name))
	}
	return s
}

// advance lets the hosts run for a duration of the synctest bubble's time.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func TestApplyReachesAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		var hosts []*Store
		for i := range 6 {
			hosts = append(hosts, f.start(fleet.DomainID(fmt.Sprint("d", i%2)), fleet.HostID(fmt.Sprint("h", i))))
		}
		advance(time.Second)
		_, err := hosts[5].Apply(t.Context(), submission(0, "c1", "a"))
		must.NoError(t, err)
		advance(100 * time.Millisecond)
		for _, h := range hosts {
			must.EqOp(t, 1, h.Current().Revision())
		}
		before := f.kv.Counts().Watches
		advance(10 * time.Minute)
		for _, h := range hosts {
			must.Less(t, maxConfirmationAge, h.Age())
		}
		watchWait := kvstore.DefaultWatchWait
		maxWatches := int64(2*watchersPerDomain) * int64(10*time.Minute/watchWait+1)
		must.LessEq(t, maxWatches, f.kv.Counts().Watches-before)
	})
}

func TestApplyWithLostResponses(t *testing.T) {
	cases := []struct {
		name   string
		faults kvstore.Faults
	}{
		{"after effect", kvstore.Faults{LoseResponses: 2}},
		{"before or after effect", kvstore.Faults{LoseResponses: 5, Seed: 7}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				s := f.start("a", "h")
				advance(time.Second)
				f.kv.SetFaults(tc.faults)
				first, err := s.Apply(t.Context(), submission(0, "c1", "a"))
				must.NoError(t, err)
				must.EqOp(t, 1, first.Revision)
				again, err := s.Apply(t.Context(), submission(0, "c1", "a"))
				must.NoError(t, err)
				must.Eq(t, first.Content, again.Content)
				must.Len(t, 1, s.History())
				_, err = s.Apply(t.Context(), submission(1, "c1", "b"))
				must.ErrorContains(t, err, "was used for another change")
			})
		})
	}
}

func TestApplyInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		s := f.start("a", "h")
		advance(time.Second)
		f.kv.SetFaults(kvstore.Faults{Outage: true})
		_, err := s.Apply(t.Context(), submission(0, "c1", "a"))
		must.ErrorIs(t, err, keyvalue.ErrUnavailable)

		f.kv.SetFaults(kvstore.Faults{Delay: 700 * time.Millisecond})
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		defer cancel()
		_, err = s.Apply(ctx, submission(0, "c2", "a"))
		must.ErrorIs(t, err, ErrUnknown)
		must.False(t, errors.Is(err, keyvalue.ErrUnavailable))
		f.kv.SetFaults(kvstore.Faults{})
		got, err := s.Apply(t.Context(), submission(0, "c2", "a"))
		must.NoError(t, err)
		must.EqOp(t, 1, got.Revision)
	})
}

func TestConflictNamesTheOtherChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		first, second := f.start("a", "h1"), f.start("b", "h2")
		advance(time.Second)
		_, err := first.Apply(t.Context(), submission(0, "c1", "a", "b", "c"))
		must.NoError(t, err)
		_, err = first.Apply(t.Context(), submission(1, "c2", "a", "c"))
		must.NoError(t, err)
		_, err = second.Apply(t.Context(), submission(1, "c3", "a", "b", "c", "mine"))
		var conflict *ConflictError
		must.True(t, errors.As(err, &conflict))
		must.EqOp(t, 2, conflict.Current)
		must.Len(t, 1, conflict.Files)
		must.EqOp(t, "b.yaml", conflict.Files[0].File)
		must.EqOp(t, "by-c2", conflict.Files[0].Author)
		must.Eq(t, []Change{{Change: Removed, Kind: KindDomain, Name: "b"}}, conflict.Files[0].Differences)
	})
}

func TestStartDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		ahead, behind := f.start("a", "h1"), f.start("a", "h2")
		advance(time.Second)
		_, err := ahead.Apply(t.Context(), submission(0, "c1", "a"))
		must.NoError(t, err)
		advance(time.Second)
		f.network.Cut("h1", "h2")
		f.kv.SetFaults(kvstore.Faults{Outage: true})
		advance(time.Second)
		f.kv.SetFaults(kvstore.Faults{})
		_, err = ahead.Apply(t.Context(), submission(1, "c2", "b"))
		must.NoError(t, err)
		f.kv.SetFaults(kvstore.Faults{Outage: true})
		must.EqOp(t, 1, behind.Current().Revision())

		fresh := f.start("b", "h3")
		advance(3 * time.Second)
		must.EqOp(t, 2, fresh.Current().Revision())
		must.Less(t, time.Minute, fresh.Age())
		advance(time.Minute)
		must.GreaterEq(t, time.Minute, fresh.Age())
		// The stale peer takes the newer revision instead of spreading its own.
		must.EqOp(t, 2, behind.Current().Revision())
		must.EqOp(t, 2, ahead.Current().Revision())
	})
}

func TestOlderRevisionIsNotInstalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		s := f.start("a", "h1")
		advance(time.Second)
		for i := range 3 {
			_, err := s.Apply(t.Context(), submission(Revision(i), ChangeID(fmt.Sprint("c", i)), "a", fmt.Sprint("x", i)))
			must.NoError(t, err)
		}
		old, _ := s.installed()
		old.Revision = 2
		must.NoError(t, s.install(old, [][]byte{ignoreError(newContent(s.Current().files)).parts[0]}))
		must.EqOp(t, 3, s.Current().Revision())
	})
}

func TestUnusedPartsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		s := f.start("a", "h1")
		advance(time.Second)
		for i, name := range []string{"a", "b", "a", "c", "a"} {
			_, err := s.Apply(t.Context(), submission(Revision(i), ChangeID(fmt.Sprint("c", i)), name))
			must.NoError(t, err)
		}
		entries, _, err := f.kv.List(t.Context(), partPrefix)
		must.NoError(t, err)
		must.Len(t, 1, entries)
		must.EqOp(t, partPrefix+string(s.head.Parts[0]), entries[0].Key)
	})
}

// TestPartNeededAgain applies older content again while the removal of its part
// from that earlier revision is still on its way. The late removal must not
// delete the part that the new head needs.
func TestPartNeededAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		s := f.start("a", "h1")
		advance(time.Second)
		apply := func(base Revision, name string) head {
			_, err := s.Apply(t.Context(), submission(base, ChangeID(fmt.Sprint("c", base)), name))
			must.NoError(t, err)
			h, _ := s.installed()
			return h
		}
		first := apply(0, "a")
		late, err := f.kv.Get(t.Context(), partPrefix+string(first.Parts[0]))
		must.NoError(t, err)
		apply(1, "b")
		_, err = f.kv.Swap(t.Context(), late.Key, 0, late.Value)
		must.NoError(t, err)
		stale, err := f.kv.Get(t.Context(), late.Key)
		must.NoError(t, err)
		apply(2, "a")
		s.removeParts(t.Context(), []keyvalue.Entry{late, stale})
		_, err = f.kv.Get(t.Context(), late.Key)
		must.NoError(t, err)
	})
}

// ignoreError returns the first of two results.
func ignoreError[V any](v V, _ error) V { return v }

// headModel is the sequential specification of the head: a register that an
// apply raises by one if it is still at the base that the apply names.
var headModel = porcupine.Model{
	Init: func() any { return Revision(0) },
	Step: func(state, input, output any) (bool, any) {
		current, base, got := state.(Revision), input.(Revision), output.(applied)
		if got.revision == 0 {
			return current != base, current
		}
		return current == base && got.revision == base+1, got.revision
	},
	Equal: func(a, b any) bool { return a == b },
}

type applied struct {
	// revision is zero for a conflict.
	revision Revision
}

func TestConcurrentApplies(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runConcurrentApplies(t, seed) })
		})
	}
}

func runConcurrentApplies(t *testing.T, seed uint64) {
	f := newFixture(t)
	hosts := []*Store{f.start("a", "h1"), f.start("b", "h2"), f.start("c", "h3")}
	advance(time.Second)
	f.kv.SetFaults(kvstore.Faults{LoseResponses: 30, Seed: seed + 1, Delay: 10 * time.Millisecond})
	var mu sync.Mutex
	var history []porcupine.Operation
	accepted := map[ChangeID]Revision{}
	var operators sync.WaitGroup
	for id, host := range hosts {
		operators.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(id)))
			for i := range 8 {
				var base Revision
				if snapshot := host.Current(); snapshot != nil {
					base = snapshot.Revision()
				}
				began := time.Now()
				s := submission(base, ChangeID(fmt.Sprintf("c%d-%d", id, i)), fmt.Sprintf("d%d-%d", id, i))
				got, err := host.Apply(t.Context(), s)
				var conflict *ConflictError
				must.True(t, err == nil || errors.As(err, &conflict))
				mu.Lock()
				if err == nil {
					accepted[s.Change] = got.Revision
				}
				history = append(history, porcupine.Operation{
					ClientId: id, Input: base, Output: applied{got.Revision},
					Call: began.UnixNano(), Return: time.Now().UnixNano(),
				})
				mu.Unlock()
				time.Sleep(time.Duration(random.IntN(50)) * time.Millisecond)
			}
		})
	}
	operators.Wait()
	must.True(t, porcupine.CheckOperations(headModel, history))
	advance(5 * time.Second)
	// The history has exactly the changes that were reported as accepted.
	installed := map[ChangeID]Revision{}
	for _, a := range hosts[0].History() {
		installed[a.Change] = a.Revision
	}
	must.Eq(t, accepted, installed)
	// A host without peers can read all parts of the head from the key-value
	// service.
	f.kv.SetFaults(kvstore.Faults{})
	f.network = peertest.NewNetwork(2)
	hosts = append(hosts, f.start("d", "h4"))
	advance(time.Second)
	newest := slices.MaxFunc(hosts, func(a, b *Store) int { return int(a.Current().Revision()) - int(b.Current().Revision()) })
	for _, host := range hosts {
		must.EqOp(t, newest.Current().Revision(), host.Current().Revision())
		must.Eq(t, newest.Current().files, host.Current().files)
	}
}

// bubbleClock is the boot clock of a synctest bubble.
type bubbleClock struct{}

func (bubbleClock) Now() boottime.Instant { return boottime.Instant(time.Now().UnixNano()) }

// Guards against a host that goes on with its revision for ever although its peers have told it
// of a newer one, whose parts it can't fetch.
func TestHostKnowsThatItsRevisionIsOutdated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		first := f.start("d1", "h1")
		advance(time.Second)
		_, err := first.Apply(t.Context(), submission(0, "c1", "a"))
		must.NoError(t, err)
		advance(time.Second)
		must.Eq(t, outdated.Newest, first.State())
		other := fleet.Member{Host: "h2", Domain: "d1"}
		notice, err := peer.Encode(headNotice{Revision: 2, ConfirmedAgeMS: 0})
		must.NoError(t, err)
		_, err = first.handleNotice(t.Context(), other, notice)
		must.NoError(t, err)
		must.Eq(t, outdated.Pending, first.State())
		advance(MaxActivationDelay)
		must.Eq(t, outdated.Overdue, first.State())
		_, err = first.Apply(t.Context(), submission(1, "c2", "a", "b"))
		must.NoError(t, err)
		must.Eq(t, outdated.Newest, first.State())
	})
}
