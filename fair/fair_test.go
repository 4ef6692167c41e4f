package fair

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"hawthornway/outcome"
	"hawthornway/team"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestMaxMin(t *testing.T) {
	cases := []struct {
		name     string
		demands  []float64
		weights  []float64
		capacity float64
		parts    []float64
	}{
		{"none", nil, nil, 10, []float64{}},
		{"enough", []float64{1, 2}, []float64{1, 1}, 10, []float64{1, 2}},
		{"one demand several times its part", []float64{2, 50, 4}, []float64{1, 1, 1}, 12, []float64{2, 6, 4}},
		{"weights", []float64{50, 50}, []float64{1, 3}, 8, []float64{2, 6}},
		{"weight of zero counts as one", []float64{50, 50}, []float64{0, 1}, 8, []float64{4, 4}},
		{"no capacity", []float64{5}, []float64{1}, -1, []float64{0}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.parts, MaxMin(c.demands, c.weights, c.capacity))
		})
	}
}

// TestMaxMinIsFair checks the definition of max-min fairness: no allocation below its
// demand is smaller for its weight than any other.
func TestMaxMinIsFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "n")
		demands := rapid.SliceOfN(rapid.Float64Range(0, 100), n, n).Draw(t, "demands")
		weights := rapid.SliceOfN(rapid.Float64Range(0.1, 10), n, n).Draw(t, "weights")
		capacity := rapid.Float64Range(0, 500).Draw(t, "capacity")
		parts := MaxMin(demands, weights, capacity)
		sum, largest := 0.0, 0.0
		for i, part := range parts {
			must.LessEq(t, demands[i], part)
			sum += part
			largest = max(largest, part/weights[i])
		}
		must.LessEq(t, capacity+1e-6, sum)
		for i, part := range parts {
			if part < demands[i]-1e-6 {
				must.GreaterEq(t, largest-1e-6, part/weights[i])
				must.GreaterEq(t, capacity-1e-6, sum)
			}
		}
	})
}

// TestTreapKeepsOrder compares a treap with a sorted slice.
func TestTreapKeepsOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tree treap
		var sorted []*node
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			if len(sorted) > 0 && rapid.IntRange(0, 2).Draw(t, "step") == 0 {
				at := rapid.IntRange(0, len(sorted)-1).Draw(t, "removed")
				tree.remove(sorted[at])
				sorted = slices.Delete(sorted, at, at+1)
			} else {
				deadline := testStart.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "deadline")) * time.Second)
				n := &node{arrival: uint64(i), entry: Entry{Deadline: deadline, Cost: team.Tokens(i), Bytes: 1}}
				tree.insert(n)
				sorted = append(sorted, n)
				slices.SortFunc(sorted, func(a, b *node) int {
					return cmp.Or(a.entry.Deadline.Compare(b.entry.Deadline), cmp.Compare(a.arrival, b.arrival))
				})
			}
			must.Eq(t, len(sorted), tree.len())
			must.Eq(t, int64(len(sorted)), tree.bytes)
			if len(sorted) > 0 {
				must.True(t, tree.first() == sorted[0])
			}
			var before team.Tokens
			for _, n := range sorted {
				if !n.entry.Deadline.After(testStart.Add(4 * time.Second)) {
					before += n.entry.Cost
				}
			}
			must.Eq(t, before, tree.costBefore(testStart.Add(4*time.Second)))
		}
	})
}

func testSettings(weights map[team.ID]float64) func(team.ID) Settings {
	return func(id team.ID) Settings {
		return Settings{Weight: weights[id], Entries: 1000, Bytes: 1 << 20}
	}
}

// serve runs requests of one team, each for a tenth of a second, and returns a counter of
// the tokens that were served.
func serve(q Queue, id team.ID, callers int, cost, used team.Tokens, length time.Duration) *atomic.Int64 {
	served := new(atomic.Int64)
	end := time.Now().Add(length)
	for range callers {
		go func() {
			for time.Now().Before(end) {
				ticket, refusal := q.Wait(context.Background(), Entry{Team: id, Cost: cost, Deadline: end})
				if refusal != nil {
					time.Sleep(refusal.RetryAfter)
					continue
				}
				time.Sleep(100 * time.Millisecond)
				ticket.Done(used)
				served.Add(int64(used))
			}
		}()
	}
	return served
}

// TestTeamsShareByWeight checks that a team that sends many times more requests than the
// others gets no more than its part by weight.
func TestTeamsShareByWeight(t *testing.T) {
	cases := []struct {
		name    string
		weights map[team.ID]float64
		cost    map[team.ID]team.Tokens
		parts   map[team.ID]float64
	}{
		{
			"equal weights",
			map[team.ID]float64{"busy": 1, "a": 1, "b": 1},
			map[team.ID]team.Tokens{"busy": 10, "a": 10, "b": 10},
			map[team.ID]float64{"busy": 1. / 3, "a": 1. / 3, "b": 1. / 3},
		},
		{
			"weights",
			map[team.ID]float64{"busy": 1, "a": 2, "b": 1},
			map[team.ID]team.Tokens{"busy": 10, "a": 10, "b": 10},
			map[team.ID]float64{"busy": .25, "a": .5, "b": .25},
		},
		{
			"large requests",
			map[team.ID]float64{"busy": 1, "a": 1, "b": 1},
			map[team.ID]team.Tokens{"busy": 40, "a": 10, "b": 10},
			map[team.ID]float64{"busy": 1. / 3, "a": 1. / 3, "b": 1. / 3},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := New(10, testSettings(c.weights))
				served := map[team.ID]*atomic.Int64{}
				for id, callers := range map[team.ID]int{"busy": 200, "a": 30, "b": 30} {
					served[id] = serve(q, id, callers, c.cost[id], c.cost[id], 2*time.Minute)
				}
				time.Sleep(3 * time.Minute)
				all := float64(served["busy"].Load() + served["a"].Load() + served["b"].Load())
				for id, part := range c.parts {
					must.InDelta(t, part, float64(served[id].Load())/all, 0.02, must.Sprintf("team %s", id))
				}
			})
		})
	}
}

