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
	"hawthornway/team"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const size = model.Bytes(70e9)

// newState returns a state with models m0, m1 and so on, and engines in three domains.
// The engines hold three models each, in order.
func newState(models, engines int) placement.State {
	s := placement.State{
		Now:               now,
		Models:            map[model.Name]catalog.Model{},
		Rates:             map[model.Name]float64{},
		PromptRates:       map[model.Name]float64{},
		RecentAdapters:    map[model.Name]int{},
		AdapterSlots:      8,
		MinResidency:      700 * time.Millisecond,
		WeightStoreBudget: 4,
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
				e.Resident = append(e.Resident, placement.Resident{Model: name, Size: size, LastUsed: now.Add(-time.Minute)})
				e.OnDisk[name] = true
				next++
			}
		}
		s.Engines = append(s.Engines, e)
	}
	return s
}

func jobsWithReason(jobs []placement.Job, reason placement.Reason) (out []placement.Job) {
	for _, j := range jobs {
		if j.Reason == reason {
			out = append(out, j)
		}
	}
	return out
}

// A rarely used model is loaded on the engine with its weights on disk, in place of the
// least recently used model.
func TestRareModelIsLoadedFromDisk(t *testing.T) {
	s := newState(10, 3)
	s.Engines[1].OnDisk["m9"] = true
	s.Engines[1].Resident[0].LastUsed = now.Add(-time.Second)
	s.Engines[1].Resident[1].LastUsed = now.Add(-time.Hour)
	s.LoadRequests = []placement.LoadRequest{{Model: "m9", Waiting: 1, Since: now}}
	jobs := jobsWithReason(placement.Plan(s), placement.ReasonRequested)
	must.Eq(t, []placement.Job{{
		Engine: "e1", Evict: []model.Name{"m4"}, Load: "m9", Source: placement.SourceDisk, Reason: placement.ReasonRequested,
	}}, jobs)
}

// If the engine with a model's weights on disk is busy, the plan waits for it only if
// that is faster than a load from the weight store on another engine.
func TestWaitsForEngineWithWeightsOnDisk(t *testing.T) {
	cases := []struct {
		name   string
		freeIn time.Duration
		want   int
		engine target.ID
	}{
		{"soon free", time.Second, 0, ""},
		{"busy for long", 20 * time.Second, 1, "e0"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newState(10, 2)
			s.Models["m9"] = catalog.Model{Name: "m9", Size: size, StoreLoadTime: 6 * time.Second, DiskLoadTime: time.Second}
			s.Engines[1].OnDisk["m9"] = true
			s.Engines[1].Busy, s.Engines[1].FreeAt = true, now.Add(tc.freeIn)
			s.LoadRequests = []placement.LoadRequest{{Model: "m9", Waiting: 1, Since: now}}
			jobs := jobsWithReason(placement.Plan(s), placement.ReasonRequested)
			must.SliceLen(t, tc.want, jobs)
			if tc.want > 0 {
				must.Eq(t, tc.engine, jobs[0].Engine)
			}
		})
	}
}

// If all models on the engine with the weights are in use, the plan waits for it. A load
// from the weight store would take longer and occupy another engine.
func TestWaitsForEngineWithModelsInUse(t *testing.T) {
	s := newState(10, 3)
	s.Engines[1].OnDisk["m9"] = true
	for i := range s.Engines[1].Resident {
		s.Engines[1].Resident[i].Running = 1
	}
	s.LoadRequests = []placement.LoadRequest{{Model: "m9", Waiting: 1, Since: now}}
	must.SliceEmpty(t, jobsWithReason(placement.Plan(s), placement.ReasonRequested))
}

