package coordinator

import (
	"cmp"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/boottime"
	"hawthornway/catalog"
	"hawthornway/keyvalue"
	"hawthornway/peer"
	"hawthornway/roster"
	"hawthornway/target"
)

// lapsingFleet is a coordinator and a host that follows it, with the rosters of both.
type lapsingFleet struct {
	*followed
	clock *boottime.FakeClock
	host  rosterReceiver
}

// newLapsingFleet returns a fleet in which both know the targets i-0 to i-2, as of revision 10.
func newLapsingFleet(t *testing.T) *lapsingFleet {
	clock := boottime.NewFakeClock(boottime.Instant(time.Hour))
	f := &lapsingFleet{followed: newFollowed(), clock: clock}
	f.host = rosterReceiver{f.receiver, roster.New(clock)}
	f.client.receiver = f.host
	f.read = 10
	f.lead(roster.New(clock))
	for i := range 3 {
		f.roster.Put(newRegistered(i, 1))
	}
	f.announce()
	f.report(t)
	must.SliceLen(t, 3, f.host.All())
	return f
}

// lead begins a term of a coordinator with a roster.
func (f *lapsingFleet) lead(r *roster.Roster) {
	f.fence++
	f.roster = r
	f.coordinator = New(WithMesh(peer.New()), WithRoster(r), WithTerms(termOf(f.fence)), WithBootClock(f.clock),
		WithCatalogs(func() *catalog.Catalog { return nil }), WithLogger(slog.New(slog.DiscardHandler)),
		WithReadRevision(func() keyvalue.Revision { return f.read }))
	f.coordinator.deliverLocal = func(view wireView) { f.client.applyView(view, 0) }
	f.coordinator.beginTerm(f.fence)
}

// endOutage ends an outage of the store at a roster.
func (f *lapsingFleet) endOutage(r *roster.Roster) {
	r.StoreLost()
	f.clock.Advance(5 * time.Second)
	r.StoreRegained()
}

func names(targets []roster.Target) []target.ID {
	var ids []target.ID
	for _, t := range targets {
		ids = append(ids, t.ID)
	}
	return ids
}

// Guards against a target whose registration ended during an outage, which the coordinator keeps
// for a while in case it is renewed: hosts took it for renewed, and used it for good once that
// coordinator had lost its term (DRAIN; requests failed for tens of seconds).
func TestLapsedTargetsStayGone(t *testing.T) {
	cases := []struct {
		name string
		// lapse is what happens as i-1 lapses at the coordinator, with revision 11.
		lapse func(t *testing.T, f *lapsingFleet)
		// known and later are what the host uses at once and after the time to renew.
		known, later []target.ID
	}{
		{
			"the host learns of it from the coordinator",
			func(*testing.T, *lapsingFleet) {},
			[]target.ID{"i-0", "i-1", "i-2"},
			[]target.ID{"i-0", "i-2"},
		},
		{
			"the host has read the removal itself",
			func(_ *testing.T, f *lapsingFleet) {
				f.host.Remove("i-1", 11)
				f.read = 12
			},
			[]target.ID{"i-0", "i-2"},
			[]target.ID{"i-0", "i-2"},
		},
		{
			"it lapses at the host too",
			func(_ *testing.T, f *lapsingFleet) {
				f.host.StoreLost()
				f.host.StoreRegained()
				f.host.Remove("i-1", 11)
			},
			[]target.ID{"i-0", "i-1", "i-2"},
			[]target.ID{"i-0", "i-2"},
		},
		{
			"the host knows nothing yet",
			func(_ *testing.T, f *lapsingFleet) {
				f.host.Roster = roster.New(f.clock)
				f.client.receiver = f.host
				f.client.version = 0
			},
			[]target.ID{"i-0", "i-1", "i-2"},
			[]target.ID{"i-0", "i-2"},
		},
		{
			"it is renewed",
			func(_ *testing.T, f *lapsingFleet) {
				f.announce()
				renewed := newRegistered(1, 1)
				renewed.Revision, f.read = 12, 12
				f.roster.Put(renewed)
			},
			[]target.ID{"i-0", "i-1", "i-2"},
			[]target.ID{"i-0", "i-1", "i-2"},
		},
		{
			"the store is away again",
			func(_ *testing.T, f *lapsingFleet) { f.roster.StoreLost() },
			[]target.ID{"i-0", "i-1", "i-2"},
			[]target.ID{"i-0", "i-1", "i-2"},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newLapsingFleet(t)
			f.endOutage(f.roster)
			f.roster.Remove("i-1", 11)
			f.read = 11
			tc.lapse(t, f)
			for range 3 {
				f.announce()
				f.report(t)
			}
			must.Eq(t, tc.known, names(f.host.All()))
			// The term ends before the time to renew is over, and the host follows none.
			f.clock.Advance(3 * time.Second)
			must.Eq(t, tc.later, names(f.host.All()))
		})
	}
}