func TestUnusedTokensAreRefunded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(10, testSettings(map[team.ID]float64{"a": 1, "b": 1}))
		a := serve(q, "a", 30, 100, 10, time.Minute)
		b := serve(q, "b", 30, 10, 10, time.Minute)
		time.Sleep(2 * time.Minute)
		must.InDelta(t, 0.5, float64(a.Load())/float64(a.Load()+b.Load()), 0.02)
	})
}

func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := func(team.ID) Settings { return Settings{Weight: 1, Entries: 3, Bytes: 10} }
		q := New(1, settings)
		in := func(d time.Duration) time.Time { return time.Now().Add(d) }
		first, refusal := q.Wait(t.Context(), Entry{Team: "a", Deadline: in(time.Hour)})
		must.Nil(t, refusal)
		refused := make(chan *Refusal, 1)
		wait := func(ctx context.Context, entry Entry) {
			_, refusal := q.Wait(ctx, entry)
			refused <- refusal
		}
		go wait(t.Context(), Entry{Team: "a", Bytes: 6, Deadline: in(time.Second)})
		synctest.Wait()
		must.Eq(t, 1, q.Waiting())
		_, refusal = q.Wait(t.Context(), Entry{Team: "a", Bytes: 5, Deadline: in(time.Second)})
		must.Eq(t, outcome.ReasonQueueFull, refusal.Reason)
		begin := time.Now()
		must.Eq(t, outcome.ReasonDeadline, (<-refused).Reason)
		must.Eq(t, time.Second, time.Since(begin))
		ctx, cancel := context.WithCancel(t.Context())
		go wait(ctx, Entry{Team: "a", Deadline: in(time.Hour)})
		synctest.Wait()
		cancel()
		must.Eq(t, outcome.ReasonCallerLeft, (<-refused).Reason)
		must.Zero(t, q.Waiting())
		first.Done(0)
		first.Done(0)
		_, refusal = q.Wait(t.Context(), Entry{Team: "b", Deadline: in(time.Second)})
		must.Nil(t, refusal)
	})
}

// TestLateRequestIsRefusedImmediately checks that a request that can't start before its
// deadline is refused on arrival, and that a later retry starts.
func TestLateRequestIsRefusedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(1, testSettings(nil))
		end := time.Now().Add(8 * time.Second)
		for range 100 {
			go func() {
				ticket, refusal := q.Wait(t.Context(), Entry{Team: "a", Cost: 10, Deadline: end})
				if refusal == nil {
					time.Sleep(100 * time.Millisecond)
					ticket.Done(10)
				}
			}()
		}
		time.Sleep(2050 * time.Millisecond)
		begin := time.Now()
		timeToDeadline := end.Sub(begin) + 1
		_, refusal := q.Wait(t.Context(), Entry{Team: "a", Cost: 10, Deadline: begin.Add(timeToDeadline)})
		must.NotNil(t, refusal)
		must.Eq(t, outcome.ReasonDeadline, refusal.Reason)
		must.Zero(t, time.Since(begin))
		must.Between(t, 1500*time.Millisecond, refusal.RetryAfter, 2500*time.Millisecond)
		ticket, refusal := q.Wait(t.Context(), Entry{Team: "b", Cost: 10, Deadline: begin.Add(time.Second)})
		must.Nil(t, refusal)
		ticket.Done(10)
		time.Sleep(begin.Add(1500 * time.Millisecond).Sub(time.Now()))
		_, refusal = q.Wait(t.Context(), Entry{Team: "a", Cost: 10, Deadline: end.Add(2500 * time.Millisecond)})
		must.Nil(t, refusal)
	})
}

func BenchmarkQueueOrder(b *testing.B) {
	for _, size := range []int{100, 1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("waiting=%d", size), func(b *testing.B) {
			const teams = 200
			s := newScheduler()
			add := func(i int) {
				deadline := testStart.Add(time.Duration(i*7919%100_000) * time.Millisecond)
				s.push(&node{entry: Entry{Team: team.ID(fmt.Sprint(i % teams)), Cost: 10, Deadline: deadline}}, 1)
			}
			for i := range size {
				add(i)
			}
			b.ResetTimer()
			for i := range b.N {
				n := s.pop()
				n.entry.Deadline = testStart.Add(time.Duration(i*7919%100_000) * time.Millisecond)
				s.push(n, 1)
			}
		})
	}
}

func BenchmarkMaxMin(b *testing.B) {
	for _, size := range []int{5, 50, 200, 1_000} {
		b.Run(fmt.Sprintf("teams=%d", size), func(b *testing.B) {
			demands, weights := make([]float64, size), make([]float64, size)
			for i := range size {
				demands[i], weights[i] = math.Mod(float64(i)*7.3, 11), 1+float64(i%3)
			}
			for b.Loop() {
				MaxMin(demands, weights, float64(size)*3)
			}
		})
	}
}
