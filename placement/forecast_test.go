package placement_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/model"
	"hawthornway/placement"
)

// All streams of the weight store are busy while rare models are asked for. Each waits
// for a stream in the order of urgency.
func TestForecastOfModelsThatWaitForTheWeightStore(t *testing.T) {
	s := newState(3, 6)
	for i, name := range []model.Name{"a", "b", "c", "d", "x", "y", "z"} {
		m := s.Models["m0"]
		m.Name = name
		s.Models[name] = m
		if i < placement.WeightStoreStreams {
			s.Engines[i+1].Loading, s.Engines[i+1].LoadingFrom, s.Engines[i+1].Busy = name, placement.SourceWeightStore, true
			s.Engines[i+1].FreeAt = now.Add(time.Duration(i+1) * time.Second)
		}
	}
	s.Engines[1].FreeAt = now.Add(-2 * time.Second) // overdue
	s.LoadRequests = []placement.LoadRequest{
		{Model: "x", Waiting: 1, Since: now},
		{Model: "y", Waiting: 2, OnTime: 2, Since: now},
		{Model: "z", Waiting: 1, OnTime: 1, Since: now},
		{Model: "m1", Waiting: 1, OnTime: 1, Since: now}, // loaded
		{Model: "a", Waiting: 1, OnTime: 1, Since: now},  // being loaded
	}
	want := map[model.Name]time.Time{
		"y": now.Add(8 * time.Second), // after a or b, which both end in two seconds
		"z": now.Add(8 * time.Second),
		"x": now.Add(9 * time.Second), // after c
	}
	must.Eq(t, want, placement.Forecast(s))
}
