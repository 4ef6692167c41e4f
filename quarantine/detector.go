// Package quarantine finds what crashes targets, by what the requests under which targets
// crashed have in common, and keeps such requests from targets.
//
// Requests of many callers run at a target together, so that a crash also interrupts
// requests that have nothing to do with it. A suspect is quarantined if several targets
// crashed as they began to respond to different requests with it, and none has ever
// completed a response to such a request.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"hawthornway/roster"
	"hawthornway/target"
)

// The parameters of a Detector.
const (
	// crashTTL is how long a crash counts.
	crashTTL = 5 * time.Minute
	// Duration is how long parts and requests are quarantined. After that it takes as many
	// crashes as before to quarantine one again.
	Duration = 10 * time.Minute
	// soundTTL is for how long a suspect is at least known to be sound after a complete
	// response.
	soundTTL = 10 * time.Minute
	// maxSound limits the suspects known to be sound, and maxSuspects those under which
	// engines have crashed, each with the last maxCrashesPerSuspect.
	maxSound    = 20_000
	maxSuspects = 2000

	maxCrashesPerSuspect = 16
)

// Crash is the end of a target as it began to respond to a request.
type Crash struct {
	Target target.ID
	Start  roster.StartID
	// Request identifies the request.
	Request string
	// Suspects are what the crash may follow.
	Suspects []Suspect
	At       time.Time
}

// engineStart is one start of an engine.
type engineStart struct {
	target target.ID
	start  roster.StartID
}

func (c Crash) engine() engineStart { return engineStart{c.Target, c.Start} }

func (c Crash) request() string { return c.Request }

// same reports whether two records are of the same crash and request.
func (c Crash) same(other Crash) bool {
	return c.engine() == other.engine() && c.Request == other.Request
}

// countDistinct counts the different keys of crashes.
func countDistinct[K comparable](crashes []Crash, key func(Crash) K) int {
	keys := map[K]bool{}
	for _, c := range crashes {
		keys[key(c)] = true
	}
	return len(keys)
}

// Quarantine is a suspect that crashes targets.
type Quarantine struct {
	Suspect Suspect
	Until   time.Time
}

// Detector decides which suspects are quarantined. It is not safe for concurrent use.
type Detector struct {
	// soundShared holds the suspects that requests share. They are kept apart from
	// soundRequests, since nearly each request is new.
	soundShared, soundRequests soundSuspects
	// suspects holds the crashes under each suspect that isn't known to be sound.
	suspects    map[Suspect][]Crash
	quarantined map[Suspect]time.Time
}

// NewDetector returns a Detector without evidence.
func NewDetector() *Detector {
	return &Detector{suspects: map[Suspect][]Crash{}, quarantined: map[Suspect]time.Time{}}
}

// soundOf returns where a suspect is recorded as sound.
func (d *Detector) soundOf(suspect Suspect) *soundSuspects {
	if suspect.isRequest() {
		return &d.soundRequests
	}
	return &d.soundShared
}

// RecordCrash records a crash. It returns the suspects that are quarantined because of it.
func (d *Detector) RecordCrash(now time.Time, crash Crash) (quarantined []Suspect) {
	for _, suspect := range crash.Suspects {
		if d.soundOf(suspect).has(now, suspect) {
			continue
		}
		crashes := slices.DeleteFunc(d.suspects[suspect], func(c Crash) bool { return now.Sub(c.At) > crashTTL })
		if !slices.ContainsFunc(crashes, crash.same) {
			crashes = append(crashes, crash)
		}
		t := suspect.threshold()
		if countDistinct(crashes, Crash.engine) < t.targets || countDistinct(crashes, Crash.request) < t.requests {
			d.makeRoom(now, suspect)
			d.suspects[suspect] = crashes[max(0, len(crashes)-maxCrashesPerSuspect):]
			continue
		}
		delete(d.suspects, suspect)
		if !d.Quarantined(now, suspect) {
			quarantined = append(quarantined, suspect)
		}
		d.quarantined[suspect] = now.Add(t.duration)
	}
	return quarantined
}

// makeRoom makes room for a suspect.
func (d *Detector) makeRoom(now time.Time, suspect Suspect) {
	if _, ok := d.suspects[suspect]; ok || len(d.suspects) < maxSuspects {
		return
	}
	var oldest Suspect
	oldestAt := now
	for suspect, crashes := range d.suspects {
		if at := crashes[len(crashes)-1].At; !at.After(oldestAt) {
			oldest, oldestAt = suspect, at
		}
	}
	delete(d.suspects, oldest)
}

// RecordSound records that a response to a request with a suspect was completed. It reports
// whether the suspect was quarantined until now.
func (d *Detector) RecordSound(now time.Time, suspect Suspect) (released bool) {
	d.soundOf(suspect).add(now, suspect)
	delete(d.suspects, suspect)
	released = d.Quarantined(now, suspect)
	delete(d.quarantined, suspect)
	return released
}

// Hold quarantines a suspect for some time, whatever is known of it.
func (d *Detector) Hold(now time.Time, suspect Suspect, duration time.Duration) {
	d.quarantined[suspect] = now.Add(duration)
}

// Release ends a suspect's quarantine. It reports whether there was one.
func (d *Detector) Release(now time.Time, suspect Suspect) (released bool) {
	released = d.Quarantined(now, suspect)
	delete(d.quarantined, suspect)
	return released
}

// Sound reports whether a suspect is known to be sound.
func (d *Detector) Sound(now time.Time, suspect Suspect) bool {
	return d.soundOf(suspect).has(now, suspect)
}

// Adopt quarantines a suspect that another Detector has quarantined, unless it is known to
// be sound.
func (d *Detector) Adopt(now time.Time, q Quarantine) {
	if !d.soundOf(q.Suspect).has(now, q.Suspect) && q.Until.After(d.quarantined[q.Suspect]) {
		d.quarantined[q.Suspect] = q.Until
	}
}

// Quarantined reports whether a suspect is quarantined.
func (d *Detector) Quarantined(now time.Time, suspect Suspect) bool {
	return d.quarantined[suspect].After(now)
}

// List returns the quarantined suspects, in order.
func (d *Detector) List(now time.Time) []Quarantine {
	var list []Quarantine
	for suspect, until := range d.quarantined {
		if !until.After(now) {
			delete(d.quarantined, suspect)
			continue
		}
		list = append(list, Quarantine{suspect, until})
	}
	slices.SortFunc(list, func(a, b Quarantine) int { return cmp.Compare(a.Suspect, b.Suspect) })
	return list
}

// soundSuspects holds the suspects that are known to be sound, in two generations.
type soundSuspects struct {
	recent, previous map[Suspect]bool
	// since is the beginning of the recent generation.
	since time.Time
}

func (s *soundSuspects) add(now time.Time, suspect Suspect) {
	s.expire(now)
	if len(s.recent) >= maxSound/2 {
		s.rotate(now)
	}
	s.recent[suspect] = true
}

func (s *soundSuspects) has(now time.Time, suspect Suspect) bool {
	s.expire(now)
	return s.recent[suspect] || s.previous[suspect]
}

// expire begins a new generation if the recent one is old.
func (s *soundSuspects) expire(now time.Time) {
	switch age := now.Sub(s.since); {
	case s.recent == nil || age > 2*soundTTL:
		s.recent, s.previous, s.since = map[Suspect]bool{}, nil, now
	case age > soundTTL:
		s.rotate(now)
	}
}

func (s *soundSuspects) rotate(now time.Time) {
	s.recent, s.previous, s.since = map[Suspect]bool{}, s.recent, now
}
