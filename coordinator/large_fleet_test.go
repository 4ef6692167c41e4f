package coordinator

import (
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"hawthornway/boottime"
	"hawthornway/catalog"
	"hawthornway/fleet"
	"hawthornway/model"
	"hawthornway/peer"
	"hawthornway/peer/peertest"
	"hawthornway/placement"
	"hawthornway/platform"
	"hawthornway/quota"
	"hawthornway/roster"
	"hawthornway/target"
)

const (
	largeFleetEngines = 3000
	// maxViewBytes is the maximum size of an answer. 300 hosts may report at the same
	// time, and a small host has about 100 MB to spare.
	maxViewBytes = 100_000
)

// endlessTerm is a term that never ends.
type endlessTerm struct{}

func (endlessTerm) Term() (target.Fence, bool, bool) { return 1, true, true }
func (endlessTerm) OrderDelay() time.Duration        { return 0 }
func (endlessTerm) FirstTerm() bool                  { return false }

// newLargeCoordinator returns a coordinator with many engines, each published in a
// version of its own.
func newLargeCoordinator() (*Coordinator, *roster.Roster) {
	r := roster.New(boottime.SystemClock{})
	c := New(WithMesh(peer.New()), WithRoster(r), WithTerms(endlessTerm{}),
		WithCatalogs(func() *catalog.Catalog { return nil }), WithLogger(slog.New(slog.DiscardHandler)))
	c.leading, c.fence = true, 1
	c.ledger = quota.NewLedger(clockwork.NewRealClock(), c.limit)
	for i := range largeFleetEngines {
		t := roster.Target{
			ID: target.ID(fmt.Sprintf("i-%010d", i)), Pool: "p", Address: fmt.Sprintf("10.0.%d.%d:8000", i/200, i%200),
			Domain: "zone", Start: roster.StartID(1_700_000_000_000 + i), Slots: 12,
		}
		r.Put(t)
		models := map[model.Name]*resident{}
		for m := range 3 {
			models[model.Name(fmt.Sprintf("model-%d", m))] = &resident{}
		}
		c.engines[t.ID] = &engine{target: t, reported: true, start: t.Start, resident: models, version: uint64(2 + i)}
	}
	c.version = largeFleetEngines + 1
	c.registered.update(1, r.All(), 1, c.published, r.RemovedAt)
	return c, r
}

// After a restart, hosts of a large fleet must be sent 3,000 engines. Each answer must
// stay small, and the host must receive all engines, including a change made in the
// meantime.
func TestLargeFleetIsSentInSeveralViews(t *testing.T) {
	c, r := newLargeCoordinator()
	_, client := newRecordingClient()
	views := 0
	for more := true; more; views++ {
		view, err := c.report("h", wireReport{Since: client.version, Fence: client.fence, Targets: digests(r)})
		must.NoError(t, err)
		encoded, err := peer.Encode(view)
		must.NoError(t, err)
		must.LessEq(t, maxViewBytes, len(encoded))
		client.applyView(view, 1)
		more = view.More
		if views == 3 {
			c.version++
			c.engines["i-0000000000"].version = c.version
			c.engines["i-0000000000"].resident["model-new"] = &resident{}
		}
	}
	must.Eq(t, largeFleetEngines/enginesPerView+1, views)
	must.MapLen(t, largeFleetEngines, client.engines)
	must.Eq(t, c.version, client.version)
	must.True(t, client.engines["i-0000000000"].holdings.Has("model-new", ""))
}

// A new coordinator sends no targets to hosts whose digests match, and only the
// differing buckets to the others.
func TestNewTermSendsOnlyDifferingBuckets(t *testing.T) {
	c, r := newLargeCoordinator()
	view, err := c.report("h", wireReport{Targets: digests(r)})
	must.NoError(t, err)
	must.SliceEmpty(t, view.Targets)
	must.SliceEmpty(t, view.CompleteBuckets)
	other := roster.New(boottime.SystemClock{})
	other.Replace(r.All()[1:], 0)
	view, err = c.report("h", wireReport{Targets: digests(other)})
	must.NoError(t, err)
	must.SliceLen(t, 1, view.CompleteBuckets)
	must.Less(t, largeFleetEngines/20, len(view.Targets))
	must.Eq(t, r.All()[0].ID, view.Targets[0].ID)
	must.Eq(t, roster.BucketOf(r.All()[0].ID), view.CompleteBuckets[0])

	// The digests stay equal to the roster's after changes.
	r.Drop("i-0000000007", 0)
	changed := r.All()[0]
	changed.Draining = true
	r.Put(changed)
	r.SetModels("i-0000000008", r.All()[7].Start, []roster.Resident{{Model: "other"}})
	c.registered.update(2, r.All(), 2, c.published, r.RemovedAt)
	must.Eq(t, r.Digests(), c.registered.digests)
}

