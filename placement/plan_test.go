package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"hawthornway/catalog"
	"hawthornway/fleet"
	"hawthornway/model"
	"hawthornway/placement"
	"hawthornway/target"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const size = model.Bytes(70e9)

// pool returns models m0 to m(n-1), and engines that hold three each, in the
// order of their names, in three domains.
func pool(models, engines int) placement.State {
	s := placement.State{
		Now:          now,
		Models:       map[model.Name]catalog.Model{},
		Rates:        map[model.Name]float64{},
		Prompts:      map[model.Name]float64{},
		Adapters:     map[model.Name]int{},
		AdapterSlots: 8,
		Settle:       700 * time.Millisecond,
		StoreBudget:  4,
	}
	for i := range models {
		name := model.Name(fmt.Sprintf("m%d", i))
		s.Models[name] = catalog.Model{Name: name, Size: size, StoreLoadTime: 6 * time.Second, DiskLoadTime: time.Second, MemoryLoadTime: 800 * time.Millisecond}
	}
	next := 0
	for i := range engines {
		e := placement.Engine{
			ID:     target.ID(fmt.Sprintf("e%d", i)),
			Domain: fleet.DomainID(fmt.Sprintf("d%d", i%3)),
			Memory: 3 * size,
			Slots:  64,
			OnDisk: map[model.Name]bool{},
		}
		for range 3 {
			if next < models {
				name := model.Name(fmt.Sprintf("m%d", next))
				e.Resident = append(e.Resident, placement.Resident{Model: name, Size: size, Asked: now.Add(-time.Minute)})
				e.OnDisk[name] = true
				next++
			}
		}
		s.Engines = append(s.Engines, e)
	}
	return s
}

func jobsFor(jobs []placement.Job, reason placement.Reason) (out []placement.Job) {
	for _, j := range jobs {
		if j.Reason == reason {
			out = append(out, j)
		}
	}
	return out
}

// Pattern: a rare model is asked for. It is loaded where its weights are on
// disk, in place of the model that was not asked for the longest.
func TestRareModelIsLoadedFromDisk(t *testing.T) {
	s := pool(10, 3)
	s.Engines[1].OnDisk["m9"] = true
	s.Engines[1].Resident[0].Asked = now.Add(-time.Second)
	s.Engines[1].Resident[1].Asked = now.Add(-time.Hour)
	s.Wants = []placement.Want{{Model: "m9", Waiting: 1, Since: now}}
	jobs := jobsFor(placement.Plan(s), placement.ReasonWanted)
	must.Eq(t, []placement.Job{{
		Engine: "e1", Evict: []model.Name{"m4"}, Load: "m9", Source: placement.SourceDisk, Reason: placement.ReasonWanted,
	}}, jobs)
}

// Pattern: the engine that has a rare model on disk is loading another one. It
// is waited for if that is sooner than a load from the weight store.
func TestWaitsForTheEngineWithTheWeights(t *testing.T) {
	cases := []struct {
		name  string
		left  time.Duration
		want  int
		where target.ID
	}{
		{"soon free", time.Second, 0, ""},
		{"busy for long", 20 * time.Second, 1, "e0"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := pool(10, 2)
			s.Models["m9"] = catalog.Model{Name: "m9", Size: size, StoreLoadTime: 6 * time.Second, DiskLoadTime: time.Second}
			s.Engines[1].OnDisk["m9"] = true
			s.Engines[1].Busy, s.Engines[1].FreeAt = true, now.Add(tc.left)
			s.Wants = []placement.Want{{Model: "m9", Waiting: 1, Since: now}}
			jobs := jobsFor(placement.Plan(s), placement.ReasonWanted)
			must.SliceLen(t, tc.want, jobs)
			if tc.want > 0 {
				must.Eq(t, tc.where, jobs[0].Engine)
			}
		})
	}
}

// Pattern: all models of the engine with the weights are in use. It is waited
// for; a load from the weight store elsewhere would take longer, and an engine.
func TestWaitsForModelsInUse(t *testing.T) {
	s := pool(10, 3)
	s.Engines[1].OnDisk["m9"] = true
	for i := range s.Engines[1].Resident {
		s.Engines[1].Resident[i].Running = 1
	}
	s.Wants = []placement.Want{{Model: "m9", Waiting: 1, Since: now}}
	must.SliceEmpty(t, jobsFor(placement.Plan(s), placement.ReasonWanted))
}

// Pattern: the weight store is busy, and the only engines with a hot model were
// lost. The model that most requests wait for is fetched first, and before
// further engines for models that have one.
func TestTheStoreServesWhatMostRequestsWaitFor(t *testing.T) {
	s := pool(15, 4)
	s.StoreBudget = 1
	s.Rates["m0"], s.Prompts["m0"] = 20, 40_000
	s.Wants = []placement.Want{
		{Model: "m13", Waiting: 1, Priority: 0, Since: now.Add(-time.Second)},
		{Model: "m14", Waiting: 40, Priority: 2, Since: now},
	}
	var fetched []model.Name
	for _, j := range placement.Plan(s) {
		if j.Source == placement.SourceStore {
			fetched = append(fetched, j.Load)
		}
	}
	must.Eq(t, []model.Name{"m14"}, fetched)
}

