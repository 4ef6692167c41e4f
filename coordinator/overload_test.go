package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/catalog"
	"hawthornway/fleet"
	"hawthornway/model"
	"hawthornway/overload"
	"hawthornway/roster"
	"hawthornway/target"
	"hawthornway/team"
)

// newOverloaded returns a coordinator with an engine that holds models hot and rare, and a function
// that returns the allocations that its answers show.
func newOverloaded(t *testing.T) (f *lapsingFleet, allocations func() (overload.Allocation, bool)) {
	f = newLapsingFleet(t)
	f.coordinator.catalogs = func() *catalog.Catalog { return &catalog.Catalog{} }
	f.coordinator.engines["e"] = &engine{
		target: roster.Target{ID: "e", Pool: "p"}, reported: true, start: 1,
		resident: map[model.Name]*resident{"hot": {}, "rare": {}},
	}
	var got map[target.Pool]overload.Allocation
	var isEarly bool
	f.client.updateAllocations = func(a map[target.Pool]overload.Allocation, early bool) { got, isEarly = a, early }
	return f, func() (overload.Allocation, bool) {
		f.coordinator.admission.computedAt = time.Time{}
		f.report(t)
		return got["p"], isEarly
	}
}

func demandOf(name model.Name, id team.ID, requests int) wireDemand {
	return wireDemand{Pool: "p", Model: name, Count: requests, Prompt: team.Tokens(1000 * requests), Priority: 1, Team: id}
}

// Load: a team sends six times what the only engine with a model reads, over two hosts. Guards against
// hosts that don't learn what to refuse, against refusals of others' requests, and against demand of
// pools whose targets don't state how long work takes.
func TestHostsLearnWhatToRefuse(t *testing.T) {
	f, allocations := newOverloaded(t)
	for _, host := range []string{"a", "b"} {
		_, err := f.coordinator.report(fleet.HostID(host), wireReport{Fence: f.client.fence, Demand: []wireDemand{{Pool: "p", Model: "hot", Count: 500, Prompt: 500_000}}})
		must.NoError(t, err, must.Sprint(host))
	}
	a, _ := allocations()
	must.SliceEmpty(t, a.Shares, must.Sprint("hosts name the teams for pools that state how long work takes"))
	for _, host := range []string{"a", "b"} {
		_, err := f.coordinator.report(fleet.HostID(host), wireReport{
			Fence: f.client.fence, Demand: []wireDemand{demandOf("hot", "large", 60), demandOf("hot", "small", 1), demandOf("rare", "other", 1)},
			Unread: []wireUnread{{Target: "e", Tokens: 4_000}},
		})
		must.NoError(t, err, must.Sprint(host))
	}
	a, early := allocations()
	must.True(t, early, must.Sprint("the term has just begun"))
	must.SliceLen(t, 1, a.Shares)
	must.Eq(t, overload.FlowID{Model: "hot", Priority: 1, Team: "large"}, a.Shares[0].FlowID)
	must.Between(t, 0.001, a.Shares[0].Admitted, 0.3)
	must.SliceLen(t, 1, a.Allotments)
	f.coordinator.termBegan = f.coordinator.termBegan.Add(-ReportTime)
	_, early = allocations()
	must.False(t, early)

	for key, r := range f.coordinator.admission.flows {
		r.updatedAt = r.updatedAt.Add(-time.Minute)
		f.coordinator.admission.flows[key] = r
	}
	a, _ = allocations()
	must.SliceEmpty(t, a.Shares)
	must.MapEmpty(t, f.coordinator.admission.flows)
	must.MapEmpty(t, f.coordinator.admission.refused["p"])
}

// Load: requests wait for a model that an engine will hold within a moment. Guards against all of them
// being sent at once when it does.
func TestWaitingRequestsCountAsDemand(t *testing.T) {
	f, allocations := newOverloaded(t)
	_, err := f.coordinator.report("h", wireReport{Fence: f.client.fence, Demand: []wireDemand{demandOf("hot", "large", 15)}})
	must.NoError(t, err)
	a, _ := allocations()
	must.SliceEmpty(t, a.Shares)
	f.coordinator.recordLoadRequest("h", wireLoadRequest{Pool: "p", Model: "hot", Waiting: 100})
	a, _ = allocations()
	must.SliceLen(t, 1, a.Shares)
}

