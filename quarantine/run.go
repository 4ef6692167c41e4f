package quarantine

import (
	"math"
	"slices"
	"time"
)

// The parameters of the evidence on one suspect.
const (
	// commonSpan is the time within which ends of targets may have one cause, such as a loss of
	// power, if the requests that they interrupted were running at the same time.
	commonSpan = 100 * time.Millisecond
	// minCrashShare is the share of the requests with a suspect that crash targets from which on
	// the suspect is quarantined, if targets have survived others.
	minCrashShare = 2.0 / 3
	// survivalsPerEnd is the number of survivals that outweigh the end of a target.
	survivalsPerEnd = 4
	// maxChance is the likelihood up to which crashes under a suspect that targets have survived
	// aren't taken for chance.
	maxChance = 1e-6
	// survivalsSpan is for how long survivals count at least.
	survivalsSpan = time.Minute
)

// run is the evidence on a suspect since targets began to crash under it.
type run struct {
	// crashes are the last ones, in order of time.
	crashes []Crash
	// survivals counts the requests that were sent after the first crash and that targets survived.
	survivals int
}

// add adds a crash. It reports whether it is new.
func (r *run) add(now time.Time, crash Crash) bool {
	if slices.ContainsFunc(r.crashes, crash.same) {
		return false
	}
	r.crashes = slices.DeleteFunc(r.crashes, func(c Crash) bool { return now.Sub(c.At) > crashTTL })
	if len(r.crashes) == 0 {
		r.survivals = 0
	}
	i, _ := slices.BinarySearchFunc(r.crashes, crash, func(c, added Crash) int {
		if c.At.After(added.At) {
			return 1
		}
		return -1
	})
	r.crashes = slices.Insert(r.crashes, i, crash)
	r.crashes = slices.Delete(r.crashes, 0, max(0, len(r.crashes)-maxCrashesPerSuspect))
	return true
}

func (r *run) last() Crash { return r.crashes[len(r.crashes)-1] }

// ends returns a crash for each target that ended on its own: its request was sent after the end
// before, or too much time has passed for a common cause.
func (r *run) ends() []Crash {
	var ends []Crash
	for _, c := range r.crashes {
		if slices.ContainsFunc(ends, func(e Crash) bool { return e.end() == c.end() }) {
			continue
		}
		if n := len(ends); n > 0 && c.sentAt().Before(ends[n-1].At) && c.At.Sub(ends[n-1].At) < commonSpan {
			continue
		}
		ends = append(ends, c)
	}
	return ends
}

// ended returns the ends of targets after an instant.
func (r *run) ended(after time.Time) []End {
	var ends []End
	for _, c := range r.crashes {
		if c.At.After(after) && !slices.Contains(ends, c.end()) {
			ends = append(ends, c.end())
		}
	}
	return ends
}

// unanswered reports whether no target had begun to respond.
func (r *run) unanswered() bool {
	return !slices.ContainsFunc(r.crashes, func(c Crash) bool { return !c.Unanswered })
}

// covers reports whether the end of a target is among the crashes.
func (r *run) covers(end End) bool {
	return slices.ContainsFunc(r.crashes, func(c Crash) bool { return c.end() == end })
}

// share returns the share of the requests that have ended a target.
func (r *run) share() float64 {
	ends := len(r.ends())
	return float64(ends) / float64(ends+r.survivals)
}

// outdoes reports whether a rival, whose share of crashes isn't greater, leaves half of the ends or more
// unexplained, and several of them.
func (r *run) outdoes(rival *run) bool {
	ends, others := r.ends(), 0
	for _, c := range ends {
		if !rival.covers(c.end()) {
			others++
		}
	}
	return others >= minRivalEnds && 2*others >= len(ends) && r.share() >= rival.share()
}

// within reports whether a crash has a part that comes after another suspect, which more requests
// share.
func (r *run) within(suspect, part Suspect) bool {
	return slices.ContainsFunc(r.crashes, func(c Crash) bool {
		i := slices.Index(c.Suspects, suspect)
		return i >= 0 && slices.Index(c.Suspects, part) > i
	})
}

// records returns the number of suspects in the records of the crashes.
func (r *run) records() (n int) {
	for _, c := range r.crashes {
		n += len(c.Suspects)
	}
	return n
}

// cleared reports whether the survivals outweigh the crashes.
func (r *run) cleared() bool { return r.survivals >= survivalsPerEnd*len(r.ends()) }

// outweighs reports whether a suspect under which targets ended and survived has crashed them, rather
// than been beside what did: its share of crashes is high, and so much higher than that of all
// suspects that chance is unlikely.
func outweighs(ends, survivals int, base float64) bool {
	n := float64(ends + survivals)
	share := float64(ends) / n
	if share < minCrashShare || share <= base {
		return false
	}
	// The logarithm of the ratio of the likelihoods of what was seen, with the share and the base.
	ratio := float64(ends) * math.Log(share/base)
	if survivals > 0 {
		ratio += float64(survivals) * math.Log((1-share)/(1-base))
	}
	return ratio >= -math.Log(maxChance)
}

// countDistinct counts the different keys of crashes.
func countDistinct[K comparable](crashes []Crash, key func(Crash) K) int {
	keys := map[K]bool{}
	for _, c := range crashes {
		keys[key(c)] = true
	}
	return len(keys)
}

// survivals counts suspects of requests that targets survived, in two generations.
type survivals struct {
	recent, previous int
	// since and before are the beginnings of the recent and the previous generation.
	since, before time.Time
}

func (s *survivals) add(now time.Time, n int) {
	s.expire(now)
	s.recent += n
}

// count returns the number since an instant.
func (s *survivals) count(now time.Time) (n int, since time.Time) {
	s.expire(now)
	return s.recent + s.previous, s.before
}

// expire begins a new generation if the recent one is old.
func (s *survivals) expire(now time.Time) {
	switch age := now.Sub(s.since); {
	case age > 2*survivalsSpan:
		*s = survivals{since: now, before: now}
	case age > survivalsSpan:
		*s = survivals{previous: s.recent, since: now, before: s.since}
	}
}