// Pattern: the engine with the weights never becomes free, since an order hangs
// there or its models are always in use. Its wants go elsewhere in the end.
func TestWantsDontWaitForever(t *testing.T) {
	inUse := func(e *placement.Engine) {
		for i := range e.Resident {
			e.Resident[i].Running = 1
		}
	}
	late := func(by time.Duration) func(e *placement.Engine) {
		return func(e *placement.Engine) { e.Busy, e.FreeAt = true, now.Add(-by) }
	}
	cases := []struct {
		name  string
		stuck func(e *placement.Engine)
		since time.Duration
		want  int
	}{
		{"an order is a little late", late(time.Second), 5 * time.Second, 0},
		{"an order hangs", late(8 * time.Second), 5 * time.Second, 1},
		{"models in use, asked just now", inUse, 0, 0},
		{"models in use for long", inUse, 10 * time.Second, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := pool(10, 3)
			s.Engines[1].OnDisk["m9"] = true
			tc.stuck(&s.Engines[1])
			s.Wants = []placement.Want{{Model: "m9", Waiting: 1, Since: now.Add(-tc.since)}}
			must.SliceLen(t, tc.want, jobsFor(placement.Plan(s), placement.ReasonWanted))
		})
	}
}

// Pattern: demand gathers on one model until reading its prompts fills an
// engine. It gets a further engine, before rare models that wait if it lacks
// more than half of what it needs.
func TestHotModelGetsFurtherEngines(t *testing.T) {
	cases := []struct {
		name    string
		prompts float64
		spread  int
		first   placement.Reason
	}{
		{"calm", 4_000, 0, placement.ReasonWanted},
		{"more than its share", 7_000, 1, placement.ReasonWanted},
		{"twice its share", 12_000, 1, placement.ReasonSpread},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := pool(10, 3)
			s.Rates["m0"], s.Prompts["m0"] = tc.prompts/1400, tc.prompts
			s.Wants = []placement.Want{{Model: "m9", Waiting: 1, Since: now}}
			jobs := placement.Plan(s)
			spread := jobsFor(jobs, placement.ReasonSpread)
			must.SliceLen(t, tc.spread, spread)
			must.Eq(t, tc.first, jobs[0].Reason)
			for _, j := range spread {
				must.Eq(t, "m0", j.Load)
				must.NotEq(t, "e0", j.Engine)
			}
		})
	}
}

// Pattern: more adapters of one model are asked for than an engine has places.
// The model gets a second engine, so that they don't drive each other out.
func TestManyAdaptersGetAFurtherEngine(t *testing.T) {
	s := pool(9, 3)
	s.Rates["m0"], s.Adapters["m0"] = 0.5, 12
	must.SliceLen(t, 1, jobsFor(placement.Plan(s), placement.ReasonSpread))
	s.Adapters["m0"] = 8
	must.SliceLen(t, 0, jobsFor(placement.Plan(s), placement.ReasonSpread))
}

// Pattern: an engine is lost with the only copy of a model that is asked for
// often. Such a model has a second engine in another domain before.
func TestOftenAskedModelHasAStandby(t *testing.T) {
	s := pool(9, 3)
	s.Rates["m0"] = 1
	jobs := jobsFor(placement.Plan(s), placement.ReasonStandby)
	must.SliceLen(t, 1, jobs)
	must.NotEq(t, "e0", jobs[0].Engine)
	s.Rates["m0"] = 0.1
	must.SliceLen(t, 0, jobsFor(placement.Plan(s), placement.ReasonStandby))
}

// Pattern: a burst of requests for rare models, more than engines can load in
// time. Those that can still be on time come first, then the late ones, until a
// late one has waited for so long that its caller is about to give up.
func TestBurstOfRareModelsIsServedOnTimeFirst(t *testing.T) {
	want := func(name model.Name, onTime int, age time.Duration) placement.Want {
		return placement.Want{Model: name, Waiting: 1, OnTime: onTime, Since: now.Add(-age)}
	}
	cases := []struct {
		name  string
		wants []placement.Want
		rates map[model.Name]float64
		load  model.Name
	}{
		{"late and fresh", []placement.Want{want("m3", 0, 4*time.Second), want("m4", 1, time.Second)}, nil, "m4"},
		{"both on time", []placement.Want{want("m3", 1, 2*time.Second), want("m4", 1, time.Second)}, nil, "m3"},
		{"both late", []placement.Want{want("m3", 0, 4*time.Second), want("m4", 0, 3*time.Second)}, nil, "m3"},
		{"about to give up", []placement.Want{want("m3", 0, 10*time.Second), want("m4", 1, time.Second)}, nil, "m3"},
		{"demand that has moved", []placement.Want{want("m3", 0, 2*time.Second), want("m4", 1, 0)}, map[model.Name]float64{"m3": 4}, "m3"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := pool(5, 1)
			s.Engines[0].OnDisk["m3"], s.Engines[0].OnDisk["m4"] = true, true
			s.Wants = tc.wants
			for name, rate := range tc.rates {
				s.Rates[name] = rate
			}
			jobs := jobsFor(placement.Plan(s), placement.ReasonWanted)
			must.SliceLen(t, 1, jobs)
			must.Eq(t, tc.load, jobs[0].Load)
		})
	}
}

