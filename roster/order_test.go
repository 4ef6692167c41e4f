package roster_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/boottime"
	"hawthornway/keyvalue"
	"hawthornway/roster"
	"hawthornway/target"
)

// registered is the state of a target in the store since a revision.
func registered(id target.ID, revision keyvalue.Revision, draining bool) roster.Target {
	return roster.Target{ID: id, Start: 1, Pool: "p", Address: string(id) + ":1", Draining: draining, Revision: int64(revision)}
}

// Guards against a slow read of the store that arrives after newer relayed changes: a target
// that had left was used again, for good, since the host then followed the relay (DRAIN).
func TestOlderStateDoesNotReplaceNewer(t *testing.T) {
	relayed := func(r *roster.Roster, at keyvalue.Revision, changed ...roster.Target) {
		r.Update(roster.Changes{Changed: changed, At: at})
	}
	cases := []struct {
		name         string
		newer, older func(*roster.Roster)
		ready        []target.ID
	}{
		{
			"relayed draining, then a read from before", func(r *roster.Roster) { relayed(r, 20, registered("a", 20, true)) },
			func(r *roster.Roster) { r.Put(registered("a", 15, false)) }, nil,
		},
		{
			"relayed draining, then a list from before", func(r *roster.Roster) { relayed(r, 20, registered("a", 20, true)) },
			func(r *roster.Roster) { r.Replace([]roster.Target{registered("a", 15, false)}, 19) }, nil,
		},
		{
			"relayed removal, then a read from before",
			func(r *roster.Roster) {
				r.Update(roster.Changes{Removed: []roster.Removed{{ID: "a", Revision: 20}}, At: 12})
			},
			func(r *roster.Roster) { r.Put(registered("a", 15, false)) }, nil,
		},
		{
			"removal relayed by an older build, then a read from before",
			func(r *roster.Roster) { r.Update(roster.Changes{Removed: []roster.Removed{{ID: "a"}}, At: 20}) },
			func(r *roster.Roster) { r.Put(registered("a", 15, false)) }, nil,
		},
		{
			"missing in relayed buckets, then a read from before",
			func(r *roster.Roster) {
				r.Update(roster.Changes{Buckets: []roster.Bucket{roster.BucketOf("a")}, At: 20})
			},
			func(r *roster.Roster) { r.Put(registered("a", 15, false)) }, nil,
		},
		{
			"removed, then relayed from before", func(r *roster.Roster) { r.Remove("a", 20) },
			func(r *roster.Roster) { relayed(r, 18, registered("a", 15, false)) }, nil,
		},
		{
			"missing in a list, then relayed from before", func(r *roster.Roster) { r.Replace(nil, 20) },
			func(r *roster.Roster) { relayed(r, 18, registered("a", 15, false)) }, nil,
		},
		{
			"draining, then relayed from before", func(r *roster.Roster) { r.Put(registered("a", 20, true)) },
			func(r *roster.Roster) { relayed(r, 18, registered("a", 15, false)) }, nil,
		},
		{
			"registered again, then the removal from before", func(r *roster.Roster) { relayed(r, 20, registered("a", 20, false)) },
			func(r *roster.Roster) { r.Remove("a", 15) },
			[]target.ID{"a"},
		},
		{
			"relayed, then a list from before it was registered", func(r *roster.Roster) { relayed(r, 20, registered("a", 20, false)) },
			func(r *roster.Roster) { r.Replace(nil, 15) },
			[]target.ID{"a"},
		},
		{
			"the address is another target's", func(r *roster.Roster) {
				successor := registered("b", 20, false)
				successor.Address = "a:1"
				relayed(r, 20, successor)
			},
			func(r *roster.Roster) { r.Put(registered("a", 15, false)) },
			[]target.ID{"b"},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := roster.New(boottime.NewFakeClock(1))
			r.Put(registered("a", 10, false))
			tc.newer(r)
			tc.older(r)
			must.Eq(t, tc.ready, ids(r.Ready("p")))
		})
	}
}

// What is newer, or as new, still counts: a target that starts again under its ID, a departure
// that the relaying host knows from the target itself, and what a new coordinator confirms.
func TestNewerStateReplacesOlder(t *testing.T) {
	cases := []struct {
		name    string
		changes func(*roster.Roster)
		ready   []target.ID
	}{
		{"registered again after its removal", func(r *roster.Roster) {
			r.Remove("a", 20)
			r.Put(registered("a", 21, false))
		}, []target.ID{"a"}},
		{"relayed as of a later revision than its removal", func(r *roster.Roster) {
			r.Remove("a", 20)
			r.Update(roster.Changes{Changed: []roster.Target{registered("a", 10, false)}, At: 21})
		}, []target.ID{"a"}},
		{"relayed as leaving, with an older registration", func(r *roster.Roster) {
			r.Put(registered("a", 20, false))
			r.Update(roster.Changes{Changed: []roster.Target{registered("a", 10, true)}, At: 15})
		}, nil},
		{"drains, and then does not", func(r *roster.Roster) {
			r.Put(registered("a", 20, true))
			r.Update(roster.Changes{Changed: []roster.Target{registered("a", 21, false)}, At: 21})
		}, []target.ID{"a"}},
		{"unknown to a host that is behind", func(r *roster.Roster) {
			r.Put(registered("a", 20, false))
			r.Update(roster.Changes{Buckets: []roster.Bucket{roster.BucketOf("a")}, At: 15})
		}, []target.ID{"a"}},
		{"removed at a host that is behind, and then relayed again", func(r *roster.Roster) {
			r.Put(registered("a", 20, false))
			r.Update(roster.Changes{Removed: []roster.Removed{{ID: "a", Revision: 15}}, At: 15})
			r.Update(roster.Changes{Changed: []roster.Target{registered("a", 20, false)}, At: 20})
		}, []target.ID{"a"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := roster.New(boottime.NewFakeClock(1))
			r.Put(registered("a", 10, false))
			tc.changes(r)
			must.Eq(t, tc.ready, ids(r.Ready("p")))
		})
	}
}

// The changes of a store arrive in order from the store, in batches that may be late, and out
// of order through another host. A target never goes back to a state from before one that the
// roster had.
func TestStateNeverGoesBackAtRandom(t *testing.T) {
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 5))
		r := roster.New(boottime.NewFakeClock(boottime.Instant(time.Hour)))
		history := map[target.ID][]roster.Target{}
		// known is the newest revision of each target that was applied.
		known := map[target.ID]keyvalue.Revision{}
		revision := keyvalue.Revision(0)
		for range 60 {
			revision++
			id := target.ID(fmt.Sprint("t", random.IntN(4)))
			history[id] = append(history[id], registered(id, revision, random.IntN(2) == 0))
			id = target.ID(fmt.Sprint("t", random.IntN(4)))
			states := history[id]
			if len(states) == 0 {
				continue
			}
			state := states[random.IntN(len(states))]
			at := keyvalue.Revision(state.Revision)
			switch random.IntN(4) {
			case 0:
				r.Put(state)
			case 1:
				r.Update(roster.Changes{Changed: []roster.Target{state}, At: at})
			case 2:
				r.Remove(id, at)
			default:
				r.Update(roster.Changes{Removed: []roster.Removed{{ID: id, Revision: at}}, At: at})
			}
			known[id] = max(known[id], at)
			if got, ok := r.Get(id); ok {
				must.Eq(t, known[id], keyvalue.Revision(got.Revision), must.Sprintf("seed %d: %s", seed, id))
			}
		}
	}
}
