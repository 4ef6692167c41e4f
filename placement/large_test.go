package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/catalog"
	"hawthornway/model"
	"hawthornway/placement"
	"hawthornway/target"
)

// largeState returns a fleet of 124 engines and 688 models, with requests that wait for as
// many models as given.
func largeState(waiting int) placement.State {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := placement.State{
		Now: now, Models: map[model.Name]catalog.Model{}, Rates: map[model.Name]float64{}, PromptRates: map[model.Name]float64{},
		AdapterSlots: 8, HostMemory: 150e9, MinResidency: time.Second, WeightStoreBudget: 3,
	}
	name := func(i int) model.Name { return model.Name(fmt.Sprintf("m%03d", i%688)) }
	for i := range 688 {
		s.Models[name(i)] = catalog.Model{Name: name(i), Size: 70e9, StoreLoadTime: 8 * time.Second, DiskLoadTime: time.Second, MemoryLoadTime: 400 * time.Millisecond}
		s.Rates[name(i)], s.PromptRates[name(i)] = 1/float64(1+i), 100/float64(1+i)
	}
	for i := range 124 {
		e := placement.Engine{ID: target.ID(fmt.Sprintf("e%03d", i)), Domain: "d", Memory: 219e9, OnDisk: map[model.Name]bool{}, Work: i % 7, Slots: 12}
		for j := range 3 {
			e.Resident = append(e.Resident, placement.Resident{Model: name(i*3 + j), Size: 70e9, LastUsed: now.Add(-time.Duration(i+j) * 100 * time.Millisecond)})
		}
		for j := range 18 {
			e.OnDisk[name(i*5+j*37)] = true
		}
		s.Engines = append(s.Engines, e)
	}
	for i := range waiting {
		s.LoadRequests = append(s.LoadRequests, placement.LoadRequest{Model: name(687 - i), Priority: i % 3, Since: now.Add(-time.Second), Waiting: 1, OnTime: 1})
	}
	return s
}

// The coordinator answers no host while it plans, and a host that isn't answered gives it
// up after 400 ms. A plan for many models must take little work, on weak hosts too.
func TestPlanForManyModelsTakesLittleWork(t *testing.T) {
	const maxAllocations = 10_000
	s := largeState(200)
	must.LessEq(t, maxAllocations, testing.AllocsPerRun(3, func() { placement.Plan(s) }))
}

func BenchmarkPlan(b *testing.B) {
	for _, waiting := range []int{0, 30, 200} {
		b.Run(fmt.Sprintf("%d models waited for", waiting), func(b *testing.B) {
			s := largeState(waiting)
			b.ReportAllocs()
			for b.Loop() {
				placement.Plan(s)
			}
		})
	}
}