// If the weight store has capacity for one load, the model with the most waiting
// requests is loaded first, such as a hot model whose engines were lost. It comes before
// models of a higher priority and before further engines for models that have one.
func TestStoreLoadsMostRequestedModelFirst(t *testing.T) {
	s := newState(15, 4)
	s.WeightStoreBudget = 1
	s.Rates["m0"], s.PromptRates["m0"] = 20, 40_000
	s.LoadRequests = []placement.LoadRequest{
		{Model: "m13", Waiting: 1, Priority: 0, Since: now.Add(-time.Second)},
		{Model: "m14", Waiting: 40, Priority: 2, Since: now},
	}
	var fetched []model.Name
	for _, j := range placement.Plan(s) {
		if j.Source == placement.SourceWeightStore {
			fetched = append(fetched, j.Load)
		}
	}
	must.Eq(t, []model.Name{"m14"}, fetched)
}

// If the engine with the weights never becomes free because an order hangs or its
// models are always in use, the model must be loaded on another engine in the end.
func TestLoadRequestsDoNotWaitForever(t *testing.T) {
	inUse := func(e *placement.Engine) {
		for i := range e.Resident {
			e.Resident[i].Running = 1
		}
	}
	overdue := func(by time.Duration) func(e *placement.Engine) {
		return func(e *placement.Engine) { e.Busy, e.FreeAt = true, now.Add(-by) }
	}
	cases := []struct {
		name  string
		stuck func(e *placement.Engine)
		since time.Duration
		want  int
	}{
		{"order slightly overdue", overdue(time.Second), 5 * time.Second, 0},
		{"order hangs", overdue(8 * time.Second), 5 * time.Second, 1},
		{"models in use, new request", inUse, 0, 0},
		{"models in use, old request", inUse, 10 * time.Second, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newState(10, 3)
			s.Engines[1].OnDisk["m9"] = true
			tc.stuck(&s.Engines[1])
			s.LoadRequests = []placement.LoadRequest{{Model: "m9", Waiting: 1, Since: now.Add(-tc.since)}}
			must.SliceLen(t, tc.want, jobsWithReason(placement.Plan(s), placement.ReasonRequested))
		})
	}
}

// A model whose prefill exceeds its share of an engine gets another engine. If it needs
// at least twice its engines, that comes before loads of requested models.
func TestHotModelGetsMoreEngines(t *testing.T) {
	cases := []struct {
		name       string
		promptRate float64
		spread     int
		first      placement.Reason
	}{
		{"within its share", 4_000, 0, placement.ReasonRequested},
		{"more than its share", 7_000, 1, placement.ReasonRequested},
		{"twice its share", 12_000, 1, placement.ReasonSpread},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newState(10, 3)
			s.Rates["m0"], s.PromptRates["m0"] = tc.promptRate/1400, tc.promptRate
			s.LoadRequests = []placement.LoadRequest{{Model: "m9", Waiting: 1, Since: now}}
			jobs := placement.Plan(s)
			spread := jobsWithReason(jobs, placement.ReasonSpread)
			must.SliceLen(t, tc.spread, spread)
			must.Eq(t, tc.first, jobs[0].Reason)
			for _, j := range spread {
				must.Eq(t, "m0", j.Load)
				must.NotEq(t, "e0", j.Engine)
			}
		})
	}
}

// A model with more recently requested adapters than an engine has slots gets a second
// engine, so that the adapters don't evict each other.
func TestManyAdaptersGetAnotherEngine(t *testing.T) {
	s := newState(9, 3)
	s.Rates["m0"], s.RecentAdapters["m0"] = 0.5, 12
	must.SliceLen(t, 1, jobsWithReason(placement.Plan(s), placement.ReasonSpread))
	s.RecentAdapters["m0"] = 8
	must.SliceLen(t, 0, jobsWithReason(placement.Plan(s), placement.ReasonSpread))
}

// A frequently used model gets a second engine in another domain, so that the loss of
// one engine doesn't remove its only replica.
func TestFrequentlyUsedModelGetsStandby(t *testing.T) {
	s := newState(9, 3)
	s.Rates["m0"] = 1
	jobs := jobsWithReason(placement.Plan(s), placement.ReasonStandby)
	must.SliceLen(t, 1, jobs)
	must.NotEq(t, "e0", jobs[0].Engine)
	s.Rates["m0"] = 0.1
	must.SliceLen(t, 0, jobsWithReason(placement.Plan(s), placement.ReasonStandby))
}

