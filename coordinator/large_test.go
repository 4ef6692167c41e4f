package coordinator

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"hawthornway/boottime"
	"hawthornway/catalog"
	"hawthornway/model"
	"hawthornway/peer"
	"hawthornway/platform"
	"hawthornway/quota"
	"hawthornway/roster"
	"hawthornway/target"
)

const (
	largeFleet = 3000
	// mostAnswer bounds an answer in bytes. Three hundred hosts may ask at once, and
	// a small host has about a hundred megabytes to spare.
	mostAnswer = 100_000
)

// largeTerms has one term that never ends.
type largeTerms struct{}

func (largeTerms) Term() (target.Fence, bool, bool) { return 1, true, true }
func (largeTerms) OrderDelay() time.Duration        { return 0 }

// newLarge returns a coordinator that knows many engines, of which each was
// published by itself.
func newLarge() (*Coordinator, *roster.Roster) {
	r := roster.New(boottime.SystemClock{})
	c := New(WithMesh(peer.New()), WithRoster(r), WithTerms(largeTerms{}),
		WithCatalogs(func() *catalog.Catalog { return nil }), WithLogger(slog.New(slog.DiscardHandler)))
	c.leading, c.fence = true, 1
	c.ledger = quota.NewLedger(clockwork.NewRealClock(), c.limit)
	for i := range largeFleet {
		t := roster.Target{
			ID: target.ID(fmt.Sprintf("i-%010d", i)), Pool: "p", Address: fmt.Sprintf("10.0.%d.%d:8000", i/200, i%200),
			Domain: "zone", Start: roster.Start(1_700_000_000_000 + i), Slots: 12,
		}
		r.Put(t)
		holds := map[model.Name]*resident{}
		for m := range 3 {
			holds[model.Name(fmt.Sprintf("model-%d", m))] = &resident{}
		}
		c.engines[t.ID] = &engine{target: t, known: true, start: t.Start, resident: holds, version: uint64(2 + i)}
	}
	c.version = largeFleet + 1
	c.registered.follow(1, r.All(), 1, c.published)
	return c, r
}

// Pattern: all hosts of a large fleet start anew and learn of three thousand
// engines. Answers stay small, and the host learns of all of them, and of a change
// that comes meanwhile.
func TestManyEnginesComeInSeveralViews(t *testing.T) {
	c, r := newLarge()
	_, client := newFollower()
	views := 0
	for more := true; more; views++ {
		view, err := c.report("h", wireReport{Since: client.version, Fence: client.fence, Targets: digests(r)})
		must.NoError(t, err)
		encoded, err := peer.Encode(view)
		must.NoError(t, err)
		must.LessEq(t, mostAnswer, len(encoded))
		client.take(view, 1)
		more = view.More
		if views == 3 {
			c.version++
			c.engines["i-0000000000"].version = c.version
			c.engines["i-0000000000"].resident["model-new"] = &resident{}
		}
	}
	must.Eq(t, largeFleet/viewEngines+1, views)
	must.MapLen(t, largeFleet, client.engines)
	must.Eq(t, c.version, client.version)
	must.True(t, client.engines["i-0000000000"].holdings.Has("model-new", ""))
}

// Pattern: a coordinator is replaced. Hosts that know the same targets aren't told
// of them, and one that knows others is told of those in the same parts only.
func TestTargetsAreToldToThoseThatKnowOthers(t *testing.T) {
	c, r := newLarge()
	view, err := c.report("h", wireReport{Targets: digests(r)})
	must.NoError(t, err)
	must.SliceEmpty(t, view.Targets)
	must.SliceEmpty(t, view.Whole)
	other := roster.New(boottime.SystemClock{})
	other.Replace(r.All()[1:])
	view, err = c.report("h", wireReport{Targets: digests(other)})
	must.NoError(t, err)
	must.SliceLen(t, 1, view.Whole)
	must.Less(t, largeFleet/20, len(view.Targets))
	must.Eq(t, r.All()[0].ID, view.Targets[0].ID)
	must.Eq(t, roster.BucketOf(r.All()[0].ID), view.Whole[0])

	// The digests follow changes as those of a roster do.
	r.Drop("i-0000000007")
	changed := r.All()[0]
	changed.Draining = true
	r.Put(changed)
	r.SetModels("i-0000000008", r.All()[7].Start, []roster.Resident{{Model: "other"}})
	c.registered.follow(2, r.All(), 2, c.published)
	must.Eq(t, r.Digests(), c.registered.digests)
}

// Pattern: hosts come to a new coordinator before it has read the targets itself, or
// before they have learned of it. They keep what they know, and ask again.
func TestNewCoordinatorTellsNothingBeforeItKnows(t *testing.T) {
	c, r := newLarge()
	view, err := c.report("h", wireReport{Since: 900, Fence: 7})
	must.NoError(t, err)
	must.True(t, view.More)
	must.Zero(t, view.Version)
	must.SliceEmpty(t, view.Engines)
	c.reset()
	view, err = c.report("h", wireReport{Targets: digests(r)})
	must.NoError(t, err)
	must.True(t, view.More)
	must.SliceEmpty(t, view.Whole)
}

func digests(r *roster.Roster) []uint64 {
	d := r.Digests()
	return d[:]
}

// Pattern: a new coordinator asks three thousand engines. Hosts know from the
// registrations what most of them hold, and are told of the others.
func TestEnginesAsRegisteredAreNotTold(t *testing.T) {
	registered := roster.Holdings{Models: []roster.Resident{{Model: "b", Adapters: []model.Name{"x", "y"}}, {Model: "a"}}}
	cases := []struct {
		name string
		held []roster.Resident
		told bool
	}{
		{"the same in another order", []roster.Resident{{Model: "a"}, {Model: "b", Adapters: []model.Name{"y", "x"}}}, false},
		{"an adapter is missing", []roster.Resident{{Model: "a"}, {Model: "b", Adapters: []model.Name{"y"}}}, true},
		{"another model", []roster.Resident{{Model: "a"}, {Model: "b", Adapters: []model.Name{"y", "x"}}, {Model: "c"}}, true},
		{"nothing", nil, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c, _ := newLarge()
			one := roster.Target{ID: "one", Start: 5, Holdings: registered}
			e := &engine{target: one, start: 5, resident: map[model.Name]*resident{}}
			w := &worker{coordinator: c, engine: e, target: one}
			w.take(platform.Report{Start: 5, Holdings: roster.Holdings{Models: tc.held}})
			must.True(t, e.known)
			must.Eq(t, tc.told, c.dirty[e])
			// What changes later is told in any case.
			w.take(platform.Report{Start: 5, Holdings: roster.Holdings{Models: []roster.Resident{{Model: "later"}}}})
			must.True(t, c.dirty[e])
		})
	}
}

// BenchmarkFollow looks for changes of 3,000 registrations, as each plan does, while
// there are none.
func BenchmarkFollow(b *testing.B) {
	c, r := newLarge()
	for b.Loop() {
		c.registered.follow(1, r.All(), 2, c.published)
	}
}

// BenchmarkRegister reads the lists after a change, as the next request does.
func BenchmarkRegister(b *testing.B) {
	_, r := newLarge()
	t := r.All()[0]
	for b.Loop() {
		r.Put(t)
		_ = r.Ready("p")
	}
}
