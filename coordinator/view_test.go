package coordinator

import (
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"hawthornway/boottime"
	"hawthornway/catalog"
	"hawthornway/election"
	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/model"
	"hawthornway/peer"
	"hawthornway/roster"
	"hawthornway/target"
)

// follower is a host that keeps what it is told of targets.
type follower struct {
	*peer.Links
	targets map[target.ID]roster.Target
	// kept are the models that the host is to remember.
	kept map[target.ID][]roster.Resident
}

func (f *follower) Leader() (election.Leader, bool) {
	return election.Leader{Host: "other", Fence: 1}, true
}

func (f *follower) Learn(election.Leader) {}

func (f *follower) UpdateTargets(changed []roster.Target, gone, all []target.ID, parts []roster.Bucket) {
	for _, t := range changed {
		f.targets[t.ID] = t
	}
	for _, id := range gone {
		delete(f.targets, id)
	}
	named := map[target.ID]bool{}
	for _, id := range all {
		named[id] = true
	}
	for id := range f.targets {
		if !named[id] && slices.Contains(parts, roster.BucketOf(id)) {
			delete(f.targets, id)
		}
	}
}

func (*follower) Digests() roster.Digests { return roster.Digests{} }

func (f *follower) SetModels(id target.ID, _ roster.Start, models []roster.Resident) {
	f.kept[id] = models
}

func (*follower) ConfirmCurrent(catalog.Version, keyvalue.Revision, boottime.Instant) {}

func newFollower() (*follower, *Client) {
	log := slog.New(slog.DiscardHandler)
	f := &follower{
		Links: peer.New(peer.WithSelf(fleet.Member{Host: "h"}), peer.WithLogger(log)), targets: map[target.ID]roster.Target{},
		kept: map[target.ID][]roster.Resident{},
	}
	local := New(WithMesh(f.Links), WithLogger(log))
	c := NewClient(f, f, local, f, func() Usage { return Usage{} }, func(target.ID, int) {}, clockwork.NewFakeClock(), boottime.NewFakeClock(1), log)
	return f, c
}

func allParts() []roster.Bucket {
	var parts []roster.Bucket
	for i := range roster.Bucket(roster.Buckets) {
		parts = append(parts, i)
	}
	return parts
}

func holding(version uint64, names ...model.Name) wireEngine {
	e := wireEngine{Version: version, Target: "e"}
	for _, name := range names {
		e.Models = append(e.Models, wireResident{Model: name})
	}
	return e
}

// Pattern: a coordinator is replaced, or a host goes on with the store alone. What
// the former one said of engines is newer than their registrations, and is kept.
func TestWordsOfAFormerCoordinatorAreKept(t *testing.T) {
	cases := []struct {
		name string
		lose func(c *Client)
	}{
		{"another coordinator", func(c *Client) { c.take(wireView{Fence: 2, Version: 1}, 0) }},
		{"the store alone", func(c *Client) { c.SaveModels() }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f, c := newFollower()
			c.take(wireView{Fence: 1, Version: 4, Engines: []wireEngine{holding(4, "m1", "m2")}}, 0)
			must.MapEmpty(t, f.kept)
			tc.lose(c)
			must.Eq(t, []roster.Resident{{Model: "m1"}, {Model: "m2"}}, f.kept["e"])
		})
	}
}

// Pattern: the answer to a report was made before a change and arrives after the
// notice of it. The host keeps to the change.
func TestViewsThatOvertakeEachOther(t *testing.T) {
	cases := []struct {
		name  string
		views []wireView
		holds model.Name
	}{
		{"in order", []wireView{
			{Fence: 1, Version: 1, Answer: true, Engines: []wireEngine{holding(1, "old")}},
			{Fence: 1, Since: 1, Version: 2, Engines: []wireEngine{holding(2, "new")}},
		}, "new"},
		{"overtaken", []wireView{
			{Fence: 1, Since: 1, Version: 2, Engines: []wireEngine{holding(2, "new")}},
			{Fence: 1, Version: 1, Answer: true, Engines: []wireEngine{holding(1, "old")}},
		}, "new"},
		{"of a former coordinator", []wireView{
			{Fence: 2, Version: 1, Answer: true, Engines: []wireEngine{holding(1, "new")}},
			{Fence: 1, Version: 9, Engines: []wireEngine{holding(9, "old")}},
		}, "new"},
		{"of the next coordinator", []wireView{
			{Fence: 1, Version: 9, Engines: []wireEngine{holding(9, "old")}},
			{Fence: 2, Version: 1, Answer: true, Engines: []wireEngine{holding(1, "new")}},
		}, "new"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, c := newFollower()
			for _, view := range tc.views {
				c.take(view, 1)
			}
			must.True(t, c.Holdings(roster.Target{ID: "e"}).Has(tc.holds, ""))
		})
	}
}

func TestTargetsOfViewsThatOvertakeEachOther(t *testing.T) {
	f, c := newFollower()
	f.targets["unknown"] = roster.Target{ID: "unknown"}
	c.take(wireView{Fence: 1, Since: 1, Version: 2, Targets: []wireTarget{{ID: "late", Version: 2}}, Gone: []wireGone{{"gone", 2}}}, 0)
	c.take(wireView{Fence: 1, Version: 1, Answer: true, Whole: allParts(), Targets: []wireTarget{{ID: "a", Version: 1}, {ID: "gone", Version: 1}}}, 1)
	ids := map[target.ID]bool{}
	for id := range f.targets {
		ids[id] = true
	}
	must.Eq(t, map[target.ID]bool{"a": true, "late": true}, ids)
}

// ownLeader is a host that still takes itself for the coordinator.
type ownLeader struct{ *follower }

func (ownLeader) Leader() (election.Leader, bool) {
	return election.Leader{Host: "h", Fence: 1}, true
}

// Pattern: the store refuses the coordinator, whose term ends. It doesn't know
// its successor, whose views reach it. It counts as reached all the while.
func TestFormerCoordinatorKeepsQuiet(t *testing.T) {
	f, c := newFollower()
	c.leaders = ownLeader{f}
	c.local.terms = noTerm{}
	c.follow()
	c.take(wireView{Fence: 2, Version: 1}, 0)
	for range 10 {
		c.report(t.Context())
		must.True(t, c.reaching)
	}
}

type noTerm struct{}

func (noTerm) Term() (target.Fence, bool, bool) { return 0, false, false }

func (noTerm) OrderDelay() time.Duration { return 0 }

// A view whose predecessor was missed doesn't count as all that there was.
func TestMissedViewsAreAskedForAgain(t *testing.T) {
	_, c := newFollower()
	c.take(wireView{Fence: 1, Version: 3, Answer: true}, 1)
	c.take(wireView{Fence: 1, Since: 4, Version: 5}, 0)
	must.Eq(t, uint64(3), c.version)
	c.take(wireView{Fence: 1, Since: 3, Version: 4}, 0)
	must.Eq(t, uint64(4), c.version)
}