// Load: many overloaded models in a large fleet. Guards against answers that grow with it.
func TestAllocationsAreBounded(t *testing.T) {
	f, allocations := newOverloaded(t)
	var demand []wireDemand
	for i := range 300 {
		name := model.Name(fmt.Sprint("m", i))
		for n := range 1 + i%30 {
			id := target.ID(fmt.Sprint("e-", i, "-", n))
			f.coordinator.engines[id] = &engine{target: roster.Target{ID: id, Pool: "p"}, reported: true, start: 1, resident: map[model.Name]*resident{name: {}}}
		}
		demand = append(demand, demandOf(name, "large", 10_000))
	}
	_, err := f.coordinator.report("h", wireReport{Fence: f.client.fence, Demand: demand})
	must.NoError(t, err)
	a, _ := allocations()
	must.SliceLen(t, maxSharesPerAnswer, a.Shares)
	must.LessEq(t, maxAllotmentsPerAnswer, len(a.Allotments))
	byModel := map[model.Name]int{}
	for _, r := range a.Allotments {
		byModel[r.Model]++
	}
	for name, n := range byModel {
		must.LessEq(t, maxAllotmentsPerModel, n, must.Sprint(name))
		must.Eq(t, n, 1+atoi(t, name)%30, must.Sprint("all engines of a model or none"))
	}
}

func atoi(t *testing.T, name model.Name) (i int) {
	t.Helper()
	_, err := fmt.Sscanf(string(name), "m%d", &i)
	must.NoError(t, err)
	return i
}

// Load: the engine with an adapter is behind with reading. Guards against requests for the adapter that
// stay there while another engine with the model has time, and against adapters on engines without a
// free slot.
func TestAdaptersSpreadFromBusyEngines(t *testing.T) {
	cases := []struct {
		name      string
		unread    team.Tokens // at the engine with the adapter
		elsewhere int         // adapters that the other engine holds
		want      bool
	}{
		{"no backlog", 100, 0, false},
		{"behind", 60_000, 0, true},
		{"no free slot", 60_000, 2, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f, _ := newOverloaded(t)
			c := f.coordinator
			other := &engine{
				target: roster.Target{ID: "e2", Pool: "p"}, reported: true, start: 1, adapterJobs: make(chan adapterJob, 1), pendingAdapters: map[adapterJob]bool{},
				resident: map[model.Name]*resident{"hot": {adapterLastUsed: map[model.Name]time.Time{}}},
			}
			for i := range tc.elsewhere {
				other.resident["hot"].adapterLastUsed[model.Name(fmt.Sprint("other", i))] = time.Time{}
			}
			c.engines["e2"] = other
			c.engines["e"].resident["hot"].adapterLastUsed = map[model.Name]time.Time{"a1": {}}
			_, err := c.report("h", wireReport{
				Fence: f.client.fence, Running: []wireRunning{{Target: "e", Model: "hot", Adapter: "a1", Count: 9}, {Target: "e", Model: "hot", Count: 30}},
				Unread: []wireUnread{{Target: "e", Tokens: tc.unread}}, Stated: []wireStated{{Target: "e", Start: 1, Sum: 100, Count: 1}},
			})
			must.NoError(t, err)
			pool := catalog.Pool{Name: "p", Engines: &catalog.Engines{AdapterSlots: 2}}
			for range 2 { // the second time it is pending
				clear(c.admission.adaptersAt)
				c.spreadAdapters(pool)
			}
			must.Eq(t, tc.want, other.pendingAdapters[adapterJob{"hot", "a1"}])
			must.Eq(t, tc.want, len(other.adapterJobs) == 1)
			_, done := c.admission.adaptersAt["another pool"]
			must.False(t, done, must.Sprint("pools are independent"))
		})
	}
}