// In a burst of requests for more models than can be loaded in time, requests that can
// still be on time come first, until a late one has waited so long that its caller is
// about to give up.
func TestBurstServesRequestsThatCanBeOnTimeFirst(t *testing.T) {
	request := func(name model.Name, onTime int, age time.Duration) placement.LoadRequest {
		return placement.LoadRequest{Model: name, Waiting: 1, OnTime: onTime, Since: now.Add(-age)}
	}
	cases := []struct {
		name     string
		requests []placement.LoadRequest
		rates    map[model.Name]float64
		load     model.Name
	}{
		{"late and new", []placement.LoadRequest{request("m3", 0, 4*time.Second), request("m4", 1, time.Second)}, nil, "m4"},
		{"both on time", []placement.LoadRequest{request("m3", 1, 2*time.Second), request("m4", 1, time.Second)}, nil, "m3"},
		{"both late", []placement.LoadRequest{request("m3", 0, 4*time.Second), request("m4", 0, 3*time.Second)}, nil, "m3"},
		{"about to give up", []placement.LoadRequest{request("m3", 0, 10*time.Second), request("m4", 1, time.Second)}, nil, "m3"},
		{"late with a high request rate", []placement.LoadRequest{request("m3", 0, 2*time.Second), request("m4", 1, 0)}, map[model.Name]float64{"m3": 4}, "m3"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newState(5, 1)
			s.Engines[0].OnDisk["m3"], s.Engines[0].OnDisk["m4"] = true, true
			s.LoadRequests = tc.requests
			for name, rate := range tc.rates {
				s.Rates[name] = rate
			}
			jobs := jobsWithReason(placement.Plan(s), placement.ReasonRequested)
			must.SliceLen(t, 1, jobs)
			must.Eq(t, tc.load, jobs[0].Load)
		})
	}
}

// Without load requests, models that no engine has are prefetched, a few at a time.
// There is no prefetch while requests wait for the weight store.
func TestPrefetchYieldsToRequests(t *testing.T) {
	s := newState(15, 4)
	must.SliceLen(t, 3, jobsWithReason(placement.Plan(s), placement.ReasonPrefetch))
	s.WeightStoreLoads = 1
	s.LoadRequests = []placement.LoadRequest{{Model: "m14", Waiting: 1, Since: now}}
	jobs := placement.Plan(s)
	must.SliceLen(t, 0, jobsWithReason(jobs, placement.ReasonPrefetch))
	must.SliceLen(t, 1, jobsWithReason(jobs, placement.ReasonRequested))
}

// Engines that still carry out orders of a former coordinator get no jobs.
func TestEngineWithUnknownOrderGetsNoJob(t *testing.T) {
	s := newState(10, 1)
	s.Engines[0].Resident = s.Engines[0].Resident[:2]
	s.Engines[0].Busy, s.Engines[0].FreeAt = true, now.Add(3*time.Second)
	s.LoadRequests = []placement.LoadRequest{{Model: "m9", Waiting: 1, Since: now}}
	must.SliceEmpty(t, placement.Plan(s))
}

// Models that are in use are not evicted.
func TestModelsInUseAreNotEvicted(t *testing.T) {
	cases := []struct {
		name   string
		change func(r *placement.Resident, s *placement.State)
	}{
		{"running", func(r *placement.Resident, _ *placement.State) { r.Running = 1 }},
		{"recently used", func(r *placement.Resident, _ *placement.State) { r.LastUsed = now }},
		{"unloading", func(r *placement.Resident, _ *placement.State) { r.Unloading = true }},
		{"requested", func(r *placement.Resident, s *placement.State) {
			s.LoadRequests = append(s.LoadRequests, placement.LoadRequest{Model: r.Model, Waiting: 1, Since: now})
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newState(4, 1)
			for i := range s.Engines[0].Resident {
				tc.change(&s.Engines[0].Resident[i], &s)
			}
			s.LoadRequests = append(s.LoadRequests, placement.LoadRequest{Model: "m3", Waiting: 1, Since: now})
			must.SliceEmpty(t, placement.Plan(s))
		})
	}
}

