package coordinator

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
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
		WithReadRevision(func() keyvalue.Revision { return keyvalue.Revision(f.fence) }))
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
	lapses := f.client.addDigests(&report)
	view, err := f.coordinator.report("h", report)
	must.NoError(t, err)
	f.client.applyAnswer(view, 1, lapses)
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

func (r rosterReceiver) UpdateTargets(changes roster.Changes) { r.Update(changes) }

func (r rosterReceiver) Digests() roster.Digests { return r.Roster.Digests() }
func (r rosterReceiver) Lapses() int             { return r.Roster.Lapses() }

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
