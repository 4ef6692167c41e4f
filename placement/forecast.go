package placement

import (
	"slices"
	"time"

	"hawthornway/model"
)

// Forecast returns when the requested models whose weights only the weight store has are
// expected to be loaded. They are loaded in the order of their urgency, each as soon as
// the weight store has a free stream.
func Forecast(s State) map[model.Name]time.Time {
	p := newPlanner(s)
	if p.weightStoreOnlyRequests == 0 {
		return nil
	}
	streams := make([]time.Time, WeightStoreStreams)
	for i := range streams {
		streams[i] = p.Now
	}
	for _, e := range p.engines {
		if e.Loading != "" && e.LoadingFrom == SourceWeightStore {
			// A load that is overdue by some time is assumed to last as long again.
			streams[earliest(streams)] = p.Now.Add(e.FreeAt.Sub(p.Now).Abs())
		}
	}
	forecast := make(map[model.Name]time.Time, p.weightStoreOnlyRequests)
	for _, request := range p.requestsByUrgency() {
		m, known := p.Models[request.Model]
		if !known || !p.weightStoreOnly(request.Model) {
			continue
		}
		stream := earliest(streams)
		streams[stream] = streams[stream].Add(LoadTime(m, SourceWeightStore))
		forecast[request.Model] = streams[stream]
	}
	return forecast
}

// earliest returns the index of the earliest time.
func earliest(times []time.Time) int {
	return slices.Index(times, slices.MinFunc(times, time.Time.Compare))
}