// In any state, a plan gives each idle engine at most one job, never exceeds an engine's
// memory, never evicts a model in use, and keeps to the budget of loads from the store.
func TestPlansKeepLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := rapid.IntRange(1, 30).Draw(t, "models")
		s := newState(models, rapid.IntRange(1, 6).Draw(t, "engines"))
		s.WeightStoreBudget = rapid.IntRange(0, 4).Draw(t, "budget")
		for i := range models {
			name := model.Name(fmt.Sprintf("m%d", i))
			s.Rates[name] = rapid.Float64Range(0, 5).Draw(t, "rate")
			s.PromptRates[name] = s.Rates[name] * 1400
			if rapid.Bool().Draw(t, "requested") {
				s.LoadRequests = append(s.LoadRequests, placement.LoadRequest{Model: name, Waiting: 1, Since: now})
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
				t.Fatalf("engine %s got a job while it was busy", j.Engine)
			}
			seen[j.Engine] = true
			if j.Source == placement.SourceWeightStore {
				fromStore++
			}
			memory := s.Models[j.Load].Size
			for _, r := range e.Resident {
				evicted := false
				for _, name := range j.Evict {
					evicted = evicted || name == r.Model
				}
				switch {
				case evicted && r.Running > 0:
					t.Fatalf("model %s is evicted while requests use it", r.Model)
				case !evicted:
					memory += r.Size
				}
			}
			if memory > e.Memory {
				t.Fatalf("engine %s would hold %d of %d bytes", j.Engine, memory, e.Memory)
			}
		}
		if fromStore > s.WeightStoreBudget {
			t.Fatalf("%d loads from the store exceed the budget of %d", fromStore, s.WeightStoreBudget)
		}
	})
}

// Requests wait for a model whose only engine has a limit. Another engine loads it, and only
// if all engines have limits, none does.
func TestModelOfLimitedEngineIsLoadedOnAnother(t *testing.T) {
	cases := []struct {
		name    string
		limited []int
		want    []target.ID
	}{
		{"no limit", nil, nil},
		{"its engine", []int{0}, []target.ID{"e1"}},
		{"its engine and another", []int{0, 1}, []target.ID{"e2"}},
		{"all engines", []int{0, 1, 2}, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newState(9, 3)
			for _, i := range tc.limited {
				s.Engines[i].Limited = true
			}
			for i := range s.Engines {
				s.Engines[i].OnDisk["m0"] = true
			}
			s.LoadRequests = []placement.LoadRequest{{Model: "m0", Waiting: 1, Since: now}}
			var engines []target.ID
			for _, job := range placement.Plan(s) {
				engines = append(engines, job.Engine)
			}
			must.Eq(t, tc.want, engines)
		})
	}
}

// Guards against a stream that can't go on since its model is only loaded at another software
// version than that which began it.
func TestModelIsLoadedAtTheVersionThatRequestsNeed(t *testing.T) {
	cases := []struct {
		name   string
		needed target.Version
		// onV2 are the models on the engine of version v2, beside m0 on that of v1.
		onV2 []model.Name
		want []target.ID
	}{
		{"held at the other version", "v2", nil, []target.ID{"e1"}},
		{"held at the needed version", "v1", nil, nil},
		{"held at both", "v2", []model.Name{"m0"}, nil},
		{"any version", "", nil, nil},
		{"no engine of the version", "v3", nil, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newState(1, 2)
			s.Engines[0].Version, s.Engines[1].Version = "v1", "v2"
			for _, name := range tc.onV2 {
				s.Engines[1].Resident = append(s.Engines[1].Resident, placement.Resident{Model: name, Size: size})
			}
			s.LoadRequests = []placement.LoadRequest{{Model: "m0", Version: tc.needed, Waiting: 1, OnTime: 1, Since: now}}
			var engines []target.ID
			for _, job := range placement.Plan(s) {
				must.Eq(t, "m0", job.Load)
				engines = append(engines, job.Engine)
			}
			must.Eq(t, tc.want, engines)
		})
	}
}

