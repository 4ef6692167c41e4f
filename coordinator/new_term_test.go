package coordinator

import (
	"fmt"
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

// followingReceiver is the receiver of a host that follows a coordinator. It records the last
// confirmation.
type followingReceiver struct {
	*recordingReceiver
	confirmedAt boottime.Instant
	relayed     keyvalue.Revision
}

func (r *followingReceiver) Digests() roster.Digests {
	digests := roster.Digests{}
	for _, t := range r.targets {
		digests[roster.BucketOf(t.ID)] ^= t.Digest()
	}
	return digests
}

func (r *followingReceiver) ConfirmCurrent(_ catalog.Version, relayed keyvalue.Revision, at boottime.Instant) {
	r.relayed = max(r.relayed, relayed)
	if at != 0 {
		r.confirmedAt = at
	}
}

// followed is a host's client and the coordinator that it follows, without a network.
type followed struct {
	receiver    *followingReceiver
	client      *Client
	coordinator *Coordinator
	roster      *roster.Roster
	fence       target.Fence
	// read is the revision up to which the coordinator has read the store.
	read keyvalue.Revision
}

func newFollowed() *followed {
	recording, client := newRecordingClient()
	f := &followed{receiver: &followingReceiver{recordingReceiver: recording}, client: client}
	client.receiver = f.receiver
	return f
}

// elect starts the process of another coordinator, which has read the targets from the store.
// Its broadcasts reach the host if delivered reports so.
func (f *followed) elect(stored map[target.ID]roster.Target, delivered func() bool) {
	f.fence++
	f.roster = roster.New(boottime.NewFakeClock(1))
	for _, t := range stored {
		f.roster.Put(t)
	}
	f.coordinator = New(WithMesh(peer.New()), WithRoster(f.roster), WithTerms(termOf(f.fence)),
		WithCatalogs(func() *catalog.Catalog { return nil }), WithLogger(slog.New(slog.DiscardHandler)),
		WithReadRevision(func() keyvalue.Revision { return max(f.read, keyvalue.Revision(f.fence)) }))
	f.coordinator.deliverLocal = func(view wireView) {
		if delivered() {
			f.client.applyView(view, 0)
		}
	}
	f.coordinator.beginTerm(f.fence)
}

// termOf is an endless term with a fence.
type termOf target.Fence

func (f termOf) Term() (target.Fence, bool, bool) { return target.Fence(f), true, true }
func (termOf) OrderDelay() time.Duration          { return 0 }
func (termOf) FirstTerm() bool                    { return false }

// announce broadcasts what has changed.
func (f *followed) announce() { f.coordinator.announce(catalog.New(catalog.Content{Version: 1})) }

// report sends a report of the host and applies the answer.
func (f *followed) report(t *testing.T) {
	report := wireReport{Since: f.client.version, Fence: f.client.fence}
	covered := f.client.addDigests(&report)
	view, err := f.coordinator.report("h", report)
	must.NoError(t, err)
	f.client.applyAnswer(view, 1, covered)
}

func newRegistered(number int, start roster.StartID) roster.Target {
	return roster.Target{ID: target.ID(fmt.Sprint("i-", number)), Start: start, Pool: "p", Address: fmt.Sprintf("10.0.0.%d:80", number), Domain: "z", Slots: 1, Revision: int64(start)}
}

func starts(targets map[target.ID]roster.Target) map[target.ID]roster.StartID {
	starts := map[target.ID]roster.StartID{}
	for id, t := range targets {
		starts[id] = t.Start
	}
	return starts
}

// Guards against a target that leaves while the coordinator's process starts again, and stays
// in use at hosts that connect before the new process has read the targets.
func TestTargetsThatLeftDuringRestartAreDropped(t *testing.T) {
	cases := []struct {
		name string
		// first is what the host gets of the new term: its first broadcast, or the answer to
		// a report.
		first func(*testing.T, *followed)
	}{
		{"broadcast first", func(_ *testing.T, f *followed) { f.announce() }},
		{"report before the first broadcast", func(t *testing.T, f *followed) {
			f.report(t)
			f.announce()
		}},
		{"report with the digests of before", func(t *testing.T, f *followed) {
			f.announce()
			f.report(t)
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			always := func() bool { return true }
			f := newFollowed()
			stored := map[target.ID]roster.Target{}
			for i := range 10 {
				stored[newRegistered(i, 1).ID] = newRegistered(i, 1)
			}
			f.elect(stored, always)
			f.announce()
			f.report(t)
			f.report(t)
			must.MapLen(t, 10, f.receiver.targets)
			delete(stored, "i-3")
			f.elect(stored, always)
			tc.first(t, f)
			f.report(t)
			f.report(t)
			must.Eq(t, starts(stored), starts(f.receiver.targets))
		})
	}
}

// rosterReceiver is the receiver of a host that keeps its targets in a roster, in which
// registrations lapse after an outage of the store.
type rosterReceiver struct {
	*followingReceiver
	*roster.Roster
}

func (r rosterReceiver) UpdateEvacuations(e roster.Evacuations) { r.SetEvacuations(e, 0) }
func (r rosterReceiver) UpdateTargets(changes roster.Changes)   { r.Update(changes) }

func (r rosterReceiver) Digests() roster.Digests { return r.Roster.Digests() }
func (r rosterReceiver) Lapses() int             { return r.Roster.Lapses() }

func (r rosterReceiver) StoreChanges() (int, keyvalue.Revision) { return r.Roster.StoreChanges() }

func (r rosterReceiver) SetModels(id target.ID, start roster.StartID, models []roster.Resident) {
	r.Roster.SetModels(id, start, models)
}

// Guards against a host that reads an outage's removals from the store, and then relies on a
// coordinator that knows of renewals: what lapsed at the host expired there although it was
// registered again.
func TestLapsedTargetsAreComparedWithTheCoordinator(t *testing.T) {
	for _, newTerm := range []bool{false, true} {
		t.Run(fmt.Sprint("new term ", newTerm), func(t *testing.T) {
			lost := false
			delivered := func() bool { return !lost }
			f := newFollowed()
			clock := boottime.NewFakeClock(boottime.Instant(time.Hour))
			host := rosterReceiver{f.receiver, roster.New(clock)}
			f.client.receiver = host
			stored := map[target.ID]roster.Target{}
			for i := range 10 {
				stored[newRegistered(i, 1).ID] = newRegistered(i, 1)
			}
			f.elect(stored, delivered)
			f.announce()
			f.report(t)
			must.SliceLen(t, 10, host.All())

			host.StoreLost()
			host.StoreRegained()
			for _, id := range []target.ID{"i-2", "i-3", "i-4"} {
				host.Remove(id, 0)
			}
			delete(stored, "i-4")
			if newTerm {
				lost = true
				f.elect(stored, delivered)
			} else {
				f.roster.Drop("i-4", 0)
			}
			f.announce()
			f.report(t)
			clock.Advance(10 * time.Second)
			known := map[target.ID]roster.Target{}
			for _, t := range host.All() {
				known[t.ID] = t
			}
			must.Eq(t, starts(stored), starts(known))
		})
	}
}

// Guards against a host that reads the store itself for a while and then relies on the
// coordinator of the same term again: what came and went, or went and came back, between two
// reads of the coordinator was never corrected at the host.
func TestDirectReadsAreComparedWithTheCoordinator(t *testing.T) {
	cases := []struct {
		name   string
		direct func(*roster.Roster)
	}{
		{"came and went", func(host *roster.Roster) { host.Put(newRegistered(20, 30)) }},
		{"went and came back", func(host *roster.Roster) { host.Remove("i-3", 30) }},
		{"drained and is ready again", func(host *roster.Roster) {
			draining := newRegistered(3, 1)
			draining.Draining, draining.Revision = true, 30
			host.Put(draining)
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFollowed()
			host := rosterReceiver{f.receiver, roster.New(boottime.NewFakeClock(boottime.Instant(time.Hour)))}
			f.client.receiver = host
			stored := map[target.ID]roster.Target{}
			for i := range 10 {
				stored[newRegistered(i, 1).ID] = newRegistered(i, 1)
			}
			f.elect(stored, func() bool { return true })
			f.announce()
			f.report(t)
			must.SliceLen(t, 10, host.All())

			tc.direct(host.Roster)
			f.read = 40
			for range 3 {
				f.announce()
				f.report(t)
			}
			known := map[target.ID]roster.Target{}
			for _, t := range host.Ready("p") {
				known[t.ID] = t
			}
			must.Eq(t, starts(stored), starts(known))
		})
	}
}

// Guards against a host that leads, still takes another host for the coordinator, and applies
// its own broadcast: targets that had left since then were registered again, for good, and the
// host stopped reading the store.
func TestOwnBroadcastTellsNothingAboutTargets(t *testing.T) {
	receiver, client := newRecordingClient()
	client.followCoordinator()
	client.applyView(wireView{Fence: 1, Version: 1, Answer: true}, 1)
	client.applyView(wireView{Fence: 1, Version: 2, Answer: true, Since: 1}, 2)
	_, relayed := client.RelayedStateAge()
	must.True(t, relayed)
	client.local.deliverLocal(wireView{Fence: 2, Version: 1, Targets: []wireTarget{newWireTarget(newRegistered(3, 1))}, CompleteBuckets: allBuckets()})
	must.MapLen(t, 0, receiver.targets)
	_, relayed = client.RelayedStateAge()
	must.False(t, relayed)
}

// Targets come, leave and start again at any moment, coordinators replace each other, and
// broadcasts are lost. Whenever a host confirms that its targets are complete, they are those
// that the coordinator has announced.
func TestTargetsFollowCoordinatorsAtRandom(t *testing.T) {
	for seed := range uint64(3000) {
		random := rand.New(rand.NewPCG(seed, 3))
		delivered := func() bool { return random.IntN(3) > 0 }
		f := newFollowed()
		stored := map[target.ID]roster.Target{}
		f.elect(stored, delivered)
		for step := range 60 {
			switch random.IntN(7) {
			case 0, 1:
				changed := newRegistered(random.IntN(6), roster.StartID(step+1))
				if random.IntN(2) == 0 {
					stored[changed.ID] = changed
					f.roster.Put(changed)
				} else {
					delete(stored, changed.ID)
					f.roster.Drop(changed.ID, 0)
				}
			case 2:
				f.elect(stored, delivered)
			case 3, 4:
				f.announce()
			default:
				f.receiver.confirmedAt = 0
				f.report(t)
				if f.receiver.confirmedAt == 0 {
					continue
				}
				announced := map[target.ID]roster.Target{}
				for id, r := range f.coordinator.registered.targets {
					if !r.removed {
						announced[id] = r.wire.target()
					}
				}
				must.Eq(t, starts(announced), starts(f.receiver.targets), must.Sprintf("seed %d, step %d", seed, step))
			}
		}
		f.announce()
		f.report(t)
		f.report(t)
		must.Eq(t, starts(stored), starts(f.receiver.targets), must.Sprint(seed))
	}
}

// storeChange is one change of a registration in a store.
type storeChange struct {
	registered roster.Target
	revision   keyvalue.Revision
	removed    bool
}

func (s storeChange) apply(r *roster.Roster) {
	if s.removed {
		r.Remove(s.registered.ID, s.revision)
		return
	}
	r.Put(s.registered)
}

// A host follows coordinators and at times reads the store itself. What it reads arrives late,
// after what the coordinator has told in the meantime. Once both have settled, the host has the
// targets of the store.
func TestHostsThatAlsoReadTheStoreConverge(t *testing.T) {
	const base = 100 // the revision of the empty store, beyond all fences
	for seed := range uint64(1500) {
		random := rand.New(rand.NewPCG(seed, 4))
		delivered := func() bool { return random.IntN(3) > 0 }
		f := newFollowed()
		host := rosterReceiver{f.receiver, roster.New(boottime.NewFakeClock(boottime.Instant(time.Hour)))}
		f.client.receiver = host
		stored := map[target.ID]roster.Target{}
		var history, late []storeChange
		// read is the position in the history up to which the host has read the store, and
		// known that of the coordinator.
		read, known := 0, 0
		coordinatorReads := func() {
			for ; known < len(history); known++ {
				history[known].apply(f.roster)
			}
			f.read = base + keyvalue.Revision(known)
		}
		coordinatorReads()
		f.elect(stored, delivered)
		for range 80 {
			switch random.IntN(9) {
			case 0, 1:
				revision := base + keyvalue.Revision(len(history)+1)
				changed := newRegistered(random.IntN(5), roster.StartID(random.IntN(2)))
				changed.Draining, changed.Revision = random.IntN(3) == 0, int64(revision)
				removed := random.IntN(3) == 0
				history = append(history, storeChange{changed, revision, removed})
				if removed {
					delete(stored, changed.ID)
				} else {
					stored[changed.ID] = changed
				}
			case 2:
				coordinatorReads()
			case 3:
				read = max(read, int(f.receiver.relayed)-base)
				late = append(late, history[read:]...)
				read = len(history)
			case 4:
				for ; len(late) > 0 && random.IntN(8) > 0; late = late[1:] {
					late[0].apply(host.Roster)
				}
			case 5:
				if random.IntN(4) == 0 {
					known, f.read = len(history), base+keyvalue.Revision(len(history))
					f.elect(stored, delivered)
				}
			case 6:
				f.announce()
			default:
				f.report(t)
			}
		}
		for _, change := range late {
			change.apply(host.Roster)
		}
		coordinatorReads()
		for range 4 {
			f.announce()
			f.report(t)
		}
		ready := func(targets []roster.Target) map[target.ID]roster.StartID {
			starts := map[target.ID]roster.StartID{}
			for _, t := range targets {
				if !t.Draining {
					starts[t.ID] = t.Start
				}
			}
			return starts
		}
		must.Eq(t, ready(slices.Collect(maps.Values(stored))), ready(host.All()), must.Sprint(seed))
	}
}
