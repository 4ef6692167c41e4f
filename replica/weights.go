package replica

import (
	"time"
)

// WeightStoreState is the state of the weight store.
type WeightStoreState struct {
	// RatePerSecond bounds the starts of loads.
	RatePerSecond float64
	// Slots is the number of model loads that run at full speed.
	Slots int
	// Running and Waiting count the fleet's model loads.
	Running int
	Waiting int
	// Adapters counts the fleet's adapter loads in flight.
	Adapters int
}

const (
	defaultWeightRate  = 3
	defaultWeightSlots = 4
	// maxAdapterLoads is the number of adapter loads that run at full speed.
	maxAdapterLoads = 32

	// memoryFactor and diskFactor are the parts of a load time from the weight
	// store that a load from an engine's own memory or disk takes, until loads
	// have been seen.
	memoryFactor = 0.1
	diskFactor   = 0.4
	// speedGain is the part of a new measurement in the running mean.
	speedGain = 0.3
	// hungFactor is the growth of expected load times with each load that was
	// given up.
	hungFactor = 1.5
	// maxSlowdown bounds the running mean of load times over expected ones.
	maxSlowdown = 50
)

// loadSpeed predicts load times from those seen. Loads of models take a multiple
// of the configured time. Loads of adapters, which take milliseconds, take a time
// beyond it until a report shows their end.
type loadSpeed struct {
	factors map[Source]float64
	// adapterExcess is the mean time beyond an adapter's own.
	adapterExcess time.Duration
}

func newLoadSpeed() *loadSpeed {
	return &loadSpeed{factors: map[Source]float64{
		SourceMemory: memoryFactor,
		SourceDisk:   diskFactor,
		SourceRemote: 1,
	}}
}

// expect returns the time that a load takes once it has started.
func (s *loadSpeed) expect(item *Item, source Source) time.Duration {
	if item.Ref.IsAdapter() {
		return item.LoadTime + s.adapterExcess
	}
	return time.Duration(float64(item.LoadTime) * s.factors[source])
}

// learn takes in a load that took some time, or longer.
func (s *loadSpeed) learn(item *Item, source Source, took time.Duration) {
	if item.Ref.IsAdapter() {
		excess := max(0, took-item.LoadTime)
		s.adapterExcess += time.Duration(speedGain * float64(excess-s.adapterExcess))
		return
	}
	seen := min(maxSlowdown, float64(took)/float64(item.LoadTime))
	s.factors[source] += speedGain * (seen - s.factors[source])
}

// suspect takes in a load that was given up: later ones are given more time, in
// case that the source is slow.
func (s *loadSpeed) suspect(item *Item, source Source) {
	if item == nil || item.Ref.IsAdapter() {
		return
	}
	s.factors[source] = min(maxSlowdown, s.factors[source]*hungFactor)
}

// loadBound returns the time after which a load counts as hung.
func loadBound(expected time.Duration) time.Duration {
	const factor, slack = 4, 10 * time.Second
	return factor*expected + slack
}

// pace spaces the starts of loads from the weight store.
type pace struct {
	next time.Time
}

// ready reports whether a load may start now.
func (p *pace) ready(now time.Time) bool { return !now.Before(p.next) }

// take counts a start.
func (p *pace) take(now time.Time, rate float64) {
	step := time.Duration(float64(time.Second) / rate)
	if p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(step)
}

// queueDelay returns the time until the load behind ahead others starts, when
// running loads of a mean time fill the slots.
func queueDelay(w WeightStoreState, running, ahead int, mean time.Duration) time.Duration {
	byRate := time.Duration(float64(ahead) / w.RatePerSecond * float64(time.Second))
	over := running + ahead - w.Slots + 1
	if over <= 0 {
		return byRate
	}
	bySlots := time.Duration(over) * mean / time.Duration(w.Slots)
	return max(byRate, bySlots)
}