// A host may report to a new coordinator before the coordinator has read the targets,
// or before the host is aware of the new term. The answer must be empty and ask for
// another report, so that the host keeps its targets.
func TestNewCoordinatorSendsNothingBeforeReadingTargets(t *testing.T) {
	c, r := newLargeCoordinator()
	view, err := c.report("h", wireReport{Since: 900, Fence: 7})
	must.NoError(t, err)
	must.True(t, view.More)
	must.Zero(t, view.Version)
	must.SliceEmpty(t, view.Engines)
	c.reset()
	view, err = c.report("h", wireReport{Targets: digests(r)})
	must.NoError(t, err)
	must.True(t, view.More)
	must.SliceEmpty(t, view.CompleteBuckets)
}

// digests returns a roster's digests as in a wireReport.
func digests(r *roster.Roster) []uint64 {
	d := r.Digests()
	return d[:]
}

// When a new coordinator polls all engines, it must only publish those whose models
// differ from their registrations, which hosts have already.
func TestReportsMatchingRegistrationsAreNotPublished(t *testing.T) {
	registered := roster.Holdings{Models: []roster.Resident{{Model: "b", Adapters: []model.Name{"x", "y"}}, {Model: "a"}}}
	cases := []struct {
		name      string
		reported  []roster.Resident
		published bool
	}{
		{"the same in another order", []roster.Resident{{Model: "a"}, {Model: "b", Adapters: []model.Name{"y", "x"}}}, false},
		{"an adapter is missing", []roster.Resident{{Model: "a"}, {Model: "b", Adapters: []model.Name{"y"}}}, true},
		{"another model", []roster.Resident{{Model: "a"}, {Model: "b", Adapters: []model.Name{"y", "x"}}, {Model: "c"}}, true},
		{"nothing", nil, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c, _ := newLargeCoordinator()
			engineTarget := roster.Target{ID: "one", Start: 5, Holdings: registered}
			e := &engine{target: engineTarget, start: 5, resident: map[model.Name]*resident{}}
			w := &worker{coordinator: c, engine: e, target: engineTarget}
			w.applyReport(platform.Report{Start: 5, Holdings: roster.Holdings{Models: tc.reported}})
			must.True(t, e.reported)
			must.Eq(t, tc.published, c.dirty[e])
			// Later changes are always published.
			w.applyReport(platform.Report{Start: 5, Holdings: roster.Holdings{Models: []roster.Resident{{Model: "later"}}}})
			must.True(t, c.dirty[e])
		})
	}
}

// BenchmarkUpdateRegistrations measures an update of 3,000 unchanged registrations, as
// in each planning step.
func BenchmarkUpdateRegistrations(b *testing.B) {
	c, r := newLargeCoordinator()
	for b.Loop() {
		c.registered.update(1, r.All(), 2, c.published, r.RemovedAt)
	}
}

// BenchmarkReadyAfterPut measures rebuilding the lists of ready targets after a change.
func BenchmarkReadyAfterPut(b *testing.B) {
	_, r := newLargeCoordinator()
	t := r.All()[0]
	for b.Loop() {
		r.Put(t)
		_ = r.Ready("p")
	}
}

// A plan for a large fleet takes long on a weak host. The coordinator must answer hosts
// meanwhile, and must not use what has changed since.
func TestHostsAreAnsweredDuringAPlan(t *testing.T) {
	pool := catalog.Pool{Name: "p", Engines: &catalog.Engines{Slots: 1, Models: map[model.Name]catalog.Model{"m": {Name: "m"}}}}
	current := catalog.New(catalog.Content{Version: 1, Pools: []catalog.Pool{pool}})
	r := roster.New(boottime.SystemClock{})
	c := New(WithMesh(peertest.NewNetwork(1).Join(fleet.Member{Host: "h"})), WithTerms(&changingTerms{fence: 1, mayOrder: true, leads: true}),
		WithCatalogs(func() *catalog.Catalog { return current }), WithRoster(r), WithLogger(slog.New(slog.DiscardHandler)))
	c.beginTerm(1)
	e := &engine{target: roster.Target{ID: "e", Pool: "p"}, reported: true, jobs: make(chan placement.Job, 1)}
	r.Put(e.target)
	c.engines["e"] = e
	planned := 0
	c.makePlan = func(s placement.State) []placement.Job {
		planned++
		must.SliceLen(t, 1, s.Engines)
		must.True(t, c.mu.TryLock(), must.Sprint("no host is answered"))
		c.mu.Unlock()
		if planned == 2 {
			r.SetLeaving("e", 0)
		}
		_, err := c.report("other", wireReport{})
		must.NoError(t, err)
		return []placement.Job{{Engine: "e", Load: "m"}}
	}
	var workers sync.WaitGroup
	c.step(t.Context(), &workers, true)
	must.NotNil(t, e.job)
	e.job = nil
	c.step(t.Context(), &workers, true)
	must.Nil(t, e.job) // the engine has begun to leave
	must.Eq(t, 2, planned)
}