// Load: a domain is evacuated that alone holds models in demand. Guards against requests that wait
// for a load only after the domain is empty, and against loads on its engines.
func TestModelsOfEvacuatedEnginesAreLoadedElsewhere(t *testing.T) {
	s := newState(9, 4)
	s.Evacuated, s.Engines = s.Engines[:1], s.Engines[1:]
	s.Rates["m0"], s.Rates["m1"], s.Rates["m2"] = 0.4, 2, 0.01
	jobs := placement.Plan(s)
	must.SliceNotEmpty(t, jobs)
	must.Eq(t, "m1", jobs[0].Load, must.Sprint("what is in most demand comes first"))
	must.Eq(t, placement.ReasonEvacuated, jobs[0].Reason)
	for _, job := range jobs {
		must.NotEq(t, s.Evacuated[0].ID, job.Engine)
		must.False(t, job.Load == "m2" && job.Reason == placement.ReasonEvacuated)
	}
}

// Guards against a model that is loaded where the requests that wait for it may not run, and
// against one that counts as loaded there.
func TestRequestsWithHomesAreLoadedAtHome(t *testing.T) {
	s := newState(9, 4) // e0 in d0 holds m0, and e3 in d0 nothing
	s.LoadRequests = []placement.LoadRequest{{Model: "m0", Domains: map[fleet.DomainID]bool{"d1": true}, Waiting: 1, Since: now}}
	jobs := placement.Plan(s)
	must.SliceLen(t, 1, jobs)
	must.Eq(t, "e1", jobs[0].Engine)
	s.LoadRequests[0].Domains = map[fleet.DomainID]bool{"d0": true}
	must.SliceEmpty(t, placement.Plan(s))
}

// Load: a model that one engine holds becomes popular at once. Guards against further engines that
// load it one after another, each for seconds, while its callers miss their objective.
func TestModelFarBelowItsDemandIsLoadedSideBySide(t *testing.T) {
	loads := func(prompts float64) int {
		s := newState(9, 12)
		s.Rates["m0"], s.PromptRates["m0"] = 2, prompts
		for i := range s.Engines {
			s.Engines[i].OnDisk["m0"] = true
		}
		n := 0
		for range 10 { // plans while no load ends
			for _, job := range placement.Plan(s) {
				if job.Load != "m0" || job.Reason != placement.ReasonSpread {
					continue
				}
				n++
				for i := range s.Engines {
					if e := &s.Engines[i]; e.ID == job.Engine {
						e.Loading, e.LoadingFrom, e.Busy, e.FreeAt = job.Load, job.Source, true, now.Add(time.Second)
					}
				}
			}
		}
		return n
	}
	must.Eq(t, 0, loads(4_000))
	must.Eq(t, 1, loads(6_000), must.Sprint("one at a time while one more is enough"))
	must.Eq(t, 1, loads(18_000))
	must.Eq(t, 3, loads(38_000), must.Sprint("until the engines read half of the prompts"))
}

// Load: a model with more prompts than its engine reads, before engines that differ in speed. Guards
// against a copy on a slow engine, which soon lacks time again.
func TestPopularModelGoesToFastEngine(t *testing.T) {
	s := newState(10, 4)
	for i := range s.Engines {
		s.Engines[i].ReadSpeed = []team.TokensPerSecond{20_000, 12_000, 33_000, 12_000}[i]
		s.Engines[i].Resident = nil
		s.Engines[i].OnDisk["m0"] = true
	}
	s.Engines[0].Resident = []placement.Resident{{Model: "m0", Size: size}}
	s.Rates["m0"], s.PromptRates["m0"] = 12, 12_000
	jobs := jobsWithReason(placement.Plan(s), placement.ReasonSpread)
	must.SliceLen(t, 1, jobs)
	must.Eq(t, "e2", jobs[0].Engine)
}
