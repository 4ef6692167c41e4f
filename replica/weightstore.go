package replica

import (
	"time"
)

// WeightStoreState is the state of the weight store.
type WeightStoreState struct {
	// RatePerSecond limits how many loads start per second.
	RatePerSecond float64
	// Slots is the number of model loads that run at full speed.
	Slots int
	// Running and Waiting count the model loads of all hosts.
	Running int
	Waiting int
	// Adapters counts the adapter loads of all hosts that are in flight.
	Adapters int
}

const (
	// defaultWeightStoreRatePerSecond and defaultWeightStoreSlots apply until
	// the weight store's state has been read.
	defaultWeightStoreRatePerSecond = 3
	defaultWeightStoreSlots         = 4
	// maxAdapterLoads is the number of adapter loads that run at full speed.
	maxAdapterLoads = 32

	// memoryLoadFactor and diskLoadFactor are the initial ratios of the time to
	// load from an engine's memory or disk to the time to load from the weight
	// store.
	memoryLoadFactor = 0.1
	diskLoadFactor   = 0.4
	// smoothingFactor is the weight of a new sample in a running mean.
	smoothingFactor = 0.3
	// hungLoadFactor is the growth of the expected load time with each hung
	// load.
	hungLoadFactor = 1.5
	// maxSlowdown limits the running mean of the ratio of actual to configured
	// load time.
	maxSlowdown = 50
)

// loadTimeEstimator predicts load times from past loads. A load of a model is
// expected to take a multiple of the configured time. A load of an adapter
// takes milliseconds, and the rest of the time until a report shows it complete
// doesn't depend on the adapter, so it is expected to take the configured time
// plus a mean excess.
type loadTimeEstimator struct {
	factors map[Source]float64
	// meanAdapterExcess is the mean time by which loads of adapters exceed
	// their configured time.
	meanAdapterExcess time.Duration
}

func newLoadTimeEstimator() *loadTimeEstimator {
	return &loadTimeEstimator{factors: map[Source]float64{
		SourceMemory: memoryLoadFactor,
		SourceDisk:   diskLoadFactor,
		SourceRemote: 1,
	}}
}

// expect returns the time that a load takes once it has started.
func (e *loadTimeEstimator) expect(item *Item, source Source) time.Duration {
	if item.Ref.IsAdapter() {
		return item.LoadTime + e.meanAdapterExcess
	}
	return time.Duration(float64(item.LoadTime) * e.factors[source])
}

// observe records the time that a load took.
func (e *loadTimeEstimator) observe(item *Item, source Source, duration time.Duration) {
	if item.Ref.IsAdapter() {
		excess := max(0, duration-item.LoadTime)
		e.meanAdapterExcess += time.Duration(smoothingFactor * float64(excess-e.meanAdapterExcess))
		return
	}
	factor := min(maxSlowdown, float64(duration)/float64(item.LoadTime))
	e.factors[source] += smoothingFactor * (factor - e.factors[source])
}

// observeHung raises the estimate after a hung load was cancelled, in case its
// source is slow.
func (e *loadTimeEstimator) observeHung(item *Item, source Source) {
	if item == nil || item.Ref.IsAdapter() {
		return
	}
	e.factors[source] = min(maxSlowdown, e.factors[source]*hungLoadFactor)
}

// maxLoadTime returns the time after which a load counts as hung.
func maxLoadTime(expected time.Duration) time.Duration {
	const factor, slack = 4, 10 * time.Second
	return factor*expected + slack
}

// startPacer spaces the starts of loads from the weight store.
type startPacer struct {
	next time.Time
}

// ready reports whether a load may start now.
func (p *startPacer) ready(now time.Time) bool { return !now.Before(p.next) }

// recordStart records the start of a load.
func (p *startPacer) recordStart(now time.Time, rate float64) {
	step := time.Duration(float64(time.Second) / rate)
	if p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(step)
}

// queueDelay returns the time until a load with a number of loads ahead of it
// starts, when the running loads take a mean time each and fill the slots.
func queueDelay(state WeightStoreState, running, ahead int, mean time.Duration) time.Duration {
	byRate := time.Duration(float64(ahead) / state.RatePerSecond * float64(time.Second))
	excess := running + ahead - state.Slots + 1
	if excess <= 0 {
		return byRate
	}
	bySlots := time.Duration(excess) * mean / time.Duration(state.Slots)
	return max(byRate, bySlots)
}
