package pace

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornway/boottime"
	"hawthornway/keyvalue"
)

// Period identifies a span in which a target is cold: the store revision at which it was first
// known. Later spans of the same target have higher ones.
type Period keyvalue.Revision

// Warming is a span in which a target is cold and bears only some requests per second from all
// hosts together.
type Warming struct {
	Key
	Period Period
	// Rate is what the target bears while it is cold.
	Rate Rate
	// Until is when the target is warm.
	Until boottime.Instant
	// Assumed is set if the target hasn't said that it is cold. It may turn out to be warm.
	Assumed bool
}

const (
	// warmingTTL is how long a span is remembered that is over, so that hosts which learn of it
	// late don't begin it anew.
	warmingTTL = 10 * time.Second
	// newPeriodAfter is by how much a target must be cold for longer than was known to have
	// turned cold again. The same span looks longer or shorter by the time on the way.
	newPeriodAfter = 700 * time.Millisecond
	// maxWarming limits the time for which a target may say that it is cold.
	maxWarming = time.Hour
)

// warmingOver reports whether a span ended so long ago that it is forgotten.
func warmingOver(w Warming, now boottime.Instant) bool { return now.Sub(w.Until) > warmingTTL }

// RecordWarming records a span that another host knows of. It reports whether it is news.
func (l *Limits) RecordWarming(w Warming) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	known, ok := l.warming[w.Key]
	if ok && w.Period <= known.Period || warmingOver(w, now) {
		return false
	}
	w.Until = min(w.Until, now.Add(maxWarming))
	l.warming[w.Key] = w
	l.activate()
	return true
}

// Observe records what a target has said at a store revision: for how long it stays cold, or zero
// if it is warm, and what it bears until then. It reports whether the target has turned cold, or
// has turned out to be warm although it was assumed to be cold.
func (l *Limits) Observe(key Key, at Period, rate Rate, left time.Duration) bool {
	if rate <= 0 || left <= 0 && l.active.Load().cold == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	until := now.Add(min(max(0, left), maxWarming))
	known, ok := l.warming[key]
	switch {
	case ok && at <= known.Period:
		return false
	case left <= 0 && (!ok || !known.Assumed || !now.Before(known.Until)):
		return false // a span ends by itself
	case left > 0 && ok && !known.Assumed && until.Sub(known.Until) <= newPeriodAfter:
		return false // it is the same span
	}
	l.warming[key] = Warming{Key: key, Period: at, Rate: rate, Until: until}
	l.activate()
	return true
}

// Hear records that a target has said in an answer for how long it stays cold. Registered is the
// store revision of its registration, which may be older. It reports whether that is news.
func (l *Limits) Hear(key Key, registered Period, rate Rate, left time.Duration) bool {
	if rate <= 0 || left <= 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	until := l.clock.Now().Add(min(left, maxWarming))
	known, ok := l.warming[key]
	if ok && !known.Assumed && until.Sub(known.Until) <= newPeriodAfter {
		return false
	}
	l.warming[key] = Warming{Key: key, Period: max(registered, known.Period) + 1, Rate: rate, Until: until}
	l.activate()
	return true
}

// WarmingList returns the spans that aren't long over.
func (l *Limits) WarmingList() []Warming {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	var list []Warming
	for _, w := range l.warming {
		if !warmingOver(w, now) {
			list = append(list, w)
		}
	}
	return list
}

// Cold returns the number of targets that are cold now.
func (l *Limits) Cold() int {
	cold := 0
	for _, s := range l.current().limits {
		if s.Cold.Until != 0 {
			cold++
		}
	}
	return cold
}

// digest returns a hash of a span. It doesn't cover the time left, which differs between hosts.
func (w Warming) digest() uint64 {
	return xxhash.Sum64(fmt.Appendf(nil, "cold %q %d %d %g", w.Target, w.Start, w.Period, w.Rate))
}