// Guards against targets that lapse, and are dropped by all hosts while the store is away again
// and can't be asked to renew them.
func TestLapsedTargetsHaveTimeAfterTheReturn(t *testing.T) {
	f := newLapsingFleet(t)
	f.endOutage(f.roster)
	f.roster.Remove("i-1", 11)
	f.roster.StoreLost()
	f.announce()
	f.clock.Advance(time.Minute)
	must.Eq(t, []target.ID{"i-0", "i-1", "i-2"}, names(f.host.All()))
	f.roster.StoreRegained()
	f.announce()
	f.clock.Advance(1900 * time.Millisecond)
	must.Eq(t, []target.ID{"i-0", "i-1", "i-2"}, names(f.host.All()))
	f.clock.Advance(200 * time.Millisecond)
	must.Eq(t, []target.ID{"i-0", "i-2"}, names(f.host.All()))
	must.Eq(t, []target.ID{"i-0", "i-2"}, names(f.roster.All()))
}

// A host reads the store or follows one of two others that lead by turns, through outages in which
// registrations end. Whatever the order, all have the store's targets once the time to renew is over.
func TestLapsesConvergeOverTerms(t *testing.T) {
	for seed := range uint64(400) {
		random := rand.New(rand.NewPCG(seed, 11))
		f := newLapsingFleet(t)
		other := roster.New(f.clock)
		other.Replace(f.roster.All(), 10)
		hosts := []*roster.Roster{f.host.Roster, f.roster, other}
		read := []keyvalue.Revision{10, 10, 10}
		stored := map[target.ID]roster.Target{}
		for i := range 3 {
			stored[newRegistered(i, 1).ID] = newRegistered(i, 1)
		}
		var history []storeChange
		follow := func(i int) {
			for _, change := range history {
				if change.revision > read[i] {
					change.apply(hosts[i])
				}
			}
			read[i] = 10 + keyvalue.Revision(len(history))
			f.read = read[1]
		}
		for range 60 {
			switch random.IntN(7) {
			case 0:
				changed := newRegistered(random.IntN(3), 1)
				revision := 11 + keyvalue.Revision(len(history))
				changed.Revision = int64(revision)
				_, removed := stored[changed.ID]
				history = append(history, storeChange{changed, revision, removed})
				stored[changed.ID] = changed
				if removed {
					delete(stored, changed.ID)
				}
			case 1:
				hosts[random.IntN(3)].StoreLost()
			case 2, 3:
				i := random.IntN(3)
				hosts[i].StoreRegained()
				follow(i)
			case 4:
				f.clock.Advance(time.Duration(random.IntN(1500)) * time.Millisecond)
			case 5:
				f.announce()
				f.report(t)
				// The host goes on from the revision up to which the coordinator has told it.
				read[0] = max(read[0], f.read)
			case 6:
				if random.IntN(3) == 0 {
					hosts[1], hosts[2], read[1], read[2] = hosts[2], hosts[1], read[2], read[1]
					f.read = read[1]
					f.lead(hosts[1])
				}
			}
		}
		for i := range hosts {
			hosts[i].StoreRegained()
			follow(i)
		}
		f.clock.Advance(5 * time.Second)
		for range 4 {
			_ = f.host.All() // what has lapsed expires as the list is read
			f.announce()
			f.report(t)
		}
		for i := range hosts {
			want := names(slices.SortedFunc(maps.Values(stored), func(a, b roster.Target) int { return cmp.Compare(a.ID, b.ID) }))
			must.Eq(t, want, names(hosts[i].All()), must.Sprint("seed ", seed, " host ", i))
		}
	}
}