// Pattern: a calm hour with models that no engine has. They are fetched a few at
// a time, and not while requests wait for the weight store.
func TestPrefetchYieldsToRequests(t *testing.T) {
	s := pool(15, 4)
	must.SliceLen(t, 3, jobsFor(placement.Plan(s), placement.ReasonPrefetch))
	s.StoreLoads = 1
	s.Wants = []placement.Want{{Model: "m14", Waiting: 1, Since: now}}
	jobs := placement.Plan(s)
	must.SliceLen(t, 0, jobsFor(jobs, placement.ReasonPrefetch))
	must.SliceLen(t, 1, jobsFor(jobs, placement.ReasonWanted))
}

// Pattern: a new coordinator meets engines that its predecessor's orders are
// still in progress at. They get none.
func TestEngineWithAnUnknownOrderGetsNoJob(t *testing.T) {
	s := pool(10, 1)
	s.Engines[0].Resident = s.Engines[0].Resident[:2]
	s.Engines[0].Busy, s.Engines[0].FreeAt = true, now.Add(3*time.Second)
	s.Wants = []placement.Want{{Model: "m9", Waiting: 1, Since: now}}
	must.SliceEmpty(t, placement.Plan(s))
}

// Pattern: all models of the only engine are in use. None is unloaded under its
// requests.
func TestModelsInUseStay(t *testing.T) {
	cases := []struct {
		name   string
		change func(r *placement.Resident, s *placement.State)
	}{
		{"running", func(r *placement.Resident, _ *placement.State) { r.Running = 1 }},
		{"just asked for", func(r *placement.Resident, _ *placement.State) { r.Asked = now }},
		{"leaving", func(r *placement.Resident, _ *placement.State) { r.Leaving = true }},
		{"wanted", func(r *placement.Resident, s *placement.State) {
			s.Wants = append(s.Wants, placement.Want{Model: r.Model, Waiting: 1, Since: now})
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := pool(4, 1)
			for i := range s.Engines[0].Resident {
				tc.change(&s.Engines[0].Resident[i], &s)
			}
			s.Wants = append(s.Wants, placement.Want{Model: "m3", Waiting: 1, Since: now})
			must.SliceEmpty(t, placement.Plan(s))
		})
	}
}

// Pattern: any state. A plan gives each free engine one job at most, never more
// than its memory holds, and no more loads from the store than allowed.
func TestPlansKeepTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := rapid.IntRange(1, 30).Draw(t, "models")
		s := pool(models, rapid.IntRange(1, 6).Draw(t, "engines"))
		s.StoreBudget = rapid.IntRange(0, 4).Draw(t, "budget")
		for i := range models {
			name := model.Name(fmt.Sprintf("m%d", i))
			s.Rates[name] = rapid.Float64Range(0, 5).Draw(t, "rate")
			s.Prompts[name] = s.Rates[name] * 1400
			if rapid.Bool().Draw(t, "wanted") {
				s.Wants = append(s.Wants, placement.Want{Model: name, Waiting: 1, Since: now})
			}
		}
		for i := range s.Engines {
			s.Engines[i].Busy = rapid.Bool().Draw(t, "busy")
			s.Engines[i].FreeAt = now.Add(time.Second)
			for j := range s.Engines[i].Resident {
				s.Engines[i].Resident[j].Running = rapid.IntRange(0, 1).Draw(t, "running")
			}
		}
		engines := map[target.ID]placement.Engine{}
		for _, e := range s.Engines {
			engines[e.ID] = e
		}
		fromStore := 0
		seen := map[target.ID]bool{}
		for _, j := range placement.Plan(s) {
			e := engines[j.Engine]
			if e.Busy || seen[j.Engine] {
				t.Fatalf("engine %s got a job while it had one", j.Engine)
			}
			seen[j.Engine] = true
			if j.Source == placement.SourceStore {
				fromStore++
			}
			held := s.Models[j.Load].Size
			for _, r := range e.Resident {
				evicted := false
				for _, name := range j.Evict {
					evicted = evicted || name == r.Model
				}
				switch {
				case evicted && r.Running > 0:
					t.Fatalf("model %s is unloaded while it runs", r.Model)
				case !evicted:
					held += r.Size
				}
			}
			if held > e.Memory {
				t.Fatalf("engine %s would hold %d of %d bytes", j.Engine, held, e.Memory)
			}
		}
		if fromStore > s.StoreBudget {
			t.Fatalf("%d loads from the store, allowed are %d", fromStore, s.StoreBudget)
		}
	})
}
